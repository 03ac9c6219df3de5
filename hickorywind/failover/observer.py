"""Collect what the instances of one database group report, and how old the reports are."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.failover.actions import Answer, PollStatus
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, Term
from hickorywind.util.clock import Instant, milliseconds

NO_TERM = Term(0)


@dataclass
class _Sight:
    """Hold the last report of one instance; ``asked_at`` is when it was asked for."""

    status: BackendStatus | None = None
    asked_at: Instant | None = None
    reached_at: Instant | None = None
    outstanding_since: Instant | None = None
    next_poll: Instant | None = None
    is_failing: bool = False


class GroupView:
    """Remember reports and decide whom to ask next.

    A report counts as fresh by the instant at which it was asked for, so that neither a slow call
    nor a pause of this process makes an old one look new.
    """

    def __init__(self, backends: Sequence[BackendId], policy: FailoverPolicy) -> None:
        self._policy = policy
        self._sights = {backend: _Sight() for backend in backends}
        self._since: Instant | None = None
        self.rank = 0
        self.slowdown = 1.0

    @property
    def backends(self) -> Sequence[BackendId]:
        """Return the instances of the group."""
        return tuple(self._sights)

    @property
    def majority(self) -> int:
        """Return how many instances decide."""
        return len(self._sights) // 2 + 1

    def forget(self, now: Instant) -> None:
        """Drop every report, because this process did not run for a while."""
        self._sights = {backend: _Sight() for backend in self._sights}
        self._since = now

    def set_backends(self, backends: Sequence[BackendId]) -> None:
        """Follow a change of the configuration."""
        self._sights = {backend: self._sights.get(backend, _Sight()) for backend in backends}

    def take(self, now: Instant, backend: BackendId, asked_at: Instant, answer: Answer) -> None:
        """Note the end of a poll."""
        sight = self._sights.get(backend)
        if sight is None or sight.outstanding_since != asked_at:
            return
        sight.outstanding_since = None
        sight.is_failing = not isinstance(answer, BackendStatus)
        if isinstance(answer, BackendStatus) and answer.backend == backend:
            sight.status = answer
            sight.asked_at = asked_at
            sight.reached_at = now

    def polls(self, now: Instant, is_doubtful: bool) -> Iterator[PollStatus]:
        """Ask the instances whose turn it is; at most one poll per instance is open."""
        if self._since is None:
            self._since = now
        primary = self.primary
        for backend, sight in self._sights.items():
            interval = self._interval(backend == primary, is_doubtful)
            last = sight.next_poll
            if sight.outstanding_since is not None or (last is not None and now < last + interval):
                continue
            sight.next_poll = now
            sight.outstanding_since = now
            yield PollStatus(backend)

    def _interval(self, is_primary: bool, is_doubtful: bool) -> timedelta:
        if is_doubtful:
            return self._policy.fast_interval
        if not is_primary:
            return self._policy.replica_interval * self.slowdown
        is_first = self.rank == 0
        interval = self._policy.fast_interval if is_first else self._policy.standby_interval
        return interval * self.slowdown

    def fresh(self, now: Instant) -> Sequence[BackendStatus]:
        """Return the reports that are recent enough to act on."""
        oldest = now - self._policy.fresh_for
        return [
            sight.status
            for sight in self._sights.values()
            if sight.status is not None and sight.asked_at is not None and sight.asked_at >= oldest
        ]

    def silent(self, now: Instant, threshold: timedelta) -> Sequence[BackendStatus]:
        """Return the fresh reports of instances that lack contact with a primary."""
        return [
            status for status in self.fresh(now) if milliseconds(status.silence_ms) >= threshold
        ]

    @property
    def reports(self) -> Sequence[BackendStatus]:
        """Return the last report of each instance, however old."""
        return [sight.status for sight in self._sights.values() if sight.status is not None]

    @property
    def highest_term(self) -> Term:
        """Return the highest term that any instance reported."""
        return max((status.term for status in self.reports), default=NO_TERM)

    @property
    def primary(self) -> BackendId | None:
        """Return the reported primary of the highest term."""
        primaries = [status for status in self.reports if status.role is InstanceRole.PRIMARY]
        newest = max(primaries, key=lambda status: status.term, default=None)
        return newest.backend if newest is not None else None

    def report_of(self, backend: BackendId) -> BackendStatus | None:
        """Return the last report of one instance."""
        sight = self._sights.get(backend)
        return sight.status if sight is not None else None

    def unreached_for(self, now: Instant, backend: BackendId) -> timedelta:
        """Return how long an instance has not answered this process."""
        sight = self._sights.get(backend)
        reached = sight.reached_at if sight is not None else None
        return now - (reached or self._since or now)

    def is_in_doubt(self, now: Instant) -> bool:
        """Tell whether anything calls for polling all instances at full speed."""
        primary = self.primary
        if primary is None:
            return True
        sight = self._sights[primary]
        waiting = sight.outstanding_since
        if sight.is_failing or sight.status.leaving:
            return True
        if waiting is not None and now - waiting > self._policy.doubt_after:
            return True
        doubtful = self._policy.doubt_after
        return any(
            milliseconds(status.silence_ms) >= doubtful or status.term > sight.status.term
            for status in self.reports
        )
