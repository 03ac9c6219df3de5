"""Comparison of the log on which each statement runs with the commits acknowledged before it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass

from soak.statements import CallerTransaction

_JUDGED_WORDS = frozenset(("READ", "WRITE", "EXECUTE", "COMMIT"))
_COMPARED_COMMITS = 50  # logs differ at their ends


@dataclass(frozen=True)
class _Commit:
    """Write as its caller saw it acknowledged."""

    element: str
    session: str
    acknowledged_s: float
    service: str


@dataclass(frozen=True)
class _Expectation:
    """What the log of a statement has to hold, by when its first byte was sent.

    ``max_staleness_s`` is 0 for statements that only a primary may run.
    """

    session: str
    started_s: float
    max_staleness_s: float
    reads_own_writes: bool
    service: str


class FreshnessChecker:
    """Checker that no statement runs on a log without the commits acknowledged before it.

    ``is_excused`` tells whether a promotion rolled a write back.
    """

    def __init__(
        self,
        report: Callable[[str], None],
        is_excused: Callable[[str], bool] = lambda element: False,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._report = report
        self._is_excused = is_excused
        self._expectations: dict[str, _Expectation] = {}
        self._commits: list[_Commit] = []

    def record_sent(
        self,
        request_id: str,
        session: str,
        sent_s: float,
        max_staleness_s: float,
        reads_own_writes: bool,
        transaction: CallerTransaction | None,
        service: str = "",
        is_write: bool = False,
    ) -> None:
        """Record a statement when a caller sends it; one in a transaction counts from its BEGIN.

        Only a primary may run a write, or a transaction that may write.
        """
        started_s, needs_primary = sent_s, is_write
        if transaction is not None:
            started_s, needs_primary = transaction.started_s, not transaction.is_read_only
        if needs_primary:
            max_staleness_s = 0.0
        self._expectations[request_id] = _Expectation(
            session, started_s, max_staleness_s, reads_own_writes, service
        )

    def record_commit(
        self, element: str, session: str, acknowledged_s: float, service: str = ""
    ) -> None:
        """Record that a caller got the acknowledgement of a write."""
        self._commits.append(_Commit(element, session, acknowledged_s, service))

    def needs_newest_log(self, request_id: str) -> bool:
        """Return whether only a primary may run a statement."""
        expectation = self._expectations.get(request_id)
        return expectation is not None and expectation.max_staleness_s == 0.0

    def handle_statement(
        self, request_id: str, text: str, origin: str, log: Container[str]
    ) -> None:
        """Check a caller's statement that a server ran on a log of elements."""
        expectation = self._expectations.get(request_id)
        if expectation is None or text.partition(" ")[0] not in _JUDGED_WORDS:
            return
        self.counts["compared logs"] += 1
        missing = self._find_missing(expectation, log)
        if missing is not None:
            age_s = expectation.started_s - missing.acknowledged_s
            self._report(
                f"{request_id} {text[:60]} {origin} lacks {missing.element}, "
                f"acknowledged {age_s:.3f} s before"
            )

    def _find_missing(self, expectation: _Expectation, log: Container[str]) -> _Commit | None:
        compared, lacks_rolled_back = 0, False
        for commit in reversed(self._commits):
            if compared == _COMPARED_COMMITS:
                break
            if commit.service != expectation.service:
                continue
            is_own = expectation.reads_own_writes and commit.session == expectation.session
            age_s = 0.0 if is_own else expectation.max_staleness_s
            if commit.acknowledged_s >= expectation.started_s - age_s:
                continue
            compared += 1
            if commit.element in log:
                continue
            if not self._is_excused(commit.element):
                return commit
            lacks_rolled_back = True
        self.counts["logs without a rolled-back commit"] += lacks_rolled_back
        return None
