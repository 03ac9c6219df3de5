import random
import unittest

import msgspec

from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import Address, AvailabilityZone, BackendId, HostId, Incarnation, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.placement.observercache import ObserverCache
from hickorywind.placement.observers import choose_observers
from hickorywind.protocol.records import MemberRecord, MemberState

ZONES = [AvailabilityZone(name) for name in "abcde"]


def make_service(number, rng):
    zones = rng.sample(ZONES, rng.randrange(1, 6))
    instances = tuple(
        Instance(BackendId(f"db-{number}-{zone}"), zone, "127.0.0.1:1", 1, 1) for zone in zones
    )
    return Service(ServiceName(f"s{number}"), instances, ())


def make_member(number, incarnation, rng):
    return MemberRecord(
        HostId(f"h{number}"),
        rng.choice(ZONES),
        Incarnation(incarnation),
        rng.choice([MemberState.ALIVE, MemberState.ALIVE, MemberState.DEAD, MemberState.LEAVING]),
        Address("127.0.0.1", number),
    )


class ObserverCacheTest(unittest.TestCase):
    def test_choice_equals_that_from_scratch_after_any_changes(self):
        for seed in range(20):
            rng = random.Random(seed)
            directory = Directory()
            cache = ObserverCache()
            services = [make_service(number, rng) for number in range(12)]
            for step in range(60):
                changes = rng.randrange(1, 4)
                records = [make_member(rng.randrange(12), step, rng) for _ in range(changes)]
                directory.merge(records)
                if rng.random() < 0.1:
                    services[0] = msgspec.structs.replace(
                        services[0], instances=make_service(0, rng).instances
                    )
                cache.update(directory)
                for service in services:
                    expected = tuple(choose_observers(service, directory))
                    self.assertEqual(cache.observers_of(service), expected, (seed, step))


if __name__ == "__main__":
    unittest.main()
