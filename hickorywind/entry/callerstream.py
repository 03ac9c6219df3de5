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

    @property
    def has_unread_data(self) -> bool:
        """Return whether data or the end of the stream was received but not read yet."""
        return bool(self._buffer) or self._eof

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
        self._read_task: asyncio.Task | None = None
        self._is_read_idle = False
        self._stopping = False

    def set_disconnect_callback(self, callback: Callable[[], None]) -> None:
        """Set the function that is called when the caller disconnects."""
        self._reader.on_disconnect = callback

    def stop_if_idle(self) -> None:
        """Make ``next_frame`` raise ``StreamStoppedError`` if it waits for a new message."""
        if self._is_read_idle and not self._reader.has_unread_data:
            self.stop()

    def stop(self) -> None:
        """Make ``next_frame`` raise ``StreamStoppedError`` if it waits, even inside a batch."""
        if self._read_task is not None:
            self._stopping = True
            self._read_task.cancel()

    async def next_frame(self, inside_batch: bool) -> Frame | None:
        """Return the next message, or None if the caller has disconnected.

        Within a batch or a message, each read is limited to ``MESSAGE_TIMEOUT``. Raise
        ``HickorywindError`` for an error that ends the connection, and ``StreamStoppedError``.
        """
        while not self._frames:
            is_idle = not inside_batch and not self._splitter.buffered_bytes
            data = await self._read(None if is_idle else MESSAGE_TIMEOUT)
            if not data:
                return None
            self._frames.extend(self._split(data))
        return self._frames.popleft()

    def _split(self, data: bytes) -> list[Frame]:
        try:
            return list(self._splitter.feed(data))
        except FrameTooLargeError as error:
            raise _fatal_error(ResultCode.MESSAGE_TOO_LARGE, str(error)) from None

    async def _read(self, timeout: timedelta | None) -> bytes:
        task = self._read_task = asyncio.current_task()
        self._is_read_idle = timeout is None
        try:
            async with asyncio.timeout(None if timeout is None else timeout.total_seconds()):
                return await self._reader.read(_READ_BYTES)
        except TimeoutError:
            if timeout is None:
                raise  # of the connection
            reason = "timeout while receiving a message or the rest of a batch"
            raise _fatal_error(ResultCode.MALFORMED_MESSAGE, reason) from None
        except asyncio.CancelledError:
            if not self._stopping or task is None:
                raise
            task.uncancel()
            raise StreamStoppedError from None
        finally:
            self._read_task = None
            self._is_read_idle = False

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
