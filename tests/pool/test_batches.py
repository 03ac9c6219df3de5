import unittest

from hickorywind.pool.batches import is_single_begin, leaves_transaction_open
from hickorywind.pool.frontend import query
from hickorywind.pool.requests import split_batch
from hickorywind.results import HickorywindError, ResultCode
from tests.pool import extended


class BatchTest(unittest.TestCase):
    def test_begin_is_recognised_after_a_comment(self) -> None:
        for sql, opens, plain in (
            ("BEGIN", True, True),
            ("begin read only;", True, True),
            ("/* hickorywind priority=urgent */ START TRANSACTION", True, True),
            ("BEGIN; SELECT 1", True, False),
            ("BEGIN; SELECT 1; COMMIT;", False, False),
            ("SELECT 'begin'", False, False),
            ("", False, False),
        ):
            with self.subTest(sql=sql):
                frames = split_batch(query(sql))
                self.assertEqual(
                    (leaves_transaction_open(frames), is_single_begin(frames)), (opens, plain)
                )

    def test_batch_ending_in_flush_leaves_a_transaction_open(self) -> None:
        frames = split_batch(extended.parse("", "SELECT 1") + extended.FLUSH)
        self.assertTrue(leaves_transaction_open(frames))
        self.assertFalse(is_single_begin(frames))

    def test_incomplete_batch_is_malformed(self) -> None:
        whole = query("SELECT 1")
        for data in (b"", whole[:-1], whole + b"Q", extended.parse("", "SELECT 1")):
            with self.subTest(data=data):
                with self.assertRaises(HickorywindError) as caught:
                    split_batch(data)
                self.assertEqual(caught.exception.result.code, ResultCode.MALFORMED_MESSAGE)
