import unittest

from hickorywind.admission.transactions import TransactionTable
from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import SessionId
from hickorywind.util.clock import ManualClock, milliseconds

SESSION = SessionId("one")
OTHER_SESSION = SessionId("two")


class TransactionTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        limits = TransactionLimits(open_limit=4, idle_timeout_ms=100)
        self.table = TransactionTable(limits, connections=5, reserved=3)

    def test_reserved_connections_limit_the_open_transactions(self) -> None:
        opened = [self.table.open(key, SESSION, self.clock.now()) for key in range(4)]
        self.assertEqual(opened, [True, True, False, False])
        self.table.close(0)
        self.assertTrue(self.table.open(9, SESSION, self.clock.now()))

    def test_only_its_session_continues_a_transaction_with_one_batch_at_a_time(self) -> None:
        self.table.open(1, SESSION, self.clock.now())
        self.assertFalse(self.table.begin_batch(1, SESSION))
        self.table.end_batch(1, self.clock.now())
        self.assertFalse(self.table.begin_batch(1, OTHER_SESSION))
        self.assertTrue(self.table.begin_batch(1, SESSION))
        self.assertFalse(self.table.begin_batch(2, SESSION))

    def test_idle_time_counts_from_the_last_batch(self) -> None:
        self.table.open(1, SESSION, self.clock.now())
        self.clock.advance(milliseconds(500))
        self.assertEqual(self.table.timed_out_keys(self.clock.now()), [])
        self.table.end_batch(1, self.clock.now())
        self.clock.advance(milliseconds(99))
        self.assertEqual(self.table.timed_out_keys(self.clock.now()), [])
        self.clock.advance(milliseconds(1))
        self.assertEqual(self.table.timed_out_keys(self.clock.now()), [1])
