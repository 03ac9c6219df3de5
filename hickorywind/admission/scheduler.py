"""Order the work of one backend server: urgent first, a floor for every rank, bounded queues."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Hashable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.lanes import Lane, Lanes
from hickorywind.admission.rankqueue import RankQueue
from hickorywind.admission.refusals import (
    drain_hint_ms,
    refuse_expired,
    refuse_full,
    refuse_late,
    refuse_session,
)
from hickorywind.admission.requests import Action, Refuse, Start, WaitingRequest
from hickorywind.admission.room import find_victim, is_full_for, needs_room
from hickorywind.configuration.model import RankPolicy, Service
from hickorywind.ids import Rank, SessionId
from hickorywind.util.clock import Instant

_URGENT_WINDOW = timedelta(seconds=1)
_SLOTS_FOR_HEADROOM = 3


@dataclass(frozen=True)
class AdmissionPolicy:
    """Set the bounds of one backend server's queue.

    ``per_session_requests`` bounds what one session may have waiting and running.
    """

    slots: int
    ranks: tuple[RankPolicy, ...]
    per_session_requests: int

    @classmethod
    def from_service(cls, service: Service, slots: int) -> AdmissionPolicy:
        """Build the policy of a backend server with ``slots`` from its service."""
        return cls(slots, service.ranks, service.transactions.per_session_requests)


@dataclass(slots=True)
class _Running:
    request: WaitingRequest
    lane: Lane
    started: Instant
    charged_seconds: float


class AdmissionQueue:
    """Decide which waiting request gets the next slot and which is refused at once.

    Each call returns the actions to carry out. Every request that arrives gets either one
    ``Refuse``, or one ``Start`` for which the owner calls ``finish``, or is withdrawn.
    """

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._lanes = Lanes(policy.ranks, policy.slots)
        self._continuing = RankQueue()
        self._running: dict[Hashable, _Running] = {}
        self._session_loads: dict[SessionId, int] = {}
        self._deadlines: list[tuple[Instant, int, Hashable]] = []
        self._order = itertools.count()
        self._last_event: Instant | None = None
        self._urgent_seen: Instant | None = None

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Put other floors and bounds in force for what arrives from now on."""
        self._policy = policy
        self._lanes.set_policies(policy.ranks, policy.slots)

    # Events ------------------------------------------------------------------------------------

    def arrive(self, request: WaitingRequest, now: Instant) -> Sequence[Action]:
        """Take in a request: start it, queue it or refuse it."""
        self._advance(now)
        lane = self._lanes.of(request.rank)
        if request.rank is Rank.URGENT:
            self._urgent_seen = now
        refusal = self._refuse_at_arrival(request, lane, now)
        if refusal is not None:
            return (refusal,)
        evicted = [] if request.in_transaction else self._make_room(request, lane)
        self._enqueue(request, lane)
        return (*evicted, *self._fill_slots(now))

    def finish(self, key: Hashable, now: Instant) -> Sequence[Action]:
        """Free the slot of a started request."""
        self._advance(now)
        running = self._running.pop(key)
        seconds = (now - running.started).total_seconds()
        running.lane.charge(seconds - running.charged_seconds)
        running.lane.running -= 1
        self._lanes.observe(running.lane, seconds)
        self._release(running.request)
        return self._fill_slots(now)

    def withdraw(self, key: Hashable, now: Instant) -> bool:
        """Remove a waiting request; return False where it does not wait (any more)."""
        self._advance(now)
        return self._remove(key) is not None

    def expire(self, now: Instant) -> Sequence[Action]:
        """Refuse the waiting requests whose deadline has passed."""
        self._advance(now)
        refused = []
        while self._deadlines and self._deadlines[0][0] <= now:
            request = self._remove(heapq.heappop(self._deadlines)[2])
            if request is not None:
                refused.append(refuse_expired(request))
        return refused

    # What others may ask -----------------------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return self._lanes.waiting_count + self._continuing.count

    @property
    def running_count(self) -> int:
        """Return how many slots are held."""
        return len(self._running)

    def waiting_by_rank(self) -> dict[Rank, int]:
        """Return how many requests of each rank wait."""
        return {lane.rank: lane.queue.count for lane in self._lanes.by_urgency}

    def waiting_bytes_by_rank(self) -> dict[Rank, int]:
        """Return the size of the waiting requests of each rank."""
        return {lane.rank: lane.queue.size_bytes for lane in self._lanes.by_urgency}

    # Arrival -----------------------------------------------------------------------------------

    def _refuse_at_arrival(
        self, request: WaitingRequest, lane: Lane, now: Instant
    ) -> Refuse | None:
        if request.deadline <= now:
            return refuse_expired(request)
        if request.in_transaction:
            return None
        wait_seconds = self._expected_wait_seconds(request, lane)
        if self._session_loads.get(request.session, 0) >= self._policy.per_session_requests:
            return refuse_session(request, drain_hint_ms(lane.expected_seconds, self._rng))
        remaining_seconds = (request.deadline - now).total_seconds()
        if wait_seconds and wait_seconds + lane.expected_seconds > remaining_seconds:
            return refuse_late(request, drain_hint_ms(wait_seconds, self._rng))
        if is_full_for(self._lanes, lane, request):
            return refuse_full(request, drain_hint_ms(wait_seconds, self._rng))
        return None

    def _expected_wait_seconds(self, request: WaitingRequest, lane: Lane) -> float:
        if len(self._running) < self._policy.slots and not self._lanes.waiting_count:
            return 0.0
        ahead = lane.queue.count_ahead_of(request.session)
        return self._lanes.expected_wait_seconds(lane, ahead)

    def _make_room(self, request: WaitingRequest, lane: Lane) -> list[Action]:
        evicted: list[Action] = []
        while needs_room(self._lanes, lane, request):
            victim = find_victim(self._lanes, lane)
            if victim is None:
                break
            self._remove(victim.key)
            wait_seconds = self._expected_wait_seconds(victim, self._lanes.of(victim.rank))
            evicted.append(refuse_full(victim, drain_hint_ms(wait_seconds, self._rng)))
        return evicted

    def _enqueue(self, request: WaitingRequest, lane: Lane) -> None:
        queue = self._continuing if request.in_transaction else lane.queue
        queue.push(request)
        self._session_loads[request.session] = self._session_loads.get(request.session, 0) + 1
        heapq.heappush(self._deadlines, (request.deadline, next(self._order), request.key))

    # Slots -------------------------------------------------------------------------------------

    def _fill_slots(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        while (request := self._take_next(now)) is not None:
            if request.deadline <= now:
                self._release(request)
                actions.append(refuse_expired(request))
            else:
                self._hold_slot(request, now)
                actions.append(Start(request))
        return actions

    def _take_next(self, now: Instant) -> WaitingRequest | None:
        # A statement of an open transaction never waits for a slot: those who hold the slots may be
        # waiting for the transaction's locks. The limit on open transactions bounds the excess.
        if self._continuing.count:
            return self._continuing.pop()
        if len(self._running) >= self._policy.slots:
            return None
        lane = self._lanes.most_owed() or self._most_urgent(now)
        if lane is None:
            return None
        request = lane.queue.pop()
        lane.forfeit_if_idle()
        return request

    def _most_urgent(self, now: Instant) -> Lane | None:
        """Return the most urgent lane with work; one slot is kept clear for urgent arrivals."""
        has_headroom = len(self._running) < self._policy.slots - self._headroom(now)
        for lane in self._lanes.by_urgency:
            if lane.queue.count and (has_headroom or lane.rank is Rank.URGENT):
                return lane
        return None

    def _headroom(self, now: Instant) -> int:
        if self._policy.slots < _SLOTS_FOR_HEADROOM or self._urgent_seen is None:
            return 0
        return 1 if now - self._urgent_seen <= _URGENT_WINDOW else 0

    def _hold_slot(self, request: WaitingRequest, now: Instant) -> None:
        lane = self._lanes.of(request.rank)
        lane.charge(lane.expected_seconds)
        lane.running += 1
        self._running[request.key] = _Running(request, lane, now, lane.expected_seconds)

    def _release(self, request: WaitingRequest) -> None:
        """Forget a request that neither waits nor runs any more."""
        count = self._session_loads[request.session] - 1
        if count:
            self._session_loads[request.session] = count
        else:
            del self._session_loads[request.session]

    # Accounts ----------------------------------------------------------------------------------

    def _advance(self, now: Instant) -> None:
        """Settle the accounts for the time since the last event."""
        last, self._last_event = self._last_event, now
        if last is None or now <= last:
            return
        self._lanes.advance((now - last).total_seconds())
        for running in self._running.values():
            held_seconds = (now - running.started).total_seconds()
            over_seconds = held_seconds - running.charged_seconds
            if over_seconds > 0:
                running.charged_seconds = held_seconds
                running.lane.charge(over_seconds)

    def _remove(self, key: Hashable) -> WaitingRequest | None:
        for queue in self._queues():
            request = queue.remove(key)
            if request is not None:
                self._release(request)
                self._lanes.of(request.rank).forfeit_if_idle()
                return request
        return None

    def _queues(self) -> tuple[RankQueue, ...]:
        return (self._continuing, *(lane.queue for lane in self._lanes.by_urgency))
