"""Relay links of one host, on which connections are delayed, held, reset or refused."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import struct
from collections import Counter
from collections.abc import Mapping
from enum import Enum

from hickorywind.ids import Address

_CHUNK_BYTES = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)  # closing sends RST instead of FIN
_PEER_UNREACHABLE_S = 3.0  # after this silence a platform drops a connection
# Loopback addresses as text, in JSON and in MessagePack. All ports of a run have five digits and
# two bytes, so that they can be replaced within a stream.
_ADDRESS = re.compile(rb'(127\.0\.0\.1)(?:(:|",)(\d{5})|(\xcd)(..))', re.DOTALL)
_ADDRESS_START = re.compile(rb'127\.0\.0\.1(?:(?::|",?)\d{0,4}|\xcd.?)?\Z', re.DOTALL)


class Direction(Enum):
    """Direction of the bytes of a link."""

    OUTWARD = "from the host"
    INWARD = "to the host"


def replace_ports(data: bytes, ports: Mapping[int, int]) -> bytes:
    """Return ``data`` with the port of each known address replaced."""

    def replace(match: re.Match[bytes]) -> bytes:
        host, separator, digits, marker, packed = match.groups()
        if digits:
            port = int(digits)
            return host + separator + str(ports.get(port, port)).encode()
        port = int.from_bytes(packed, "big")
        return host + marker + ports.get(port, port).to_bytes(2, "big")

    return _ADDRESS.sub(replace, data)


class RelayLink:
    """Link from a host to one target; several faults may harm it at a time."""

    def __init__(self, listen: Address, target: Address, sources: dict[int, str], host: str):
        self.listen = listen
        self.delay_s = 0.0
        self.ports: dict[Direction, dict[int, int]] = {each: {} for each in Direction}
        self._target = target
        self._sources = sources  # host by the port from which its relay connects
        self._host = host
        self._holds: Counter[Direction] = Counter()
        self._passing = {each: asyncio.Event() for each in Direction}
        self._held_since: dict[Direction, float] = {}
        self.refused_periods: list[tuple[float, float]] = []  # from and until
        self._refusals = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        for event in self._passing.values():
            event.set()

    async def open(self) -> None:
        """Accept connections, unless they are refused; the target's process runs."""
        if self._server is None and not self._refusals:
            self._server = await asyncio.start_server(
                self._serve, self.listen.host, self.listen.port
            )
            if self._refusals:
                self.close()

    def close(self) -> None:
        """Refuse connections, as the kernel does once the target's process is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def refuse(self) -> None:
        """Refuse new connections, although the target runs, until undone by ``accept``."""
        if self._refusals == 0:
            self.refused_periods.append((asyncio.get_running_loop().time(), float("inf")))
        self._refusals += 1
        self.close()

    def accept(self) -> None:
        """Undo one ``refuse``; ``open`` accepts connections again."""
        self._refusals -= 1
        if self._refusals == 0:
            from_s, _ = self.refused_periods[-1]
            self.refused_periods[-1] = (from_s, asyncio.get_running_loop().time())

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            with contextlib.suppress(OSError):  # it may be closed already
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
                )
            writer.transport.abort()

    def hold(self, direction: Direction) -> None:
        """Pass no more bytes in a direction until the call is undone by ``release``."""
        self._holds[direction] += 1
        if self._passing[direction].is_set():
            self._held_since[direction] = asyncio.get_running_loop().time()
            self._passing[direction].clear()

    def release(self, direction: Direction) -> None:
        """Undo one ``hold``; connections that were held long are reset, others go on."""
        self._holds[direction] -= 1
        if self._holds[direction] == 0:
            held_s = asyncio.get_running_loop().time() - self._held_since[direction]
            if held_s > _PEER_UNREACHABLE_S:
                self.reset()
            self._passing[direction].set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        target_writer = None
        try:
            await self._passing[Direction.OUTWARD].wait()
            if writer.transport.is_closing():
                return  # reset, and never connected to the target
            target_reader, target_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
            self._writers.add(target_writer)
            self._sources[target_writer.get_extra_info("sockname")[1]] = self._host
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer, Direction.OUTWARD))
                group.create_task(self._pump(target_reader, writer, Direction.INWARD))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            for each in (writer, target_writer):
                if each is not None:
                    each.transport.abort()
                    self._writers.discard(each)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        pending = b""
        while data := await reader.read(_CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self._passing[direction].wait()
            data, pending = pending + data, b""
            if start := _ADDRESS_START.search(data):
                data, pending = data[: start.start()], data[start.start() :]
            writer.write(replace_ports(data, self.ports[direction]))
            await writer.drain()
        await self._passing[direction].wait()
        # No half-closed connections: the end of one direction ends both.
        raise ConnectionResetError
