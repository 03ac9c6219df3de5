import tracemalloc
import unittest

from hickorywind.report.losses import MAX_GROUPS, OTHER_GROUP, LossKey, sum_losses
from tests.report.test_explanation import LINES


def failure(second, host="a", code=2003, wait="20.0"):
    return (
        f"event=request_failed level=info ts=2026-12-04T10:00:{second:02}.500Z host={host}"
        f" request_id=q database=d code={code} duration_ms={wait}"
    )


class LossesTest(unittest.TestCase):
    def rows(self, texts, *keys):
        return [
            (*row.group.values(), row.requests, row.mean_wait_ms)
            for row in sum_losses(texts, keys).rows()
        ]

    def test_requests_and_waits_are_summed_by_each_key(self):
        texts = [failure(1), failure(1, wait="40.0"), failure(3, "b"), *LINES]
        self.assertEqual(
            self.rows(texts, LossKey.SECOND, LossKey.HOST),
            [
                ("10:00:01", "a", 2, 30.0),
                ("10:00:02", "a", 1, 0.0),
                ("10:00:03", "b", 1, 20.0),
            ],
        )
        causes = self.rows(texts, LossKey.CAUSE)
        self.assertEqual([row[1] for row in causes], [3, 1])
        self.assertTrue(causes[0][0].startswith("[2003]"))

    def test_bad_lines_are_counted_and_the_others_used(self):
        texts = ["", "garbage", failure(1, wait="nan"), failure(1, wait="1e999"), "event=x ts=y"]
        texts += ["event=log_lines_dropped count=7", failure(1, wait="x")]
        summary = sum_losses(texts, [LossKey.HOST])
        self.assertEqual((summary.unreadable, summary.dropped), (2, 7))
        self.assertEqual(summary.rows()[0].requests, 3)

    def test_memory_is_bounded(self):
        texts = (failure(1, f"h{number}") for number in range(3 * MAX_GROUPS))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        rows = sum_losses(texts, [LossKey.HOST]).rows()
        self.assertLess(tracemalloc.get_traced_memory()[1], 20_000_000)
        self.assertEqual(rows[0].group, {"host": OTHER_GROUP})
        self.assertEqual(rows[0].requests, 2 * MAX_GROUPS)
