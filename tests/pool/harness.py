"""Test harness: a pool in this process, stand-in backend servers, and an entry stub."""

from __future__ import annotations

import asyncio
import itertools
import random
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta
from pathlib import Path

from msgspec.structs import replace

from hickorywind.configuration.model import (
    Configuration,
    Instance,
    Limits,
    RankPolicy,
    Service,
    TransactionLimits,
    Zone,
)
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.groups.client import GroupClient
from hickorywind.ids import (
    AccessMode,
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Rank,
    Region,
    RequestId,
    Revision,
    ServiceName,
    SessionId,
    Term,
)
from hickorywind.membership.directory import Directory
from hickorywind.pool import frontend
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.dispatch import Dispatcher
from hickorywind.pool.workerregistry import WorkerRegistry
from hickorywind.postgres.frames import FrameSplitter
from hickorywind.protocol.channel import Link, Listener
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    AnswerPart,
    CancelResult,
    EntryHeartbeat,
    Execute,
    PoolHeartbeat,
    Refused,
)
from hickorywind.protocol.records import ConfigHeadRecord, ConfigRecord, GroupRecord
from hickorywind.results import Outcome
from hickorywind.util.clock import Instant, MonotonicClock
from standins.backend.server import BackendServer
from standins.backend.settings import BackendSettings, Peer
from tests.ports import free_port

SERVICE = ServiceName("dispatch")
HOST = HostId("pool-1")
_CLOSE_DELAY_SECONDS = 0.05


def connect_control(address: Address) -> GroupClient:
    return GroupClient(address, timedelta(seconds=1))


def connect_control_of_same_process(address: Address) -> GroupClient:
    # Longer than the test process may be without processor time.
    return GroupClient(address, timedelta(seconds=5))


class BackendGroup:
    """Stand-in backend servers of one database group."""

    def __init__(self, count: int, folder: Path, **settings) -> None:
        ports = [(free_port(), free_port()) for _ in range(count)]
        self.backends = [BackendId(f"b{index}") for index in range(count)]
        self.addresses = [Address("127.0.0.1", port) for port, _ in ports]
        peers = tuple(
            Peer(backend, f"127.0.0.1:{port}")
            for backend, (_, port) in zip(self.backends, ports, strict=True)
        )
        self.servers = []
        for index, (port, replication) in enumerate(ports):
            config = BackendSettings(
                backend=self.backends[index],
                service=SERVICE,
                listen=f"127.0.0.1:{port}",
                replication_listen=f"127.0.0.1:{replication}",
                peers=peers,
                connect_time_ms=1,
                initial_primary=index == 0,
                **settings,
            )
            path = folder / self.backends[index]
            path.mkdir()
            self.servers.append(BackendServer(config, path))

    async def start(self) -> None:
        for server in self.servers:
            await server.start()

    async def close(self) -> None:
        await asyncio.sleep(_CLOSE_DELAY_SECONDS)
        for server in self.servers:
            await server.close()


DEFAULT_RANKS = (
    RankPolicy(Rank.URGENT, 50),
    RankPolicy(Rank.STANDARD, 30),
    RankPolicy(Rank.BACKGROUND, 10),
)


def make_service(group: BackendGroup, slots=3, connections=20, **limits) -> Service:
    instances = tuple(
        Instance(backend, AvailabilityZone("z"), str(address), slots, connections)
        for backend, address in zip(group.backends, group.addresses, strict=True)
    )
    return Service(SERVICE, instances, DEFAULT_RANKS, transactions=TransactionLimits(**limits))


def make_directory(service: Service) -> Directory:
    directory = Directory()
    apply_configuration(directory, service, revision=1)
    directory.merge((GroupRecord(SERVICE, Term(1), service.instances[0].backend),))
    return directory


def apply_configuration(directory: Directory, service: Service, revision: int) -> None:
    zone = Zone(AvailabilityZone("z"), Region("r"))
    sections = split_sections(Configuration("test", (zone,), (service,), Limits()))
    directory.merge(
        ConfigRecord(section, Revision(revision), document)
        for section, document in sections.items()
    )
    directory.merge((ConfigHeadRecord(Revision(revision), digest_sections(sections)),))


def make_execute(number: int, incarnation: Incarnation, sql: str | bytes, **fields) -> Execute:
    frames = frontend.query(sql) if isinstance(sql, str) else sql
    defaults = {
        "request_id": RequestId(number),
        "pool_incarnation": incarnation,
        "session_id": SessionId("s1"),
        "service": SERVICE,
        "backend": BackendId("b0"),
        "rank": Rank.STANDARD,
        "mode": AccessMode.WRITE,
        "remaining_ms": 3_000,
        "frames": frames,
    }
    return Execute(**(defaults | fields))


class EntryStub:
    """Client that sends messages to a pool and receives its answers as an entry does."""

    def __init__(self, address: Address, host: str = "entry-1") -> None:
        self.link = Link(address)
        self.heartbeat = EntryHeartbeat(HostId(host), Incarnation(7))
        self.incarnation: Incarnation | None = None
        self.inboxes: dict[int, asyncio.Queue] = {}
        self.refused: list[Refused] = []
        self.sends_heartbeats = True
        self.pool_is_draining = False
        self.confirms_drain = True
        self._ids = itertools.count(1)
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        self._tasks = [
            asyncio.create_task(self._receive()),
            asyncio.create_task(self._send_heartbeats()),
        ]
        async with asyncio.timeout(10):
            while self.incarnation is None:
                await asyncio.sleep(0.01)

    async def _send_heartbeats(self) -> None:
        while True:
            if self.sends_heartbeats:
                await self.link.send(self.heartbeat)
            await asyncio.sleep(0.05 if self.incarnation is None else 0.5)

    async def _receive(self) -> None:
        while True:
            message = await self.link.receive()
            match message:
                case PoolHeartbeat():
                    self.incarnation = message.incarnation
                    self.pool_is_draining = message.draining
                    if message.drain_step and self.confirms_drain:
                        await self.link.send(replace(self.heartbeat, drain_step=message.drain_step))
                case Refused():
                    self.refused.append(message)
                case AnswerPart() | AnswerEnd() | CancelResult():
                    self.inbox(message.request_id).put_nowait(message)

    def inbox(self, request_id: int) -> asyncio.Queue:
        return self.inboxes.setdefault(request_id, asyncio.Queue())

    def make_request(self, sql: str | bytes, **fields) -> Execute:
        return make_execute(next(self._ids), self.incarnation, sql, **fields)

    async def collect(self, request_id: int, credit: bool = True) -> CollectedAnswer:
        answer = CollectedAnswer()
        inbox = self.inbox(request_id)
        while True:
            async with asyncio.timeout(10):
                message = await inbox.get()
            match message:
                case AnswerPart():
                    answer.parts.append(message)
                    if credit:
                        await self.link.send(AnswerCredit(request_id, len(message.frames)))
                case AnswerEnd():
                    answer.end = message
                    return answer

    async def run(self, sql: str | bytes, **fields) -> CollectedAnswer:
        message = self.make_request(sql, **fields)
        await self.link.send(message)
        return await self.collect(message.request_id)

    async def set_up(self, sql: str, **fields) -> CollectedAnswer:
        """Run a statement that a test builds on; raise ``AssertionError`` if it fails.

        A refusal that proves that it did not run is repeated: on a slow machine the pool may not
        have found the primary yet, or refuses for a while because its process was stalled.
        """
        async with asyncio.timeout(10):
            while True:
                answer = await self.run(sql, remaining_ms=10_000, **fields)
                if answer.result.is_ok and "E" not in answer.kinds:
                    return answer
                if answer.result.is_ok or answer.result.outcome is not Outcome.NOT_RUN:
                    raise AssertionError(f"set-up failed: {answer.result} {answer.kinds!r}")
                await asyncio.sleep(0.05)

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.link.close()


class CollectedAnswer:
    """Parts and end of an answer that the entry stub received."""

    def __init__(self) -> None:
        self.parts: list[AnswerPart] = []
        self.end: AnswerEnd | None = None

    @property
    def result(self):
        return self.end.result

    @property
    def frames(self):
        splitter = FrameSplitter(1 << 30)
        return list(splitter.feed(b"".join(part.frames for part in self.parts)))

    @property
    def kinds(self) -> str:
        return "".join(frame.kind.decode() for frame in self.frames)

    @property
    def rows(self) -> list[str]:
        """Return the first column of each row as text."""
        texts = []
        for frame in self.frames:
            if frame.kind == b"D":
                length = int.from_bytes(frame.payload[2:6], "big")
                texts.append(bytes(frame.payload[6 : 6 + length]).decode())
        return texts


async def eventually(condition) -> None:
    """Wait until ``condition()`` returns true; raise ``TimeoutError`` after 10 s."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.01)


class UninterruptedClock:
    """Monotonic clock that leaves out the time in which the test process did not run."""

    max_step = timedelta(milliseconds=250)

    def __init__(self) -> None:
        self._clock = MonotonicClock()
        self._read_at = self._now = self._clock.now()

    def now(self) -> Instant:
        read_at = self._clock.now()
        self._now += min(read_at - self._read_at, self.max_step)
        self._read_at = read_at
        return self._now


class PoolUnderTest:
    """Pool that runs in this process, with its listener, dispatcher and workers."""

    def __init__(
        self, group: BackendGroup, directory: Directory, connect=connect_control, clock=None
    ) -> None:
        self.group = group
        self.directory = directory
        self.address = Address("127.0.0.1", free_port())
        clock = clock or UninterruptedClock()
        self.registry = WorkerRegistry(
            HOST,
            directory,
            lambda service, address: Login(address, "app", service),
            connect,
            clock,
            random.Random(1),
        )
        self.listener = Listener(self.address)
        self.dispatcher = Dispatcher(HOST, Incarnation(11), self.listener, self.registry, clock)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.dispatcher.run())
            tasks.create_task(self._reconcile_loop())

    async def _reconcile_loop(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.registry.reconcile()

    async def close(self) -> None:
        self._task.cancel()
        (outcome,) = await asyncio.gather(self._task, return_exceptions=True)
        if not isinstance(outcome, asyncio.CancelledError):
            raise AssertionError("the dispatcher ended") from outcome
        await self.registry.close()
        self.listener.close()


@asynccontextmanager
async def running_pool(
    count=1,
    connect=connect_control_of_same_process,
    limits=None,
    slots=3,
    clock=None,
    **settings,
):
    """Start a database group, a pool and an entry stub; yield the pool and the entry stub."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        group = BackendGroup(count, Path(folder), **settings)
        await group.start()
        stack.push_async_callback(group.close)
        directory = make_directory(make_service(group, slots=slots, **(limits or {})))
        pool = PoolUnderTest(group, directory, connect, clock)
        await pool.start()
        stack.push_async_callback(pool.close)
        entry = EntryStub(pool.address)
        await entry.start()
        stack.push_async_callback(entry.close)
        yield pool, entry
