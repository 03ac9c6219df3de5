import asyncio
import unittest

from hickorywind.ids import BackendId, SessionId, TransactionId
from hickorywind.protocol.messages import EndTransaction, TransactionState
from hickorywind.results import Outcome, ResultCode
from tests.pool import extended
from tests.pool.harness import EntryStub, eventually, running_pool

TABLE = "CREATE TABLE t (id int primary key, v text)"


class TransactionTest(unittest.IsolatedAsyncioTestCase):
    async def test_batches_of_a_transaction_share_an_exclusive_connection(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            first = await entry.run("BEGIN")
            self.assertIs(first.end.transaction_state, TransactionState.ACTIVE)
            key = first.end.transaction_id
            await entry.run("INSERT INTO t VALUES (1, 'mine')", transaction_id=key)
            others = await entry.run("SELECT count(*) FROM t", session_id=SessionId("s2"))
            self.assertEqual(others.rows, ["0"])
            done = await entry.run("COMMIT", transaction_id=key)
            self.assertIs(done.end.transaction_state, TransactionState.IDLE)
            self.assertIsNone(done.end.transaction_id)
            after = await entry.run("SELECT v FROM t")
            self.assertEqual(after.rows, ["mine"])

    async def test_batch_of_another_session_is_not_run_in_the_transaction(self) -> None:
        async with running_pool() as (_, entry):
            key = (await entry.run("BEGIN")).end.transaction_id
            other = await entry.run(
                "SELECT 1", transaction_id=key, session_id=SessionId("stranger")
            )
            self.assertEqual(other.result.code, ResultCode.TRANSACTION_LOST)
            self.assertIs(other.result.outcome, Outcome.NOT_RUN)

    async def test_failed_transaction_reports_its_state_until_rolled_back(self) -> None:
        async with running_pool() as (_, entry):
            key = (await entry.run("BEGIN")).end.transaction_id
            failed = await entry.run("SELECT * FROM missing", transaction_id=key)
            self.assertIs(failed.end.transaction_state, TransactionState.FAILED)
            self.assertEqual(failed.kinds, "EZ")
            ended = await entry.run("ROLLBACK", transaction_id=key)
            self.assertIs(ended.end.transaction_state, TransactionState.IDLE)

    async def test_end_transaction_rolls_back_and_frees_the_lock(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            key = (await entry.run("BEGIN")).end.transaction_id
            await entry.run("INSERT INTO t VALUES (1, 'lost')", transaction_id=key)
            await entry.link.send(EndTransaction(key))
            inserted = await entry.run("INSERT INTO t VALUES (1, 'kept')")
            self.assertEqual(inserted.kinds, "CZ")
            self.assertEqual((await entry.run("SELECT v FROM t")).rows, ["kept"])
            late = await entry.run("COMMIT", transaction_id=key)
            self.assertEqual(late.result.code, ResultCode.TRANSACTION_LOST)

    async def test_end_transaction_stops_the_batch_that_opens_it(self) -> None:
        limits = {"idle_timeout_ms": 60_000}
        async with running_pool(limits=limits, statement_time_ms=300) as (pool, entry):
            await entry.set_up(TABLE)
            opening = entry.make_request("BEGIN; INSERT INTO t VALUES (1, 'lost')")
            await entry.link.send(opening)
            (worker,) = pool.registry.workers()
            await eventually(lambda: worker.busy_slots)
            await entry.link.send(EndTransaction(TransactionId(opening.request_id)))
            stopped = await entry.collect(opening.request_id)
            inserted = await entry.run("INSERT INTO t VALUES (1, 'kept')")
            self.assertEqual((inserted.result.code, inserted.kinds), (ResultCode.OK, "CZ"))
            self.assertIs(stopped.result.outcome, Outcome.UNKNOWN)

    async def test_idle_transaction_is_rolled_back(self) -> None:
        async with running_pool(limits={"idle_timeout_ms": 200}) as (_, entry):
            await entry.set_up(TABLE)
            key = (await entry.run("BEGIN")).end.transaction_id
            await entry.run("INSERT INTO t VALUES (1, 'lost')", transaction_id=key)
            await asyncio.sleep(0.4)
            late = await entry.run("COMMIT", transaction_id=key)
            self.assertEqual(late.result.code, ResultCode.TRANSACTION_IDLE_TIMEOUT)
            self.assertIs(late.result.outcome, Outcome.NOT_RUN)
            self.assertEqual((await entry.run("SELECT count(*) FROM t")).rows, ["0"])

    async def test_transactions_over_the_limit_are_refused_and_other_requests_run(self) -> None:
        async with running_pool(limits={"open_limit": 2}) as (_, entry):
            for _ in range(2):
                self.assertTrue((await entry.run("BEGIN")).result.is_ok)
            refused = await entry.run("BEGIN")
            self.assertEqual(refused.result.code, ResultCode.TOO_MANY_TRANSACTIONS)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
            self.assertEqual((await entry.run("SELECT 1")).rows, ["1"])

    async def test_idle_transactions_leave_connections_for_other_requests(self) -> None:
        limits = {"open_limit": 100, "connections": 12}
        async with running_pool(limits=limits) as (_, entry):
            results = [(await entry.run("BEGIN")).result.code for _ in range(6)]
            self.assertIn(ResultCode.TOO_MANY_TRANSACTIONS, results)
            self.assertEqual((await entry.run("SELECT 1")).rows, ["1"])

    async def test_flush_pins_the_connection_until_sync(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            insert = extended.parse("", "INSERT INTO t VALUES (1, 'x')") + extended.bind()
            part = await entry.run(insert + extended.execute() + extended.FLUSH)
            self.assertEqual(part.kinds, "12C")
            self.assertIs(part.end.transaction_state, TransactionState.ACTIVE)
            key = part.end.transaction_id
            done = await entry.run(extended.SYNC, transaction_id=key)
            self.assertEqual(done.kinds, "Z")
            self.assertIsNone(done.end.transaction_id)
            self.assertEqual((await entry.run("SELECT v FROM t")).rows, ["x"])

    async def test_transaction_of_a_dead_entry_is_rolled_back(self) -> None:
        # A long idle timeout, so that only the silence of the entry can end the transaction.
        async with running_pool(limits={"idle_timeout_ms": 60_000}) as (pool, entry):
            await entry.set_up(TABLE)
            other = EntryStub(pool.address, "entry-2")
            await other.start()
            key = (await other.run("BEGIN")).end.transaction_id
            await other.run("INSERT INTO t VALUES (1, 'lost')", transaction_id=key)
            await other.close()
            inserted = await entry.run("INSERT INTO t VALUES (1, 'kept')", remaining_ms=6_000)
            self.assertTrue(inserted.result.is_ok)
            self.assertEqual((await entry.run("SELECT v FROM t")).rows, ["kept"])

    async def test_open_transaction_continues_while_the_backend_server_leaves(self) -> None:
        async with running_pool() as (pool, entry):
            await entry.set_up(TABLE)
            key = (await entry.run("BEGIN")).end.transaction_id
            pool.group.servers[0].instance.leaving = True
            await asyncio.sleep(0.7)
            refused = await entry.run("SELECT 1", session_id=SessionId("s2"))
            self.assertEqual(refused.result.code, ResultCode.BACKEND_LEAVING)
            self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
            insert = "INSERT INTO t VALUES (1, 'x')"
            self.assertTrue((await entry.run(insert, transaction_id=key)).result.is_ok)
            self.assertTrue((await entry.run("COMMIT", transaction_id=key)).result.is_ok)
            self.assertEqual(pool.registry.workers()[0].backend, BackendId("b0"))

    async def test_commit_after_the_server_ended_the_idle_session_is_not_run(self) -> None:
        async with running_pool() as (pool, entry):
            await entry.set_up(TABLE)
            key = (await entry.run("BEGIN")).end.transaction_id
            await entry.run("INSERT INTO t VALUES (1, 'lost')", transaction_id=key)
            sessions = pool.group.servers[0].instance.sessions
            (pid,) = [pid for pid, session in sessions.items() if session.holds_write_lock]
            sessions[pid].abort()
            await eventually(lambda: pid not in sessions)
            late = await entry.run("COMMIT", transaction_id=key)
            self.assertEqual(late.result.code, ResultCode.TRANSACTION_LOST)
            self.assertIs(late.result.outcome, Outcome.NOT_RUN)
