"""Caller of a host, and the record of what was sent, answered and run."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass
from pathlib import Path

_request_ids = itertools.count(1)


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._started = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, by default for this moment."""
        self._lines.append((time.monotonic() if at is None else at, text))

    def write(self) -> None:
        """Write the lines in the order of time."""
        lines = (f"{at - self._started:8.3f} {text}" for at, text in sorted(self._lines))
        self._path.write_text("\n".join(lines) + "\n")


class ClosedError(Exception):
    """The connection ended before the answer was complete."""


@dataclass(frozen=True)
class Answer:
    """Answer to a statement."""

    request_id: str
    lines: tuple[str, ...]
    state: str

    @property
    def is_success(self) -> bool:
        """Return whether the statement was completed."""
        return self.lines[-1].startswith("COMPLETE")


class Caller:
    """Session of a caller with one host."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str, database: str, limit: int = 2 << 20) -> Caller:
        """Open a session; raise ``ClosedError`` if it is refused."""
        host, _, port = address.partition(":")
        try:
            streams = await asyncio.open_connection(host, int(port), limit=limit)
        except OSError as error:
            raise ClosedError(str(error)) from None
        caller = cls(*streams)
        caller.writer.write(f"CONNECT {database} caller\r\n".encode())
        line = await caller._read_line()
        if not line.startswith("READY"):
            caller.close()
            raise ClosedError(line)
        return caller

    async def _read_line(self) -> str:
        try:
            async with asyncio.timeout(15):
                line = await self._reader.readline()
        except (OSError, TimeoutError) as error:
            raise ClosedError(str(error)) from None
        if not line.endswith(b"\r\n"):
            raise ClosedError("ended")
        return line.decode().rstrip("\r\n")

    async def ask(self, text: str) -> Answer:
        """Send a statement and return its answer."""
        request_id = f"q{next(_request_ids):06x}"
        try:
            self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        except OSError as error:
            raise ClosedError(str(error)) from None
        lines = []
        while not (line := await self._read_line()).startswith("READY"):
            lines.append(line)
        return Answer(request_id, tuple(lines), line.split(" ")[1])

    def close(self) -> None:
        """End the session."""
        self.writer.transport.abort()
