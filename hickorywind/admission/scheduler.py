"""Admission queue of one backend server: order by rank, guaranteed shares and bounded queues."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.queuelimits import find_victim, is_full_for, requires_eviction
from hickorywind.admission.rankqueue import RankQueue
from hickorywind.admission.rankstates import RankState, RankStates
from hickorywind.admission.refusals import (
    jittered_retry_ms,
    refuse_expired,
    refuse_queue_full,
    refuse_session_limit,
    refuse_would_miss_deadline,
)
from hickorywind.admission.requests import Action, Refuse, Start, WaitingRequest
from hickorywind.configuration.model import RankPolicy, Service
from hickorywind.ids import Rank, SessionId
from hickorywind.util.clock import Instant

_HEADROOM_PERIOD = timedelta(seconds=1)
_MIN_SLOTS_FOR_HEADROOM = 3


@dataclass(frozen=True)
class AdmissionPolicy:
    """Limits of one backend server's admission queue.

    ``per_session_requests`` limits the waiting and running requests of one session.
    """

    slots: int
    ranks: tuple[RankPolicy, ...]
    per_session_requests: int

    @classmethod
    def from_service(cls, service: Service, slots: int) -> AdmissionPolicy:
        """Create the policy of a backend server with ``slots`` from the service's settings."""
        return cls(slots, service.ranks, service.transactions.per_session_requests)


@dataclass(slots=True)
class _RunningRequest:
    request: WaitingRequest
    state: RankState
    started: Instant
    charged_seconds: float


class AdmissionQueue:
    """Queue that decides which request gets the next slot and which is refused.

    Each event method returns the actions to carry out. Every request that arrives gets one
    ``Refuse``, or one ``Start`` after which the owner calls ``finish``, or is withdrawn.
    """

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._rank_states = RankStates(policy.ranks, policy.slots)
        self._transaction_queue = RankQueue()
        self._running: dict[Hashable, _RunningRequest] = {}
        self._session_counts: dict[SessionId, int] = {}
        self._deadlines: list[tuple[Instant, int, Hashable]] = []
        self._arrival_numbers = itertools.count()
        self._last_event: Instant | None = None
        self._last_urgent_arrival: Instant | None = None

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Apply changed guaranteed shares, queue limits and slots."""
        self._policy = policy
        self._rank_states.set_policies(policy.ranks, policy.slots)

    # Events ------------------------------------------------------------------------------------

    def arrive(self, request: WaitingRequest, now: Instant) -> Sequence[Action]:
        """Start, queue or refuse a request that arrives; queueing it may evict others."""
        self._update_accounts(now)
        state = self._rank_states.for_rank(request.rank)
        if request.rank is Rank.URGENT:
            self._last_urgent_arrival = now
        refusal = self._refuse_at_arrival(request, state, now)
        if refusal is not None:
            return (refusal,)
        evicted = [] if request.in_transaction else self._evict_for(request, state)
        self._enqueue(request, state)
        return (*evicted, *self._fill_slots(now))

    def finish(self, key: Hashable, now: Instant) -> Sequence[Action]:
        """Release the slot of a started request and start waiting ones."""
        self._update_accounts(now)
        running = self._running.pop(key)
        seconds = (now - running.started).total_seconds()
        running.state.charge(seconds - running.charged_seconds)
        running.state.running -= 1
        self._rank_states.record_service_time(running.state, seconds)
        self._forget(running.request)
        return self._fill_slots(now)

    def withdraw(self, key: Hashable, now: Instant) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        self._update_accounts(now)
        return self._remove(key) is not None

    def expire(self, now: Instant) -> Sequence[Action]:
        """Refuse the waiting requests whose deadline has passed."""
        self._update_accounts(now)
        refused = []
        while self._deadlines and self._deadlines[0][0] <= now:
            request = self._remove(heapq.heappop(self._deadlines)[2])
            if request is not None:
                refused.append(refuse_expired(request))
        return refused

    # Queue state -------------------------------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return self._rank_states.waiting_count + self._transaction_queue.count

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def waiting_by_rank(self) -> dict[Rank, int]:
        """Return the number of waiting requests of each rank."""
        return {state.rank: state.queue.count for state in self._rank_states.by_urgency}

    def waiting_bytes_by_rank(self) -> dict[Rank, int]:
        """Return the total size in bytes of the waiting requests of each rank."""
        return {state.rank: state.queue.size_bytes for state in self._rank_states.by_urgency}

    # Arrival -----------------------------------------------------------------------------------

    def _refuse_at_arrival(
        self, request: WaitingRequest, state: RankState, now: Instant
    ) -> Refuse | None:
        if request.deadline <= now:
            return refuse_expired(request)
        if request.in_transaction:
            return None
        wait_seconds = self._expected_wait_seconds(request, state)
        if self._session_counts.get(request.session, 0) >= self._policy.per_session_requests:
            return refuse_session_limit(
                request, jittered_retry_ms(state.expected_service_seconds, self._rng)
            )
        remaining_seconds = (request.deadline - now).total_seconds()
        if wait_seconds and wait_seconds + state.expected_service_seconds > remaining_seconds:
            return refuse_would_miss_deadline(request, jittered_retry_ms(wait_seconds, self._rng))
        if is_full_for(self._rank_states, state, request):
            return refuse_queue_full(request, jittered_retry_ms(wait_seconds, self._rng))
        return None

    def _expected_wait_seconds(self, request: WaitingRequest, state: RankState) -> float:
        if len(self._running) < self._policy.slots and not self._rank_states.waiting_count:
            return 0.0
        ahead = state.queue.count_ahead_of(request.session)
        return self._rank_states.expected_wait_seconds(state, ahead)

    def _evict_for(self, request: WaitingRequest, state: RankState) -> list[Action]:
        evicted: list[Action] = []
        while requires_eviction(self._rank_states, state, request):
            victim = find_victim(self._rank_states, state)
            if victim is None:
                break
            self._remove(victim.key)
            wait_seconds = self._expected_wait_seconds(
                victim, self._rank_states.for_rank(victim.rank)
            )
            evicted.append(refuse_queue_full(victim, jittered_retry_ms(wait_seconds, self._rng)))
        return evicted

    def _enqueue(self, request: WaitingRequest, state: RankState) -> None:
        queue = self._transaction_queue if request.in_transaction else state.queue
        queue.push(request)
        self._session_counts[request.session] = self._session_counts.get(request.session, 0) + 1
        heapq.heappush(
            self._deadlines, (request.deadline, next(self._arrival_numbers), request.key)
        )

    # Slots -------------------------------------------------------------------------------------

    def _fill_slots(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        while (request := self._take_next(now)) is not None:
            if request.deadline <= now:
                self._forget(request)
                actions.append(refuse_expired(request))
            else:
                self._occupy_slot(request, now)
                actions.append(Start(request))
        return actions

    def _take_next(self, now: Instant) -> WaitingRequest | None:
        # A statement of an open transaction never waits for a slot: the requests that hold the
        # slots may be waiting for locks of that transaction. The limit on open transactions bounds
        # the number of requests that run beyond the slots.
        if self._transaction_queue.count:
            return self._transaction_queue.pop()
        if len(self._running) >= self._policy.slots:
            return None
        state = self._rank_states.with_most_credit() or self._most_urgent(now)
        if state is None:
            return None
        request = state.queue.pop()
        state.drop_credit_if_idle()
        return request

    def _most_urgent(self, now: Instant) -> RankState | None:
        """Return the most urgent rank with waiting requests, or None.

        While urgent requests keep arriving, the last free slot is reserved for them.
        """
        has_headroom = len(self._running) < self._policy.slots - self._reserved_slots(now)
        for state in self._rank_states.by_urgency:
            if state.queue.count and (has_headroom or state.rank is Rank.URGENT):
                return state
        return None

    def _reserved_slots(self, now: Instant) -> int:
        if self._policy.slots < _MIN_SLOTS_FOR_HEADROOM or self._last_urgent_arrival is None:
            return 0
        return 1 if now - self._last_urgent_arrival <= _HEADROOM_PERIOD else 0

    def _occupy_slot(self, request: WaitingRequest, now: Instant) -> None:
        state = self._rank_states.for_rank(request.rank)
        state.charge(state.expected_service_seconds)
        state.running += 1
        self._running[request.key] = _RunningRequest(
            request, state, now, state.expected_service_seconds
        )

    def _forget(self, request: WaitingRequest) -> None:
        """Remove a request that neither waits nor runs from the count of its session."""
        count = self._session_counts[request.session] - 1
        if count:
            self._session_counts[request.session] = count
        else:
            del self._session_counts[request.session]

    # Slot-time accounting ----------------------------------------------------------------------

    def _update_accounts(self, now: Instant) -> None:
        """Charge running requests and credit ranks for the time since the last event."""
        last, self._last_event = self._last_event, now
        if last is None or now <= last:
            return
        self._rank_states.advance((now - last).total_seconds())
        for running in self._running.values():
            held_seconds = (now - running.started).total_seconds()
            uncharged_seconds = held_seconds - running.charged_seconds
            if uncharged_seconds > 0:
                running.charged_seconds = held_seconds
                running.state.charge(uncharged_seconds)

    def _remove(self, key: Hashable) -> WaitingRequest | None:
        for queue in self._queues():
            request = queue.remove(key)
            if request is not None:
                self._forget(request)
                self._rank_states.for_rank(request.rank).drop_credit_if_idle()
                return request
        return None

    def _queues(self) -> tuple[RankQueue, ...]:
        return (self._transaction_queue, *(state.queue for state in self._rank_states.by_urgency))
