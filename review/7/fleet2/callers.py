"""Callers of the hosts, which speak the line protocol."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from fleet2.records import Record

CONNECT_S = 2.0
ANSWER_S = 15.0
_numbers = itertools.count(1)


@dataclass(frozen=True)
class Answer:
    """Answer to a request: ``code`` is that of an error, or empty after a success."""

    code: str
    signature: str
    rows: tuple[str, ...]
    state: str


class LostError(Exception):
    """The connection ended, or no answer came in time."""


class Caller:
    """Session at one host."""

    def __init__(self, record: Record, address: str, database: str, name: str) -> None:
        self._record = record
        self._address = address
        self._database = database
        self.name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Open the session; raise ``LostError``."""
        host, port = self._address.split(":")
        try:
            async with asyncio.timeout(CONNECT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port), limit=2 * 1_048_576
                )
                self._writer.write(f"CONNECT {self._database} {self.name}\r\n".encode())
                line = await self._line()
        except (OSError, TimeoutError) as error:
            raise LostError(str(error)) from error
        if not line.startswith("READY"):
            raise LostError(line)

    async def _line(self) -> str:
        line = await self._reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionResetError("the connection ended")
        return line.decode().removesuffix("\r\n")

    async def ask(self, text: str) -> tuple[str, Answer]:
        """Send a request; return its id and the answer, or raise ``LostError``."""
        request = f"q{next(_numbers):015x}"
        self._record.write("sent", self.name, request, text)
        rows: list[str] = []
        code = signature = ""
        try:
            async with asyncio.timeout(ANSWER_S):
                self._writer.write(f"QUERY {request} {text}\r\n".encode())
                while True:
                    word, _, rest = (await self._line()).partition(" ")
                    match word:
                        case "ROW":
                            rows.append(rest)
                        case "COMPLETE":
                            signature = rest
                        case "ERROR":
                            code = rest.partition(" ")[0]
                        case "READY":
                            answer = Answer(code, signature, tuple(rows), rest[:1])
                            outcome = code or "OK"
                            self._record.write("answered", self.name, request, outcome, *rows)
                            return request, answer
        except (OSError, TimeoutError) as error:
            self._record.write("lost", self.name, request, error)
            raise LostError(str(error)) from error

    def close(self) -> None:
        """Close the session."""
        if self._writer is not None:
            self._writer.transport.abort()
