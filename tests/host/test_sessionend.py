import asyncio
import errno
import json
import socket
import unittest.mock

from hickorywind.host.autocommit import AutocommitStatement
from hickorywind.platform.documents import CONFIGURATION_KEY
from hickorywind.results import ResultCode
from tests.host.harness import HostTestCase, configuration

GRACE_SECONDS = 6.0
ASKED_TO_CLOSE_SECONDS = 2.3  # after SIGTERM
QUIET_SECONDS = 0.25
REFUSES_NEW_WORK_SECONDS = 3.0
ENDS_TRANSACTIONS_SECONDS = 4.2
REFUSED = "ERROR BUSY [5002]"
DELIVERY_SECONDS = 0.01  # real time, of the loopback device


class SessionEndTest(HostTestCase):
    """A host stops; the caller goes on with its connection until that is closed."""

    settings_changes = {"stop_grace_seconds": GRACE_SECONDS}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.host = self.hosts["h0"]
        self.client = await self.caller("bookings")

    def stop(self):
        self.stopping = asyncio.create_task(self.host.role.drain())

    async def keep_transaction_open(self, seconds):
        """Stop the host and run statements of one transaction for that long."""
        await self.client.ask("BEGIN")
        self.stop()
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            self.assertEqual((await self.client.ask("WRITE x 1"))[-1], "READY T -")
            await asyncio.sleep(min(0.5, until - self.loop.time()))

    async def asyncTearDown(self):
        await self.stopping
        await super().asyncTearDown()

    async def test_request_read_in_the_iteration_that_ends_the_quiet_period_is_answered(self):
        self.stop()
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + QUIET_SECONDS / 2)
        answer = asyncio.create_task(self.client.ask("WRITE x 1"))
        await asyncio.sleep(0)
        self.loop.advance(QUIET_SECONDS)
        self.assertEqual(await answer, ["COMPLETE s.q1", "READY I -"])

    async def test_request_that_crosses_the_close_is_answered_as_not_run(self):
        self.stop()
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + 2 * QUIET_SECONDS)
        answer = await self.client.ask("WRITE x 1")
        self.assertEqual(answer[0][: len(REFUSED)], REFUSED)
        self.assertEqual(answer[1:], ["READY I -"])
        self.assertEqual(self.group.commits, [])

    async def test_pipelined_requests_that_cross_the_close_are_each_answered(self):
        self.stop()
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + 2 * QUIET_SECONDS)
        self.loop.wait_for_delivery(DELIVERY_SECONDS)
        answers = [await self.client.ask("READ x") for _ in range(3)]
        self.assertEqual([lines[0][: len(REFUSED)] for lines in answers], [REFUSED] * 3)
        self.assertEqual([lines[-1] for lines in answers], ["READY I -"] * 3)

    async def test_connect_that_crosses_the_close_is_refused(self):
        host, port = self.host.settings.callers_listen.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.transport.abort)
        self.stop()
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + 2 * QUIET_SECONDS)
        writer.write(b"CONNECT bookings u1\r\n")
        self.assertEqual((await reader.readline()).decode()[: len(REFUSED)], REFUSED)
        self.assertEqual(await reader.read(), b"")

    async def test_caller_in_the_listen_queue_is_answered(self):
        host, port = self.host.settings.callers_listen.rsplit(":", 1)
        client = socket.socket()
        client.setblocking(False)
        self.addCleanup(client.close)
        self.stop()
        await asyncio.sleep(0)
        self.loop.call_later(ASKED_TO_CLOSE_SECONDS, client.connect_ex, (host, int(port)))
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + 0.05)
        client.send(b"CONNECT bookings u1\r\n")
        self.assertEqual(await self.loop.sock_recv(client, 100), b"READY I -\r\n")

    async def test_connection_that_cannot_be_accepted_does_not_end_the_stop(self):
        self.stop()
        await asyncio.sleep(0)
        errors = [ConnectionAbortedError(), OSError(errno.EMFILE, "too many open files")]
        with unittest.mock.patch.object(socket.socket, "accept", side_effect=errors):
            await asyncio.sleep(ASKED_TO_CLOSE_SECONDS + QUIET_SECONDS / 2)
        self.assertEqual((await self.client.ask("READ x"))[-1], "READY I -")
        await self.stopping

    async def test_commit_that_crosses_the_end_of_an_idle_transaction_is_told_that_it_ended(self):
        await self.keep_transaction_open(ENDS_TRANSACTIONS_SECONDS - 0.1)
        await asyncio.sleep(0.2)
        with self.assertLogs("hickorywind.host.requestlog", "INFO") as logs:
            answer = await self.client.ask("COMMIT")
        self.assertEqual(logs.records[0].code, ResultCode.TRANSACTION_LOST)
        self.assertEqual(answer[0][:13], "ERROR ABORTED")
        self.assertEqual(answer[1:], ["READY I -"])
        self.assertEqual(self.group.commits, [])

    async def test_open_transaction_commits_after_new_work_is_refused(self):
        await self.keep_transaction_open(ENDS_TRANSACTIONS_SECONDS - 0.1)
        self.assertEqual((await self.client.ask("COMMIT"))[-1], "READY I -")
        self.assertIn(("x", "1"), self.group.commits)

    async def test_rollback_of_a_failed_transaction_is_answered(self):
        await self.client.ask("BEGIN")
        self.stop()
        await asyncio.sleep(ENDS_TRANSACTIONS_SECONDS - 0.1)
        await self.client.ask("EXECUTE unknown x")
        await asyncio.sleep(0.2)
        self.assertEqual((await self.client.ask("ROLLBACK"))[-1], "READY I -")

    async def test_requests_decoded_just_before_the_connection_is_closed_are_answered(self):
        self.stop()
        self.assertEqual((await self.client.reader.readline())[: len(REFUSED)].decode(), REFUSED)
        (session,) = self.host.role._sessions
        session.data_received(b"QUERY a WRITE x 1\r\nQUERY b WRITE x 2\r\n")
        session.close()
        lines = (await self.client.reader.read()).decode().splitlines()
        self.assertEqual(
            [line[: len(REFUSED)] for line in lines], ["READY I -", REFUSED, "READY I -"]
        )
        self.assertEqual(self.group.commits, [])

    async def test_session_that_is_never_quiet_ends_without_an_unanswered_request(self):
        self.stop()
        answer = await self.client.ask("READ x")
        while not answer[0].startswith(REFUSED):
            self.assertEqual(answer[-1], "READY I -")
            await asyncio.sleep(QUIET_SECONDS / 5)
            answer = await self.client.ask("READ x")
        self.assertEqual(answer[-1], "READY I -")

    async def test_late_event_loop_refuses_what_waits_for_a_backend_server(self):
        document = json.loads(configuration(2))
        for route in document["routes"]:
            route["timeout_ms"] = route["target_latency_ms"] = 2 * GRACE_SECONDS * 1000
        await self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        callers = [await self.caller("bookings") for _ in range(20)]
        for caller in callers:
            await caller.ask("READ x")
        self.group.servers["i-a"].delay_seconds = 2 * GRACE_SECONDS
        answers = [asyncio.create_task(caller.ask("READ x")) for caller in callers]
        self.stop()
        await asyncio.sleep(ASKED_TO_CLOSE_SECONDS - 0.1)
        self.loop.advance(GRACE_SECONDS / 2)
        refusals = {lines[0][: len(REFUSED)] for lines in await asyncio.gather(*answers)}
        self.assertEqual(refusals, {REFUSED})

    async def test_late_event_loop_ends_an_idle_transaction_with_a_notice(self):
        await self.keep_transaction_open(ENDS_TRANSACTIONS_SECONDS - 0.1)
        self.loop.advance(GRACE_SECONDS * 0.8 - ENDS_TRANSACTIONS_SECONDS + 0.1)
        await asyncio.sleep(0.05)
        answer = await self.client.ask("COMMIT")
        self.assertEqual((answer[0][:13], answer[1:]), ("ERROR ABORTED", ["READY I -"]))

    async def test_requests_still_open_when_the_connection_is_closed_are_answered(self):
        self.stop()
        never = asyncio.Event().wait
        with unittest.mock.patch.object(AutocommitStatement, "run", side_effect=never):
            self.client.writer.write(b"QUERY a WRITE x 1\r\nQUERY b WRITE x 2\r\n")
            lines = (await self.client.reader.read()).decode().splitlines()
        self.assertEqual(lines[0][:20], "ERROR INDOUBT [4002]")
        self.assertEqual(lines[2][: len(REFUSED)], REFUSED)
        self.assertEqual(lines[1::2], ["READY I -"] * 2)

    async def test_session_is_closed_once_its_caller_has_left(self):
        self.stop()
        self.assertEqual((await self.client.reader.readline())[: len(REFUSED)].decode(), REFUSED)
        self.client.close()
        started = self.loop.time()
        await self.stopping
        self.assertLess(self.loop.time() - started, 0.5)
