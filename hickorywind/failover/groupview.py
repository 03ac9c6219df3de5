"""Status reports of the instances of one database group, their age, and the schedule of polls."""

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
    """Last report and pending poll of one instance.

    The last report was requested at ``asked_at`` and arrived at ``reached_at``.
    """

    status: BackendStatus | None = None
    asked_at: Instant | None = None
    reached_at: Instant | None = None
    outstanding_since: Instant | None = None
    next_poll: Instant | None = None
    is_failing: bool = False


class GroupView:
    """Latest report of each instance of a group, and the schedule of polls.

    The age of a report counts from the instant of its request, so that neither a slow call nor a
    pause of this process makes an old report look recent.
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
        """Return how many instances form a majority."""
        return len(self._instances) // 2 + 1

    def reset(self, now: Instant) -> None:
        """Discard all reports, because this process was paused."""
        self._instances = {backend: _InstanceState() for backend in self._instances}
        self._started_at = now

    def set_backends(self, backends: Sequence[BackendId]) -> None:
        """Replace the instances of the group; those that remain keep their reports."""
        self._instances = {
            backend: self._instances.get(backend, _InstanceState()) for backend in backends
        }

    def record_answer(
        self, now: Instant, backend: BackendId, asked_at: Instant, answer: Answer
    ) -> None:
        """Record the answer to the pending poll of an instance; ignore that of an earlier one."""
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
        """Poll the instances that are due; at most one poll per instance is pending."""
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
        """Return the reports that are recent enough to act on, by ``max_report_age``."""
        oldest = now - self._policy.max_report_age
        return [
            instance.status
            for instance in self._instances.values()
            if instance.status is not None
            and instance.asked_at is not None
            and instance.asked_at >= oldest
        ]

    def silent_reports(self, now: Instant, threshold: timedelta) -> Sequence[BackendStatus]:
        """Return the fresh reports of instances that have lacked contact for ``threshold``.

        A replica lacks contact with its primary, a primary with a majority.
        """
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
        """Return the primary of the highest term, according to the reports."""
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
        """Return whether all instances should be polled at the fast interval.

        This is so while there is no primary, a fault is suspected or the primary is leaving.
        """
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
