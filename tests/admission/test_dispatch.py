import random
import unittest
from collections import Counter
from datetime import timedelta

from hickorywind.admission.dispatch import (
    LOWEST_RANK_INTERVAL,
    OTHER_HOST_RETRY_DELAY,
    AtPosition,
    Dispatcher,
    OnPrimary,
    QueuedOperation,
    ServerState,
)
from hickorywind.ids import LogPosition
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import to_milliseconds

START = timedelta(seconds=10)
POSITION = LogPosition(1, 5)


class DispatcherCase(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(random.Random(1))
        self.dispatcher.primary = "i-a"
        for name, distance in (("i-a", 0), ("i-b", 1), ("i-c", 2)):
            self.dispatcher.servers[name] = ServerState(name, distance, 3)
        self.granted = []
        self.refused = []

    def submit(self, rank=0, target=None, arrived=START, wait_ms=5_000, objective_ms=1_000):
        operation = QueuedOperation(
            rank=rank,
            start_by=arrived + timedelta(milliseconds=objective_ms),
            give_up_at=arrived + timedelta(milliseconds=wait_ms),
            target=target or OnPrimary(),
            grant=lambda backend: self.granted.append((rank, backend)),
            refuse=lambda result: self.refused.append(result),
        )
        self.dispatcher.submit(operation, arrived)
        return operation

    def finish(self, backend, now=START, duration_ms=20):
        self.dispatcher.servers[backend].limit.finish(timedelta(milliseconds=duration_ms), now)
        self.dispatcher.dispatch_waiting(now)

    def fill(self, backend="i-a"):
        limit = self.dispatcher.servers[backend].limit
        while limit.has_capacity:
            limit.start(START)


class RetargetTest(DispatcherCase):
    """Load: after a start all reads wait for the primary, as its log position is not known yet."""

    def wait_for_primary(self, retarget):
        operation = self.submit()
        operation.retarget = retarget
        return operation

    def test_waiting_reads_run_at_replicas_once_the_position_is_known(self):
        self.fill()
        for _ in range(4):
            self.wait_for_primary(lambda: AtPosition(POSITION))
        self.assertEqual(self.granted, [])
        self.assertTrue(self.dispatcher.retarget_reads())
        self.dispatcher.dispatch_waiting(START)
        self.assertEqual({backend for _, backend in self.granted}, {"i-b", "i-c"})
        self.assertEqual(len(self.granted), 4)

    def test_work_that_only_the_primary_can_run_stays(self):
        self.fill()
        write, read = self.wait_for_primary(None), self.wait_for_primary(OnPrimary)
        self.assertFalse(self.dispatcher.retarget_reads())
        self.dispatcher.dispatch_waiting(START)
        self.assertEqual(self.granted, [])
        self.assertEqual((write.target, read.target), (OnPrimary(), OnPrimary()))


class ServerChoiceTest(DispatcherCase):
    def test_primary_operations_go_to_the_primary_only(self):
        for _ in range(9):
            self.submit()
        self.assertEqual({backend for _, backend in self.granted}, {"i-a"})
        self.assertEqual(len(self.granted), 3)

    def test_reads_prefer_a_near_replica_and_then_use_other_servers(self):
        for _ in range(9):
            self.submit(target=AtPosition(POSITION))
        order = [backend for _, backend in self.granted]
        self.assertEqual(order[0], "i-b")
        self.assertEqual(set(order), {"i-a", "i-b", "i-c"})

    def test_replica_that_was_behind_is_probed_by_one_read_at_a_time(self):
        for name in ("i-b", "i-c"):
            self.dispatcher.servers[name].record_missing_position(POSITION, START)
        self.submit(target=AtPosition(POSITION))
        self.assertEqual(self.granted[-1][1], "i-a")
        self.fill("i-a")
        later = START + timedelta(milliseconds=300)
        for _ in range(6):
            self.submit(target=AtPosition(POSITION), arrived=later)
        probes = Counter(backend for _, backend in self.granted[1:])
        self.assertEqual(probes, Counter({"i-b": 1, "i-c": 1}))

    def test_replica_that_was_rolled_back_behind_a_position_is_skipped_for_it(self):
        server = self.dispatcher.servers["i-b"]
        server.record_position(POSITION)
        server.record_missing_position(POSITION, START)
        self.assertFalse(server.has_probably_applied(POSITION, START))

    def test_lagging_replicas_are_checked_less_and_less_often(self):
        """Reads arrive for 8 s while both replicas lag and the primary has no connection left."""
        self.dispatcher.servers["i-a"].has_connection = lambda: False
        checks = 0
        for step in range(160):
            now = START + step * timedelta(milliseconds=50)
            self.submit(target=AtPosition(POSITION), arrived=now)
            for _, backend in self.granted:
                checks += 1
                server = self.dispatcher.servers[backend]
                server.limit.finish_without_answer()
                server.record_missing_position(POSITION, now)
            self.granted.clear()
        self.assertLess(checks, 20)
        server = self.dispatcher.servers["i-b"]
        server.record_position(POSITION)
        self.assertTrue(server.has_probably_applied(POSITION, START + timedelta(seconds=8)))

    def test_server_that_fails_reads_gets_them_only_when_no_other_can_run_them(self):
        """A replica fails every read for 10 s; each of its failures costs a caller a second run."""
        failures = 0
        for step in range(500):
            now = START + step * timedelta(milliseconds=20)
            self.submit(target=AtPosition(POSITION), arrived=now)
            for _, backend in self.granted:
                server = self.dispatcher.servers[backend]
                server.limit.finish(timedelta(milliseconds=5), now)
                if backend == "i-b":
                    failures += 1
                    server.record_failed_read(now)
            self.granted.clear()
        self.assertLess(failures, 8)
        for name in ("i-a", "i-c"):
            self.dispatcher.servers[name].is_available = False
        self.submit(target=AtPosition(POSITION), arrived=now)
        self.assertEqual(self.granted[-1][1], "i-b")

    def test_replica_that_was_behind_serves_reads_of_older_positions(self):
        self.dispatcher.servers["i-b"].record_missing_position(POSITION, START)
        self.submit(target=AtPosition(LogPosition(1, 2)))
        self.assertEqual(self.granted[-1][1], "i-b")

    def test_nothing_is_granted_without_a_connection(self):
        for server in self.dispatcher.servers.values():
            server.has_connection = lambda: False
        self.submit(target=AtPosition(POSITION))
        self.assertEqual(self.granted, [])

    def test_each_grant_reserves_a_connection(self):
        reserved = []
        server = self.dispatcher.servers["i-a"]
        server.has_connection = lambda: len(reserved) < 1
        server.reserve_connection = lambda: reserved.append(1)
        for _ in range(4):
            self.submit()
        self.assertEqual(len(self.granted), 1)


class OrderTest(DispatcherCase):
    def test_urgent_operations_go_first_and_lower_ranks_keep_a_share(self):
        """Overload of the most urgent rank with few operations of each other rank."""
        self.fill()
        for number in range(200):
            self.submit(rank=0, wait_ms=60_000, objective_ms=50_000)
            if number % 10 == 0:
                self.submit(rank=1, wait_ms=60_000, objective_ms=50_000)
                self.submit(rank=2, wait_ms=60_000, objective_ms=50_000)
        for _ in range(120):
            self.finish("i-a")
        served = Counter(rank for rank, _ in self.granted)
        self.assertGreaterEqual(served[0], 80)
        self.assertGreaterEqual(served[1] + served[2], 120 // LOWEST_RANK_INTERVAL - 1)

    def test_operations_that_can_meet_their_objective_go_before_others(self):
        self.fill()
        self.submit(rank=0, objective_ms=100)
        late = START + timedelta(milliseconds=500)
        self.submit(rank=2, arrived=late)
        self.finish("i-a", late)
        self.assertEqual(self.granted[-1][0], 2)

    def test_new_operation_does_not_overtake_one_waiting_for_the_same_server(self):
        self.fill()
        self.submit(rank=0)
        limit = self.dispatcher.servers["i-a"].limit
        limit.in_flight -= 1
        self.submit(rank=2)
        self.assertEqual(self.granted, [])


class RefusalTest(DispatcherCase):
    def test_operation_that_would_wait_too_long_is_refused_at_once_with_a_retry_delay(self):
        self.fill()
        for _ in range(400):
            self.submit(wait_ms=300)
        refused = [result for result in self.refused]
        self.assertTrue(refused)
        for result in refused:
            self.assertEqual(result.code, ResultCode.WOULD_MISS_DEADLINE)
            self.assertEqual(result.outcome, Outcome.NOT_RUN)
            self.assertGreaterEqual(result.retry_after_ms, 50)
        self.assertGreater(len({result.retry_after_ms for result in refused}), 5)

    def test_operation_without_a_primary_is_refused_when_its_wait_ends(self):
        self.dispatcher.primary = None
        self.submit(wait_ms=200)
        self.dispatcher.dispatch_waiting(START + timedelta(milliseconds=199))
        self.assertEqual(self.refused, [])
        self.dispatcher.dispatch_waiting(START + timedelta(milliseconds=200))
        self.assertEqual(self.refused[0].code, ResultCode.NO_PRIMARY)
        self.assertGreaterEqual(self.refused[0].retry_after_ms, 1_000)

    def test_operation_for_a_busy_primary_is_refused_when_its_wait_ends(self):
        self.fill()
        self.submit(wait_ms=200)
        self.dispatcher.dispatch_waiting(START + timedelta(milliseconds=200))
        self.assertEqual(self.refused[0].code, ResultCode.DEADLINE_PASSED)

    def test_operations_for_an_unreachable_primary_are_refused_and_reads_stay(self):
        self.dispatcher.primary = None
        for server in self.dispatcher.servers.values():
            server.is_available = False
        self.submit()
        self.submit(target=AtPosition(POSITION))
        self.dispatcher.refuse_primary_operations("others do")
        self.assertEqual(len(self.refused), 1)
        self.assertEqual(self.dispatcher.waiting_count, 1)

    def test_retry_delays_of_work_for_other_hosts_are_spread(self):
        self.dispatcher.primary = None
        for _ in range(20):
            self.submit()
        self.dispatcher.refuse_primary_operations("others do")
        delays = {result.retry_after_ms for result in self.refused}
        self.assertGreater(len(delays), 10)
        self.assertGreaterEqual(min(delays), to_milliseconds(OTHER_HOST_RETRY_DELAY))

    def test_refuse_all_empties_the_queue(self):
        self.fill()
        self.submit()
        self.dispatcher.refuse_all(self._result())
        self.assertEqual((len(self.refused), self.dispatcher.waiting_count), (1, 0))

    @staticmethod
    def _result():
        return Result.not_run(ResultCode.NO_PRIMARY, "x", 100)


class ReturnedPrimaryTest(DispatcherCase):
    """Load: operations of some seconds wait for a primary, and it returns just before the limit."""

    def test_operations_that_still_have_time_run_once_the_primary_is_back(self):
        self.dispatcher.primary = None
        self.dispatcher.absence_deadline = START + timedelta(seconds=5)
        back_at = START + timedelta(milliseconds=4_900)
        for number in range(30):
            self.submit(arrived=START + timedelta(milliseconds=150 * number))
        self.dispatcher.primary = "i-a"
        self.dispatcher.dispatch_waiting(back_at)
        now = back_at
        while len(self.granted) + len(self.refused) < 30:
            now += timedelta(milliseconds=20)
            self.finish("i-a", now)
        # The first one arrived 5 s ago; the others are served within their own time.
        self.assertLessEqual(len(self.refused), 1)

    def test_operations_are_refused_once_the_primary_was_absent_for_long(self):
        self.dispatcher.primary = None
        self.dispatcher.absence_deadline = START + timedelta(seconds=2)
        self.submit()
        self.dispatcher.dispatch_waiting(START + timedelta(milliseconds=1_900))
        self.assertEqual(self.refused, [])
        self.dispatcher.dispatch_waiting(START + timedelta(seconds=2))
        self.submit(arrived=START + timedelta(seconds=3))
        self.assertEqual([each.code for each in self.refused], [ResultCode.NO_PRIMARY] * 2)
        self.assertTrue(all(each.retry_after_ms for each in self.refused))
