import unittest
import zlib

from hickorywind.util.deflate import DeflatedDataError, deflate, inflate


class DeflateTest(unittest.TestCase):
    def test_data_is_the_same_after_both_ways(self):
        data = b"route " * 10_000
        self.assertLess(len(deflate(data)), len(data) / 10)
        self.assertEqual(inflate(deflate(data), len(data)), data)

    def test_malformed_and_incomplete_data_is_an_error(self):
        for data in (b"", b"\x00\x01", deflate(b"x" * 1000)[:-3], b"x" * 100):
            with self.subTest(data=data[:10]), self.assertRaises(DeflatedDataError):
                inflate(data, 1000)

    def test_data_that_inflates_beyond_the_limit_is_an_error(self):
        bomb = zlib.compress(bytes(50_000_000), 9)
        with self.assertRaises(DeflatedDataError):
            inflate(bomb, 1_000_000)
