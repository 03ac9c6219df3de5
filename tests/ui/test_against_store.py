"""Run the installed tool as a process against the stand-in store."""

import asyncio
import os
import sys
import tempfile
import unittest
from pathlib import Path

from hickorywind.ids import Address
from standins.store.control import set_faults
from standins.store.faults import Faults, LostAnswer
from standins.store.service import StoreServer
from tests.ui.test_configcommands import EXAMPLES

DOCUMENT = EXAMPLES / "stepclean.yaml"
_TOOL = "import sys; from hickorywind.ui import main; sys.exit(main())"


class AgainstStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = StoreServer(Address("127.0.0.1", 0))
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def run_tool(self, *arguments):
        kept = {key: value for key, value in os.environ.items() if "HICKORYWIND" not in key}
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", _TOOL, *map(str, arguments)),
            env=kept | {"HICKORYWIND_STORE": str(self.server.address)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(process.communicate(), 60)
        return process.returncode, out.decode(), err.decode()

    async def apply(self, path, reviewed, author):
        return await self.run_tool(
            *("config", "apply", path, "--reviewed-revision", reviewed, "--timeout-ms", "1000"),
            *("--author", author, "--note", "test", "--change-id", f"by-{author}"),
        )

    async def set_faults(self, faults):
        await set_faults(self.server.address, faults)

    async def shown_change(self):
        code, out, err = await self.run_tool("config", "show")
        self.assertEqual(code, 0, err)
        return out.partition("\n")[0]

    async def test_apply_and_show(self):
        code, out, err = await self.apply(DOCUMENT, 0, "ama")
        self.assertEqual((code, err), (0, ""))
        self.assertIn("accepted revision", out)
        code, out, _ = await self.run_tool("config", "show")
        self.assertEqual(out.partition("\n")[2], DOCUMENT.read_text())
        code, out, _ = await self.run_tool("config", "history")
        self.assertIn("by-ama", out)

    async def test_two_operators_at_once(self):
        with tempfile.TemporaryDirectory() as directory:
            other = Path(directory) / "other.yaml"
            other.write_text(DOCUMENT.read_text().replace("99.9", "99.8"))
            results = await asyncio.gather(
                self.apply(DOCUMENT, 0, "ama"), self.apply(other, 0, "kofi")
            )
        self.assertEqual(sorted(code for code, _, _ in results), [0, 1])
        (loser,) = [err for code, _, err in results if code]
        (winner,) = [out for code, out, _ in results if not code]
        change_id = winner.split()[-1]
        self.assertIn("7002 not applied: revision 0 was reviewed, but revision", loser)
        self.assertIn(f"change {change_id} by", loser)
        self.assertIn(change_id, await self.shown_change())

    async def test_lost_answer_is_resolved(self):
        for lost in LostAnswer:
            with self.subTest(lost):
                _, out, _ = await self.run_tool("config", "diff", DOCUMENT)
                reviewed = out.split()[2]
                await self.set_faults(Faults(lose_answers=1, lost_answer=lost))
                code, _, err = await self.apply(DOCUMENT, reviewed, lost.value)
                self.assertEqual((code, err), (0, ""))
                self.assertIn(f"by-{lost.value}", await self.shown_change())

    async def test_outage(self):
        await self.set_faults(Faults(outage=True))
        code, out, err = await self.apply(DOCUMENT, 0, "ama")
        self.assertEqual((code, out), (3, ""))
        self.assertRegex(err, r"^hickorywind: 7003 [^\n]*\n$")
