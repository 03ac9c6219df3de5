import asyncio
import random
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path

from hickorywind.ids import AccessMode, Address, AvailabilityZone, HostId, Region, Role
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.role import PoolRole
from hickorywind.protocol.records import Record
from hickorywind.results import Outcome, ResultCode
from hickorywind.settings.schema import DaemonSettings, PoolSettings
from hickorywind.util.clock import MonotonicClock
from tests.pool.harness import (
    BackendGroup,
    EntryStub,
    eventually,
    free_port,
    make_directory,
    make_service,
)


class RoleTestCase(unittest.IsolatedAsyncioTestCase):
    drain_timeout_ms = 5_000

    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        folder = self.stack.enter_context(tempfile.TemporaryDirectory())
        self.group = BackendGroup(1, Path(folder), statement_time_ms=400)
        await self.group.start()
        self.stack.push_async_callback(self.group.close)
        self.address = Address("127.0.0.1", free_port())
        self.metrics = Metrics.with_own_registry()
        self.role = PoolRole.from_settings(
            DaemonSettings(
                HostId("h"),
                AvailabilityZone("z"),
                Region("r"),
                Role.POOL,
                pool=PoolSettings(str(self.address), drain_timeout_ms=self.drain_timeout_ms),
            ),
            MonotonicClock(),
            random.Random(1),
            None,
            self.metrics,
        )
        records: tuple[Record, ...] = make_directory(make_service(self.group)).table.records()
        self.role.directory.merge(records)
        self.running = asyncio.create_task(self.role.run())
        self.entry = EntryStub(self.address)
        await self.entry.start()
        self.stack.push_async_callback(self.entry.close)

    async def asyncTearDown(self) -> None:
        self.running.cancel()
        await asyncio.gather(self.running, return_exceptions=True)
        await self.stack.aclose()


class PoolRoleTest(RoleTestCase):
    async def test_drain_finishes_work_in_flight_and_refuses_the_rest(self) -> None:
        await self.entry.run("SELECT 1", mode=AccessMode.READ)
        message = self.entry.make_request("SELECT 2", mode=AccessMode.READ)
        begun = await self.entry.run("BEGIN")
        await self.entry.link.send(message)
        await asyncio.sleep(0.1)
        draining = asyncio.create_task(self.role.drain())
        await eventually(lambda: self.entry.pool_is_draining)
        refused = await self.entry.run("SELECT 3", mode=AccessMode.READ)
        self.assertEqual(refused.result.code, ResultCode.DRAINING)
        self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
        self.assertEqual((await self.entry.collect(message.request_id)).rows, ["2"])
        await asyncio.sleep(0.8)
        self.assertFalse(draining.done())
        committed = await self.entry.run("COMMIT", transaction_id=begun.end.transaction_id)
        self.assertTrue(committed.result.is_ok)
        async with asyncio.timeout(5):
            await draining
            await self.running
        sessions = self.group.servers[0].instance.sessions
        await eventually(lambda: not sessions)

    async def test_request_sent_before_its_entry_knows_of_the_drain_is_answered(self) -> None:
        self.entry.confirms_drain = False
        draining = asyncio.create_task(self.role.drain())
        await asyncio.sleep(1.5)
        refused = await self.entry.run("SELECT 3", mode=AccessMode.READ)
        self.assertEqual(refused.result.code, ResultCode.DRAINING)
        self.assertFalse(draining.done())
        self.entry.confirms_drain = True
        async with asyncio.timeout(3):
            await self.running

    async def test_drain_does_not_wait_for_an_entry_that_has_ended(self) -> None:
        await self.entry.close()
        await asyncio.sleep(0.1)
        async with asyncio.timeout(1.5):
            await self.role.drain()

    async def test_metrics_show_running_and_queued_requests(self) -> None:
        for _ in range(4):
            message = self.entry.make_request("SELECT 1", mode=AccessMode.READ)
            await self.entry.link.send(message)
        slots = self.metrics.busy_slots.labels("b0")
        length = self.metrics.queue_length.labels("b0", "standard")
        await eventually(lambda: (slots._value.get(), length._value.get()) == (3, 1))


class DrainTimeoutTest(RoleTestCase):
    drain_timeout_ms = 700

    async def test_requests_still_open_at_the_drain_timeout_are_answered(self) -> None:
        await self.entry.set_up("CREATE TABLE t (a INT)")
        messages = [self.entry.make_request("INSERT INTO t VALUES (1)") for _ in range(12)]
        for message in messages:
            await self.entry.link.send(message)
        await asyncio.sleep(0.1)
        await self.role.drain()
        answers = [await self.entry.collect(message.request_id) for message in messages]
        failed = {answer.result.outcome: answer.result.code for answer in answers[3:]}
        self.assertEqual(failed[Outcome.NOT_RUN], ResultCode.DRAINING)
        self.assertEqual(failed[Outcome.UNKNOWN], ResultCode.POOL_LOST)

    async def test_commit_after_the_drain_timeout_is_not_run(self) -> None:
        begun = await self.entry.set_up("BEGIN")
        self.entry.confirms_drain = False
        draining = asyncio.create_task(self.role.drain())
        await asyncio.sleep(1)
        answer = await self.entry.run("COMMIT", transaction_id=begun.end.transaction_id)
        self.assertEqual(answer.result.code, ResultCode.TRANSACTION_LOST)
        self.assertIs(answer.result.outcome, Outcome.NOT_RUN)
        self.entry.confirms_drain = True
        await draining
