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
class _InstanceState:
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
        self._instances = {backend: _InstanceState() for backend in backends}
        self._started_at: Instant | None = None
        self.rank = 0
        self.slowdown = 1.0

    @property
    def backends(self) -> Sequence[BackendId]:
        """Return the instances of the group."""
        return tuple(self._instances)

    @property
    def majority(self) -> int:
        """Return how many instances decide."""
        return len(self._instances) // 2 + 1

    def reset(self, now: Instant) -> None:
        """Drop every report, because this process did not run for a while."""
        self._instances = {backend: _InstanceState() for backend in self._instances}
        self._started_at = now

    def set_backends(self, backends: Sequence[BackendId]) -> None:
        """Follow a change of the configuration."""
        self._instances = {
            backend: self._instances.get(backend, _InstanceState()) for backend in backends
        }

    def record_answer(
        self, now: Instant, backend: BackendId, asked_at: Instant, answer: Answer
    ) -> None:
        """Note the end of a poll."""
        instance = self._instances.get(backend)
        if instance is None or instance.outstanding_since != asked_at:
            return
        instance.outstanding_since = None
        instance.is_failing = not isinstance(answer, BackendStatus)
        if isinstance(answer, BackendStatus) and answer.backend == backend:
            instance.status = answer
            instance.asked_at = asked_at
            instance.reached_at = now

    def due_polls(self, now: Instant, is_fast: bool) -> Iterator[PollStatus]:
        """Ask the instances whose turn it is; at most one poll per instance is open."""
        if self._started_at is None:
            self._started_at = now
        primary = self.primary
        for backend, instance in self._instances.items():
            interval = self._poll_interval(backend == primary, is_fast)
            last = instance.next_poll
            if instance.outstanding_since is not None or (
                last is not None and now < last + interval
            ):
                continue
            instance.next_poll = now
            instance.outstanding_since = now
            yield PollStatus(backend)

    def _poll_interval(self, is_primary: bool, is_fast: bool) -> timedelta:
        if is_fast:
            return self._policy.fast_poll_interval
        if not is_primary:
            return self._policy.replica_poll_interval * self.slowdown
        is_first = self.rank == 0
        interval = (
            self._policy.fast_poll_interval if is_first else self._policy.backup_poll_interval
        )
        return interval * self.slowdown

    def fresh_reports(self, now: Instant) -> Sequence[BackendStatus]:
        """Return the reports that are recent enough to act on."""
        oldest = now - self._policy.max_report_age
        return [
            instance.status
            for instance in self._instances.values()
            if instance.status is not None
            and instance.asked_at is not None
            and instance.asked_at >= oldest
        ]

    def silent_reports(self, now: Instant, threshold: timedelta) -> Sequence[BackendStatus]:
        """Return the fresh reports of instances that lack contact with a primary."""
        return [
            status
            for status in self.fresh_reports(now)
            if milliseconds(status.silence_ms) >= threshold
        ]

    @property
    def reports(self) -> Sequence[BackendStatus]:
        """Return the last report of each instance, however old."""
        return [
            instance.status for instance in self._instances.values() if instance.status is not None
        ]

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
        instance = self._instances.get(backend)
        return instance.status if instance is not None else None

    def unreachable_for(self, now: Instant, backend: BackendId) -> timedelta:
        """Return how long an instance has not answered this process."""
        instance = self._instances.get(backend)
        reached = instance.reached_at if instance is not None else None
        return now - (reached or self._started_at or now)

    def needs_fast_polling(self, now: Instant) -> bool:
        """Tell whether anything calls for polling all instances at full speed."""
        primary = self.primary
        if primary is None:
            return True
        instance = self._instances[primary]
        waiting = instance.outstanding_since
        if instance.is_failing or instance.status.leaving:
            return True
        if waiting is not None and now - waiting > self._policy.fast_polling_after:
            return True
        silence_limit = self._policy.fast_polling_after
        return any(
            milliseconds(status.silence_ms) >= silence_limit or status.term > instance.status.term
            for status in self.reports
        )
