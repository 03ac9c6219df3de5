"""Run one attempt at a time to give a database group a new primary.

Safety rests on the instances alone: each promises a term to one proposer only, and of a majority
that promised, the one with the greatest log is promoted. Every entry that was ever acknowledged is
held by a majority, and two majorities share an instance, so the chosen log holds it. Whatever an
election does late, twice or beside another one is refused by the terms.
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

_GRACE = milliseconds(100)
_PROMOTE_RETRY = milliseconds(200)


@dataclass
class _Accepting:
    term: Term
    backends: Sequence[BackendId]
    deadline: Instant
    min_silence: timedelta
    avoided: BackendId | None
    is_repeated: bool = False
    accepted: dict[BackendId, BackendStatus] = field(default_factory=dict)
    refused: set[BackendId] = field(default_factory=set)
    decide_at: Instant | None = None


@dataclass
class _Promoting:
    term: Term
    backend: BackendId
    deadline: Instant
    retry_at: Instant | None = None


class Election:
    """Propose terms for one group; the owner decides when to ``start``."""

    def __init__(
        self, service: ServiceName, proposer: str, policy: FailoverPolicy, rng: random.Random
    ) -> None:
        self._service = service
        self._proposer = proposer
        self._policy = policy
        self._rng = rng
        self._phase: _Accepting | _Promoting | None = None
        self._last_term = Term(0)
        self._failures = 0
        self._rest_until: Instant | None = None

    @property
    def is_running(self) -> bool:
        """Tell whether an attempt is under way."""
        return self._phase is not None

    def may_start(self, now: Instant) -> bool:
        """Tell whether no attempt runs and the last failed one lies far enough back."""
        is_resting = self._rest_until is not None and now < self._rest_until
        return self._phase is None and not is_resting

    def abandon(self) -> None:
        """Forget the attempt; what the instances promised stays harmless."""
        self._phase = None

    def start(
        self,
        now: Instant,
        seen_term: Term,
        backends: Sequence[BackendId],
        min_silence: timedelta,
        avoided: BackendId | None = None,
    ) -> Iterator[Action]:
        """Ask all instances to accept a term above every one seen or proposed so far.

        ``avoided`` names the primary to replace: it may be cut off, and is not promoted again
        where the others alone are a majority.
        """
        term = Term(max(seen_term, self._last_term) + 1)
        self._last_term = term
        deadline = now + self._policy.attempt_timeout
        self._phase = _Accepting(term, backends, deadline, min_silence, avoided)
        for backend in backends:
            yield AcceptTerm(backend, term, self._proposer, min_silence)

    def take_accept(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> Iterator[Action]:
        """Count the answer to an ``AcceptTerm``."""
        phase = self._phase
        if not isinstance(phase, _Accepting) or phase.term != term:
            return
        if isinstance(answer, BackendStatus) and answer.term == term:
            phase.accepted[backend] = answer
            phase.refused.discard(backend)
        else:
            phase.refused.add(backend)
        yield from self._count(now, phase)

    def _count(self, now: Instant, phase: _Accepting) -> Iterator[Action]:
        majority = len(phase.backends) // 2 + 1
        if len(phase.backends) - len(phase.refused) < majority:
            self._fail(now)
            return
        if len(phase.accepted) < majority:
            return
        if phase.decide_at is None:
            phase.decide_at = now + _GRACE
        preferred = preferred_majority(phase.accepted, majority, phase.avoided)
        if preferred is not None:
            yield from self._promote(now, choose_successor(preferred, phase.backends))
        elif len(phase.accepted) + len(phase.refused) == len(phase.backends):
            yield from self._promote(now, choose_successor(phase.accepted, phase.backends))
        elif now >= phase.decide_at:
            yield from self._end_grace(now, phase)

    def _end_grace(self, now: Instant, phase: _Accepting) -> Iterator[Action]:
        """Ask once more those that did not answer, then make do with what there is."""
        if phase.is_repeated:
            yield from self._promote(now, choose_successor(phase.accepted, phase.backends))
            return
        phase.is_repeated = True
        phase.decide_at = now + _GRACE
        for backend in phase.backends:
            if backend not in phase.accepted and backend not in phase.refused:
                yield AcceptTerm(backend, phase.term, self._proposer, phase.min_silence)

    def _promote(self, now: Instant, backend: BackendId) -> Iterator[Action]:
        phase = _Promoting(self._last_term, backend, now + self._policy.promote_timeout)
        self._phase = phase
        yield PromoteBackend(backend, phase.term, self._proposer)

    def take_promote(
        self, now: Instant, backend: BackendId, term: Term, answer: Answer
    ) -> Iterator[Action]:
        """Handle the answer to a ``PromoteBackend``.

        Nobody else is promoted in the same term, even where the answer was lost.
        """
        phase = self._phase
        if not isinstance(phase, _Promoting) or (phase.backend, phase.term) != (backend, term):
            return
        if isinstance(answer, BackendStatus) and is_primary_of(answer, term):
            self._phase = None
            self._failures = 0
            yield PublishGroup(GroupRecord(self._service, term, backend), was_ordered_here=True)
        else:
            phase.retry_at = now + _PROMOTE_RETRY

    def tick(self, now: Instant) -> Iterator[Action]:
        """End an attempt that takes too long and repeat an unanswered promotion."""
        match self._phase:
            case _Accepting(deadline=deadline) if now >= deadline:
                self._fail(now)
            case _Accepting(decide_at=decide_at) as phase if decide_at and now >= decide_at:
                yield from self._count(now, phase)
            case _Promoting(deadline=deadline) if now >= deadline:
                self._fail(now)
            case _Promoting(retry_at=retry_at) as phase if retry_at and now >= retry_at:
                phase.retry_at = None
                yield PromoteBackend(phase.backend, phase.term, self._proposer)

    def _fail(self, now: Instant) -> None:
        self._phase = None
        self._failures += 1
        longest = min(self._policy.backoff_max, self._policy.backoff_min * 2**self._failures)
        spread = (longest - self._policy.backoff_min) * self._rng.random()
        self._rest_until = now + self._policy.backoff_min + spread


def is_primary_of(status: BackendStatus, term: Term) -> bool:
    """Tell whether an instance is primary in a term."""
    return status.role is InstanceRole.PRIMARY and status.term == term


def preferred_majority(
    accepted: Mapping[BackendId, BackendStatus], majority: int, avoided: BackendId | None
) -> Mapping[BackendId, BackendStatus] | None:
    """Return those that accepted without the avoided and the leaving ones, if a majority."""
    preferred = {
        backend: status
        for backend, status in accepted.items()
        if backend != avoided and not status.leaving
    }
    return preferred if len(preferred) >= majority else None


def choose_successor(
    accepted: Mapping[BackendId, BackendStatus], backends: Sequence[BackendId]
) -> BackendId:
    """Return the instance with the greatest log of a majority that accepted a term.

    Of equal ones the first in the order of the configuration is taken.
    """
    in_order = [backend for backend in backends if backend in accepted]
    return max(in_order, key=lambda backend: accepted[backend].received)
