"""Cut a PostgreSQL byte stream into whole messages without decoding their payloads.

Rows pass through a proxy unread; only the messages that matter are decoded with ``pygwire``.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

_HEADER = struct.Struct("!cI")
_LENGTH_BYTES = 4
_COMPACT_ABOVE_BYTES = 65_536


class FrameTooLargeError(Exception):
    """Report a message whose announced length is over the limit or impossible."""


@dataclass(frozen=True, slots=True)
class Frame:
    """Hold one whole message: ``kind`` is its type byte, ``data`` header and payload."""

    kind: bytes
    data: bytes

    @property
    def payload(self) -> memoryview:
        """Return the message without type byte and length."""
        return memoryview(self.data)[_HEADER.size :]


class FrameSplitter:
    """Collect bytes and yield whole messages (after the startup phase of a connection)."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._start = 0

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of an incomplete message are held."""
        return len(self._buffer) - self._start

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add bytes and yield each message completed; raise ``FrameTooLargeError``."""
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
