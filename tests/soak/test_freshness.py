"""Comparison of logs with acknowledged commits."""

import unittest

from soak.freshness import FreshnessChecker
from soak.statements import CallerTransaction


class FreshnessTest(unittest.TestCase):
    def setUp(self):
        self.found = []
        self.rolled_back = set()
        self.checker = FreshnessChecker(self.found.append, self.rolled_back.__contains__)
        self.checker.record_commit("c1", "s1", 1.0)

    def run_statement(self, text, log, sent_s=2.0, age_s=0.0, session="s2", transaction=None):
        is_own_kept, is_write = session == "s1", text.startswith("WRITE")
        self.checker.record_sent(
            "q1", session, sent_s, age_s, is_own_kept, transaction, is_write=is_write
        )
        self.checker.handle_statement("q1", text, "from h0 at i-a", log)
        return len(self.found)

    def test_log_without_an_acknowledged_commit(self):
        for text in ("READ x", "WRITE x 1", "EXECUTE s1 x 1", "COMMIT"):
            with self.subTest(text=text):
                self.found.clear()
                self.assertEqual(self.run_statement(text, {"c0"}), 1)
        self.assertIn("lacks c1, acknowledged 1.000 s before", self.found[0])

    def test_log_with_the_commit(self):
        self.assertEqual(self.run_statement("READ x", {"c0", "c1"}), 0)

    def test_commit_acknowledged_after_the_first_byte(self):
        self.assertEqual(self.run_statement("READ x", {"c0"}, sent_s=0.9), 0)

    def test_commit_that_a_promotion_rolled_back(self):
        self.rolled_back.add("c1")
        self.assertEqual(self.run_statement("READ x", {"c0"}), 0)

    def test_staleness_that_the_route_allows(self):
        self.assertEqual(self.run_statement("READ x", {"c0"}, age_s=1.5), 0)
        self.assertEqual(self.run_statement("READ x", {"c0"}, sent_s=2.6, age_s=1.5), 1)

    def test_commit_of_the_same_session(self):
        self.assertEqual(self.run_statement("READ x", {"c0"}, age_s=1.5, session="s1"), 1)

    def test_statement_of_a_transaction_counts_from_its_begin(self):
        early, late = CallerTransaction(0.9), CallerTransaction(1.1)
        self.assertEqual(self.run_statement("COMMIT", {"c0"}, transaction=early), 0)
        self.assertEqual(self.run_statement("COMMIT", {"c0"}, age_s=1.5, transaction=late), 1)
        reading = CallerTransaction(1.1, is_read_only=True)
        self.assertEqual(self.run_statement("READ x", {"c0"}, age_s=1.5, transaction=reading), 1)

    def test_write_needs_the_newest_log_but_in_a_transaction_that_only_reads(self):
        self.assertEqual(self.run_statement("WRITE x 1", {"c0"}, age_s=1.5), 1)
        plain, reading = CallerTransaction(2.0), CallerTransaction(2.0, is_read_only=True)
        self.assertEqual(self.run_statement("WRITE x 1", {"c0"}, age_s=1.5, transaction=plain), 2)
        self.assertEqual(self.run_statement("WRITE x 1", {"c0"}, age_s=1.5, transaction=reading), 2)
        self.assertEqual(self.run_statement("WRITE x 1", {"c0"}, age_s=0.5, transaction=reading), 3)

    def test_commits_of_another_service_are_in_another_log(self):
        self.checker.record_commit("c2", "s1", 1.0, "archive")
        self.assertEqual(self.run_statement("READ x", {"c1"}), 0)
        self.checker.record_sent("q2", "s2", 2.0, 0.0, False, None, "archive")
        self.checker.handle_statement("q2", "READ x", "from h0 at i-d", {"c1"})
        self.assertEqual(len(self.found), 1)
        self.assertIn("lacks c2", self.found[0])

    def test_setup_needs_no_log(self):
        self.assertEqual(self.run_statement("SET a 1", {"c0"}), 0)
