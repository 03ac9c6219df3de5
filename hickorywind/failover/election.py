"""Election of a new primary for a database group, one attempt at a time.

Safety depends on the instances alone: each accepts a term from one proposer only, and among a
majority that accepted the term, the instance with the most advanced log is promoted. A majority
holds every acknowledged entry, and any two majorities share an instance, so the chosen log contains
that entry. Requests that arrive late, twice or beside those of another election do no harm, because
instances check the terms.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.failover.actions import AcceptTerm, Action, Answer, PromoteBackend, PublishGroup
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, ServiceName, Term
from hickorywind.protocol.records import GroupRecord
from hickorywind.util.clock import Instant, milliseconds

_GRACE_PERIOD = milliseconds(100)  # for further acceptances, once a majority has accepted
_PROMOTE_RETRY_INTERVAL = milliseconds(200)


@dataclass
class _AcceptPhase:
    term: Term
    backends: Sequence[BackendId]
    deadline: Instant
    min_silence: timedelta
    old_primary: BackendId | None
    was_retried: bool = False
    accepted: dict[BackendId, BackendStatus] = field(default_factory=dict)
    refused: set[BackendId] = field(default_factory=set)
    grace_ends_at: Instant | None = None


@dataclass
class _PromotePhase:
    term: Term
    backend: BackendId
    deadline: Instant
    retry_at: Instant | None = None


class Election:
    """Proposer of terms for one group; the owner decides when to call ``start``."""

    def __init__(
        self, service: ServiceName, proposer: str, policy: FailoverPolicy, rng: random.Random
    ) -> None:
        self._service = service
        self._proposer = proposer
        self._policy = policy
        self._rng = rng
        self._phase: _AcceptPhase | _PromotePhase | None = None
        self._last_term = Term(0)
        self._failures = 0
        self._backoff_until: Instant | None = None

    @property
    def is_running(self) -> bool:
        """Return whether an attempt is in progress."""
        return self._phase is not None

    def may_start(self, now: Instant) -> bool:
        """Return whether no attempt is in progress and the backoff after a failed one is over."""
        is_backing_off = self._backoff_until is not None and now < self._backoff_until
        return self._phase is None and not is_backing_off

    def abandon(self) -> None:
        """Abandon the attempt; a term that instances have accepted does no harm."""
        self._phase = None

    def start(
        self,
        now: Instant,
        seen_term: Term,
        backends: Sequence[BackendId],
        min_silence: timedelta,
        old_primary: BackendId | None = None,
    ) -> Iterator[Action]:
        """Ask all instances to accept a term higher than every term seen or proposed so far.

        ``old_primary`` is the primary to replace. It may be cut off from the group, so it is not
        promoted again if the other instances that accept form a majority without it.
        """
        term = Term(max(seen_term, self._last_term) + 1)
        self._last_term = term
        deadline = now + self._policy.accept_timeout
        self._phase = _AcceptPhase(term, backends, deadline, min_silence, old_primary)
        for backend in backends:
            yield AcceptTerm(backend, term, self._proposer, min_silence)

    def handle_accept_answer(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> Iterator[Action]:
        """Record the answer to an ``AcceptTerm`` and promote an instance if one can be chosen."""
        phase = self._phase
        if not isinstance(phase, _AcceptPhase) or phase.term != term:
            return
        if isinstance(answer, BackendStatus) and answer.term == term:
            phase.accepted[backend] = answer
            phase.refused.discard(backend)
        else:
            phase.refused.add(backend)
        yield from self._evaluate_accepts(now, phase)

    def _evaluate_accepts(self, now: Instant, phase: _AcceptPhase) -> Iterator[Action]:
        majority = len(phase.backends) // 2 + 1
        if len(phase.backends) - len(phase.refused) < majority:
            self._end_failed_attempt(now)
            return
        if len(phase.accepted) < majority:
            return
        if phase.grace_ends_at is None:
            phase.grace_ends_at = now + _GRACE_PERIOD
        preferred = preferred_majority(phase.accepted, majority, phase.old_primary)
        if preferred is not None:
            yield from self._promote(now, choose_successor(preferred, phase.backends))
        elif len(phase.accepted) + len(phase.refused) == len(phase.backends):
            yield from self._promote(now, choose_successor(phase.accepted, phase.backends))
        elif now >= phase.grace_ends_at:
            yield from self._end_grace_period(now, phase)

    def _end_grace_period(self, now: Instant, phase: _AcceptPhase) -> Iterator[Action]:
        """Ask instances that did not answer once more, then choose among those that accepted."""
        if phase.was_retried:
            yield from self._promote(now, choose_successor(phase.accepted, phase.backends))
            return
        phase.was_retried = True
        phase.grace_ends_at = now + _GRACE_PERIOD
        for backend in phase.backends:
            if backend not in phase.accepted and backend not in phase.refused:
                yield AcceptTerm(backend, phase.term, self._proposer, phase.min_silence)

    def _promote(self, now: Instant, backend: BackendId) -> Iterator[Action]:
        phase = _PromotePhase(self._last_term, backend, now + self._policy.promote_timeout)
        self._phase = phase
        yield PromoteBackend(backend, phase.term, self._proposer)

    def handle_promote_answer(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> Iterator[Action]:
        """Handle the answer to a ``PromoteBackend``.

        No other instance is promoted in the same term, even if the answer was lost.
        """
        phase = self._phase
        if not isinstance(phase, _PromotePhase) or (phase.backend, phase.term) != (backend, term):
            return
        if isinstance(answer, BackendStatus) and is_primary_of(answer, term):
            self._phase = None
            self._failures = 0
            yield PublishGroup(GroupRecord(self._service, term, backend), is_own_promotion=True)
        else:
            phase.retry_at = now + _PROMOTE_RETRY_INTERVAL

    def tick(self, now: Instant) -> Iterator[Action]:
        """End an attempt that timed out and repeat a promotion that was not confirmed."""
        match self._phase:
            case _AcceptPhase(deadline=deadline) if now >= deadline:
                self._end_failed_attempt(now)
            case _AcceptPhase(grace_ends_at=grace_ends_at) as phase if (
                grace_ends_at and now >= grace_ends_at
            ):
                yield from self._evaluate_accepts(now, phase)
            case _PromotePhase(deadline=deadline) if now >= deadline:
                self._end_failed_attempt(now)
            case _PromotePhase(retry_at=retry_at) as phase if retry_at and now >= retry_at:
                phase.retry_at = None
                yield PromoteBackend(phase.backend, phase.term, self._proposer)

    def _end_failed_attempt(self, now: Instant) -> None:
        self._phase = None
        self._failures += 1
        max_backoff = min(self._policy.backoff_max, self._policy.backoff_min * 2**self._failures)
        random_part = (max_backoff - self._policy.backoff_min) * self._rng.random()
        self._backoff_until = now + self._policy.backoff_min + random_part


def is_primary_of(status: BackendStatus, term: Term) -> bool:
    """Return whether an instance is primary in a term."""
    return status.role is InstanceRole.PRIMARY and status.term == term


def preferred_majority(
    accepted: Mapping[BackendId, BackendStatus], majority: int, old_primary: BackendId | None
) -> Mapping[BackendId, BackendStatus] | None:
    """Return the instances that accepted, without the old primary and leaving instances.

    Return None if these are no majority.
    """
    preferred = {
        backend: status
        for backend, status in accepted.items()
        if backend != old_primary and not status.leaving
    }
    return preferred if len(preferred) >= majority else None


def choose_successor(
    accepted: Mapping[BackendId, BackendStatus], backends: Sequence[BackendId]
) -> BackendId:
    """Return the instance with the most advanced log among a majority that accepted a term.

    Among equal logs, the instance that the configuration lists first is chosen.
    """
    in_order = [backend for backend in backends if backend in accepted]
    return max(in_order, key=lambda backend: accepted[backend].received)
