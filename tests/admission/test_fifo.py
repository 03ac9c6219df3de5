import random
import unittest

from hickorywind.admission.fifo import FifoQueue
from hickorywind.admission.requests import Refuse, Start
from hickorywind.ids import Rank
from hickorywind.results import ResultCode
from hickorywind.util.clock import milliseconds
from tests.admission.test_scheduler import LoadGenerator, make_policy


class FifoQueueTest(unittest.TestCase):
    def setUp(self) -> None:
        self.load = LoadGenerator(make_policy(slots=1))
        self.load.queue = FifoQueue(make_policy(slots=1, queue_limit=2), random.Random(1))

    def test_order_of_arrival_ignores_ranks(self) -> None:
        keys = [self.load.arrive(rank).key for rank in (Rank.BACKGROUND, Rank.STANDARD)]
        urgent = self.load.arrive(Rank.URGENT)
        self.assertEqual(list(self.load.running), keys[:1])
        self.load.step(milliseconds(10))
        self.assertEqual(list(self.load.running), keys[1:])
        self.load.step(milliseconds(10))
        self.assertEqual(list(self.load.running), [urgent.key])

    def test_requests_beyond_the_limit_and_expired_ones_are_refused(self) -> None:
        for _ in range(8):
            self.load.arrive(Rank.STANDARD, timeout=milliseconds(5))
        self.assertEqual(self.load.refused[Rank.STANDARD, ResultCode.QUEUE_FULL], 1)
        self.load.step(milliseconds(6))
        self.assertEqual(self.load.refused[Rank.STANDARD, ResultCode.DEADLINE_PASSED], 6)

    def test_every_request_gets_one_action(self) -> None:
        actions = []
        self.load.apply = actions.extend
        for _ in range(8):
            self.load.arrive(Rank.STANDARD)
        started = [action for action in actions if isinstance(action, Start)]
        refused = [action for action in actions if isinstance(action, Refuse)]
        self.assertEqual((len(started), len(refused)), (1, 1))
        self.assertEqual(self.load.queue.waiting_count, 6)
