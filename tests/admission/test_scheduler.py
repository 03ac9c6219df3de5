"""Tests of the admission queue under load, and of its invariants under random schedules."""

import random
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hickorywind.admission.requests import Refuse, Start, WaitingRequest
from hickorywind.admission.scheduler import AdmissionPolicy, AdmissionQueue
from hickorywind.configuration.model import RankPolicy
from hickorywind.ids import Rank, SessionId
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock, milliseconds

FLOOR_PERCENTS = {Rank.URGENT: 40, Rank.STANDARD: 30, Rank.BACKGROUND: 10}
SERVICE_MS = 10


def make_policy(slots=3, queue_limit=1_000, per_session=1_000, size=10_000_000):
    ranks = tuple(
        RankPolicy(rank, floor, queue_limit=queue_limit, queue_limit_bytes=size)
        for rank, floor in FLOOR_PERCENTS.items()
    )
    return AdmissionPolicy(slots, ranks, per_session)


class LoadGenerator:
    """Open-loop load on a queue; each started request takes the service time."""

    def __init__(self, policy: AdmissionPolicy, timeout_ms: float = 5_000) -> None:
        self.clock = ManualClock()
        self.queue = AdmissionQueue(policy, random.Random(1))
        self.timeout = milliseconds(timeout_ms)
        self.number = 0
        self.running: dict = {}
        self.started: Counter = Counter()
        self.refused: Counter = Counter()
        self.waits: dict = {rank: [] for rank in Rank}
        self.most_running = 0

    def arrive(self, rank: Rank, session: str = "s", timeout=None, size=100, in_transaction=False):
        self.number += 1
        now = self.clock.now()
        deadline = now + (timeout or self.timeout)
        request = WaitingRequest(
            self.number, SessionId(session), rank, size, now, deadline, in_transaction
        )
        self.apply(self.queue.arrive(request, now))
        return request

    def apply(self, actions) -> None:
        for action in actions:
            match action:
                case Start(request):
                    self.started[request.rank] += 1
                    self.waits[request.rank].append(self.clock.now() - request.arrived)
                    self.running[request.key] = self.clock.now() + milliseconds(SERVICE_MS)
                case Refuse(request, result):
                    self.refused[request.rank, result.code] += 1
        self.most_running = max(self.most_running, len(self.running))

    def step(self, by: timedelta) -> None:
        end = self.clock.now() + by
        while self.running and min(self.running.values()) <= end:
            key = min(self.running, key=self.running.get)
            self.clock.advance(self.running.pop(key) - self.clock.now())
            self.apply(self.queue.finish(key, self.clock.now()))
        self.clock.advance(end - self.clock.now())
        self.apply(self.queue.expire(self.clock.now()))

    def offer_load(
        self, rates: dict[Rank, int], milliseconds_long: int, sessions: int = 50
    ) -> None:
        """Let ``rates`` requests of each rank arrive per 10 ms."""
        for tick in range(milliseconds_long // 10):
            for rank, rate in rates.items():
                for index in range(rate):
                    self.arrive(rank, f"{rank.value}-{(tick + index) % sessions}")
            self.step(milliseconds(10))


class GuaranteedShareTest(unittest.TestCase):
    def check_guaranteed_shares(self, rates: dict[Rank, int]) -> LoadGenerator:
        load = LoadGenerator(make_policy())
        load.offer_load(rates, 3_000)
        total = sum(load.started.values())
        for rank, floor in FLOOR_PERCENTS.items():
            wanted = min(floor / 100, rates.get(rank, 0) / 3)
            self.assertGreaterEqual(load.started[rank] / total, 0.9 * wanted, rank)
        return load

    def test_every_rank_gets_its_share_when_all_are_overloaded(self) -> None:
        self.check_guaranteed_shares({Rank.URGENT: 30, Rank.STANDARD: 30, Rank.BACKGROUND: 30})

    def test_urgent_rank_gets_all_that_the_other_shares_leave(self) -> None:
        # With two slots none is reserved for urgent requests.
        load = LoadGenerator(make_policy(slots=2))
        load.offer_load({Rank.URGENT: 30, Rank.STANDARD: 30, Rank.BACKGROUND: 30}, 1_000)
        share = load.started[Rank.URGENT] / sum(load.started.values())
        self.assertGreaterEqual(share, 0.9 * (1 - 0.3 - 0.1))

    def test_lower_ranks_keep_their_share_when_the_urgent_rank_is_overloaded(self) -> None:
        load = self.check_guaranteed_shares({Rank.URGENT: 30, Rank.STANDARD: 1, Rank.BACKGROUND: 1})
        self.assertGreater(load.started[Rank.URGENT], load.started[Rank.STANDARD])

    def test_share_of_a_rank_without_requests_goes_to_others(self) -> None:
        load = LoadGenerator(make_policy())
        load.offer_load({Rank.URGENT: 30}, 1_000)
        self.assertGreaterEqual(load.started[Rank.URGENT], 295)

    def test_background_rank_gets_all_slots_without_other_requests(self) -> None:
        load = LoadGenerator(make_policy())
        load.offer_load({Rank.BACKGROUND: 30}, 1_000)
        self.assertGreaterEqual(load.started[Rank.BACKGROUND], 295)

    def test_urgent_requests_start_at_once_when_the_background_rank_is_overloaded(self) -> None:
        load = LoadGenerator(make_policy())
        load.offer_load({Rank.BACKGROUND: 30}, 300)
        for _ in range(100):
            load.offer_load({Rank.URGENT: 1, Rank.BACKGROUND: 30}, 20)
        waits = sorted(load.waits[Rank.URGENT])
        self.assertLessEqual(waits[len(waits) * 99 // 100], milliseconds(SERVICE_MS / 2))

    def test_rank_does_not_repay_slot_time_that_no_other_rank_wanted(self) -> None:
        load = LoadGenerator(make_policy())
        load.offer_load({Rank.BACKGROUND: 30}, 2_000)
        before = load.started[Rank.BACKGROUND]
        load.offer_load({Rank.URGENT: 30, Rank.BACKGROUND: 30}, 1_000)
        self.assertGreaterEqual(load.started[Rank.BACKGROUND] - before, 0.9 * 30)


class PolicyChangeTest(unittest.TestCase):
    def test_changed_shares_and_slots_apply_to_waiting_requests(self) -> None:
        load = LoadGenerator(make_policy(slots=1))
        rates = {Rank.URGENT: 30, Rank.BACKGROUND: 30}
        load.offer_load(rates, 500)
        ranks = (RankPolicy(Rank.URGENT, 20), RankPolicy(Rank.BACKGROUND, 50))
        load.queue.set_policy(AdmissionPolicy(4, ranks, 1_000))
        before = Counter(load.started)
        load.offer_load(rates, 1_000)
        started = load.started - before
        self.assertEqual(load.most_running, 4)
        self.assertGreaterEqual(started[Rank.BACKGROUND], 0.9 * 0.5 * sum(started.values()))


class FairnessTest(unittest.TestCase):
    def test_one_session_does_not_monopolize_its_rank(self) -> None:
        load = LoadGenerator(make_policy())
        for _ in range(200):
            load.arrive(Rank.STANDARD, "greedy")
        others = [load.arrive(Rank.STANDARD, f"others-{index}").key for index in range(3)]
        load.step(milliseconds(2.5 * SERVICE_MS))
        self.assertTrue(set(others) <= set(range(load.number + 1)) - self.waiting(load))

    def waiting(self, load: LoadGenerator) -> set:
        queues = load.queue._queues()
        return {request.key for queue in queues for request in queue}

    def test_session_over_its_limit_is_refused(self) -> None:
        load = LoadGenerator(make_policy(per_session=5))
        for _ in range(8):
            load.arrive(Rank.STANDARD, "one")
        self.assertEqual(load.refused[Rank.STANDARD, ResultCode.SESSION_LIMIT], 3)
        load.step(milliseconds(100))
        load.arrive(Rank.STANDARD, "one")
        self.assertEqual(load.refused[Rank.STANDARD, ResultCode.SESSION_LIMIT], 3)

    def test_open_transaction_continues_at_once(self) -> None:
        load = LoadGenerator(make_policy(slots=1))
        for _ in range(20):
            load.arrive(Rank.URGENT)
        in_transaction = load.arrive(Rank.BACKGROUND, "t", in_transaction=True)
        self.assertIn(in_transaction.key, load.running)


class SheddingTest(unittest.TestCase):
    def test_request_that_would_miss_its_deadline_is_refused_at_arrival(self) -> None:
        load = LoadGenerator(make_policy())
        load.offer_load({Rank.STANDARD: 3}, 200)
        for _ in range(300):
            load.arrive(Rank.STANDARD, str(load.number))
        load.arrive(Rank.STANDARD, "late", timeout=milliseconds(100))
        self.assertEqual(load.refused[Rank.STANDARD, ResultCode.WOULD_MISS_DEADLINE], 1)

    def test_most_admitted_requests_meet_their_deadline_under_overload(self) -> None:
        load = LoadGenerator(make_policy(), timeout_ms=200)
        load.offer_load({Rank.URGENT: 10, Rank.STANDARD: 10, Rank.BACKGROUND: 10}, 3_000)
        late = sum(
            count for (_, code), count in load.refused.items() if code is ResultCode.DEADLINE_PASSED
        )
        self.assertLess(late, 0.2 * sum(load.started.values()))
        self.assertGreaterEqual(sum(load.started.values()), 0.95 * 900)

    def test_retry_delays_are_spread(self) -> None:
        delays = []
        load = LoadGenerator(make_policy(queue_limit=10))
        load.apply = lambda actions: delays.extend(
            action.result.retry_after_ms for action in actions if isinstance(action, Refuse)
        )
        for index in range(60):
            load.arrive(Rank.STANDARD, str(index))
        self.assertGreater(len(set(delays)), 15)
        self.assertTrue(all(delay >= 50 for delay in delays))

    def test_urgent_arrival_evicts_the_newest_request_of_the_lowest_rank(self) -> None:
        load = LoadGenerator(make_policy(queue_limit=10))
        for index in range(13):
            load.arrive(Rank.BACKGROUND, str(index))
        for index in range(4):
            load.arrive(Rank.URGENT, f"within its floor {index}")
        self.assertEqual(load.refused, {})
        urgent = load.arrive(Rank.URGENT, "u")
        self.assertEqual(load.refused[Rank.BACKGROUND, ResultCode.QUEUE_FULL], 5)
        self.assertNotIn(13, FairnessTest.waiting(self, load))
        self.assertIn(urgent.key, FairnessTest.waiting(self, load))


event = st.one_of(
    st.tuples(
        st.just("arrive"),
        st.sampled_from(tuple(Rank)),
        st.integers(0, 3),
        st.integers(1, 200),
        st.booleans(),
    ),
    st.tuples(st.just("finish"), st.integers(0, 10)),
    st.tuples(st.just("withdraw"), st.integers(0, 60)),
    st.tuples(st.just("advance"), st.integers(0, 60)),
)


class InvariantTest(unittest.TestCase):
    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.lists(event, max_size=120), st.integers(1, 4))
    def test_bounds_hold_and_every_request_ends_once(self, events, slots) -> None:
        clock = ManualClock()
        policy = make_policy(slots=slots, queue_limit=8, per_session=12, size=1_000)
        queue = AdmissionQueue(policy, random.Random(2))
        arrived, running, ended, deadlines = set(), {}, set(), {}
        continues_transaction = {}

        def apply(actions) -> None:
            for action in actions:
                key = action.request.key
                self.assertNotIn(key, ended)
                self.assertNotIn(key, running)
                match action:
                    case Start():
                        self.assertGreater(deadlines[key], clock.now())
                        running[key] = True
                    case Refuse(_, result):
                        self.assertIs(result.outcome, Outcome.NOT_RUN)
                        ended.add(key)

        for kind, *values in events:
            match kind:
                case "arrive":
                    rank, session, timeout, in_transaction = values
                    key = len(arrived)
                    arrived.add(key)
                    continues_transaction[key] = in_transaction
                    deadlines[key] = clock.now() + milliseconds(timeout)
                    request = WaitingRequest(
                        key,
                        SessionId(str(session)),
                        rank,
                        100,
                        clock.now(),
                        deadlines[key],
                        in_transaction,
                    )
                    apply(queue.arrive(request, clock.now()))
                case "finish":
                    if running:
                        key = sorted(running)[values[0] % len(running)]
                        del running[key]
                        ended.add(key)
                        apply(queue.finish(key, clock.now()))
                case "withdraw":
                    if queue.withdraw(values[0], clock.now()):
                        self.assertNotIn(values[0], running)
                        ended.add(values[0])
                case "advance":
                    clock.advance(milliseconds(values[0]))
                    apply(queue.expire(clock.now()))
            begun = [key for key in running if not continues_transaction[key]]
            self.assertLessEqual(len(begun), slots)
            self.assertEqual(queue.running_count, len(running))
            self.assertEqual(queue.waiting_count, len(arrived) - len(running) - len(ended))
            waiting = queue.waiting_by_rank()
            self.assertEqual(sum(waiting.values()), queue.waiting_count)
            if len(running) < slots - 1:
                self.assertEqual(queue.waiting_count, 0)
        while running:
            key = next(iter(running))
            del running[key]
            ended.add(key)
            apply(queue.finish(key, clock.now()))
        clock.advance(timedelta(seconds=5))
        apply(queue.expire(clock.now()))
        self.assertEqual(ended, arrived)
