"""Writes of leadership records beside those of other hosts."""

import unittest
import unittest.mock
from datetime import timedelta

from hickorywind.failover.leadership import LeadershipPhase, LeadershipRecord, encode_record
from hickorywind.host.fleet import LEADERSHIP_PREFIX, Fleet
from hickorywind.host.leadershipstore import LEASE_END_NEWS, LeadershipStore
from hickorywind.ids import Revision, StoreEra
from hickorywind.ports.coordination import Committed, ItemWritten, Lease, LeaseId, Snapshot
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import ManualClock
from tests.host.harness import SCHEMA

BEFORE = LeadershipRecord("i-a", LeadershipPhase.OPEN, 1, term=1)
CHANGED = LeadershipRecord("i-b", LeadershipPhase.OPEN, 2, term=2)


def item(service, record, revision):
    return StoredValue(LEADERSHIP_PREFIX + service, encode_record(record), Revision(revision))


def make_fleet(as_of, *items):
    fleet = Fleet(SCHEMA, ManualClock())
    fleet.apply_snapshot(LEADERSHIP_PREFIX, Snapshot(items, Revision(as_of)), "store")
    return fleet


class OwnWriteTest(unittest.IsolatedAsyncioTestCase):
    """A host writes the record of one service while another host changes another one."""

    async def asyncSetUp(self):
        self.unchanged = item("tools", BEFORE, 5), item("ledger", BEFORE, 6)
        self.changed_elsewhere = item("tools", CHANGED, 11)
        self.fleet = make_fleet(10, *self.unchanged)
        self.peers = unittest.mock.AsyncMock()
        relay = unittest.mock.AsyncMock()
        relay.write.return_value = Committed(Revision(12))
        store = LeadershipStore(self.fleet, relay, self.peers, "h0")
        await store.write("ledger", CHANGED, Revision(6))
        (self.notice,) = self.peers.broadcast.await_args.args

    def known(self, fleet):
        services = ("tools", "ledger")
        return {name: int(fleet.permits.leadership(name).revision) for name in services}

    def receive_notice(self, fleet):
        items = tuple(each.to_stored() for each in self.notice.items)
        snapshot = Snapshot(items, Revision(self.notice.as_of))
        fleet.apply_snapshot(LEADERSHIP_PREFIX, snapshot, "notice")

    def test_next_watch_still_asks_for_the_change_of_the_other_service(self):
        self.assertEqual(self.known(self.fleet), {"tools": 5, "ledger": 12})
        self.assertLess(self.fleet.copies[LEADERSHIP_PREFIX].as_of, 11)

    def test_notice_does_not_hide_the_change_of_the_other_service_from_a_host(self):
        fleet = make_fleet(10, *self.unchanged)
        self.receive_notice(fleet)
        self.assertEqual(self.known(fleet), {"tools": 5, "ledger": 12})
        self.assertLess(fleet.copies[LEADERSHIP_PREFIX].as_of, 11)

    def test_late_notice_of_the_other_host_is_taken(self):
        snapshot = Snapshot((self.changed_elsewhere, self.unchanged[1]), Revision(11))
        self.fleet.apply_snapshot(LEADERSHIP_PREFIX, snapshot, "notice")
        self.assertEqual(self.known(self.fleet), {"tools": 11, "ledger": 12})

    def test_host_that_knows_the_other_change_takes_the_notice_and_keeps_that_change(self):
        fleet = make_fleet(11, self.changed_elsewhere, self.unchanged[1])
        self.receive_notice(fleet)
        self.assertEqual(self.known(fleet), {"tools": 11, "ledger": 12})

    def test_watch_of_the_change_still_completes_the_copy(self):
        changes = (ItemWritten(self.changed_elsewhere), ItemWritten(item("ledger", CHANGED, 12)))
        self.fleet.apply_changes(LEADERSHIP_PREFIX, changes, Revision(12), "store")
        self.assertEqual(self.known(self.fleet), {"tools": 11, "ledger": 12})
        self.assertEqual(self.fleet.copies[LEADERSHIP_PREFIX].as_of, 12)


class EndedLeasesTest(unittest.TestCase):
    """Ended leases that a host reports to another one, which counts on confirmations of its own."""

    def setUp(self):
        self.clock = ManualClock()
        fleet = Fleet(SCHEMA, self.clock)
        self.store = LeadershipStore(fleet, None, None, "h0")
        self.store.record_lease_end(Lease(LeaseId(1)), self.clock.now())
        self.clock.advance(LEASE_END_NEWS + timedelta(seconds=1))
        self.store.record_lease_end(Lease(LeaseId(2)), self.clock.now())

    def reported(self, *leases):
        return [each.lease for each in self.store.ended_leases_for(leases)]

    def test_end_of_its_own_lease_is_reported_to_a_host_long_after(self):
        self.assertEqual(self.reported((1, StoreEra(0))), [1, 2])

    def test_lease_of_another_era_is_another_lease(self):
        self.assertEqual(self.reported((1, StoreEra(1))), [2])

    def test_news_are_reported_to_all_and_older_ends_to_none(self):
        self.assertEqual(self.reported(), [2])

    def test_end_of_contact_is_news_although_the_lease_ended_long_ago(self):
        self.store.record_contact_end(Lease(LeaseId(1)), self.clock.now())
        self.assertEqual(self.reported(), [1, 2])

    def test_host_that_names_no_leases_gets_all(self):
        self.assertEqual([each.lease for each in self.store.ended_leases_for(None)], [1, 2])
