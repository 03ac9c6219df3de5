import asyncio
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from types import SimpleNamespace

import yaml

from hickorywind.ids import AccessMode, Address, BackendId
from hickorywind.results import Outcome, ResultCode
from standins.processes import ManagedProcess
from tests.pool.harness import (
    SERVICE,
    EntryStub,
    PoolUnderTest,
    eventually,
    free_port,
    make_directory,
    make_service,
)

AT_ONCE_SECONDS = 0.5  # shorter than a status call may take
READ = {"mode": AccessMode.READ, "remaining_ms": 8_000}


class FrozenBackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stack = AsyncExitStack()
        folder = Path(self.stack.enter_context(tempfile.TemporaryDirectory()))
        port = free_port()
        settings = {
            "backend": "b0",
            "service": SERVICE,
            "listen": f"127.0.0.1:{port}",
            "replication_listen": f"127.0.0.1:{free_port()}",
            "initial_primary": True,
            "statement_time_ms": 100,
        }
        (folder / "b0.yaml").write_text(yaml.safe_dump(settings))
        arguments = ("standins.backend", "--config", str(folder / "b0.yaml"))
        log_path = folder / "b0.log"
        self.process = ManagedProcess("b0", arguments, log_path, {})
        self.process.start()
        self.stack.callback(self.process.kill)
        await eventually(lambda: "ready" in log_path.read_text())
        group = SimpleNamespace(backends=[BackendId("b0")], addresses=[Address("127.0.0.1", port)])
        self.pool = PoolUnderTest(group, make_directory(make_service(group)))
        await self.pool.start()
        self.stack.push_async_callback(self.pool.close)
        self.entry = EntryStub(self.pool.address)
        await self.entry.start()
        self.stack.push_async_callback(self.entry.close)
        await self.entry.run("SELECT 1", **READ)

    async def asyncTearDown(self) -> None:
        await self.stack.aclose()

    async def test_running_read_is_abandoned_and_new_reads_are_refused(
        self,
    ) -> None:
        loop = asyncio.get_running_loop()
        running = self.entry.make_request("SELECT 1", **READ)
        await self.entry.link.send(running)
        await asyncio.sleep(0.05)
        self.process.freeze()
        frozen_at = loop.time()
        answer = await self.entry.collect(running.request_id)
        self.assertLess(loop.time() - frozen_at, 4)
        self.assertIs(answer.result.outcome, Outcome.UNKNOWN)
        self.assertTrue(answer.result.retry_allowed)
        sent_at = loop.time()
        refused = await self.entry.run("SELECT 1", **READ)
        self.assertLess(loop.time() - sent_at, 2)
        self.assertEqual(refused.result.code, ResultCode.BACKEND_UNREACHABLE)
        self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
        sent_at = loop.time()
        await self.entry.run("SELECT 1", **READ)
        self.assertLess(loop.time() - sent_at, AT_ONCE_SECONDS)
        self.process.thaw()
        await asyncio.sleep(0.2)
        self.assertEqual((await self.entry.run("SELECT 1", **READ)).rows, ["1"])

    async def test_queued_requests_are_refused_before_their_deadline(self) -> None:
        loop = asyncio.get_running_loop()
        self.process.freeze()
        frozen_at = loop.time()
        running = [self.entry.make_request("SELECT 1", **READ) for _ in range(12)]
        for message in running:
            await self.entry.link.send(message)
        answers = [await self.entry.collect(message.request_id) for message in running]
        self.assertLess(loop.time() - frozen_at, 4)
        for answer in answers:
            definite = answer.result.outcome is Outcome.NOT_RUN
            self.assertTrue(definite or answer.result.retry_allowed, answer.result)
