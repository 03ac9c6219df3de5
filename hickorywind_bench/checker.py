"""Checker of recorded histories against the guarantees given to callers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from hickorywind.results import Outcome
from hickorywind_bench.history import Append, History, Read


class Guarantee(Enum):
    """Guarantee to callers that a history can violate."""

    ACKNOWLEDGED_WRITE_KEPT = "acknowledged write kept"
    AT_MOST_ONCE = "at most once"
    NOT_RUN_HOLDS = "not run is true"
    READ_YOUR_WRITES = "read your writes"
    MAX_STALENESS = "maximum staleness"
    SINGLE_LOG = "one log"
    ATOMIC_TRANSACTION = "atomic transaction"
    MATCHING_ANSWER = "right answer"


@dataclass(frozen=True)
class Violation:
    """Violation of one guarantee by one or more operations."""

    guarantee: Guarantee
    detail: str


def check_history(history: History) -> tuple[Violation, ...]:
    """Return every violation found in a history."""
    checks = (
        _check_appends,
        _check_transactions,
        _check_prefixes,
        _check_answers,
        _check_sessions,
        _check_staleness,
    )
    return tuple(violation for check in checks for violation in check(history))


def _check_appends(history: History) -> Iterator[Violation]:
    counts = {key: Counter(elements) for key, elements in history.final_lists.items()}
    for append in history.appends:
        count = counts.get(append.key, Counter())[append.element]
        if append.outcome is Outcome.RAN and count == 0:
            yield _make_violation(Guarantee.ACKNOWLEDGED_WRITE_KEPT, append)
        if append.outcome is Outcome.NOT_RUN and count > 0:
            yield _make_violation(Guarantee.NOT_RUN_HOLDS, append)
        if count > 1:
            yield _make_violation(Guarantee.AT_MOST_ONCE, append)


def _check_transactions(history: History) -> Iterator[Violation]:
    groups: dict[str, list[Append]] = defaultdict(list)
    for append in history.appends:
        if append.group is not None:
            groups[append.group].append(append)
    for name, appends in groups.items():
        present = {append.element in history.final_lists.get(append.key, ()) for append in appends}
        if len(present) > 1:
            yield Violation(
                Guarantee.ATOMIC_TRANSACTION, f"transaction {name} was applied only partly"
            )


def _check_prefixes(history: History) -> Iterator[Violation]:
    for read in history.reads:
        final = history.final_lists.get(read.key, ())
        if final[: len(read.elements)] != read.elements:
            yield _make_violation(Guarantee.SINGLE_LOG, read)


def _check_answers(history: History) -> Iterator[Violation]:
    for read in history.reads:
        if read.nonce_sent != read.nonce_received:
            yield _make_violation(Guarantee.MATCHING_ANSWER, read)


def _check_sessions(history: History) -> Iterator[Violation]:
    written: dict[tuple[str, str], list[Append]] = defaultdict(list)
    for append in history.appends:
        if append.outcome is Outcome.RAN:
            written[append.session, append.key].append(append)
    for read in history.reads:
        seen = set(read.elements)
        for append in written[read.session, read.key]:
            if append.completed_at <= read.invoked_at and append.element not in seen:
                yield _make_violation(Guarantee.READ_YOUR_WRITES, read, append)


def _check_staleness(history: History) -> Iterator[Violation]:
    written: dict[str, list[Append]] = defaultdict(list)
    for append in history.appends:
        if append.outcome is Outcome.RAN:
            written[append.key].append(append)
    for read in history.reads:
        if read.max_staleness is None:
            continue
        seen = set(read.elements)
        needed_before = read.invoked_at - read.max_staleness
        for append in written[read.key]:
            if append.completed_at <= needed_before and append.element not in seen:
                yield _make_violation(Guarantee.MAX_STALENESS, read, append)


def _make_violation(guarantee: Guarantee, *operations: Append | Read) -> Violation:
    return Violation(guarantee, "; ".join(str(operation) for operation in operations))
