"""Tests of the bound on a replica's age, with a model that knows the true age."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hickorywind.admission.freshness import (
    LogEndSample,
    ReadConstraints,
    Serve,
    StalenessTracker,
    WaitForFloor,
    WaitForSample,
)
from hickorywind.ids import LogPosition, Term
from hickorywind.util.clock import ManualClock, milliseconds


def at(offset: int, term: int = 1) -> LogPosition:
    return LogPosition(Term(term), offset)


class StalenessTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.tracker = StalenessTracker()

    def test_missing_floor_is_reported_first(self) -> None:
        constraints = ReadConstraints(floor=at(5))
        self.assertEqual(self.tracker.decide(constraints, at(4), self.clock.now()), WaitForFloor())
        self.assertEqual(self.tracker.decide(constraints, at(5), self.clock.now()), Serve())

    def test_longer_log_of_an_older_term_does_not_contain_the_floor(self) -> None:
        constraints = ReadConstraints(floor=at(5, term=2))
        decision = self.tracker.decide(constraints, at(90, term=1), self.clock.now())
        self.assertEqual(decision, WaitForFloor())

    def test_age_bound_grows_without_samples(self) -> None:
        constraints = ReadConstraints(max_staleness=milliseconds(100))
        self.assertEqual(self.tracker.decide(constraints, at(9), self.clock.now()), WaitForSample())
        self.tracker.add(LogEndSample(at(9), self.clock.now()))
        self.assertEqual(self.tracker.decide(constraints, at(9), self.clock.now()), Serve())
        self.clock.advance(milliseconds(101))
        self.assertEqual(self.tracker.decide(constraints, at(9), self.clock.now()), WaitForSample())

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("write")),
                st.tuples(st.just("apply"), st.integers(1, 4)),
                st.tuples(st.just("sample"), st.integers(0, 40)),
                st.tuples(st.just("advance"), st.integers(1, 50)),
                st.tuples(st.just("read"), st.integers(0, 200)),
            ),
            max_size=80,
        )
    )
    def test_stale_replica_is_never_served(self, events) -> None:
        clock = ManualClock()
        tracker = StalenessTracker()
        written = []
        applied = 0
        for kind, *values in events:
            match kind:
                case "write":
                    written.append(clock.now())
                case "apply":
                    applied = min(len(written), applied + values[0])
                case "sample":
                    # The answer may report the log end of any instant after the call.
                    asked = clock.now()
                    clock.advance(milliseconds(values[0] // 2))
                    end = at(len(written))
                    clock.advance(milliseconds(values[0] // 2))
                    tracker.add(LogEndSample(end, asked))
                case "advance":
                    clock.advance(milliseconds(values[0]))
                case "read":
                    constraints = ReadConstraints(max_staleness=milliseconds(values[0]))
                    decision = tracker.decide(constraints, at(applied), clock.now())
                    if isinstance(decision, Serve):
                        oldest_allowed = clock.now() - constraints.max_staleness
                        missed = [when for when in written[applied:] if when < oldest_allowed]
                        self.assertEqual(missed, [])
