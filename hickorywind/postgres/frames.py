"""Splitting of a PostgreSQL byte stream into messages without decoding their payloads.

Rows pass through undecoded; ``pygwire`` decodes only the messages that the proxy has to read.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

_HEADER = struct.Struct("!cI")
_LENGTH_BYTES = 4
_COMPACT_ABOVE_BYTES = 65_536


class FrameTooLargeError(Exception):
    """Message whose length field exceeds the limit or is smaller than the field itself."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One complete message: ``kind`` is its type byte, ``data`` its header and payload."""

    kind: bytes
    data: bytes

    @property
    def payload(self) -> memoryview:
        """Return the message body, without type byte and length."""
        return memoryview(self.data)[_HEADER.size :]


class FrameSplitter:
    """Splitter of received bytes into messages, for use after the startup phase of a connection."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._start = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the number of buffered bytes, which belong to an incomplete message."""
        return len(self._buffer) - self._start

    @property
    def incomplete_kind(self) -> bytes:
        """Return the type byte of the incomplete message, or no bytes without one."""
        return bytes(self._buffer[self._start : self._start + 1])

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield each complete message; raise ``FrameTooLargeError``."""
        self._buffer += data
        while True:
            frame = self._next_frame()
            if frame is None:
                break
            yield frame
        self._compact()

    def _next_frame(self) -> Frame | None:
        if self.buffered_bytes < _HEADER.size:
            return None
        kind, length = _HEADER.unpack_from(self._buffer, self._start)
        if length < _LENGTH_BYTES or length > self._limit_bytes:
            raise FrameTooLargeError(f"message {kind!r} announces {length} bytes")
        end = self._start + 1 + length
        if len(self._buffer) < end:
            return None
        frame = Frame(kind, bytes(memoryview(self._buffer)[self._start : end]))
        self._start = end
        return frame

    def _compact(self) -> None:
        if self._start > _COMPACT_ABOVE_BYTES or self._start == len(self._buffer):
            del self._buffer[: self._start]
            self._start = 0
