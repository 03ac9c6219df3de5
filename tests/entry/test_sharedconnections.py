"""Sessions that share few connections under faults; each answer is compared with what was sent."""

import asyncio
import random

from pygwire.messages import NoticeResponse, ParameterStatus

from hickorywind.pool.backendconnection import (
    BackendConnection,
    ConnectionFailedError,
    Login,
    error_field,
)
from hickorywind.pool.frontend import query
from hickorywind.postgres.frames import FrameSplitter
from standins.backend.responsewriter import error_response
from standins.backend.server import BackendServer
from tests.entry.test_wholepath import WholePathTestCase
from tests.pool import extended
from tests.pool.harness import SERVICE

STEPS = 25
CALLERS = 8
SEEDS = (1, 2)
UNKNOWN_STATEMENT = "26000"
CANCELLED = "cancelled"


async def disturb(servers: list[BackendServer], rng: random.Random) -> None:
    """Close connections, and send on them what a server may send at any time."""
    notice = NoticeResponse(fields={"S": "NOTICE", "V": "NOTICE", "C": "00000", "M": "m"})
    while True:
        await asyncio.sleep(rng.random() * 0.05)
        sessions = [session for server in servers for session in server.instance.sessions.values()]
        callers = [session for session in sessions if not session.is_control]
        if not callers:
            continue
        writer = rng.choice(callers).responses._writer
        match rng.randrange(4):
            case 0:
                writer.transport.abort()
            case 1:
                writer.write(error_response("FATAL", "57P01", "shutting down").to_wire())
                writer.close()
            case 2:
                writer.write(notice.to_wire())
            case 3:
                writer.write(ParameterStatus(name="TimeZone", value="UTC").to_wire())


class Caller:
    """Caller that draws its next action and knows what each of its statements has to return."""

    def __init__(self, number: int, seed: int, login: Login, may_be_written: set[int]) -> None:
        self.number = number
        self.login = login
        self.rng = random.Random(f"{seed}/{number}")
        self.may_be_written = may_be_written
        self.serial = 0
        self.wrong: list[tuple] = []

    async def connect(self) -> None:
        self.connection = await BackendConnection.open(self.login)
        self.names: dict[str, str] = {}

    async def send(self, *parts: bytes) -> tuple[str | None, list[str]]:
        """Send a batch; return its error, if any, and the first column of its rows.

        The error is the SQLSTATE, or CANCELLED for a cancellation by the backend server itself.
        """
        frames = list(FrameSplitter(1 << 20).feed(b"".join(parts)))
        async with asyncio.timeout(30):
            exchange = self.connection.exchange(frames)
            replies = [reply async for part in exchange for reply in part]
        errors = [frame for frame in replies if frame.kind == b"E"]
        rows = [bytes(frame.payload)[6:].decode() for frame in replies if frame.kind == b"D"]
        if not errors:
            return None, rows
        is_cancelled = error_field(errors[0], b"M").startswith("canceling statement")
        return CANCELLED if is_cancelled else error_field(errors[0], b"C"), rows

    def new_id(self) -> int:
        self.serial += 1
        return self.number * 1_000 + self.serial

    def expect(self, is_right: bool, *found: object) -> None:
        if not is_right:
            self.wrong.append((self.number, self.serial, *found))

    async def run(self) -> None:
        await self.connect()
        actions = (self.prepare, self.execute, self.fail, self.set_timeout, self.transact)
        for _ in range(STEPS):
            try:
                await self.rng.choice((*actions, self.execute, self.cancel, self.vanish))()
            except ConnectionFailedError as error:
                self.wrong.append((self.number, self.serial, repr(error)))
                await self.connect()
        self.connection.abort()

    async def prepare(self) -> None:
        name, value = self.rng.choice("ab"), str(self.new_id())
        code, _ = await self.send(extended.parse(name, f"SELECT '{value}'"), extended.SYNC)
        if code is None:
            self.names[name] = value

    async def execute(self, may_be_cancelled: bool = False) -> None:
        name = self.rng.choice("ab")
        error, rows = await self.send(extended.bind(name), extended.execute(), extended.SYNC)
        if name not in self.names:
            self.expect(error == UNKNOWN_STATEMENT, "unknown name", name, error, rows)
        elif error is None:
            self.expect(rows == [self.names[name]], "row", name, self.names[name], rows)
        else:
            is_foreign = error == UNKNOWN_STATEMENT or error == CANCELLED and not may_be_cancelled
            self.expect(not is_foreign, "error", name, error)

    async def cancel(self) -> None:
        running = asyncio.ensure_future(self.execute(may_be_cancelled=True))
        await asyncio.sleep(self.rng.random() * 0.01)
        await self.connection.cancel_running()
        await running

    async def fail(self) -> None:
        name = self.rng.choice("ab")
        failing = extended.parse("z", "SELECT 1 / 0") + extended.bind("z") + extended.execute()
        setting = extended.parse("s", "SET hickorywind.timeout_ms = 77") + extended.bind("s")
        skipped = extended.close(name) + extended.parse(name, "SELECT 'skipped'")
        await self.send(failing, setting, extended.execute(), skipped, extended.SYNC)

    async def set_timeout(self) -> None:
        value = str(self.rng.randint(20_000, 30_000))
        await self.send(query(f"SET hickorywind.timeout_ms = {value}"))
        await self.fail()
        _, rows = await self.send(query("SHOW hickorywind.timeout_ms"))
        self.expect(rows == [value], "setting", value, rows)

    async def transact(self) -> None:
        number = self.new_id()
        error, _ = await self.send(query("BEGIN"))
        if error is None:
            await self.send(query(f"INSERT INTO t VALUES ({number}, 'x')"))
            is_committed = self.rng.random() < 0.5
            if is_committed:
                self.may_be_written.add(number)
            await self.send(query("COMMIT" if is_committed else "ROLLBACK"))

    async def vanish(self) -> None:
        text = f"BEGIN; INSERT INTO t VALUES ({self.new_id()}, 'x')"
        running = asyncio.ensure_future(self.send(query(text)))
        await asyncio.sleep(self.rng.random() * 0.01)
        self.connection.abort()
        await asyncio.gather(running, return_exceptions=True)
        await self.connect()


class SharedConnectionsTest(WholePathTestCase):
    pool_options = {"statement_time_ms": 4, "limits": {"idle_timeout_ms": 60_000}}

    async def test_faults_of_connections_give_no_session_what_another_one_sent(self):
        may_be_written: set[int] = set()
        login = Login(self.address, "crew", SERVICE)
        for seed in SEEDS:
            callers = [
                Caller(seed * CALLERS + number, seed, login, may_be_written)
                for number in range(CALLERS)
            ]
            disturbing = asyncio.create_task(disturb(self.pool.group.servers, random.Random(seed)))
            await asyncio.gather(*(caller.run() for caller in callers))
            disturbing.cancel()
            wrong = [item for caller in callers for item in caller.wrong]
            self.assertEqual(wrong, [], f"seed {seed}")
        reader = await self.connect(timeout_ms="60000")
        found = await self.rows(reader, "SELECT a FROM t")
        self.assertLessEqual({number for (number,) in found}, may_be_written)
