import asyncio
import random
import unittest
from unittest import mock

from soak import platform
from soak.platform import ORDER_S, SERVICE, SoakGroup, draw_order_delays
from standins.lineplatform.memorystore import MemoryStore


class LateOrderTest(unittest.IsolatedAsyncioTestCase):
    """Orders to promote that take effect late, twice and out of order."""

    async def asyncSetUp(self):
        self.group = SoakGroup(("i-a", "i-b", "i-c"), MemoryStore(), {}, random.Random(1))
        self.group.takes_orders_late = True
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)

    async def order(self, backend, token, *delays_s):
        with mock.patch.object(platform, "draw_order_delays", return_value=delays_s):
            await self.group.promote(SERVICE, backend, "h0", token)

    async def test_older_order_takes_effect_after_a_newer_one_whatever_its_token(self):
        await self.order("i-b", 1, 0.05)
        await self.order("i-c", 2, 0.01)
        await asyncio.sleep(0.03)
        self.assertEqual(self.group.primary.backend, "i-c")
        await asyncio.sleep(0.05)
        self.assertEqual(self.group.primary.backend, "i-b")
        self.assertEqual(self.group.state_counts["orders that took effect after a newer one"], 1)

    async def test_order_takes_effect_twice(self):
        await self.order("i-b", 1, 0.01, 0.06)
        await asyncio.sleep(0.03)
        await self.order("i-c", 2, 0.01)
        await asyncio.sleep(0.06)
        self.assertEqual([each.new for each in self.group.changes], ["i-b", "i-c", "i-b"])
        self.assertEqual(self.group.state_counts["orders that took effect twice"], 1)

    async def test_order_for_the_present_primary_or_an_ended_server_changes_nothing(self):
        await self.order("i-a", 1, 0.01)
        await self.order("i-b", 2, 0.01)
        await self.group.servers["i-b"].crash()
        await asyncio.sleep(0.05)
        self.assertEqual(self.group.changes, [])

    async def test_otherwise_the_newest_token_decides(self):
        self.group.takes_orders_late = False
        with mock.patch.object(platform, "PROMOTION_S", 0.01):
            await self.order("i-b", 1)
            await self.order("i-c", 2)
            await asyncio.sleep(0.05)
        self.assertEqual([each.new for each in self.group.changes], ["i-c"])

    def test_delays_are_long_at_times(self):
        rng = random.Random(1)
        delays = [draw_order_delays(rng) for _ in range(400)]
        flat = [each for pair in delays for each in pair]
        self.assertTrue(all(ORDER_S[0] <= each <= 4.0 for each in flat))
        self.assertGreater(sum(each > ORDER_S[1] for each in flat), 50)
        self.assertGreater(sum(len(pair) == 2 for pair in delays), 50)
