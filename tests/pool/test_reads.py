import asyncio
import unittest
from datetime import timedelta

from hickorywind.ids import AccessMode, BackendId, LogPosition, SessionId, Term
from hickorywind.protocol.records import GroupRecord
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock
from tests.pool import extended
from tests.pool.harness import SERVICE, eventually, running_pool

TABLE = "CREATE TABLE t (id int primary key, v text)"
READ = "SELECT count(*) FROM t"
AT_REPLICA = {"backend": BackendId("b1"), "mode": AccessMode.READ}


async def pause_apply(pool, index: int) -> None:
    """Stop a replica from applying the log that it receives."""
    pool.group.servers[index].instance.apply_lag_ms = 60_000


async def resume_apply(pool, index: int) -> None:
    pool.group.servers[index].instance.apply_lag_ms = 0
    pool.group.servers[index].instance.change_signal.notify()


class ReplicaReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_replica_read_waits_until_the_floor_is_applied(self) -> None:
        # Moved by hand, so that a slow machine does not use up the 250 ms that a pool waits.
        clock = ManualClock()
        async with running_pool(count=3, clock=clock) as (pool, entry):
            await entry.set_up(TABLE)
            await entry.set_up(READ, **AT_REPLICA)
            await pause_apply(pool, 1)
            written = await entry.set_up("INSERT INTO t VALUES (1, 'a')")
            reading = asyncio.create_task(entry.run(READ, floor=written.end.position, **AT_REPLICA))
            await asyncio.sleep(0.1)
            clock.advance(timedelta(milliseconds=100))
            await asyncio.sleep(0.1)
            self.assertFalse(reading.done())
            await resume_apply(pool, 1)
            read = await reading
            self.assertEqual(read.rows, ["1"])
            self.assertTrue(read.end.position.contains(written.end.position))

    async def test_replica_behind_the_floor_is_refused_as_not_run(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            await pause_apply(pool, 1)
            written = await entry.set_up("INSERT INTO t VALUES (1, 'a')")
            read = await entry.run(READ, floor=written.end.position, **AT_REPLICA)
            self.assertEqual(read.result.code, ResultCode.REPLICA_BEHIND)
            self.assertIs(read.result.outcome, Outcome.NOT_RUN)
            self.assertIsNotNone(read.result.retry_after_ms)

    async def test_bounded_read_sees_every_write_older_than_its_bound(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            await entry.set_up("INSERT INTO t VALUES (1, 'a')")
            read = await entry.set_up(READ, max_staleness_ms=0, **AT_REPLICA)
            self.assertEqual(read.rows, ["1"])
            await pause_apply(pool, 1)
            await entry.set_up("INSERT INTO t VALUES (2, 'b')")
            refused = await entry.run(READ, max_staleness_ms=0, **AT_REPLICA)
            self.assertEqual(refused.result.code, ResultCode.TOO_STALE)
            old_enough = await entry.run(READ, max_staleness_ms=60_000, **AT_REPLICA)
            self.assertEqual(old_enough.rows, ["1"])

    async def test_bounded_reads_are_refused_once_the_primary_is_silent(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            await entry.set_up(READ, max_staleness_ms=300, **AT_REPLICA)
            await pool.group.servers[0].close()
            await asyncio.sleep(0.4)
            refused = await entry.run(READ, max_staleness_ms=300, **AT_REPLICA)
            self.assertEqual(refused.result.code, ResultCode.TOO_STALE)
            unbounded = await entry.run(READ, **AT_REPLICA)
            self.assertEqual(unbounded.rows, ["0"])

    async def test_batch_that_shows_no_data_needs_no_newer_position(self) -> None:
        async with running_pool(count=3) as (_, entry):
            await entry.set_up(TABLE)
            await entry.set_up(READ, **AT_REPLICA)
            written = await entry.set_up("INSERT INTO t VALUES (1, 'a')")
            for batch in (
                extended.parse("p1", READ) + extended.describe("S", "p1") + extended.SYNC,
                "BEGIN READ ONLY",
            ):
                answer = await entry.run(batch, floor=written.end.position, **AT_REPLICA)
                self.assertTrue(answer.result.is_ok, answer.result)
                self.assertIsNone(answer.end.position)
            key = answer.end.transaction_id
            read = await entry.run(
                READ, floor=written.end.position, transaction_id=key, **AT_REPLICA
            )
            self.assertEqual(read.rows, ["1"])

    async def test_answer_behind_a_floor_from_a_lost_log_tail_is_not_released(self) -> None:
        async with running_pool(count=3) as (_, entry):
            await entry.set_up(TABLE)
            floor = LogPosition(Term(9), 1)
            read = await entry.run(READ, floor=floor, mode=AccessMode.READ)
            self.assertFalse(read.result.is_ok)
            self.assertEqual(read.kinds, "")


class CutOffPrimaryTest(unittest.IsolatedAsyncioTestCase):
    async def test_write_without_a_majority_is_never_acknowledged(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            for server in pool.group.servers[1:]:
                await server.close()
            written = await entry.run("INSERT INTO t VALUES (1, 'a')", remaining_ms=600)
            self.assertEqual(written.result.code, ResultCode.COMMIT_UNPROVEN)
            self.assertIs(written.result.outcome, Outcome.UNKNOWN)
            self.assertEqual(written.kinds, "")

    async def test_write_is_abandoned_as_soon_as_another_primary_is_known(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            for server in pool.group.servers[1:]:
                await server.close()
            message = entry.make_request("INSERT INTO t VALUES (1, 'a')", remaining_ms=8_000)
            await entry.link.send(message)
            await asyncio.sleep(0.3)
            loop = asyncio.get_running_loop()
            started = loop.time()
            pool.directory.merge((GroupRecord(SERVICE, Term(2), BackendId("b1")),))
            answer = await entry.collect(message.request_id)
            self.assertLess(loop.time() - started, 1)
            self.assertEqual(answer.result.code, ResultCode.COMMIT_UNPROVEN)
            self.assertIs(answer.result.outcome, Outcome.UNKNOWN)

    async def test_write_is_refused_once_the_majority_is_known_to_be_silent(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            for server in pool.group.servers[1:]:
                await server.close()
            await asyncio.sleep(1.6)
            written = await entry.run("INSERT INTO t VALUES (1, 'a')", remaining_ms=600)
            self.assertEqual(written.result.code, ResultCode.NO_PRIMARY)
            self.assertIs(written.result.outcome, Outcome.NOT_RUN)
            self.assertEqual((await entry.run(READ, mode=AccessMode.READ)).rows, ["0"])

    async def test_read_of_data_without_commit_proof_is_not_released(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            for server in pool.group.servers[1:]:
                await server.close()
            await entry.run("INSERT INTO t VALUES (1, 'a')", remaining_ms=300)
            read = await entry.run(READ, mode=AccessMode.READ, remaining_ms=600)
            self.assertEqual(read.result.code, ResultCode.COMMIT_UNPROVEN)
            self.assertTrue(read.result.retry_allowed)

    async def test_bounded_read_at_a_primary_without_majority_is_refused(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            bounded = {"mode": AccessMode.READ, "max_staleness_ms": 200}
            await entry.set_up(READ, **bounded)
            for server in pool.group.servers[1:]:
                await server.close()
            await asyncio.sleep(0.5)
            read = await entry.run(READ, remaining_ms=500, **bounded)
            self.assertEqual(read.result.code, ResultCode.COMMIT_UNPROVEN)

    async def test_write_at_a_primary_replaced_before_the_commit_proof_is_unknown(self) -> None:
        async with running_pool(count=3) as (pool, entry):
            await entry.set_up(TABLE)
            for server in pool.group.servers[1:]:
                server.instance.member.ship_lag_ms = 60_000
            await asyncio.sleep(0.2)
            message = entry.make_request("INSERT INTO t VALUES (1, 'a')")
            await entry.link.send(message)
            # A primary that is replaced while a write still runs closes its connection.
            (worker,) = pool.registry.workers()
            await eventually(lambda: worker._monitor._proofs.pending_count == 1)
            pool.group.servers[0].instance.member.accept_term(Term(5), "other", 0)
            answer = await entry.collect(message.request_id)
            self.assertEqual(answer.result.code, ResultCode.COMMIT_UNPROVEN)
            self.assertIs(answer.result.outcome, Outcome.UNKNOWN)

    async def test_concurrent_writes_of_many_sessions_are_all_acknowledged(self) -> None:
        async with running_pool(count=3) as (_, entry):
            await entry.set_up(TABLE)
            messages = [
                entry.make_request(
                    f"INSERT INTO t VALUES ({n}, 'a')", session_id=SessionId(f"s{n}")
                )
                for n in range(20)
            ]
            for message in messages:
                await entry.link.send(message)
            answers = [await entry.collect(message.request_id) for message in messages]
            self.assertEqual([answer.result for answer in answers if not answer.result.is_ok], [])
            self.assertEqual((await entry.run(READ)).rows, ["20"])
