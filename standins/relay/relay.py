"""TCP forwarding from listening addresses to their targets, with delays and interruptions."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import msgspec
import yaml

from hickorywind.ids import Address

_CHUNK_BYTES = 65_536
_QUEUE_CHUNKS = 64


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Route with its listening address, its target address and the delay of each direction."""

    name: str
    listen: str
    target: str
    delay_ms: float = 0


class RelaySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one relay process."""

    control: str
    routes: tuple[Route, ...]

    @classmethod
    def from_file(cls, path: Path) -> RelaySettings:
        """Parse a YAML file; raise ``msgspec.ValidationError`` for wrong keys or types."""
        return msgspec.convert(yaml.safe_load(path.read_text()), cls)


class _RouteServer:
    """Server of one route; while it is cut, connections stay open and no bytes pass."""

    def __init__(self, route: Route) -> None:
        self.route = route
        self.delay_s = route.delay_ms / 1000
        self.is_healed = asyncio.Event()
        self.is_healed.set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        listen = Address.from_text(self.route.listen)
        self.server = await asyncio.start_server(self._serve, listen.host, listen.port)

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    @property
    def address(self) -> Address:
        host, port = self.server.sockets[0].getsockname()[:2]
        return Address(host, port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.delay_s)
        await self.is_healed.wait()
        target = Address.from_text(self.route.target)
        target_reader, target_writer = await asyncio.open_connection(target.host, target.port)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, target_writer))
                group.create_task(self._pump(target_reader, writer))
        except* OSError:
            pass
        finally:
            target_writer.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(_QUEUE_CHUNKS)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._collect(reader, chunks))
            group.create_task(self._deliver(chunks, writer))

    async def _collect(self, reader: asyncio.StreamReader, chunks: asyncio.Queue) -> None:
        loop = asyncio.get_running_loop()
        data = b"-"
        while data:
            try:
                data = await reader.read(_CHUNK_BYTES)
            except OSError:
                data = b""
            await chunks.put((loop.time() + self.delay_s, data))

    async def _deliver(self, chunks: asyncio.Queue, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, data = await chunks.get()
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            await self.is_healed.wait()
            if not data:
                break
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, NotImplementedError):
            writer.write_eof()


class Relay:
    """Relay with several routes, controlled by method calls or command lines."""

    def __init__(self, routes: tuple[Route, ...]) -> None:
        self._servers = {route.name: _RouteServer(route) for route in routes}

    async def start(self) -> None:
        """Start listening on every route."""
        for route_server in self._servers.values():
            await route_server.start()

    async def close(self) -> None:
        """Close every connection and stop listening."""
        for route_server in self._servers.values():
            await route_server.close()

    def address(self, name: str) -> Address:
        """Return the address of a route's listener (its actual port if the settings say 0)."""
        return self._servers[name].address

    def cut(self, name: str) -> None:
        """Stop forwarding on a route; its connections stay open and bytes are buffered."""
        self._servers[name].is_healed.clear()

    def heal(self, name: str) -> None:
        """Resume forwarding on a route, beginning with the buffered bytes."""
        self._servers[name].is_healed.set()

    def set_delay(self, name: str, delay_ms: float) -> None:
        """Set the delay of each direction of a route for bytes that arrive from now on."""
        self._servers[name].delay_s = delay_ms / 1000

    def run_command(self, line: str) -> str:
        """Run one command line and return ``ok`` or a line that starts with ``error``."""
        try:
            match line.split():
                case ["cut", name]:
                    self.cut(name)
                case ["heal", name]:
                    self.heal(name)
                case ["delay", name, delay_ms]:
                    self.set_delay(name, float(delay_ms))
                case _:
                    return "error: expected cut NAME, heal NAME or delay NAME MS"
        except (KeyError, ValueError) as error:
            return f"error: {error}"
        return "ok"
