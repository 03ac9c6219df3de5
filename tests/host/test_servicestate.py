import unittest
from datetime import timedelta

from hickorywind.host.servicestate import SILENCE_LIMIT, SILENCE_MEMORY, Backend

START = timedelta(seconds=100)
STEP = SILENCE_MEMORY / 2


class SilenceTest(unittest.TestCase):
    """A server hangs only while new connections are left without an answer, again and again."""

    def setUp(self):
        self.backend = Backend(None, None, None)

    def test_first_unanswered_connection_proves_nothing(self):
        self.backend.note_silence(START)
        self.assertFalse(self.backend.is_silent(START))

    def test_repeated_silence_counts(self):
        self.backend.note_silence(START)
        self.backend.note_silence(START + STEP)
        self.assertTrue(self.backend.is_silent(START + STEP))
        self.assertGreaterEqual(STEP, SILENCE_LIMIT)

    def test_answer_ends_it(self):
        self.backend.note_silence(START)
        self.backend.note_answer(START + STEP / 2)
        self.backend.note_silence(START + STEP)
        self.assertFalse(self.backend.is_silent(START + STEP))

    def test_silence_of_long_ago_is_forgotten(self):
        self.backend.note_silence(START)
        self.backend.note_silence(START + STEP)
        later = START + STEP + SILENCE_MEMORY * 2
        self.assertFalse(self.backend.is_silent(later))
        self.backend.note_silence(later)
        self.assertFalse(self.backend.is_silent(later))
