import heapq
import itertools
import random
import unittest
from datetime import timedelta

from hickorywind.admission.retention import (
    IDLE_TIMEOUT,
    KEEP_LAST_SHARE,
    MIN_IDLE_TIMEOUT,
    START_GROWTH_INTERVAL,
    SURPLUS_IDLE_TIMEOUT,
    IdleRetention,
    connection_limit,
)

START = timedelta(seconds=100)
MILLISECOND = timedelta(milliseconds=1)


class RetentionTest(unittest.TestCase):
    def test_last_connection_is_kept_where_each_host_can_have_one(self):
        retention = IdleRetention()
        retention.even_share = KEEP_LAST_SHARE
        self.assertFalse(retention.should_close(START, 1, START + timedelta(hours=1)))
        self.assertFalse(retention.should_close(START, 2, START + SURPLUS_IDLE_TIMEOUT))
        self.assertTrue(
            retention.should_close(START, 2, START + SURPLUS_IDLE_TIMEOUT + MILLISECOND)
        )

    def test_connections_beyond_half_of_the_even_share_are_closed_sooner(self):
        """All hosts can connect again while a server keeps those of hosts that lost power."""
        retention = IdleRetention()
        retention.even_share = 8.0
        self.assertFalse(retention.should_close(START, 4, START + IDLE_TIMEOUT))
        self.assertTrue(retention.should_close(START, 4, START + IDLE_TIMEOUT + MILLISECOND))
        self.assertFalse(retention.should_close(START, 5, START + SURPLUS_IDLE_TIMEOUT))
        self.assertTrue(
            retention.should_close(START, 5, START + SURPLUS_IDLE_TIMEOUT + MILLISECOND)
        )

    def test_hosts_that_start_at_once_all_connect_beside_their_former_connections(self):
        """7 hosts and 16 connections: the former processes held half, and all connect again."""
        even_share = 16 / 7
        former = 7 * connection_limit(even_share, timedelta(0))
        self.assertLessEqual(former + 7 * connection_limit(even_share, timedelta(0)), 16)
        limits = [connection_limit(even_share, n * START_GROWTH_INTERVAL) for n in range(9)]
        self.assertEqual(limits, sorted(limits))
        self.assertEqual(limits[0] + 1, limits[1])
        self.assertEqual(limits[-1], connection_limit(even_share, timedelta(minutes=1)))

    def make_scarce(self, uses_per_s):
        """Return a retention with 1.2 connections for the host, after ten seconds of use."""
        retention = IdleRetention()
        retention.even_share = 1.2
        for number in range(uses_per_s * 10):
            retention.record_use(START - timedelta(seconds=10 - number / uses_per_s))
        return retention

    def test_frequent_use_shortens_the_timeout(self):
        rare, frequent = self.make_scarce(1), self.make_scarce(5)
        probe = START + timedelta(milliseconds=150)
        self.assertFalse(rare.should_close(START, 1, probe))
        self.assertTrue(frequent.should_close(START, 1, probe))

    def test_refusal_shortens_the_timeout_and_quiet_time_lengthens_it(self):
        probe = START + timedelta(milliseconds=280)
        retention = self.make_scarce(1)
        self.assertFalse(retention.should_close(START, 1, probe))
        retention.record_refusal(START)
        self.assertTrue(retention.should_close(START, 1, probe))
        later = START + timedelta(minutes=1)
        self.assertFalse(retention.should_close(later, 1, later + timedelta(milliseconds=280)))

    def test_timeout_never_falls_below_its_minimum(self):
        retention = self.make_scarce(50)
        for number in range(50):
            retention.record_refusal(START + number * timedelta(seconds=1))
        end = START + timedelta(seconds=49)
        self.assertFalse(retention.should_close(end, 1, end + MIN_IDLE_TIMEOUT - MILLISECOND))

    def test_refusals_at_one_time_count_once(self):
        probe = START + timedelta(milliseconds=130)
        for count in (1, 5):
            retention = self.make_scarce(1)
            for number in range(count):
                retention.record_refusal(START + number * MILLISECOND)
            self.assertFalse(retention.should_close(START, 1, probe))


class SharedServer:
    """Statements of many hosts at one server, each on a connection of its host.

    A host opens a connection if it has no idle one; the server refuses it at its limit.
    """

    WORK = timedelta(milliseconds=60)

    def __init__(self, hosts, limit, rate_per_s, keeps_last):
        self.rng = random.Random(1)
        self.limit = limit
        self.interval_s = 1 / rate_per_s
        self.open = {host: 0 for host in range(hosts)}
        self.idle = {host: [] for host in range(hosts)}
        self.retentions = [IdleRetention() for _ in range(hosts)]
        for retention in self.retentions:
            retention.even_share = KEEP_LAST_SHARE if keeps_last else limit / hosts
        self.served = self.refused = self.opened = 0

    def play(self, seconds):
        events = [(START, 0, None)]
        numbers = itertools.count(1)
        end = START + timedelta(seconds=seconds)
        while events:
            now, _, finishing = heapq.heappop(events)
            if now >= end:
                break
            if finishing is None:
                self.close_idle(now)
                host = self.rng.randrange(len(self.open))
                if self.begin(host, now):
                    heapq.heappush(events, (now + self.WORK, next(numbers), host))
                pause = timedelta(seconds=self.rng.expovariate(1 / self.interval_s))
                heapq.heappush(events, (now + pause, next(numbers), None))
            else:
                self.idle[finishing].append(now)
        return self

    def begin(self, host, now):
        self.retentions[host].record_use(now)
        if self.idle[host]:
            self.idle[host].pop()
        elif sum(self.open.values()) >= self.limit:
            self.retentions[host].record_refusal(now)
            self.refused += 1
            return False
        else:
            self.open[host] += 1
            self.opened += 1
        self.served += 1
        return True

    def close_idle(self, now):
        for host, idle in self.idle.items():
            for since in list(idle):
                if self.retentions[host].should_close(since, self.open[host], now):
                    idle.remove(since)
                    self.open[host] -= 1

    def refused_share(self):
        return self.refused / (self.refused + self.served)


class SharedServerTest(unittest.TestCase):
    """86 hosts that share 46 connections, and 195 that share 117."""

    def test_more_hosts_than_connections_are_served(self):
        for hosts, limit, rate_per_s in ((86, 46, 100), (195, 117, 100)):
            kept = SharedServer(hosts, limit, rate_per_s, keeps_last=True).play(60)
            shared = SharedServer(hosts, limit, rate_per_s, keeps_last=False).play(60)
            self.assertGreater(kept.refused_share(), 0.2)
            self.assertLess(shared.refused_share(), 0.02)

    def test_transactions_find_connections_at_a_busy_server(self):
        """98 hosts share 73 connections; each operation holds its own for a third of a second."""
        server = SharedServer(hosts=98, limit=73, rate_per_s=120, keeps_last=False)
        server.WORK = timedelta(milliseconds=330)
        self.assertLess(server.play(60).refused_share(), 0.02)

    def test_connections_are_kept_while_there_are_enough(self):
        server = SharedServer(hosts=86, limit=80, rate_per_s=20, keeps_last=False).play(60)
        self.assertEqual(server.refused, 0)
        self.assertLess(server.opened, server.served)


if __name__ == "__main__":
    unittest.main()
