"""Announcements of ended leases, and what they prove about the contact of a silent host."""

import unittest
from datetime import timedelta
from unittest import mock

import msgspec

from hickorywind.failover.leadership import (
    CONTACT_DURATION,
    CONTACT_END_DELAY,
    PERMIT_DRIFT_MARGIN,
    PERMIT_DURATION,
    Fencing,
    HostRecord,
    Permits,
    encode_record,
)
from hickorywind.host.fencer import Fencer
from hickorywind.host.fleet import HOSTS_PREFIX, Fleet
from hickorywind.host.leadershipstore import LeadershipStore
from hickorywind.host.silenthosts import SilentHostFencer
from hickorywind.ids import Address, HostId, Incarnation, Revision
from hickorywind.ports.coordination import LeaseId, Snapshot
from hickorywind.protocol.messages import LeaseEndsRecorded, RecordLeaseEnds
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import ManualClock
from tests.host.harness import SCHEMA

HOST_COUNT = 5


def registration(number, confirmations=2):
    name = HostId(f"h{number}")
    return HostRecord(
        name,
        Incarnation(1),
        "z1",
        Address("127.0.0.1", 1),
        LeaseId(number),
        confirmations=confirmations,
    )


class LeaseEndTestCase(unittest.IsolatedAsyncioTestCase):
    """Host h0 of five ends leases; each host needs two confirmations."""

    def setUp(self):
        self.clock = ManualClock()
        self.records = {f"h{number}": registration(number) for number in range(HOST_COUNT)}
        self.asked, self.unresponsive = [], set()
        self.peers = mock.Mock(call_each=self.call_each)
        self.relay = mock.AsyncMock(read_changes=self.read_changes)
        self.store = LeadershipStore(Fleet(SCHEMA, self.clock), self.relay, self.peers, "h0")

    async def read_range(self, prefix):
        items = (
            StoredValue(f"{HOSTS_PREFIX}{name}", encode_record(record), Revision(1))
            for name, record in self.records.items()
        )
        return Snapshot(tuple(items), Revision(1))

    async def read_changes(self, prefix, after):
        return await self.read_range(prefix)

    async def call_each(self, hosts, make_message, timeout):
        self.asked.append((frozenset(hosts), make_message(1)))
        return [LeaseEndsRecorded(1, host) for host in hosts if host not in self.unresponsive]

    async def end_lease_of(self, *names):
        for name in names:
            await self.store.end_lease(self.records[name])

    def contact_ended(self, name):
        return self.store.contact_ended_at(self.records[name]) is not None


class ContactEndTest(LeaseEndTestCase):
    async def test_contact_lasts_while_as_many_hosts_as_needed_may_confirm(self):
        await self.end_lease_of("h4")
        self.unresponsive = {"h2", "h3"}
        await self.store.announce_lease_ends({"h4"})
        self.assertFalse(self.contact_ended("h4"))

    async def test_silent_hosts_that_are_not_asked_may_confirm(self):
        await self.end_lease_of("h4")
        await self.store.announce_lease_ends({"h2", "h3", "h4"})
        self.assertFalse(self.contact_ended("h4"))

    async def test_silent_hosts_and_those_that_do_not_answer_count_together(self):
        await self.end_lease_of("h4")
        self.unresponsive = {"h2"}
        await self.store.announce_lease_ends({"h3", "h4"})
        self.assertFalse(self.contact_ended("h4"))

    async def test_number_is_read_anew_after_the_end_of_the_lease(self):
        hosts = await self.store.read_hosts_with_retries()
        self.records["h4"] = registration(4, confirmations=1)
        await self.store.end_lease(hosts["h4"])
        self.unresponsive = {"h3"}
        await self.store.announce_lease_ends({"h4"})
        self.assertFalse(self.contact_ended("h4"))

    async def test_hosts_that_have_recorded_an_end_are_not_asked_again(self):
        await self.end_lease_of("h4")
        self.unresponsive = {"h2", "h3"}
        await self.store.announce_lease_ends({"h4"})
        self.unresponsive = {"h1", "h2"}
        await self.store.announce_lease_ends({"h4"})
        self.assertEqual([hosts for hosts, _ in self.asked], [{"h1", "h2", "h3"}, {"h2", "h3"}])
        self.assertTrue(self.contact_ended("h4"))

    async def test_contact_ends_once_too_few_hosts_may_confirm(self):
        await self.end_lease_of("h4")
        self.unresponsive = {"h3"}
        await self.store.announce_lease_ends({"h4"})
        self.assertTrue(self.contact_ended("h4"))

    async def test_contact_of_hosts_whose_lease_is_in_force_does_not_end(self):
        await self.end_lease_of("h4")
        await self.store.announce_lease_ends({"h4"})
        self.assertFalse(any(self.contact_ended(name) for name in ("h1", "h2", "h3")))

    async def test_host_of_an_older_version_is_waited_for_as_before(self):
        self.records["h4"] = registration(4, confirmations=0)
        await self.end_lease_of("h4")
        await self.store.announce_lease_ends({"h4"})
        self.assertFalse(self.contact_ended("h4"))

    async def test_number_that_was_read_before_a_lease_ended_does_not_count_for_it(self):
        """The host may have lowered it since, and another host ended the lease after that."""
        await self.end_lease_of("h4")
        read_changes = self.relay.read_changes

        async def answer_late(prefix, after):
            snapshot = await read_changes(prefix, after)
            self.store.record_lease_end(self.records["h3"].granted_lease, self.clock.now())
            return snapshot

        self.relay.read_changes = answer_late
        await self.store.announce_lease_ends({"h3", "h4"})
        self.assertFalse(self.contact_ended("h3"))
        self.assertTrue(self.contact_ended("h4"))

    async def test_nothing_is_sent_while_the_silent_hosts_alone_may_confirm(self):
        await self.end_lease_of("h2", "h3", "h4")
        await self.store.announce_lease_ends({"h2", "h3", "h4"})
        self.assertEqual(self.asked, [])

    async def test_contact_end_is_passed_on(self):
        await self.end_lease_of("h4")
        await self.store.announce_lease_ends({"h4"})
        self.clock.advance(timedelta(milliseconds=300))
        (ended,) = self.store.ended_leases()
        self.assertEqual((ended.age_ms, ended.without_contact_ms), (300, 300))


class OverlappingFencingTest(LeaseEndTestCase):
    async def test_contact_end_of_a_newer_lease_does_not_shorten_the_wait_for_an_older_one(self):
        fleet = mock.Mock(now=self.clock.now)
        fencer = Fencer(fleet, self.store, self.peers, HostId("h0"))
        self.peers.is_responding = mock.AsyncMock(return_value=False)
        self.unresponsive = set(self.records)
        self.peers.call = mock.AsyncMock(return_value=None)
        self.peers.table.has_missed_greeting.return_value = False
        closed = mock.MagicMock()
        closed.record.names_as_stopped.return_value = False
        closed.record.is_planned = False
        fencing = await fencer._stop_other_hosts(mock.Mock(), closed)
        self.records["h4"] = registration(4, confirmations=2)
        self.records["h4"] = msgspec.structs.replace(self.records["h4"], lease=LeaseId(44))
        await fencer._stop_other_hosts(mock.Mock(), closed)
        self.store.record_contact_end(self.records["h4"].granted_lease, self.clock.now())
        await fencer._announce_lease_ends(fencing)
        self.assertIn("h4", fencing.hosts_with_contact())


class SilentHostsTest(LeaseEndTestCase):
    async def test_hosts_that_fall_silent_together_are_announced_once(self):
        self.records = {f"h{number}": registration(number, 8) for number in range(16)}
        silent = {f"h{number}": Incarnation(1) for number in range(10, 16)}
        self.peers.answers_first_greeting = mock.AsyncMock(return_value=False)
        coordination_store = mock.AsyncMock(read_range=self.read_range)
        fleet = mock.Mock(now=self.clock.now)
        fencer = SilentHostFencer(fleet, coordination_store, self.store, self.peers)
        with mock.patch.object(Fencing, "is_complete", return_value=True):
            await fencer._fence_all(silent)
        announced = [message for _, message in self.asked if isinstance(message, RecordLeaseEnds)]
        self.assertEqual([len(message.leases) for message in announced], [len(silent)])
        self.assertEqual(self.asked[0][0], frozenset(self.records.keys() - silent - {"h0"}))


class ContactTest(unittest.TestCase):
    """What a permit rests on, and how long a promoter waits for it."""

    NEEDED = 3

    def permits(self):
        permits = Permits(required_confirmations=self.NEEDED)
        permits.extend(timedelta(seconds=10))
        return permits

    def confirm(self, permits, *seconds):
        for number, second in enumerate(seconds):
            permits.record_confirmation(f"h{number}", timedelta(seconds=second))

    def test_permit_lasts_for_the_contact_of_a_renewal(self):
        permits = self.permits()
        self.assertEqual(permits.expires_at, timedelta(seconds=10) + CONTACT_DURATION)

    def test_one_confirmation_too_few_gives_no_contact(self):
        permits = self.permits()
        self.confirm(permits, 12, 12)
        self.assertEqual(permits.expires_at, timedelta(seconds=10) + CONTACT_DURATION)

    def test_contact_is_as_old_as_the_oldest_needed_confirmation(self):
        permits = self.permits()
        self.confirm(permits, 11, 13, 12, 10)
        self.assertEqual(permits.expires_at, timedelta(seconds=11) + CONTACT_DURATION)

    def test_repeated_confirmations_of_one_host_count_once(self):
        permits = self.permits()
        for second in (11, 12, 13):
            permits.record_confirmation("h1", timedelta(seconds=second))
        self.assertEqual(permits.expires_at, timedelta(seconds=10) + CONTACT_DURATION)

    def test_confirmations_do_not_outlast_the_lease(self):
        permits = self.permits()
        self.confirm(permits, 16.5, 16.5, 16.5)
        self.assertEqual(permits.expires_at, timedelta(seconds=10) + PERMIT_DURATION)

    def test_promoter_waits_for_the_contact_and_for_drift(self):
        fencing = Fencing.from_hosts({"h4"})
        fencing.record_lease_end("h4", timedelta(seconds=10))
        fencing.record_contact_end("h4", timedelta(seconds=11))
        self.assertFalse(fencing.is_complete(timedelta(seconds=11) + CONTACT_DURATION))
        self.assertTrue(fencing.is_complete(timedelta(seconds=11) + CONTACT_END_DELAY))
        self.assertGreaterEqual(CONTACT_END_DELAY - CONTACT_DURATION, PERMIT_DRIFT_MARGIN)

    def test_late_contact_end_does_not_lengthen_the_wait(self):
        fencing = Fencing.from_hosts({"h4"})
        fencing.record_lease_end("h4", timedelta(seconds=10))
        fencing.record_contact_end("h4", timedelta(seconds=17))
        self.assertTrue(fencing.is_complete(timedelta(seconds=17.2)))


if __name__ == "__main__":
    unittest.main()
