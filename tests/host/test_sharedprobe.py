"""Probes of a backend server that many ask for at once."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from hickorywind.host.backendconnection import BackendConnection
from hickorywind.host.sharedprobe import FAILURE_REUSE_MAX, REUSE_MAX, SharedProbe
from hickorywind.protocol.messages import ResponsivenessQuery
from hickorywind.util.clock import ManualClock
from tests.host.harness import SERVICE, HostTestCase

FLEET = 195


class SharedProbeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.probe = SharedProbe(self.clock, self.accept_connection)
        self.is_accepted = True
        self.count = 0

    async def accept_connection(self):
        self.count += 1
        await asyncio.sleep(0)
        return self.is_accepted

    async def test_questions_at_once_open_one_connection(self):
        answers = await asyncio.gather(*(self.probe.run(1) for _ in range(50)))
        self.assertEqual((set(answers), self.count), ({True}, 1))

    async def test_large_fleet_opens_few_connections_a_second(self):
        for _ in range(100):
            await self.probe.run(FLEET)
            self.clock.advance(timedelta(milliseconds=20))
        self.assertLessEqual(self.count, 2)

    async def test_small_fleet_probes_again_at_once(self):
        await self.probe.run(3)
        self.is_accepted = False
        self.assertFalse(await self.probe.run(3))

    async def test_failure_counts_for_a_shorter_time_than_success(self):
        self.is_accepted = False
        await self.probe.run(FLEET)
        self.is_accepted = True
        self.clock.advance(FAILURE_REUSE_MAX)
        self.assertTrue(await self.probe.run(FLEET))
        self.is_accepted = False
        self.clock.advance(REUSE_MAX)
        self.assertFalse(await self.probe.run(FLEET))

    async def test_question_that_is_given_up_does_not_end_the_probe_of_others(self):
        first = asyncio.create_task(self.probe.run(1))
        second = asyncio.create_task(self.probe.run(1))
        await asyncio.sleep(0)
        first.cancel()
        self.assertTrue(await second)


class SilentServerTest(HostTestCase):
    async def test_hosts_that_ask_at_once_whether_a_server_answers_open_one_connection(self):
        """Guards issue 60: the checks of a suspected primary took the slots that callers need."""
        role = self.hosts["h0"].role
        backend = role._services[SERVICE].backends["i-a"]
        self.group.servers["i-a"].is_silent = True
        backend.last_answer = self.hosts["h0"].role._fleet.now() - timedelta(seconds=2)
        opened = []

        async def open_connection(server, codec, timeout, **options):
            opened.append(server.backend)
            return await open_backend_connection(server, codec, timeout, **options)

        open_backend_connection = BackendConnection.open
        with mock.patch.object(BackendConnection, "open", open_connection):
            queries = [ResponsivenessQuery(call, SERVICE, "i-a") for call in range(50)]
            replies = await asyncio.gather(*map(role._handle_peer_message, queries))
        self.assertEqual({reply.is_responsive for reply in replies}, {False})
        self.assertEqual(opened.count("i-a"), 1)
