import random
import unittest
from datetime import timedelta

from hickorywind.admission.requests import Start, WaitingRequest
from hickorywind.admission.scheduler import AdmissionPolicy, AdmissionQueue
from hickorywind.configuration.model import RankPolicy
from hickorywind.ids import Rank, SessionId

SLOTS = 3
NOW = timedelta(seconds=10)


def request(key, in_transaction=False):
    return WaitingRequest(
        key=key,
        rank=Rank.STANDARD,
        session=SessionId(f"session-{key}"),
        size_bytes=10,
        arrived=NOW,
        deadline=NOW + timedelta(seconds=2),
        in_transaction=in_transaction,
    )


class LockWaitTest(unittest.TestCase):
    def test_transaction_continues_while_all_slots_wait_for_its_lock(self):
        policy = AdmissionPolicy(SLOTS, (RankPolicy(Rank.STANDARD, 50),), 16)
        queue = AdmissionQueue(policy, random.Random(1))
        for key in range(SLOTS + 1):
            queue.arrive(request(key), NOW)
        self.assertEqual(queue.running_count, SLOTS)
        commit = request("commit", in_transaction=True)
        self.assertEqual(queue.arrive(commit, NOW), (Start(commit),))
