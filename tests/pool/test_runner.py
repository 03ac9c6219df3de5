import asyncio
import unittest

from hickorywind.admission.transactions import TransactionTable
from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import Incarnation
from hickorywind.pool.answers import AnswerStream
from hickorywind.pool.connectionpool import ConnectionPool
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.pool.requests import PoolRequest, RequestKey
from hickorywind.pool.runner import RequestRunner
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock, milliseconds
from tests.pool.harness import eventually, make_execute
from tests.pool.scriptedbackend import READY, ScriptedBackend, complete


class FakeConnection:
    transaction_state = TransactionState.IDLE
    is_broken = False
    position = None

    def __init__(self) -> None:
        self.sent_frames = []

    async def exchange(self, frames, prepared=()):
        self.sent_frames.extend(frames)
        return
        yield


class SlowConnectionPool:
    """Connection pool whose ``acquire`` advances the clock, as a stall of the process would."""

    def __init__(self, clock: ManualClock, stall_ms: float) -> None:
        self.clock = clock
        self.stall_ms = stall_ms
        self.connection = FakeConnection()
        self.released = []

    async def acquire(self):
        self.clock.advance(milliseconds(self.stall_ms))
        return self.connection

    def release(self, connection) -> None:
        self.released.append(connection)


class MonitorWithoutStatus:
    status = None


class RequestRunnerTest(unittest.IsolatedAsyncioTestCase):
    async def run_after_stall(self, stall_ms: float):
        clock = ManualClock()
        connections = SlowConnectionPool(clock, stall_ms)
        table = TransactionTable(TransactionLimits(), 9, 3)
        transactions = OpenTransactions(table, connections, clock)
        ended = asyncio.Event()
        sent_messages = []
        runner = RequestRunner(
            connections,
            transactions,
            MonitorWithoutStatus(),
            clock,
            free_slot=lambda request: None,
            remove_request=lambda request: ended.set(),
        )
        message = make_execute(1, Incarnation(1), "INSERT INTO t VALUES (1)")
        answer = AnswerStream(message.request_id, sent_messages.append)
        key = RequestKey(PeerId(b"p"), message.request_id)
        runner.start(PoolRequest.from_message(key, message, clock, answer))
        await asyncio.wait_for(ended.wait(), 5)
        self.assertEqual(connections.released, [connections.connection])
        return connections.connection, sent_messages[-1].result

    async def test_request_whose_deadline_passed_during_a_stall_is_not_sent(self) -> None:
        connection, result = await self.run_after_stall(10_000)
        self.assertEqual(connection.sent_frames, [])
        self.assertEqual(result.code, ResultCode.DEADLINE_PASSED)
        self.assertIs(result.outcome, Outcome.NOT_RUN)

    async def test_request_within_its_deadline_is_sent(self) -> None:
        connection, result = await self.run_after_stall(10)
        self.assertEqual(len(connection.sent_frames), 1)
        self.assertTrue(result.is_ok)


class CancelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        clock = ManualClock()
        self.backend = ScriptedBackend(self.leave_unanswered)
        await self.enterAsyncContext(self.backend)
        self.connections = ConnectionPool(self.backend.login, 2, clock)
        self.addCleanup(self.connections.close_all)
        table = TransactionTable(TransactionLimits(), 9, 3)
        self.ended = asyncio.Event()
        self.runner = RequestRunner(
            self.connections,
            OpenTransactions(table, self.connections, clock),
            MonitorWithoutStatus(),
            clock,
            free_slot=lambda request: None,
            remove_request=lambda request: self.ended.set(),
        )
        self.addAsyncCleanup(self.runner.close)
        message = make_execute(1, Incarnation(1), "SELECT 1")
        answer = AnswerStream(message.request_id, lambda message: None)
        key = RequestKey(PeerId(b"p"), message.request_id)
        self.request = PoolRequest.from_message(key, message, clock, answer)
        self.runner.start(self.request)
        await eventually(lambda: self.backend.queries)

    async def leave_unanswered(self, frame, writer) -> None:
        pass

    async def take_after_answer(self, stop) -> None:
        """Stop the request in the moment in which its answer arrives, then take a connection."""
        connection = self.request.connection
        connection._reader.feed_data(complete("SELECT 1") + READY)
        stop(self.request)
        await asyncio.wait_for(self.ended.wait(), 5)
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_cancel_of_a_request_that_just_ended_hits_no_other_session(self) -> None:
        await self.take_after_answer(self.runner.cancel)

    async def test_deadline_of_a_request_that_just_ended_hits_no_other_session(self) -> None:
        await self.take_after_answer(
            lambda request: self.runner.abandon(request, ResultCode.DEADLINE_PASSED)
        )
