"""Reads of changes in the store, also through a peer."""

import unittest
from unittest import mock

from hickorywind.host.storerelay import StoreRelay
from hickorywind.ports.coordination import ChangeBatch, ItemDeleted, ItemWritten, Snapshot
from hickorywind.protocol.codec import decode, encode
from standins.lineplatform.memorystore import MemoryCoordinationStore, MemoryStore

PREFIX = "hosts/"


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        for number in range(3):
            await self.store.put(f"{PREFIX}h{number}", b"1")
        self.own = MemoryCoordinationStore(self.store)
        serving = StoreRelay(MemoryCoordinationStore(self.store), mock.Mock())

        async def call(host, make_message, timeout):
            return decode(encode(await serving.serve(decode(encode(make_message(1))))))

        peers = mock.Mock(call=call)
        peers.table.active.return_value = ("h1",)
        self.relay = StoreRelay(self.own, peers)

    async def change(self):
        """Write one item twice, delete another, and return the revision before."""
        before = self.store.revision
        await self.store.put(f"{PREFIX}h1", b"2")
        await self.store.put("other", b"")
        await self.store.put(f"{PREFIX}h1", b"3")
        await self.store.delete(f"{PREFIX}h2")
        return before

    def assert_changes(self, result):
        self.assertIsInstance(result, ChangeBatch)
        written = {each.item.key: each for each in result.changes if isinstance(each, ItemWritten)}
        deleted = [each.key for each in result.changes if isinstance(each, ItemDeleted)]
        self.assertEqual([written[key].item.value for key in written], [b"3"])
        self.assertEqual((deleted, result.as_of), ([f"{PREFIX}h2"], self.store.revision))

    async def test_only_changes_after_a_revision_are_read(self):
        self.assert_changes(await self.relay.read_changes(PREFIX, await self.change()))

    async def test_changes_are_read_through_a_peer_while_the_own_calls_fail(self):
        before = await self.change()
        self.own.is_cut = True
        self.assert_changes(await self.relay.read_changes(PREFIX, before))

    async def test_all_is_read_without_a_revision_and_where_the_history_is_lost(self):
        for before in (0, await self.change()):
            self.store.compact_history()
            for is_cut in (False, True):
                self.own.is_cut = is_cut
                result = await self.relay.read_changes(PREFIX, before)
                self.assertIsInstance(result, Snapshot)
                self.assertEqual(len(result.items), 2)
