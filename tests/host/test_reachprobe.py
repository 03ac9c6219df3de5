"""Probes of a backend server that many ask for at once."""

import asyncio
import unittest
from datetime import timedelta
from unittest import mock

from hickorywind.host import reachprobe
from hickorywind.host.reachprobe import FAILURE_REUSE_MAX, REUSE_MAX, ReachProbe
from hickorywind.ids import Address
from hickorywind.util.clock import ManualClock

ADDRESS = Address("127.0.0.1", 1)
FLEET = 195


class ReachProbeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.probe = ReachProbe(self.clock)
        self.is_accepted = True
        patch = mock.patch.object(reachprobe, "accepts_connections", self.accepts_connections)
        patch.start()
        self.addCleanup(patch.stop)
        self.count = 0

    async def accepts_connections(self, address, timeout):
        self.count += 1
        await asyncio.sleep(0)
        return self.is_accepted

    async def test_questions_at_once_open_one_connection(self):
        answers = await asyncio.gather(*(self.probe.run(ADDRESS, 1) for _ in range(50)))
        self.assertEqual((set(answers), self.count), ({True}, 1))

    async def test_large_fleet_opens_few_connections_a_second(self):
        for _ in range(100):
            await self.probe.run(ADDRESS, FLEET)
            self.clock.advance(timedelta(milliseconds=20))
        self.assertLessEqual(self.count, 2)

    async def test_small_fleet_probes_again_at_once(self):
        await self.probe.run(ADDRESS, 3)
        self.is_accepted = False
        self.assertFalse(await self.probe.run(ADDRESS, 3))

    async def test_failure_counts_for_a_shorter_time_than_success(self):
        self.is_accepted = False
        await self.probe.run(ADDRESS, FLEET)
        self.is_accepted = True
        self.clock.advance(FAILURE_REUSE_MAX)
        self.assertTrue(await self.probe.run(ADDRESS, FLEET))
        self.is_accepted = False
        self.clock.advance(REUSE_MAX)
        self.assertFalse(await self.probe.run(ADDRESS, FLEET))

    async def test_question_that_is_given_up_does_not_end_the_probe_of_others(self):
        first = asyncio.create_task(self.probe.run(ADDRESS, 1))
        second = asyncio.create_task(self.probe.run(ADDRESS, 1))
        await asyncio.sleep(0)
        first.cancel()
        self.assertTrue(await second)
