import asyncio
import tempfile
import time
import unittest
from datetime import timedelta
from pathlib import Path

from hickorywind.groups.client import CallFailed, CallRefused, GroupClient
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import Address, BackendId, LogPosition, ServiceName, Term
from standins.backend.server import BackendServer
from standins.backend.settings import BackendSettings
from standins.relay import Relay, Route
from tests.standins.support import local_address

# Long enough for an answer on a loaded machine. A call over a cut connection must fail within 0.7 s
# of the timeout.
TIMEOUT = timedelta(seconds=2)
CUT_CALL_LIMIT_SECONDS = TIMEOUT.total_seconds() + 0.7


class GroupClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        settings = BackendSettings(
            BackendId("db0"),
            ServiceName("dispatch"),
            local_address(),
            local_address(),
            initial_primary=True,
            password="kiln",
        )
        self.server = BackendServer(settings, Path(folder.name))
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.relay = Relay((Route("backend", "127.0.0.1:0", settings.listen),))
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)
        self.client = self.open_client(self.relay.address("backend"))

    def open_client(self, address, **options):
        client = GroupClient(address, TIMEOUT, **{"password": "kiln", **options})
        self.addCleanup(client.close)
        return client

    async def test_calls_return_the_status_or_a_refusal(self):
        status = await self.client.status()
        self.assertEqual((status.backend, status.term), ("db0", 1))
        accepted = await self.client.accept_term(Term(2), "o'brien", timedelta(0))
        self.assertEqual(accepted.proposer, "o'brien")
        refused = await self.client.promote(Term(3), "o'brien")
        self.assertIsInstance(refused, CallRefused)
        promoted = await self.client.promote(Term(2), "o'brien")
        self.assertEqual(promoted.received, LogPosition(Term(2), 1))

    async def test_wrong_password_and_closed_port_are_failures(self):
        wrong = self.open_client(self.relay.address("backend"), password="clay")
        self.assertIsInstance(await wrong.status(), CallFailed)
        closed = self.open_client(Address.from_text(local_address()))
        self.assertIsInstance(await closed.status(), CallFailed)

    async def test_call_over_a_cut_connection_times_out_and_the_next_call_reconnects(self):
        await self.client.status()
        self.relay.cut("backend")
        started = time.monotonic()
        self.assertIsInstance(await self.client.status(), CallFailed)
        self.assertLess(time.monotonic() - started, CUT_CALL_LIMIT_SECONDS)
        self.relay.heal("backend")
        self.assertIsInstance(await self.client.status(), BackendStatus)

    async def test_late_answer_is_not_taken_for_that_of_another_call(self):
        self.relay.set_delay("backend", 0)
        await self.client.status()
        self.relay.cut("backend")
        late = await self.client.accept_term(Term(7), "late", timedelta(0))
        self.assertIsInstance(late, CallFailed)
        self.relay.heal("backend")
        refused = await self.client.promote(Term(9), "none")
        self.assertIsInstance(refused, CallRefused)

    async def test_answer_to_a_cancelled_call_is_not_taken_for_that_of_the_next(self):
        await self.client.status()
        call = asyncio.create_task(
            self.client.wait_committed(LogPosition(Term(1), 99), timedelta(seconds=5))
        )
        await asyncio.sleep(0.1)
        call.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await call
        refused = await self.client.promote(Term(9), "none")
        self.assertIsInstance(refused, CallRefused)

    async def test_client_reconnects_after_the_server_closed_the_connection(self):
        await self.client.status()
        for session in list(self.server.instance.sessions.values()):
            session.abort()
        await asyncio.sleep(0.1)
        self.assertIsInstance(await self.client.status(), BackendStatus)
