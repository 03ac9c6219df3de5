"""Backend server whose answers a test writes itself, message by message."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable, Callable

from hickorywind.ids import Address
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.frontend import cstring, message
from hickorywind.postgres.frames import Frame, FrameSplitter

AUTHENTICATION_OK = message(b"R", struct.pack("!I", 0))
KEY_DATA = message(b"K", struct.pack("!II", 7, 7))
READY = message(b"Z", b"I")
_CANCEL_REQUEST_LENGTH_BYTES = 16

Respond = Callable[[Frame, asyncio.StreamWriter], Awaitable[None]]


def complete(tag: str) -> bytes:
    return message(b"C", cstring(tag))


def error(sqlstate: str, severity: str = "ERROR") -> bytes:
    fields = ((b"S", severity), (b"V", severity), (b"C", sqlstate), (b"M", "scripted"))
    return message(b"E", b"".join(kind + cstring(value) for kind, value in fields) + b"\0")


class ScriptedBackend:
    """Server that logs callers in and calls ``respond`` with each message that it receives."""

    def __init__(self, respond: Respond) -> None:
        self.respond = respond
        self.received: list[Frame] = []
        self.login_count = 0
        self.cancel_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> ScriptedBackend:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_) -> None:
        self._server.close()
        for writer in self.writers:
            writer.close()

    @property
    def login(self) -> Login:
        return Login(Address("127.0.0.1", self._server.sockets[0].getsockname()[1]), "u", "d")

    @property
    def queries(self) -> list[str]:
        frames = (frame for frame in self.received if frame.kind == b"Q")
        return [bytes(frame.payload).rstrip(b"\0").decode() for frame in frames]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        (length,) = struct.unpack("!I", await reader.readexactly(4))
        await reader.readexactly(length - 4)
        if length == _CANCEL_REQUEST_LENGTH_BYTES:
            self.cancel_count += 1
            writer.close()
            return
        self.login_count += 1
        writer.write(AUTHENTICATION_OK + KEY_DATA + READY)
        splitter = FrameSplitter(1 << 20)
        while data := await reader.read(65_536):
            for frame in splitter.feed(data):
                self.received.append(frame)
                await self.respond(frame, writer)
        writer.close()
