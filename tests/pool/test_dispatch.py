import asyncio
import unittest

from msgspec.structs import replace

from hickorywind.configuration.model import Service
from hickorywind.ids import (
    AccessMode,
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    SessionId,
    Term,
)
from hickorywind.pool.dispatch import Dispatcher, unknown_backend_refusal
from hickorywind.protocol.channel import PeerId, ReceivedMessage
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    Cancel,
    CancelResult,
    EntryHeartbeat,
    TransactionState,
)
from hickorywind.protocol.records import GroupRecord, MemberRecord, MemberState
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock, milliseconds
from tests.pool.harness import (
    HOST,
    SERVICE,
    apply_configuration,
    eventually,
    make_execute,
    make_service,
    running_pool,
)

TABLE = "CREATE TABLE t (id int primary key, v text)"


class ExecuteTest(unittest.IsolatedAsyncioTestCase):
    async def test_simple_queries_get_their_answers_and_positions(self) -> None:
        async with running_pool() as (_, entry):
            created = await entry.run(TABLE)
            self.assertEqual(created.result.code, ResultCode.OK)
            inserted = await entry.run("INSERT INTO t VALUES (1, 'a')")
            self.assertEqual(inserted.kinds, "CZ")
            read = await entry.run("SELECT v FROM t")
            self.assertEqual((read.kinds, read.rows), ("TDCZ", ["a"]))
            self.assertTrue(read.end.position.contains(inserted.end.position))
            self.assertIs(read.end.transaction_state, TransactionState.IDLE)

    async def test_request_for_another_incarnation_is_not_run(self) -> None:
        async with running_pool() as (_, entry):
            refused = await entry.run(TABLE, pool_incarnation=Incarnation(3))
            self.assertEqual(refused.result.code, ResultCode.WRONG_INCARNATION)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
            self.assertTrue((await entry.run(TABLE)).result.is_ok)
            self.assertEqual((await entry.run(TABLE)).kinds, "EZ")

    async def test_duplicate_request_is_not_run(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            message = entry.make_request("INSERT INTO t VALUES (1, 'a')")
            await entry.link.send(message)
            await entry.link.send(message)
            self.assertEqual((await entry.collect(message.request_id)).kinds, "CZ")
            await entry.link.send(message)
            await asyncio.sleep(0.1)
            codes = [refused.result.code for refused in entry.refused]
            self.assertEqual(codes, [ResultCode.DUPLICATE_REQUEST] * 2)
            self.assertTrue(entry.inbox(message.request_id).empty())

    async def test_cancel_received_before_its_request_stops_it(self) -> None:
        async with running_pool() as (_, entry):
            message = entry.make_request(TABLE)
            await entry.link.send(Cancel(message.request_id))
            cancelled = await entry.inbox(message.request_id).get()
            self.assertIsInstance(cancelled, CancelResult)
            self.assertIs(cancelled.result.outcome, Outcome.NOT_RUN)
            await entry.link.send(message)
            answer = await entry.collect(message.request_id)
            self.assertEqual(answer.result.code, ResultCode.CANCELLED)
            self.assertEqual((await entry.run(TABLE)).kinds, "CZ")

    async def test_request_with_an_old_term_is_not_run(self) -> None:
        async with running_pool() as (pool, entry):
            pool.directory.merge((GroupRecord(SERVICE, Term(4), BackendId("b0")),))
            refused = await entry.run(TABLE, expected_term=Term(3))
            self.assertEqual(refused.result.code, ResultCode.STALE_TERM)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)

    async def test_write_to_a_replica_is_not_run(self) -> None:
        async with running_pool(count=3) as (_, entry):
            refused = await entry.run(TABLE, backend=BackendId("b1"))
            self.assertEqual(refused.result.code, ResultCode.NO_PRIMARY)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)

    async def test_pool_that_is_not_home_refuses_requests(self) -> None:
        async with running_pool() as (pool, entry):
            other = MemberRecord(
                HostId("elsewhere"),
                AvailabilityZone("z"),
                Incarnation(1),
                MemberState.ALIVE,
                Address("127.0.0.1", 1),
                Address("127.0.0.1", 2),
            )
            pool.directory.merge((other,))
            refused = await entry.run("SELECT 1")
            self.assertEqual(refused.result.code, ResultCode.NOT_HOME)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)

    async def test_draining_pool_finishes_transactions_but_takes_no_new_work(self) -> None:
        async with running_pool() as (pool, entry):
            key = (await entry.run("BEGIN")).end.transaction_id
            pool.dispatcher.advance_drain()
            refused = await entry.run("SELECT 1", session_id=SessionId("s2"))
            self.assertEqual(refused.result.code, ResultCode.DRAINING)
            self.assertFalse(pool.registry.all_idle)
            self.assertTrue((await entry.run("COMMIT", transaction_id=key)).result.is_ok)
            await eventually(lambda: pool.registry.all_idle)

    async def test_request_to_a_stopped_backend_server_is_not_run(self) -> None:
        async with running_pool() as (pool, entry):
            await pool.group.servers[0].close()
            answer = await entry.run("SELECT 1")
            self.assertEqual(answer.result.code, ResultCode.BACKEND_UNREACHABLE)
            self.assertIs(answer.result.outcome, Outcome.NOT_RUN)

    async def test_connection_lost_while_a_write_runs_is_unknown(self) -> None:
        async with running_pool(statement_time_ms=3_000) as (pool, entry):
            write = entry.make_request(TABLE, remaining_ms=5_000)
            await entry.link.send(write)
            sessions = pool.group.servers[0].instance.sessions
            await eventually(lambda: any(session.holds_write_lock for session in sessions.values()))
            for session in list(sessions.values()):
                if not session.is_control:
                    session.abort()
            answer = await entry.collect(write.request_id)
            self.assertEqual(answer.result.code, ResultCode.CONNECTION_LOST)
            self.assertIs(answer.result.outcome, Outcome.UNKNOWN)
            self.assertFalse(answer.result.retry_allowed)


class AnswerStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_answer_waits_for_credit_and_arrives_whole(self) -> None:
        async with running_pool() as (_, entry):
            await entry.run("CREATE TABLE big (id int primary key, v text)")
            for index in range(40):
                await entry.run(f"INSERT INTO big VALUES ({index}, '{'x' * 60_000}')")
            message = entry.make_request("SELECT v FROM big", mode=AccessMode.READ)
            await entry.link.send(message)
            await asyncio.sleep(0.3)
            inbox = entry.inbox(message.request_id)
            sent = sum(len(inbox.get_nowait().frames) for _ in range(inbox.qsize()))
            self.assertLess(sent, 1_048_576 + 2 * 65_536)
            await entry.link.send(AnswerCredit(message.request_id, 10_000_000))
            rest = await entry.collect(message.request_id)
            received = sent + sum(len(part.frames) for part in rest.parts)
            self.assertGreater(received, 40 * 60_000)
            self.assertTrue(rest.result.is_ok)
            self.assertTrue(all(len(part.frames) <= 65_536 for part in rest.parts))
            self.assertEqual(rest.parts[-1].sequence + 1, rest.end.part_count)


class CancelTest(unittest.IsolatedAsyncioTestCase):
    async def test_running_request_is_cancelled_at_the_backend_server(self) -> None:
        async with running_pool(statement_time_ms=2_000) as (_, entry):
            message = entry.make_request("SELECT 1", mode=AccessMode.READ)
            await entry.link.send(message)
            await asyncio.sleep(0.2)
            await entry.link.send(Cancel(message.request_id))
            cancelled = await entry.inbox(message.request_id).get()
            self.assertIs(cancelled.result.outcome, Outcome.UNKNOWN)
            answer = await entry.collect(message.request_id)
            self.assertEqual(answer.kinds, "EZ")

    async def test_queued_request_is_cancelled_as_not_run(self) -> None:
        async with running_pool(slots=1, statement_time_ms=300) as (_, entry):
            first = entry.make_request("SELECT 1", mode=AccessMode.READ)
            second = entry.make_request(TABLE)
            await entry.link.send(first)
            await asyncio.sleep(0.05)
            await entry.link.send(second)
            await entry.link.send(Cancel(second.request_id))
            answer = await entry.collect(second.request_id)
            self.assertIs(answer.result.outcome, Outcome.NOT_RUN)
            self.assertTrue((await entry.collect(first.request_id)).result.is_ok)
            self.assertTrue((await entry.run(TABLE)).result.is_ok)

    async def test_running_request_is_answered_at_its_deadline(self) -> None:
        async with running_pool(statement_time_ms=5_000) as (pool, entry):
            loop = asyncio.get_running_loop()
            started = loop.time()
            answer = await entry.run(TABLE, remaining_ms=200)
            self.assertLess(loop.time() - started, 0.5)
            self.assertEqual(answer.result.code, ResultCode.DEADLINE_PASSED)
            self.assertIs(answer.result.outcome, Outcome.UNKNOWN)
            await asyncio.sleep(0.2)
            self.assertEqual(pool.registry.workers()[0].busy_slots, 0)


class FakeWorkerRegistry:
    def __init__(self) -> None:
        self.requested = []

    def worker_for(self, message):
        self.requested.append(message.request_id)
        return unknown_backend_refusal(message)

    def workers(self):
        return ()


class StalledPoolTest(unittest.TestCase):
    def test_requests_received_after_a_stall_are_not_run(self) -> None:
        clock = ManualClock()
        registry = FakeWorkerRegistry()
        dispatcher = Dispatcher(HOST, Incarnation(1), None, registry, clock)
        message = make_execute(1, Incarnation(1), TABLE)
        clock.advance(milliseconds(3_000))
        dispatcher.receive(ReceivedMessage(PeerId(b"p"), message))
        self.assertEqual(registry.requested, [])
        _, answer = dispatcher.pop_outgoing()
        self.assertIsInstance(answer, AnswerEnd)
        self.assertIs(answer.result.outcome, Outcome.NOT_RUN)

    def test_reconnected_entry_keeps_its_id(self) -> None:
        clock = ManualClock()
        dispatcher = Dispatcher(HOST, Incarnation(1), None, FakeWorkerRegistry(), clock)
        for peer in (b"one", b"two"):
            heartbeat = EntryHeartbeat(HostId("e"), Incarnation(5))
            dispatcher.receive(ReceivedMessage(PeerId(peer), heartbeat))
        self.assertEqual(dispatcher.entries.record_activity(PeerId(b"two"), clock.now()), b"one")
        self.assertEqual(dispatcher.entries.peer_of(PeerId(b"one")), b"two")


class ReconfigurationTest(unittest.IsolatedAsyncioTestCase):
    async def test_new_limits_apply_without_a_restart(self) -> None:
        async with running_pool(limits={"open_limit": 1}) as (pool, entry):
            await entry.set_up("BEGIN")
            refused = await entry.run("BEGIN")
            self.assertEqual(refused.result.code, ResultCode.TOO_MANY_TRANSACTIONS)
            apply_configuration(pool.directory, make_service(pool.group, open_limit=4), revision=2)
            self.assertTrue((await entry.run("SELECT 1")).result.is_ok)
            self.assertTrue((await entry.run("BEGIN")).result.is_ok)
            self.assertEqual(len(pool.registry.workers()), 1)

    async def test_open_transaction_finishes_at_the_former_address(self) -> None:
        async with running_pool(count=2) as (pool, entry):
            await entry.set_up(TABLE)
            key = (await entry.set_up("BEGIN")).end.transaction_id
            await entry.set_up("INSERT INTO t VALUES (1, 'a')", transaction_id=key)
            apply_configuration(
                pool.directory, swap_addresses(make_service(pool.group)), revision=2
            )
            read = await entry.run("SELECT 1", mode=AccessMode.READ)
            self.assertTrue(read.result.is_ok)
            self.assertEqual(len(pool.registry.workers()), 2)
            self.assertTrue((await entry.run("COMMIT", transaction_id=key)).result.is_ok)
            await eventually(lambda: len(pool.registry.workers()) == 1)


def swap_addresses(service: Service) -> Service:
    first, second = service.instances
    swapped = (
        replace(first, address=second.address),
        replace(second, address=first.address),
    )
    return replace(service, instances=swapped)
