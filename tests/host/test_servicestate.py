import unittest
from datetime import timedelta

from hickorywind.host.servicestate import UNANSWERED_EXPIRY, UNRESPONSIVE_AFTER, Backend

START = timedelta(seconds=100)
STEP = UNANSWERED_EXPIRY / 2


class UnresponsiveBackendTest(unittest.TestCase):
    """A backend server is unresponsive only if new connections stay unanswered repeatedly."""

    def setUp(self):
        self.backend = Backend(None, None, None, None, None)

    def test_first_unanswered_connection_does_not_count(self):
        self.backend.record_unanswered_connection(START)
        self.assertFalse(self.backend.is_unresponsive(START))

    def test_repeated_unanswered_connections_count(self):
        self.backend.record_unanswered_connection(START)
        self.backend.record_unanswered_connection(START + STEP)
        self.assertTrue(self.backend.is_unresponsive(START + STEP))
        self.assertGreaterEqual(STEP, UNRESPONSIVE_AFTER)

    def test_answer_resets_the_time(self):
        self.backend.record_unanswered_connection(START)
        self.backend.record_answer(START + STEP / 2)
        self.backend.record_unanswered_connection(START + STEP)
        self.assertFalse(self.backend.is_unresponsive(START + STEP))

    def test_old_unanswered_connections_expire(self):
        self.backend.record_unanswered_connection(START)
        self.backend.record_unanswered_connection(START + STEP)
        later = START + STEP + UNANSWERED_EXPIRY * 2
        self.assertFalse(self.backend.is_unresponsive(later))
        self.backend.record_unanswered_connection(later)
        self.assertFalse(self.backend.is_unresponsive(later))
