import asyncio
import unittest

from hickorywind.admission.transactions import TransactionTable
from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import Incarnation
from hickorywind.pool.answers import Answer
from hickorywind.pool.jobs import Job, JobKey
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.pool.runner import Runner
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock, milliseconds
from tests.pool.harness import make_execute


class FakeConnection:
    state = TransactionState.IDLE
    broken = False
    position = None

    def __init__(self) -> None:
        self.written = []

    async def exchange(self, frames, prepared=()):
        self.written.extend(frames)
        return
        yield


class SlowConnections:
    """Lend a connection only after the process stood still."""

    def __init__(self, clock: ManualClock, pause_ms: float) -> None:
        self.clock = clock
        self.pause_ms = pause_ms
        self.connection = FakeConnection()
        self.released = []

    async def acquire(self):
        self.clock.advance(milliseconds(self.pause_ms))
        return self.connection

    def release(self, connection) -> None:
        self.released.append(connection)


class NoWatch:
    status = None


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    async def run_after_pause(self, pause_ms: float):
        clock = ManualClock()
        connections = SlowConnections(clock, pause_ms)
        table = TransactionTable(TransactionLimits(), 9, 3)
        transactions = OpenTransactions(table, connections, clock)
        ended = asyncio.Event()
        sent = []
        runner = Runner(
            connections,
            transactions,
            NoWatch(),
            clock,
            free_slot=lambda job: None,
            drop=lambda job: ended.set(),
        )
        message = make_execute(1, Incarnation(1), "INSERT INTO t VALUES (1)")
        answer = Answer(message.request_id, sent.append)
        key = JobKey(PeerId(b"p"), message.request_id)
        runner.start(Job.from_message(key, message, clock, answer))
        await asyncio.wait_for(ended.wait(), 5)
        self.assertEqual(connections.released, [connections.connection])
        return connections.connection, sent[-1].result

    async def test_request_whose_deadline_passed_during_a_pause_is_not_written(self) -> None:
        connection, result = await self.run_after_pause(10_000)
        self.assertEqual(connection.written, [])
        self.assertEqual(result.code, ResultCode.DEADLINE_PASSED)
        self.assertIs(result.outcome, Outcome.NOT_RUN)

    async def test_request_in_time_is_written(self) -> None:
        connection, result = await self.run_after_pause(10)
        self.assertEqual(len(connection.written), 1)
        self.assertTrue(result.is_ok)
