import unittest

from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import Address, AvailabilityZone, BackendId, HostId, Incarnation, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.placement.observers import OBSERVER_COUNT, choose_observers
from hickorywind.placement.rendezvous import owner_of, rank_members
from hickorywind.placement.storewatchers import STORE_WATCHERS_PER_ZONE, choose_store_watchers
from hickorywind.protocol.records import MemberRecord, MemberState


def member(index, zone, state=MemberState.ALIVE):
    return MemberRecord(
        HostId(f"h{index}"),
        AvailabilityZone(zone),
        Incarnation(1),
        state,
        Address("127.0.0.1", index),
    )


def service(*zones):
    instances = tuple(
        Instance(BackendId(f"b{index}"), AvailabilityZone(zone), f"127.0.0.1:{index}", 3, 20)
        for index, zone in enumerate(zones, 1)
    )
    return Service(ServiceName("s"), instances, ())


def directory(*members):
    result = Directory()
    result.merge(members)
    return result


class RendezvousTest(unittest.TestCase):
    def test_only_the_keys_of_a_lost_member_move(self):
        members = [f"h{index}" for index in range(10)]
        before = {f"key{index}": owner_of(f"key{index}", members) for index in range(500)}
        after = {key: owner_of(key, members[1:]) for key in before}
        moved = {key for key in before if before[key] != after[key]}
        self.assertEqual(moved, {key for key, owner in before.items() if owner == "h0"})
        self.assertLess(len(moved), 100)
        self.assertEqual(rank_members("key1", members)[0], before["key1"])


class ObserversTest(unittest.TestCase):
    def test_one_in_each_zone_with_instances(self):
        members = [member(index, zone) for index, zone in enumerate("aaaaaaaaaabcd")]
        known = directory(*members)
        chosen = choose_observers(service("a", "b", "c"), known)
        zones = {known.member(host).availability_zone for host in chosen}
        self.assertEqual(zones, {"a", "b", "c"})
        self.assertEqual(len(chosen), OBSERVER_COUNT)

    def test_hosts_that_leave_or_are_dead_are_passed_over(self):
        states = (MemberState.LEAVING, MemberState.DEAD, MemberState.SUSPECT)
        known = directory(*[member(index, "a", state) for index, state in enumerate(states)])
        self.assertEqual(choose_observers(service("a"), known), ["h2"])


class StoreWatchersTest(unittest.TestCase):
    def test_number_does_not_grow_with_the_zone(self):
        known = directory(*[member(index, "ab"[index % 2]) for index in range(200)])
        chosen = choose_store_watchers(AvailabilityZone("a"), known)
        self.assertEqual(len(chosen), STORE_WATCHERS_PER_ZONE)
        self.assertEqual({known.member(host).availability_zone for host in chosen}, {"a"})
