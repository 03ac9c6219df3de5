import asyncio
import unittest

from hickorywind.admission.commitconfirmation import Confirmed, PendingCommit, Unconfirmed
from hickorywind.groups.client import CallFailed
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, LogPosition, ServiceName, Term
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.util.clock import ManualClock, milliseconds

BACKEND = BackendId("b")


def at(offset: int, term: int = 1) -> LogPosition:
    return LogPosition(Term(term), offset)


class FakeControl:
    """Answer control calls when the test says so."""

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


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


class GroupWatchTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.clock = ManualClock()
        self.controls: list[FakeControl] = []
        self.watch = GroupWatch(BACKEND, self.connect, self.clock)
        self.status_calls = self.controls[0].calls

    def connect(self) -> FakeControl:
        self.controls.append(FakeControl())
        return self.controls[-1]

    async def asyncTearDown(self) -> None:
        await self.watch.close()

    async def test_refresh_never_takes_an_answer_asked_for_earlier(self) -> None:
        first = asyncio.create_task(self.watch.refresh())
        await settle()
        others = [asyncio.create_task(self.watch.refresh()) for _ in range(3)]
        await settle()
        self.status_calls[0].set_result(make_status(at(1)))
        await settle()
        self.assertTrue(first.done())
        self.assertFalse(any(other.done() for other in others))
        self.assertEqual(len(self.status_calls), 2)
        self.status_calls[1].set_result(make_status(at(2)))
        answers = [await other for other in others]
        self.assertEqual([answer.committed for answer in answers], [at(2)] * 3)

    async def test_closing_answers_those_who_wait(self) -> None:
        waiting = [asyncio.create_task(self.watch.refresh()) for _ in range(2)]
        await settle()
        await self.watch.close()
        self.assertEqual([await task for task in waiting], [None, None])
        self.assertIsNone(await self.watch.refresh())

    async def test_sample_counts_from_the_last_sign_of_a_majority(self) -> None:
        refreshing = asyncio.create_task(self.watch.refresh())
        await settle()
        asked = self.clock.now()
        self.clock.advance(milliseconds(40))
        self.status_calls[0].set_result(make_status(at(3), silence_ms=250))
        await refreshing
        self.assertEqual(self.watch.sample.taken_at, asked - milliseconds(250))
        self.assertEqual(self.watch.sample.position, at(3))

    async def test_sample_of_a_new_primary_is_the_end_of_its_log(self) -> None:
        refreshing = asyncio.create_task(self.watch.refresh())
        await settle()
        self.status_calls[0].set_result(make_status(at(3, 1), at(9, 2), term=2))
        await refreshing
        self.assertEqual(self.watch.sample.position, at(9, 2))

    async def test_failed_proof_calls_are_repeated_until_the_deadline(self) -> None:
        deadline = self.clock.now() + milliseconds(5_000)
        ticket = PendingCommit("k", at(5), Term(1), deadline)
        proving = asyncio.create_task(self.watch.prove(ticket))
        calls = self.controls[1].calls
        await settle()
        calls[0].set_result(CallFailed("lost"))
        while len(calls) < 2:
            await asyncio.sleep(0.005)
        calls[1].set_result(make_status(at(5)))
        self.assertEqual(await proving, Confirmed("k"))

    async def test_status_of_another_term_ends_a_proof_at_once(self) -> None:
        deadline = self.clock.now() + milliseconds(5_000)
        proving = asyncio.create_task(
            self.watch.prove(PendingCommit("k", at(5), Term(1), deadline))
        )
        await settle()
        refreshing = asyncio.create_task(self.watch.refresh())
        await settle()
        self.status_calls[0].set_result(make_status(at(9, 2), term=2))
        await refreshing
        self.assertIsInstance(await proving, Unconfirmed)
