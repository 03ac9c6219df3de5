"""Observation of one database group and the decision to replace its primary.

This module performs no I/O: its owner carries out the returned actions and passes the answers back.
All instants are of this process's own clock; none is compared with a clock of another host.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import replace
from datetime import timedelta

from hickorywind.failover.actions import (
    Action,
    Answer,
    PublishGroup,
    PublishLeaving,
)
from hickorywind.failover.election import Election
from hickorywind.failover.groupview import GroupView
from hickorywind.failover.leaving import LeavingTracker
from hickorywind.failover.policy import FailoverPolicy, FixedTimeout, MajoritySilence
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, ServiceName, Term
from hickorywind.protocol.records import GroupRecord, LeavingRecord
from hickorywind.util.clock import Instant, milliseconds

_ZERO_SILENCE = timedelta(0)


class GroupMonitor:
    """Failure detector and election of one group, as run by one observer.

    ``rank`` is this observer's position among those of the group; an observer of higher rank waits
    longer before it acts. ``slowdown`` multiplies the poll intervals while no fault is suspected.
    ``group_record`` and ``leaving_records`` are copies from the record table; the owner keeps them
    up to date.
    """

    def __init__(
        self,
        service: ServiceName,
        backends: Sequence[BackendId],
        proposer: str,
        policy: FailoverPolicy,
        rng: random.Random,
    ) -> None:
        self.service = service
        self.rank = 0
        self.slowdown = 1.0
        self.group_record: GroupRecord | None = None
        self.leaving_records: dict[BackendId, LeavingRecord] = {}
        self._policy = policy
        self._rng = rng
        self._view = GroupView(backends, policy)
        self._election = Election(service, proposer, policy, rng)
        self._leaving = {backend: LeavingTracker(backend) for backend in backends}
        self._last_tick: Instant | None = None
        self._election_wanted_since: Instant | None = None
        self._election_delay = _ZERO_SILENCE
        self._record_changed_at: Instant | None = None
        self._last_record: GroupRecord | None = None
        self._next_switchover: Instant | None = None
        self._leaving_since: Instant | None = None
        self._primary_lost_at: Instant | None = None

    @property
    def view(self) -> GroupView:
        """Return the reports that this observer has collected."""
        return self._view

    def set_backends(self, backends: Sequence[BackendId]) -> None:
        """Replace the instances of the group.

        An attempt in progress is abandoned, because it counted a different set of instances.
        """
        if tuple(backends) == tuple(self._view.backends):
            return
        self._election.abandon()
        self._view.set_backends(backends)
        self._leaving = {
            backend: self._leaving.get(backend, LeavingTracker(backend)) for backend in backends
        }

    def needs_fast_ticks(self, now: Instant) -> bool:
        """Return whether ``tick`` should be called more often, because a fault is suspected."""
        return self._election.is_running or self._view.needs_fast_polling(now)

    def tick(self, now: Instant) -> list[Action]:
        """Return the actions that are due; call this every few tens of milliseconds."""
        if self._last_tick is not None and now - self._last_tick > self._policy.max_tick_gap:
            self._reset_after_pause(now)
        self._last_tick = now
        self._track_record_change(now)
        self._view.rank = self.rank
        self._view.slowdown = self.slowdown
        actions: list[Action] = list(self._view.due_polls(now, self.needs_fast_ticks(now)))
        actions += self._election.tick(now)
        actions += self._start_election_if_due(now)
        return actions

    def _reset_after_pause(self, now: Instant) -> None:
        self._view.reset(now)
        self._election.abandon()
        self._election_wanted_since = None

    def _track_record_change(self, now: Instant) -> None:
        if self.group_record != self._last_record:
            self._record_changed_at = now if self._last_record is not None else None
            self._last_record = self.group_record

    def handle_status_answer(
        self, now: Instant, backend: BackendId, asked_at: Instant, answer: Answer
    ) -> list[Action]:
        """Handle the answer to a ``PollStatus``; ``asked_at`` is the tick that requested it."""
        self._view.record_answer(now, backend, asked_at, answer)
        if not isinstance(answer, BackendStatus) or backend not in self._leaving:
            return []
        actions = list(self._publish_new_primary(answer))
        record = self.leaving_records.get(backend)
        changed_record = self._leaving[backend].update(asked_at, answer, record, now)
        if changed_record is not None:
            actions.append(PublishLeaving(changed_record))
        return actions

    def _publish_new_primary(self, status: BackendStatus) -> Iterator[Action]:
        known = self.group_record.term if self.group_record is not None else Term(0)
        if status.role is InstanceRole.PRIMARY and status.term > known:
            yield PublishGroup(GroupRecord(self.service, status.term, status.backend))

    def handle_accept_answer(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> list[Action]:
        """Handle the answer to an ``AcceptTerm``."""
        return list(self._election.handle_accept_answer(now, backend, term, answer))

    def handle_promote_answer(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> list[Action]:
        """Handle the answer to a ``PromoteBackend``."""
        actions = self._election.handle_promote_answer(now, backend, term, answer)
        return [self._add_gap(now, action) for action in actions]

    def _add_gap(self, now: Instant, action: Action) -> Action:
        if isinstance(action, PublishGroup) and self._primary_lost_at is not None:
            return replace(action, gap=now - self._primary_lost_at)
        return action

    def _start_election_if_due(self, now: Instant) -> Iterator[Action]:
        if not self._election.may_start(now):
            return
        min_silence = self._required_min_silence(now)
        if min_silence is None:
            self._election_wanted_since = None
            return
        if self._election_wanted_since is None:
            self._election_wanted_since = now
            self._election_delay = self.rank * self._policy.delay_per_rank
            if self.rank:
                self._election_delay += self._policy.delay_jitter * self._rng.random()
        if now - self._election_wanted_since < self._election_delay:
            return
        self._election_wanted_since = None
        if min_silence == _ZERO_SILENCE:
            self._next_switchover = now + self._policy.switchover_retry_interval
        silences = [status.silence_ms for status in self._view.silent_reports(now, min_silence)]
        self._primary_lost_at = now - milliseconds(min(silences)) if silences else None
        known = self.group_record.term if self.group_record is not None else Term(0)
        seen_term = Term(max(known, self._view.highest_term))
        yield from self._election.start(
            now, seen_term, self._view.backends, min_silence, old_primary=self._view.primary
        )

    def _required_min_silence(self, now: Instant) -> timedelta | None:
        """Return the silence that an instance must confirm before it accepts a term.

        Return None if the primary need not be replaced.
        """
        if self._is_switchover_due(now):
            return _ZERO_SILENCE
        match self._policy.trigger:
            case MajoritySilence():
                threshold = self._silence_threshold(now, self._policy.trigger)
                is_silent = len(self._view.silent_reports(now, threshold)) >= self._view.majority
                return self._policy.trigger.confirmed_silence if is_silent else None
            case FixedTimeout(timeout):
                return _ZERO_SILENCE if self._is_primary_unreachable(now, timeout) else None

    def _silence_threshold(self, now: Instant, trigger: MajoritySilence) -> timedelta:
        if (
            self._record_changed_at is not None
            and now - self._record_changed_at < self._policy.promotion_cooldown
        ):
            return trigger.cooldown_threshold
        return trigger.threshold

    def _is_primary_unreachable(self, now: Instant, timeout: timedelta) -> bool:
        primary = self._view.primary
        if primary is None:
            return len(self._view.reports) >= self._view.majority
        return self._view.unreachable_for(now, primary) >= timeout

    def _has_drained(self, report: BackendStatus, leaving_for: timedelta) -> bool:
        """Return whether a leaving primary has had its time to finish open transactions."""
        if leaving_for >= self._policy.max_drain_time:
            return True
        is_done = report.open_transactions == 0
        return is_done and leaving_for >= self._policy.min_drain_time

    def _is_switchover_due(self, now: Instant) -> bool:
        """Return whether the primary is leaving and a caught-up majority can take over."""
        primary = self._view.primary
        report = self._view.report_of(primary) if primary is not None else None
        if report is None or not report.leaving:
            self._leaving_since = None
            return False
        if self._leaving_since is None:
            self._leaving_since = now
        if not self._has_drained(report, now - self._leaving_since):
            return False
        if self._next_switchover is not None and now < self._next_switchover:
            return False
        fresh = self._view.fresh_reports(now)
        caught_up = [
            status
            for status in fresh
            if not status.leaving and status.received.contains(report.committed)
        ]
        return report in fresh and len(caught_up) >= self._view.majority


def estimate_polls_per_second(policy: FailoverPolicy, rank: int, instances: int) -> float:
    """Return how often one observer of one healthy group polls instances, before any slowdown."""
    interval = policy.fast_poll_interval if rank == 0 else policy.backup_poll_interval
    replicas = max(0, instances - 1)
    return timedelta(seconds=1) / interval + replicas * (
        timedelta(seconds=1) / policy.replica_poll_interval
    )
