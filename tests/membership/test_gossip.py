import heapq
import unittest
from datetime import timedelta

import msgspec

from hickorywind.configuration.model import Configuration, Zone
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.ids import (
    AvailabilityZone,
    BackendId,
    HostId,
    Region,
    Revision,
    ServiceName,
    Term,
)
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    MemberState,
)
from hickorywind_bench.slopes.fleet import SimulatedFleet

FAR_ZONE = AvailabilityZone("c")


def learn_regions(directory):
    """Put zones a and b in one region and c in another; a ``setup`` function for ``Fleet``."""
    near = tuple(Zone(AvailabilityZone(name), Region("near")) for name in ("a", "b"))
    zones = (*near, Zone(FAR_ZONE, Region("far")))
    sections = split_sections(Configuration("test", zones, ()))
    records = [ConfigRecord(name, Revision(1), text) for name, text in sections.items()]
    directory.merge((*records, ConfigHeadRecord(Revision(1), digest_sections(sections))))


def between_regions_bytes(fleet):
    """Return the bytes sent between the far region and the near one."""
    return sum(
        size_bytes
        for (sender, target), size_bytes in fleet.bytes_by_link.items()
        if (sender == FAR_ZONE) != (target == FAR_ZONE)
    )


def seconds(value):
    return timedelta(seconds=value)


class GossipTest(unittest.TestCase):
    def start(self, count, seed=1, setup=None):
        fleet = SimulatedFleet(count, seed, setup)
        self.assertIsNotNone(fleet.run(seconds(30), fleet.has_converged))
        fleet.run(seconds(5))
        return fleet

    def state(self, fleet, observer, host):
        return fleet.gossipers[observer].directory.member(HostId(f"h{host}")).state

    def test_killed_host_is_dead_everywhere_and_restarts(self):
        fleet = self.start(30)
        fleet.stopped.add(7)
        took = fleet.run(seconds(20), fleet.has_converged)
        self.assertLess(took, seconds(8))
        fleet.start(7, incarnation=2)
        self.assertLess(fleet.run(seconds(20), fleet.has_converged), seconds(8))

    def assert_never_dead(self, fleet, duration_seconds):
        """Run a fleet and check that host 0 takes host 1 for dead at no moment."""
        for _ in range(round(duration_seconds / 0.05)):
            fleet.run(seconds(0.05))
            self.assertIsNot(self.state(fleet, 0, 1), MemberState.DEAD)

    def test_host_that_restarts_before_it_can_be_detected_is_at_no_moment_dead(self):
        for down_seconds in (0.5, 1.0, 1.5, 2.0, 2.4):
            for seed in range(20):
                with self.subTest(down_seconds=down_seconds, seed=seed):
                    fleet = self.start(3, seed)
                    fleet.stopped.add(1)
                    self.assert_never_dead(fleet, down_seconds)
                    fleet.start(1, incarnation=2)
                    self.assert_never_dead(fleet, 5.0)
                    self.assertIs(self.state(fleet, 0, 1), MemberState.ALIVE)

    def test_restart_with_an_older_incarnation_comes_back(self):
        fleet = self.start(9)
        fleet.stopped.add(4)
        fleet.run(seconds(10))
        fleet.start(4, incarnation=0)
        self.assertIsNotNone(fleet.run(seconds(20), fleet.has_converged))

    def test_restarted_host_publishes_nothing_before_it_joins(self):
        fleet = self.start(6)
        old = fleet.gossipers[2].own_record
        fleet.start(2, incarnation=9)
        joins_at = fleet.now + seconds(2)
        fleet.queue = [item for item in fleet.queue if item[2:] != (fleet.tick, 2)]
        heapq.heapify(fleet.queue)
        while fleet.now < joins_at:
            fleet.run(seconds(0.25))
            views = {fleet.gossipers[index].directory.member(HostId("h2")) for index in (0, 1, 5)}
            self.assertEqual(views, {old})
        fleet.tick(2)
        self.assertIsNotNone(fleet.run(seconds(10), fleet.has_converged))

    def test_frozen_host_refutes_its_death_and_suspects_nobody(self):
        fleet = self.start(9)
        fleet.frozen[3] = fleet.now + seconds(20)
        fleet.run(seconds(20.2))
        alive = [index for index in fleet.running_hosts() if index != 3]
        own_view = {self.state(fleet, 3, index) for index in alive}
        self.assertEqual(own_view, {MemberState.ALIVE})
        self.assertIsNotNone(fleet.run(seconds(20), fleet.has_converged))

    def test_suspicion_does_not_run_out_while_the_observer_is_frozen(self):
        fleet = self.start(3)
        observer = fleet.gossipers[0]
        suspect = observer.directory.member(HostId("h1"))
        suspect = msgspec.structs.replace(suspect, state=MemberState.SUSPECT)
        observer.publish(fleet.now, (suspect,))
        observer.tick(fleet.now + seconds(20))
        self.assertEqual(self.state(fleet, 0, 1), MemberState.SUSPECT)

    def test_host_cut_from_one_other_is_not_even_suspected(self):
        fleet = self.start(9)
        neighbour = fleet.gossipers[0].neighbours[0].controller.port
        before = fleet.gossipers[neighbour].own_record.incarnation
        fleet.is_cut = lambda a, b: {a, b} == {0, neighbour}
        fleet.run(seconds(30))
        # A suspected host would have refuted with a greater incarnation.
        self.assertEqual(fleet.gossipers[neighbour].own_record.incarnation, before)

    def test_partitioned_zone_keeps_its_hosts_and_rejoins(self):
        fleet = self.start(24)
        zone_a = {index for index in fleet.running_hosts() if index % 3 == 0}
        fleet.is_cut = lambda a, b: (a in zone_a) != (b in zone_a)
        inside = {f"h{index}" for index in zone_a}
        took = fleet.run(
            seconds(60), lambda: all(fleet.alive_hosts(index) == inside for index in zone_a)
        )
        self.assertIsNotNone(took)
        record = GroupRecord(ServiceName("s"), Term(2), BackendId("s-1"))
        fleet.gossipers[1].publish(fleet.now, (record,))
        fleet.run(seconds(60))
        self.assertIsNone(fleet.gossipers[0].directory.group(ServiceName("s")))
        fleet.is_cut = lambda a, b: False
        self.assertIsNotNone(fleet.run(seconds(30), fleet.has_converged))
        self.assertEqual(fleet.gossipers[0].directory.group(ServiceName("s")), record)

    def test_all_hosts_agree_after_a_zone_is_lost_at_once(self):
        fleet = self.start(60)
        fleet.stopped |= {index for index in fleet.running_hosts() if index % 3 == 2}
        self.assertLess(fleet.run(seconds(60), fleet.has_converged), seconds(20))

    def test_leaving_host_is_published_and_later_declared_dead(self):
        fleet = self.start(9)
        fleet.gossipers[5].leave(fleet.now)
        fleet.run(seconds(0.5))
        self.assertEqual(self.state(fleet, 0, 5), MemberState.LEAVING)
        fleet.stopped.add(5)
        self.assertIsNotNone(fleet.run(seconds(60), fleet.has_converged))

    def test_records_arrive_within_a_second_although_messages_are_lost(self):
        fleet = self.start(60)
        lossy = fleet.rng
        fleet.is_cut = lambda a, b: lossy.random() < 0.1
        record = GroupRecord(ServiceName("s"), Term(2), BackendId("s-1"))
        fleet.gossipers[1].publish(fleet.now, (record,))
        gossipers = fleet.gossipers.values()
        fleet.run(seconds(1))
        up_to_date = sum(
            gossiper.directory.group(ServiceName("s")) == record for gossiper in gossipers
        )
        self.assertGreater(up_to_date, 55)
        took = fleet.run(
            seconds(30),
            lambda: all(
                gossiper.directory.group(ServiceName("s")) == record for gossiper in gossipers
            ),
        )
        self.assertIsNotNone(took)

    def test_regions_are_joined_by_few_hosts_and_heal_after_a_cut(self):
        rates = []
        for count in (15, 45):
            fleet = self.start(count, setup=learn_regions)
            fleet.bytes_by_link.clear()
            fleet.run(seconds(20))
            rates.append(between_regions_bytes(fleet) / 20)
        self.assertLess(rates[1], rates[0] * 1.5)
        far = {index for index in fleet.running_hosts() if index % 3 == 2}
        fleet.is_cut = lambda a, b: (a in far) != (b in far)
        fleet.run(seconds(60))
        self.assertEqual(fleet.alive_hosts(2), {f"h{index}" for index in far})
        fleet.is_cut = lambda a, b: False
        self.assertIsNotNone(fleet.run(seconds(60), fleet.has_converged))

    def test_bytes_per_host_do_not_grow_with_the_fleet(self):
        rates = []
        for count in (12, 60):
            fleet = self.start(count)
            fleet.sent_bytes = 0
            fleet.run(seconds(20))
            rates.append(fleet.sent_bytes / 20 / count)
        self.assertLess(rates[1], rates[0] * 1.2)
        self.assertLess(rates[1], 1_000)


if __name__ == "__main__":
    unittest.main()
