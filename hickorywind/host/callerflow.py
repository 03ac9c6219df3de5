"""Flow control of one caller's connection: how much of it may wait in this process."""

from __future__ import annotations

import asyncio
from datetime import timedelta

# Of requests that wait for the one before them; beyond either the host reads no more.
MAX_QUEUED_REQUESTS = 64
MAX_QUEUED_BYTES = 262_144


class CallerFlow:
    """Flow control of one caller's connection.

    The host reads no more from a caller whose requests are queued up to a limit, or who does not
    take replies. The transport's buffer limits decide from when on replies count as not taken.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._can_write = asyncio.Event()
        self._can_write.set()
        self._has_room = True

    def open(self, transport: asyncio.Transport) -> None:
        """Control a connection from now on."""
        self._transport = transport

    def update_queue(self, request_count: int, byte_count: int) -> None:
        """Apply the number and size of the requests that are queued."""
        self._has_room = request_count <= MAX_QUEUED_REQUESTS and byte_count <= MAX_QUEUED_BYTES
        self._apply()

    def pause_writing(self) -> None:
        """Record that the caller does not take replies."""
        self._can_write.clear()
        self._apply()

    def resume_writing(self) -> None:
        """Record that the caller takes replies again, or that the connection ended."""
        self._can_write.set()
        self._apply()

    @property
    def can_write(self) -> bool:
        """Whether the caller takes replies."""
        return self._can_write.is_set()

    async def wait_until_writable(self, timeout: timedelta) -> bool:
        """Wait until the caller takes replies; return False after the timeout."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._can_write.wait()
        except TimeoutError:
            pass
        return self._can_write.is_set()

    def _apply(self) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if self._has_room and self._can_write.is_set():
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
