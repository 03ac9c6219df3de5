import random
import unittest

from hickorywind.ids import AvailabilityZone, BackendId, HostId
from hickorywind.placement.homes import HomeAssignments
from hickorywind.placement.rendezvous import owner_of

ZONES = [AvailabilityZone(name) for name in "abc"]
BACKENDS = {BackendId(f"db-{number}"): ZONES[number % 3] for number in range(30)}


def home_from_scratch(backend, zone, hosts):
    local = [host for host, own in hosts.items() if own == zone]
    return owner_of(backend, local or list(hosts))


class HomesTest(unittest.TestCase):
    def assert_homes(self, homes, backends, hosts, context):
        for backend, zone in backends.items():
            expected = home_from_scratch(backend, zone, hosts)
            self.assertEqual(homes.home_of(backend), expected, context)

    def test_homes_equal_those_computed_from_scratch_after_any_changes(self):
        for seed in range(20):
            rng = random.Random(seed)
            homes, hosts, backends = HomeAssignments(), {}, {}
            for step in range(120):
                host = HostId(f"h{rng.randrange(12)}")
                match rng.randrange(5):
                    case 0 | 1:
                        hosts[host] = rng.choice(ZONES)
                        homes.add_host(host, hosts[host])
                    case 2 | 3:
                        hosts.pop(host, None)
                        homes.remove_host(host)
                    case 4:
                        kept = rng.sample(sorted(BACKENDS), 20)
                        backends = {name: rng.choice(ZONES) for name in kept}
                        homes.set_backends(backends)
                self.assert_homes(homes, backends, hosts, (seed, step))

    def test_unknown_backend_and_no_hosts_have_no_home(self):
        homes = HomeAssignments()
        homes.set_backends(BACKENDS)
        self.assertIsNone(homes.home_of(BackendId("db-0")))
        homes.add_host(HostId("h"), ZONES[0])
        self.assertIsNone(homes.home_of(BackendId("other")))


if __name__ == "__main__":
    unittest.main()
