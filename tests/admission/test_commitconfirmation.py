"""Tests of group commit confirmation, with a model of a log that new primaries truncate."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from hickorywind.admission.commitconfirmation import (
    CommitConfirmations,
    Confirmed,
    PendingCommit,
    Unconfirmed,
    WaitCommitted,
)
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, LogPosition, ServiceName, Term
from hickorywind.util.clock import ManualClock, milliseconds

PRIMARY = InstanceRole.PRIMARY


def status(term: int, committed: LogPosition, role=PRIMARY) -> BackendStatus:
    return BackendStatus(
        BackendId("b"),
        ServiceName("s"),
        role,
        Term(term),
        "",
        committed,
        committed,
        committed,
        0.0,
        False,
        0,
        20,
    )


def at(term: int, offset: int) -> LogPosition:
    return LogPosition(Term(term), offset)


class CommitConfirmationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.confirmations = CommitConfirmations()

    def add(self, key: str, position: LogPosition, term: int, timeout_ms=100):
        deadline = self.clock.now() + milliseconds(timeout_ms)
        return self.confirmations.add(
            PendingCommit(key, position, Term(term), deadline), self.clock.now()
        )

    def test_one_call_confirms_all_pending_commits(self) -> None:
        (wait,) = self.add("a", at(1, 5), 1)
        self.assertIsInstance(wait, WaitCommitted)
        self.assertEqual(self.add("b", at(1, 7), 1), ())
        self.assertEqual(self.add("c", at(1, 6), 1), ())
        released, next_wait = self.confirmations.finish_wait(status(1, at(1, 5)), self.clock.now())
        self.assertEqual(released, Confirmed("a"))
        self.assertEqual(next_wait.position, at(1, 7))
        released = self.confirmations.finish_wait(status(1, at(1, 7)), self.clock.now())
        self.assertEqual(set(released), {Confirmed("b"), Confirmed("c")})

    def test_position_known_as_committed_needs_no_call(self) -> None:
        self.confirmations.observe(status(1, at(1, 9)))
        self.assertEqual(self.add("a", at(1, 9), 1), (Confirmed("a"),))

    def test_same_offset_of_another_term_confirms_nothing(self) -> None:
        self.add("a", at(1, 5), 1)
        (ended,) = self.confirmations.finish_wait(status(2, at(2, 9)), self.clock.now())
        self.assertIsInstance(ended, Unconfirmed)
        self.confirmations.observe(status(3, at(3, 9)))
        (action,) = self.add("late", at(1, 5), 1)
        self.assertNotIsInstance(action, Confirmed)

    def test_step_down_ends_pending_commits(self) -> None:
        self.add("a", at(1, 5), 1)
        replica = status(1, at(1, 9), InstanceRole.REPLICA)
        (ended,) = self.confirmations.observe(replica)
        self.assertIsInstance(ended, Unconfirmed)

    def test_later_term_ends_pending_commits_of_earlier_terms(self) -> None:
        self.add("old", at(1, 5), 1)
        self.add("new", at(2, 6), 2)
        (ended,) = self.confirmations.observe_term(Term(2))
        self.assertEqual((type(ended), ended.key), (Unconfirmed, "old"))

    def test_deadline_ends_pending_commit_while_the_call_runs(self) -> None:
        self.add("a", at(1, 5), 1, timeout_ms=50)
        self.clock.advance(milliseconds(60))
        (ended,) = self.confirmations.expire(self.clock.now())
        self.assertIsInstance(ended, Unconfirmed)
        self.assertEqual(self.confirmations.finish_wait(None, self.clock.now()), ())


event = st.one_of(
    st.tuples(st.just("write")),
    st.tuples(st.just("commit"), st.integers(1, 5)),
    st.tuples(st.just("replace"), st.integers(0, 4)),
    st.tuples(st.just("observe")),
    st.tuples(st.just("call ends")),
    st.tuples(st.just("call fails")),
    st.tuples(st.just("wait"), st.integers(0, 60)),
)


class ModelTest(unittest.TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.lists(event, max_size=60))
    def test_only_surviving_log_entries_are_released_and_each_commit_ends_once(self, events):
        clock = ManualClock()
        confirmations = CommitConfirmations()
        log: list[int] = []
        committed, term, key, waiting = 0, 1, 0, False
        pending: dict[int, tuple[int, int]] = {}
        released: list[tuple[int, int]] = []

        def apply(actions) -> None:
            nonlocal waiting
            for action in actions:
                match action:
                    case WaitCommitted():
                        self.assertFalse(waiting)
                        waiting = True
                    case Confirmed(ended):
                        entry_term, offset = pending.pop(ended)
                        self.assertLessEqual(offset, committed)
                        self.assertEqual(log[offset - 1], entry_term)
                        released.append((entry_term, offset))
                    case Unconfirmed(ended):
                        pending.pop(ended)

        def current_status() -> BackendStatus:
            last = log[committed - 1] if committed else 0
            return status(term, at(last, committed))

        for kind, *values in events:
            match kind:
                case "write":
                    log.append(term)
                    key += 1
                    pending[key] = (term, len(log))
                    deadline = clock.now() + milliseconds(100)
                    commit = PendingCommit(key, at(term, len(log)), Term(term), deadline)
                    apply(confirmations.add(commit, clock.now()))
                case "commit":
                    committed = min(len(log), committed + values[0])
                case "replace":
                    # A new primary keeps committed entries and drops some of the others.
                    del log[max(committed, len(log) - values[0]) :]
                    term += 1
                    log.append(term)
                case "observe":
                    apply(confirmations.observe(current_status()))
                case "call ends" if waiting:
                    waiting = False
                    apply(confirmations.finish_wait(current_status(), clock.now()))
                case "call fails" if waiting:
                    waiting = False
                    apply(confirmations.finish_wait(None, clock.now()))
                case "wait":
                    clock.advance(milliseconds(values[0]))
                    apply(confirmations.expire(clock.now()))
            self.assertEqual(confirmations.pending_count, len(pending))
        for entry_term, offset in released:
            self.assertEqual(log[offset - 1], entry_term)
