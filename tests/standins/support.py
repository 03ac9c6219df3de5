"""Groups of stand-in backend servers inside the test process."""

import asyncio
import shutil
import tempfile
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import psycopg

from hickorywind.groups.client import GroupClient
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import Address, BackendId, ServiceName, Term
from standins.backend.server import BackendServer
from standins.backend.settings import BackendSettings, Peer
from standins.relay import Relay, Route
from tests.ports import free_port

CALL_TIMEOUT = timedelta(seconds=2)


def local_address() -> str:
    return f"127.0.0.1:{free_port()}"


@dataclass
class TestGroup:
    """Group of ``size`` instances that replicate through a relay with a route per direction."""

    __test__ = False

    size: int = 3
    options: dict = field(default_factory=dict)
    servers: list[BackendServer] = field(default_factory=list)
    clients: list[GroupClient] = field(default_factory=list)

    async def start(self) -> "TestGroup":
        self._folder = Path(tempfile.mkdtemp(prefix="hickorywind-test-"))
        replication = [local_address() for _ in range(self.size)]
        routes = {(i, j): local_address() for i in range(self.size) for j in range(self.size)}
        self.relay = Relay(
            tuple(Route(f"{i}-{j}", routes[i, j], replication[j]) for i, j in routes if i != j)
        )
        await self.relay.start()
        for i in range(self.size):
            peers = [Peer(BackendId(f"db{j}"), routes[i, j]) for j in range(self.size)]
            settings = BackendSettings(
                BackendId(f"db{i}"),
                ServiceName("dispatch"),
                local_address(),
                replication[i],
                tuple(peers),
                initial_primary=i == 0,
                **{"connect_time_ms": 0, **self.options},
            )
            folder = self._folder / str(i)
            folder.mkdir()
            server = BackendServer(settings, folder)
            await server.start()
            self.servers.append(server)
            self.clients.append(GroupClient(self.address(i), CALL_TIMEOUT))
        return self

    def address(self, index: int) -> Address:
        return Address.from_text(self.servers[index].settings.listen)

    async def connect(self, index: int = 0, **options) -> psycopg.AsyncConnection:
        address = self.address(index)
        return await psycopg.AsyncConnection.connect(
            f"host={address.host} port={address.port} user=crew dbname=dispatch",
            autocommit=True,
            **options,
        )

    def isolate(self, index: int) -> None:
        for i in range(self.size):
            if i != index:
                self.relay.cut(f"{index}-{i}")
                self.relay.cut(f"{i}-{index}")

    def rejoin(self, index: int) -> None:
        for i in range(self.size):
            if i != index:
                self.relay.heal(f"{index}-{i}")
                self.relay.heal(f"{i}-{index}")

    async def status(self, index: int) -> BackendStatus:
        status = await self.clients[index].status()
        assert isinstance(status, BackendStatus), status
        return status

    async def fail_over(self, target: int, voters: tuple[int, ...], term: int) -> BackendStatus:
        for index in voters:
            answer = await self.clients[index].accept_term(Term(term), "test", timedelta(0))
            assert isinstance(answer, BackendStatus), answer
        return await self.clients[target].promote(Term(term), "test")

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for server in self.servers:
            await server.close()
        await self.relay.close()
        shutil.rmtree(self._folder)


async def eventually(check, timeout_s: float = 5.0):
    """Return the first true result of an async check, or its last result at the timeout."""
    end = asyncio.get_running_loop().time() + timeout_s
    while True:
        value = await check()
        if value or asyncio.get_running_loop().time() > end:
            return value
        await asyncio.sleep(0.02)
