import asyncio
import contextlib
import io
import tempfile
import textwrap
import unittest
from datetime import timedelta
from pathlib import Path

from hickorywind.daemon import EXIT_FAILED, EXIT_OK, EXIT_USAGE_ERROR, main, run_until_stopped

SETTINGS = """
    host: h1
    availability_zone: adum
    region: ashanti
    role: pool
    controllers: ["127.0.0.1:7001"]
    pool:
      listen: 127.0.0.1:7002
"""


class FakeRole:
    def __init__(self, drain_seconds=0.0, error=None, returns_at_once=False):
        self.drain_seconds = drain_seconds
        self.error = error
        self.returns_at_once = returns_at_once
        self.drained = False
        self.cancelled = False

    async def run(self):
        if self.error is not None:
            raise self.error
        if self.returns_at_once:
            return
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise

    async def drain(self):
        await asyncio.sleep(self.drain_seconds)
        self.drained = True


class RunUntilStoppedTest(unittest.IsolatedAsyncioTestCase):
    async def run_role(self, role, limit_seconds=1.0):
        stop = asyncio.Event()
        asyncio.get_running_loop().call_later(0.05, stop.set)
        return await run_until_stopped(role, stop, timedelta(seconds=limit_seconds))

    async def test_role_is_drained_before_it_is_cancelled(self):
        role = FakeRole()
        self.assertEqual(await self.run_role(role), EXIT_OK)
        self.assertTrue(role.drained and role.cancelled)

    async def test_drain_is_cut_off_at_its_limit(self):
        role = FakeRole(drain_seconds=60)
        self.assertEqual(await self.run_role(role, limit_seconds=0.1), EXIT_OK)
        self.assertFalse(role.drained)
        self.assertTrue(role.cancelled)

    async def test_failure_or_exit_of_the_role_is_reported(self):
        with self.assertRaises(OSError):
            await self.run_role(FakeRole(error=OSError("address in use")))
        self.assertEqual(await self.run_role(FakeRole(returns_at_once=True)), EXIT_FAILED)


class CommandLineTest(unittest.TestCase):
    def run_main(self, text, *options):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "pool.yaml")
            path.write_text(textwrap.dedent(text))
            output, errors = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
                code = main(["--config", str(path), *options])
        return code, output.getvalue(), errors.getvalue()

    def test_check_prints_ok(self):
        code, output, _ = self.run_main(SETTINGS, "--check")
        self.assertEqual(code, EXIT_OK)
        self.assertTrue(output.endswith("pool.yaml: ok\n"))

    def test_unknown_settings_key_is_reported_in_one_line(self):
        code, _, errors = self.run_main(SETTINGS + "    lisen: x\n", "--check")
        self.assertEqual(code, EXIT_USAGE_ERROR)
        self.assertEqual(errors.count("\n"), 1)
        self.assertIn("lisen", errors)
