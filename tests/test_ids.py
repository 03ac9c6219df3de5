import unittest

from hickorywind.ids import Address, LogPosition, Term


class LogPositionTest(unittest.TestCase):
    def test_text_round_trip(self):
        position = LogPosition(Term(3), 17)
        self.assertEqual(LogPosition.from_text(str(position)), position)

    def test_contains_compares_term_and_offset(self):
        floor = LogPosition(Term(2), 10)
        self.assertTrue(LogPosition(Term(3), 10).contains(floor))
        self.assertFalse(LogPosition(Term(1), 50).contains(floor))
        self.assertFalse(LogPosition(Term(3), 9).contains(floor))

    def test_bad_text_is_refused(self):
        for text in ("", "3", "3/", "/4", "a/b", "-1/2", "3/\u00b2", "3/" + "9" * 19):
            with self.subTest(text=text), self.assertRaises(ValueError):
                LogPosition.from_text(text)


class AddressTest(unittest.TestCase):
    def test_bad_text_is_refused(self):
        for text in ("", "127.0.0.1", ":5432", "127.0.0.1:x"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                Address.from_text(text)
