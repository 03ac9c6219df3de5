import unittest

from hickorywind.entry import linkregistry
from hickorywind.entry.linkregistry import PoolLinkRegistry
from hickorywind.ids import Address, HostId, Incarnation, RequestId
from hickorywind.protocol.messages import EntryHeartbeat
from hickorywind.util.clock import ManualClock, milliseconds


def addresses(count: int) -> frozenset[Address]:
    return frozenset(Address("127.0.0.1", port) for port in range(1, count + 1))


class PoolLinkRegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = ManualClock()
        heartbeat = EntryHeartbeat(HostId("e"), Incarnation(1))
        self.links = PoolLinkRegistry(heartbeat, self.clock, None)
        self.addAsyncCleanup(self.links.close)

    async def test_links_to_few_pools_are_opened_in_advance(self):
        self.links.retain(addresses(3))
        self.assertEqual(self.links.count, 3)

    async def test_links_to_many_pools_are_opened_on_demand_and_closed_when_unused(self):
        fleet = addresses(500)
        self.links.retain(fleet)
        self.assertEqual(self.links.count, 0)
        used = self.links.get(Address("127.0.0.1", 1))
        self.clock.advance(linkregistry.MAX_UNUSED_TIME - milliseconds(1))
        self.links.retain(fleet)
        self.assertEqual(self.links.count, 1)
        used.open_inbox(RequestId(1))
        self.clock.advance(linkregistry.MAX_UNUSED_TIME * 2)
        self.links.retain(fleet)
        self.assertEqual(self.links.count, 1, "a request waits")
        used.close_inbox(RequestId(1))
        self.links.retain(fleet)
        self.assertEqual(self.links.count, 0)

    async def test_lost_link_to_a_removed_pool_is_closed(self):
        self.links.retain(addresses(3))
        self.links.retain(addresses(2))
        self.assertEqual(self.links.count, 2)
