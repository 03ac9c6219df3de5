"""Reading of PostgreSQL messages from a caller and writing of answers, both with timeouts."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from hickorywind.entry.attempt import CallerDisconnectedError
from hickorywind.postgres.frames import Frame, FrameSplitter, FrameTooLargeError
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

MESSAGE_TIMEOUT = timedelta(seconds=30)
WRITE_TIMEOUT = timedelta(seconds=30)
_READ_BYTES = 65_536


class StreamStoppedError(Exception):
    """Raised when the stream is stopped while it waits for the caller's next message."""


class CallerReader(asyncio.StreamReader):
    """Stream reader that reports a closed connection immediately, also while nothing is read."""

    on_disconnect: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Handle the end of the incoming stream."""
        super().feed_eof()
        self._notify_if_disconnected()

    def set_exception(self, exc: Exception) -> None:
        """Handle a lost connection."""
        super().set_exception(exc)
        self._notify_if_disconnected()

    def _notify_if_disconnected(self) -> None:
        # Messages that the caller sent before it disconnected are still processed.
        if self.on_disconnect is not None and self.at_eof():
            self.on_disconnect()


class CallerStream:
    """Message reader and writer of one caller connection."""

    def __init__(
        self, reader: CallerReader, writer: asyncio.StreamWriter, limit_bytes: int
    ) -> None:
        self._reader = reader
        self._writer = writer
        # A written answer must not wait in this process, which may end at any time afterwards.
        writer.transport.set_write_buffer_limits(high=0)
        self._splitter = FrameSplitter(limit_bytes)
        self._frames: deque[Frame] = deque()
        self._idle_read_task: asyncio.Task | None = None
        self._stopping = False

    @property
    def is_idle(self) -> bool:
        """Return whether the stream waits for the first byte of a message."""
        return self._idle_read_task is not None

    def set_disconnect_callback(self, callback: Callable[[], None]) -> None:
        """Set the function that is called when the caller disconnects."""
        self._reader.on_disconnect = callback

    def stop(self) -> None:
        """Make ``next_frame`` raise ``StreamStoppedError`` if it waits for a new message."""
        if self._idle_read_task is not None:
            self._stopping = True
            self._idle_read_task.cancel()

    async def next_frame(self, inside_batch: bool) -> Frame | None:
        """Return the next message, or None if the caller has disconnected.

        Within a batch or a message, each read is limited to ``MESSAGE_TIMEOUT``. Raise
        ``HickorywindError`` for an error that ends the connection, and ``StreamStoppedError``.
        """
        while not self._frames:
            if inside_batch or self._splitter.buffered_bytes:
                data = await self._read_with_timeout()
            else:
                data = await self._read_when_idle()
            if not data:
                return None
            self._frames.extend(self._split(data))
        return self._frames.popleft()

    def _split(self, data: bytes) -> list[Frame]:
        try:
            return list(self._splitter.feed(data))
        except FrameTooLargeError as error:
            raise _fatal_error(ResultCode.MESSAGE_TOO_LARGE, str(error)) from None

    async def _read_with_timeout(self) -> bytes:
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT.total_seconds()):
                return await self._reader.read(_READ_BYTES)
        except TimeoutError:
            reason = "timeout while receiving a message or the rest of a batch"
            raise _fatal_error(ResultCode.MALFORMED_MESSAGE, reason) from None

    async def _read_when_idle(self) -> bytes:
        task = asyncio.current_task()
        self._idle_read_task = task
        try:
            return await self._reader.read(_READ_BYTES)
        except asyncio.CancelledError:
            if not self._stopping or task is None:
                raise
            task.uncancel()
            raise StreamStoppedError from None
        finally:
            self._idle_read_task = None

    async def write(self, data: bytes) -> None:
        """Write and wait until the operating system has taken all data.

        Raise ``CallerDisconnectedError`` on a lost connection or after ``WRITE_TIMEOUT``.
        """
        self._writer.write(data)
        transport = self._writer.transport
        if not transport.is_closing() and transport.get_write_buffer_size() == 0:
            return
        try:
            async with asyncio.timeout(WRITE_TIMEOUT.total_seconds()):
                await self._writer.drain()
        except (TimeoutError, OSError) as error:
            self._writer.transport.abort()
            raise CallerDisconnectedError from error


def _fatal_error(code: ResultCode, reason: str) -> HickorywindError:
    return HickorywindError(Result(code, Outcome.NOT_RUN, reason))
