import unittest
from datetime import timedelta

from hickorywind.ids import SessionId
from hickorywind.results import Outcome
from hickorywind_bench.checker import Guarantee, check_history
from hickorywind_bench.history import Append, History, Read

ALICE = SessionId("alice")
BOB = SessionId("bob")


def at(seconds):
    return timedelta(seconds=seconds)


def append(element, start, end, outcome=Outcome.RAN, key="k", session=ALICE, group=None):
    return Append(session, key, element, at(start), at(end), outcome, group)


def read(elements, start, end, session=ALICE, staleness=None, received="n"):
    bound = None if staleness is None else at(staleness)
    return Read(session, "k", elements, at(start), at(end), bound, "n", received)


def violated_guarantees(appends=(), reads=(), final=("a",), other=()):
    history = History(list(appends), list(reads), {"k": final, "other": other})
    return {violation.guarantee for violation in check_history(history)}


class GoodHistoryTest(unittest.TestCase):
    def test_concurrent_sessions_without_violation(self):
        appends = [
            append("a", 0, 1),
            append("b", 1, 5, Outcome.UNKNOWN, session=BOB),
            append("c", 2, 3, Outcome.NOT_RUN),
        ]
        reads = [
            read((), 0.5, 0.6, session=BOB),
            read(("a",), 1, 2, staleness=0),
            read(("a", "b"), 2, 4, session=BOB),
        ]
        self.assertEqual(violated_guarantees(appends, reads, ("a", "b")), set())


class BadHistoryTest(unittest.TestCase):
    def test_lost_acknowledged_write(self):
        found = violated_guarantees([append("a", 0, 1)], final=())
        self.assertEqual(found, {Guarantee.ACKNOWLEDGED_WRITE_KEPT})

    def test_doubled_write(self):
        found = violated_guarantees([append("a", 0, 1)], final=("a", "a"))
        self.assertEqual(found, {Guarantee.AT_MOST_ONCE})

    def test_doubled_unknown_write(self):
        found = violated_guarantees([append("a", 0, 1, Outcome.UNKNOWN)], final=("a", "a"))
        self.assertEqual(found, {Guarantee.AT_MOST_ONCE})

    def test_refused_write_that_ran(self):
        found = violated_guarantees([append("a", 0, 1, Outcome.NOT_RUN)])
        self.assertEqual(found, {Guarantee.NOT_RUN_HOLDS})

    def test_session_misses_its_own_write(self):
        found = violated_guarantees([append("a", 0, 1)], [read((), 2, 3)])
        self.assertEqual(found, {Guarantee.READ_YOUR_WRITES})

    def test_stale_read_of_another_session(self):
        found = violated_guarantees(
            [append("a", 0, 1)], [read((), 2, 3, session=BOB, staleness=0.5)]
        )
        self.assertEqual(found, {Guarantee.MAX_STALENESS})

    def test_read_of_an_element_that_was_lost(self):
        found = violated_guarantees([append("a", 0, 1)], [read(("x",), 0, 3, session=BOB)])
        self.assertEqual(found, {Guarantee.SINGLE_LOG})

    def test_reordered_read(self):
        found = violated_guarantees(reads=[read(("b", "a"), 0, 3, session=BOB)], final=("a", "b"))
        self.assertEqual(found, {Guarantee.SINGLE_LOG})

    def test_partly_applied_transaction(self):
        parts = [append("a", 0, 1, Outcome.UNKNOWN, group="t")]
        parts.append(append("b", 0, 1, Outcome.UNKNOWN, key="other", group="t"))
        self.assertEqual(violated_guarantees(parts), {Guarantee.ATOMIC_TRANSACTION})

    def test_answer_of_another_request(self):
        self.assertEqual(
            violated_guarantees(reads=[read(("a",), 0, 1, received="m")]),
            {Guarantee.MATCHING_ANSWER},
        )
