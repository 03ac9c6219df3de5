import asyncio
import json
import sys

from hickorywind.protocol.channel import Link
from hickorywind.protocol.messages import Refused, StatusRequest
from hickorywind.results import ResultCode
from tests.host.harness import SERVERS, SERVICE, RealTimeHostTestCase
from tests.ports import free_address
from tests.ui.commandrunner import run_tool


class HostStatusTest(RealTimeHostTestCase):
    """Status of a running host in the command line tool."""

    host_count = 2

    async def ask(self, *options):
        address = self.hosts["h0"].settings.status_listen
        return await asyncio.to_thread(run_tool, "host", address, *options)

    async def test_shows_peers_primaries_and_queues(self):
        await self.caller("bookings")
        peers = self.hosts["h0"].role._peers
        await self.wait_until(peers.table.any_holds_permit)
        ran = await self.ask("--output", "json")
        self.assertEqual(ran.code, 0, ran.err)
        status = json.loads(ran.out)
        self.assertTrue(status["is_ready"])
        self.assertEqual(status["configuration_version"], 1)
        self.assertEqual(status["sessions"], 1)
        self.assertGreater(status["permit_ms"], 0)
        (peer,) = status["peers"]
        self.assertEqual((peer["host"], peer["holds_permit"]), ("h1", True))
        (service,) = status["services"]
        self.assertEqual((service["service"], service["primary"]), (SERVICE, "i-a"))
        self.assertEqual({each["backend"] for each in service["backends"]}, set(SERVERS))

    async def test_text_output_names_host_and_state(self):
        ran = await self.ask()
        self.assertEqual(ran.code, 0, ran.err)
        self.assertIn("host h0 in z1: ready, permit for", ran.out)
        self.assertIn("usable primary", ran.out)

    async def test_address_without_an_answer_gives_a_one_line_error(self):
        # In a process of its own, as the event loop of this one may report slow callbacks on the
        # standard error that ``run_tool`` captures.
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "hickorywind.ui"),
            *("host", str(free_address()), "--timeout-ms", "100"),
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        self.assertEqual(process.returncode, 3)
        self.assertIn("did not answer within 100 ms", errors.decode())
        self.assertEqual(errors.decode().count("\n"), 1)

    async def test_other_message_is_refused_with_a_result_code(self):
        link = Link(self.hosts["h0"].settings.address("status_listen"))
        self.addCleanup(link.close)
        while not await link.send(StatusRequest()):
            await asyncio.sleep(0.01)
        reply = await asyncio.wait_for(link.receive(), 2)
        self.assertIsInstance(reply, Refused)
        self.assertEqual(reply.result.code, ResultCode.MALFORMED_MESSAGE)
