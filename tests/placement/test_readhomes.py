import random
import unittest
from collections import Counter
from datetime import timedelta

from hickorywind.admission.dispatch import ServerState
from hickorywind.placement.readhomes import (
    REPORT_LIFETIME,
    SUSPECT_TIME,
    ReadHomes,
    ReportedLoads,
    choose_server,
)

START = timedelta(seconds=100)
MILLISECOND = timedelta(milliseconds=1)
SLOTS = 5


class ReadHomesTest(unittest.TestCase):
    def setUp(self):
        self.homes = ReadHomes()
        self.homes.update({f"h{n}": "z1" if n < 8 else "z2" for n in range(16)})

    def test_home_is_a_host_of_the_servers_zone(self):
        found = {self.homes.home_of(f"i-{n}", "z2", START) for n in range(50)}
        self.assertLessEqual(found, {f"h{n}" for n in range(8, 16)})
        self.assertGreater(len(found), 4)

    def test_next_host_stands_in_for_a_silent_home(self):
        home = self.homes.home_of("i-1", "z1", START)
        self.homes.record_silence(home, START)
        other = self.homes.home_of("i-1", "z1", START)
        self.assertNotIn(other, (None, home))
        self.assertEqual(self.homes.home_of("i-1", "z1", START + SUSPECT_TIME), home)

    def test_zone_without_hosts_has_no_home(self):
        self.assertIsNone(self.homes.home_of("i-1", "z9", START))


class ServerChoiceTest(unittest.TestCase):
    """Reads of 50 hosts at three servers, whose homes report how long reads take."""

    def play(self, reads_per_s, slow=1.0, reports=True, seconds=20):
        """Return the share of the reads that ended within a second, and the reads by server.

        Each server runs ``SLOTS`` reads at a time, of 25 ms each; the first one takes ``slow``
        times as long.
        """
        rng = random.Random(7)
        hosts = [ReportedLoads() for _ in range(50)]
        servers = [ServerState("i-0", 1, SLOTS), ServerState("i-1", 1, SLOTS)]
        servers.append(ServerState("i-2", 2, SLOTS))
        works = [0.025 * slow, 0.025, 0.025]
        free = [[0.0] * SLOTS for _ in servers]
        now, in_time, counts = 0.0, 0, Counter()
        while now < seconds:
            now += rng.expovariate(reads_per_s)
            loads, instant = rng.choice(hosts), timedelta(seconds=now)
            server = choose_server(servers, None, loads, instant, rng)
            number = servers.index(server)
            slot = min(range(SLOTS), key=free[number].__getitem__)
            end = max(now, free[number][slot]) + works[number]
            free[number][slot] = end
            counts[server.backend] += 1
            in_time += end - now < 1.0
            if reports:
                loads.record(server.backend, timedelta(seconds=end - now), instant)
        return in_time / counts.total(), counts

    def test_reads_leave_a_server_that_turns_slow(self):
        share, counts = self.play(300, slow=8.0)
        self.assertGreater(share, 0.98)
        self.assertLess(counts["i-0"], counts["i-1"])
        self.assertLess(self.play(300, slow=8.0, reports=False)[0], 0.8)

    def test_reads_overflow_to_the_other_region_only_under_load(self):
        quiet, counts = self.play(60)
        self.assertEqual((quiet, counts["i-2"]), (1.0, 0))
        busy, counts = self.play(500)
        self.assertGreater(busy, 0.98)
        self.assertGreater(counts["i-2"], 0)

    def test_old_reports_are_dropped(self):
        loads = ReportedLoads()
        loads.record("i-0", timedelta(seconds=3), START)
        self.assertEqual(loads.expected_duration("i-0", START), timedelta(seconds=3))
        later = START + REPORT_LIFETIME + MILLISECOND
        self.assertEqual(loads.expected_duration("i-0", later), timedelta(0))


if __name__ == "__main__":
    unittest.main()
