import asyncio
import unittest

from hickorywind.admission.commitconfirmation import Confirmed, PendingCommit, Unconfirmed
from hickorywind.groups.client import CallFailed
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, LogPosition, ServiceName, Term
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.util.clock import ManualClock, milliseconds

BACKEND = BackendId("b")


def at(offset: int, term: int = 1) -> LogPosition:
    return LogPosition(Term(term), offset)


class FakeControlClient:
    """Control client whose calls return when the test sets their results."""

    def __init__(self) -> None:
        self.calls: list[asyncio.Future] = []

    async def status(self):
        self.calls.append(asyncio.get_running_loop().create_future())
        return await self.calls[-1]

    async def wait_committed(self, position, timeout):
        return await self.status()

    def close(self) -> None:
        pass


def make_status(committed=None, received=None, term=1, silence_ms=0.0) -> BackendStatus:
    committed = committed or at(3)
    received = received or committed
    role = InstanceRole.PRIMARY
    names = (BACKEND, ServiceName("s"), role, Term(term), "")
    return BackendStatus(*names, received, committed, committed, silence_ms, False, 0, 20)


async def run_ready_tasks() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


class BackendMonitorTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.clients: list[FakeControlClient] = []
        self.monitor = BackendMonitor(BACKEND, self.connect, self.clock)
        self.status_calls = self.clients[0].calls

    def connect(self) -> FakeControlClient:
        self.clients.append(FakeControlClient())
        return self.clients[-1]

    async def asyncTearDown(self) -> None:
        await self.monitor.close()

    async def test_refresh_never_returns_a_status_requested_before_the_call(self) -> None:
        first = asyncio.create_task(self.monitor.refresh())
        await run_ready_tasks()
        others = [asyncio.create_task(self.monitor.refresh()) for _ in range(3)]
        await run_ready_tasks()
        self.status_calls[0].set_result(make_status(at(1)))
        await run_ready_tasks()
        self.assertTrue(first.done())
        self.assertFalse(any(other.done() for other in others))
        self.assertEqual(len(self.status_calls), 2)
        self.status_calls[1].set_result(make_status(at(2)))
        answers = [await other for other in others]
        self.assertEqual([answer.committed for answer in answers], [at(2)] * 3)

    async def test_close_ends_waiting_refreshes_with_none(self) -> None:
        waiting = [asyncio.create_task(self.monitor.refresh()) for _ in range(2)]
        await run_ready_tasks()
        await self.monitor.close()
        self.assertEqual([await task for task in waiting], [None, None])
        self.assertIsNone(await self.monitor.refresh())

    async def test_sample_is_dated_to_the_last_contact_with_a_majority(self) -> None:
        refreshing = asyncio.create_task(self.monitor.refresh())
        await run_ready_tasks()
        requested_at = self.clock.now()
        self.clock.advance(milliseconds(40))
        self.status_calls[0].set_result(make_status(at(3), silence_ms=250))
        await refreshing
        self.assertEqual(self.monitor.sample.taken_at, requested_at - milliseconds(250))
        self.assertEqual(self.monitor.sample.position, at(3))

    async def test_sample_of_a_new_primary_is_its_last_received_position(self) -> None:
        refreshing = asyncio.create_task(self.monitor.refresh())
        await run_ready_tasks()
        self.status_calls[0].set_result(make_status(at(3, 1), at(9, 2), term=2))
        await refreshing
        self.assertEqual(self.monitor.sample.position, at(9, 2))

    async def test_failed_proof_call_is_retried(self) -> None:
        deadline = self.clock.now() + milliseconds(5_000)
        pending_commit = PendingCommit("k", at(5), Term(1), deadline)
        proving = asyncio.create_task(self.monitor.wait_for_commit(pending_commit))
        calls = self.clients[1].calls
        await run_ready_tasks()
        calls[0].set_result(CallFailed("lost"))
        while len(calls) < 2:
            await asyncio.sleep(0.005)
        calls[1].set_result(make_status(at(5)))
        self.assertEqual(await proving, Confirmed("k"))

    async def test_status_of_a_newer_term_ends_a_pending_proof(self) -> None:
        deadline = self.clock.now() + milliseconds(5_000)
        proving = asyncio.create_task(
            self.monitor.wait_for_commit(PendingCommit("k", at(5), Term(1), deadline))
        )
        await run_ready_tasks()
        refreshing = asyncio.create_task(self.monitor.refresh())
        await run_ready_tasks()
        self.status_calls[0].set_result(make_status(at(9, 2), term=2))
        await refreshing
        self.assertIsInstance(await proving, Unconfirmed)
