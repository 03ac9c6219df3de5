import asyncio
import contextlib
import io
import tempfile
import textwrap
import unittest
from datetime import timedelta
from pathlib import Path

from hickorywind.daemon import EXIT_FAILED, EXIT_OK, EXIT_WRONG_USE, main, run_until_stopped

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
    def __init__(self, drain_seconds=0.0, error=None, ends=False):
        self.drain_seconds = drain_seconds
        self.error = error
        self.ends = ends
        self.drained = False
        self.cancelled = False

    async def run(self):
        if self.error is not None:
            raise self.error
        if self.ends:
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

    async def test_drains_before_it_ends(self):
        role = FakeRole()
        self.assertEqual(await self.run_role(role), EXIT_OK)
        self.assertTrue(role.drained and role.cancelled)

    async def test_drain_is_bounded(self):
        role = FakeRole(drain_seconds=60)
        self.assertEqual(await self.run_role(role, limit_seconds=0.1), EXIT_OK)
        self.assertFalse(role.drained)
        self.assertTrue(role.cancelled)

    async def test_failure_of_the_role_is_not_hidden(self):
        with self.assertRaises(OSError):
            await self.run_role(FakeRole(error=OSError("address in use")))
        self.assertEqual(await self.run_role(FakeRole(ends=True)), EXIT_FAILED)


class CommandLineTest(unittest.TestCase):
    def run_main(self, text, *options):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "pool.yaml")
            path.write_text(textwrap.dedent(text))
            output, errors = io.StringIO(), io.StringIO()
            with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
                code = main(["--config", str(path), *options])
        return code, output.getvalue(), errors.getvalue()

    def test_check(self):
        code, output, _ = self.run_main(SETTINGS, "--check")
        self.assertEqual(code, EXIT_OK)
        self.assertTrue(output.endswith("pool.yaml: ok\n"))

    def test_wrong_key_is_one_line(self):
        code, _, errors = self.run_main(SETTINGS + "    lisen: x\n", "--check")
        self.assertEqual(code, EXIT_WRONG_USE)
        self.assertEqual(errors.count("\n"), 1)
        self.assertIn("lisen", errors)
