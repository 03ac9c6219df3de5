"""Order the work of one backend server: urgent first, a floor for every rank, bounded queues."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Hashable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.credits import FloorCredits
from hickorywind.admission.estimates import RecentlySeen, ServiceTimes, SlotUse
from hickorywind.admission.rankqueue import RankQueue
from hickorywind.admission.refusals import (
    drain_hint_ms,
    refuse_expired,
    refuse_full,
    refuse_late,
    refuse_session,
)
from hickorywind.admission.requests import Action, Refuse, Start, WaitingRequest
from hickorywind.configuration.model import RankPolicy, Service
from hickorywind.ids import RANKS_BY_URGENCY, Rank, SessionId
from hickorywind.results import Result
from hickorywind.util.clock import Instant

_URGENT_WINDOW = timedelta(seconds=1)
_SLOTS_FOR_HEADROOM = 3
_PERCENT = 100.0
_NOTHING = timedelta(0)


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
        named = {policy.rank: policy for policy in service.ranks}
        ranks = tuple(named.get(rank, RankPolicy(rank, 0)) for rank in RANKS_BY_URGENCY)
        return cls(slots, ranks, service.transactions.per_session_requests)


@dataclass(slots=True)
class _Running:
    request: WaitingRequest
    started: Instant
    charged: timedelta


class AdmissionQueue:
    """Decide which waiting request gets the next slot and which is refused at once.

    Each call returns the actions to carry out. Every request that arrives gets either one
    ``Refuse``, or one ``Start`` for which the owner calls ``finish``, or is withdrawn.
    """

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._limits = {rank.rank: rank for rank in policy.ranks}
        floors = {rank.rank: rank.floor_percent / _PERCENT for rank in policy.ranks}
        self._floors = floors
        self._credits = FloorCredits(floors)
        self._times = ServiceTimes()
        self._use = SlotUse(policy.slots)
        self._urgent_seen = RecentlySeen(_URGENT_WINDOW)
        self._queues = {rank: RankQueue() for rank in RANKS_BY_URGENCY}
        self._continuing = RankQueue()
        self._running: dict[Hashable, _Running] = {}
        self._running_by_rank = dict.fromkeys(RANKS_BY_URGENCY, 0)
        self._running_by_session: dict[SessionId, int] = {}
        self._deadlines: list[tuple[Instant, int, Hashable]] = []
        self._order = itertools.count()
        self._last_event: Instant | None = None

    # Events ------------------------------------------------------------------------------------

    def arrive(self, request: WaitingRequest, now: Instant) -> Sequence[Action]:
        """Take in a request: start it, queue it or refuse it."""
        self._advance(now)
        if request.rank is Rank.URGENT:
            self._urgent_seen.mark(now)
        refusal = self._refusal_at_arrival(request, now)
        if refusal is not None:
            return (refusal,)
        evicted = self._make_room(request, now)
        self._enqueue(request)
        return (*evicted, *self._fill_slots(now))

    def finish(self, key: Hashable, now: Instant) -> Sequence[Action]:
        """Free the slot of a started request."""
        self._advance(now)
        running = self._running.pop(key)
        request = running.request
        duration = now - running.started
        self._charge(request.rank, duration - running.charged)
        self._times.observe(request.rank, duration)
        self._running_by_rank[request.rank] -= 1
        self._release_session(request.session)
        return self._fill_slots(now)

    def withdraw(self, key: Hashable, now: Instant) -> bool:
        """Remove a waiting request; return False where it does not wait (any more)."""
        self._advance(now)
        for queue in self._all_queues():
            request = queue.remove(key)
            if request is not None:
                self._forfeit_if_idle(request.rank)
                return True
        return False

    def expire(self, now: Instant) -> Sequence[Action]:
        """Refuse the waiting requests whose deadline has passed."""
        self._advance(now)
        refused = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, key = heapq.heappop(self._deadlines)
            refused.extend(self._expire_one(key, now))
        return refused

    def refuse_all(self, make_refusal: Callable[[WaitingRequest], Result]) -> Sequence[Action]:
        """Empty the queue; ``make_refusal`` builds the result for each request."""
        waiting = [request for queue in self._all_queues() for request in queue]
        for queue in self._all_queues():
            for request in queue:
                queue.remove(request.key)
        return [Refuse(request, make_refusal(request)) for request in waiting]

    # What others may ask -------------------------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._all_queues())

    @property
    def running_count(self) -> int:
        """Return how many slots are held."""
        return len(self._running)

    def waiting_by_rank(self) -> dict[Rank, int]:
        """Return how many requests of each rank wait."""
        counts = {rank: len(queue) for rank, queue in self._queues.items()}
        for request in self._continuing:
            counts[request.rank] += 1
        return counts

    def waiting_bytes_by_rank(self) -> dict[Rank, int]:
        """Return the size of the waiting requests of each rank."""
        return {rank: queue.size_bytes for rank, queue in self._queues.items()}

    def expected_wait(self, request: WaitingRequest) -> timedelta:
        """Estimate how long a request that arrives now would wait for a slot."""
        if self._free_slots(request.rank, urgent_expected=False) > 0 and not self.waiting_count:
            return _NOTHING
        if request.in_transaction:
            return _NOTHING
        own = self._queues[request.rank].count_ahead_of(request.session) + 1
        work = self._times.expected(request.rank) * own
        share = self._share_for(request.rank)
        ahead = self._work_of_more_urgent(request.rank)
        by_order = (work + ahead) / self._policy.slots / share
        floor = self._floors.get(request.rank, 0.0)
        if floor <= 0:
            return by_order
        return min(by_order, work / self._policy.slots / floor)

    # Arrival -------------------------------------------------------------------------------------

    def _refusal_at_arrival(self, request: WaitingRequest, now: Instant) -> Refuse | None:
        if request.deadline <= now:
            return refuse_expired(request)
        if self._session_load(request) >= self._policy.per_session_requests:
            wait = self._times.expected(request.rank)
            return refuse_session(request, drain_hint_ms(wait, self._rng))
        wait = self.expected_wait(request)
        if now + wait + self._times.expected(request.rank) > request.deadline and wait:
            return refuse_late(request, drain_hint_ms(wait, self._rng))
        if self._is_full_for(request):
            return refuse_full(request, drain_hint_ms(wait, self._rng))
        return None

    def _session_load(self, request: WaitingRequest) -> int:
        waiting = sum(queue.waiting_of(request.session) for queue in self._all_queues())
        return waiting + self._running_by_session.get(request.session, 0)

    def _is_full_for(self, request: WaitingRequest) -> bool:
        if request.in_transaction:
            return False
        limits = self._limits[request.rank]
        queue = self._queues[request.rank]
        size_bytes = queue.size_bytes + request.size_bytes
        if len(queue) >= limits.queue_limit or size_bytes > limits.queue_limit_bytes:
            return True
        return self._needs_room(request) and self._eviction_candidate(request) is None

    def _needs_room(self, request: WaitingRequest) -> bool:
        """Tell whether all ranks together hold so much that one has to go.

        A rank that holds less than its floor's share of the room may always add to it.
        """
        limit = max(rank.queue_limit for rank in self._policy.ranks)
        limit_bytes = max(rank.queue_limit_bytes for rank in self._policy.ranks)
        queue = self._queues[request.rank]
        floor = self._floors.get(request.rank, 0.0)
        own_bytes = queue.size_bytes + request.size_bytes
        if len(queue) < floor * limit and own_bytes <= floor * limit_bytes:
            return False
        count = sum(len(queue) for queue in self._queues.values())
        size_bytes = sum(queue.size_bytes for queue in self._queues.values())
        return count >= limit or size_bytes + request.size_bytes > limit_bytes

    def _eviction_candidate(self, request: WaitingRequest) -> WaitingRequest | None:
        """Pick the youngest request of the least urgent rank that is over its floor's share."""
        total = sum(len(queue) for queue in self._queues.values())
        for rank in reversed(RANKS_BY_URGENCY):
            if rank is request.rank:
                return None
            queue = self._queues[rank]
            if len(queue) > total * self._floors.get(rank, 0.0):
                return queue.youngest()
        return None

    def _make_room(self, request: WaitingRequest, now: Instant) -> list[Action]:
        evicted: list[Action] = []
        while not request.in_transaction and self._needs_room(request):
            victim = self._eviction_candidate(request)
            if victim is None:
                break
            self._queues[victim.rank].remove(victim.key)
            wait = self.expected_wait(victim)
            evicted.append(refuse_full(victim, drain_hint_ms(wait, self._rng)))
        return evicted

    def _enqueue(self, request: WaitingRequest) -> None:
        queue = self._continuing if request.in_transaction else self._queues[request.rank]
        queue.push(request)
        heapq.heappush(self._deadlines, (request.deadline, next(self._order), request.key))

    def _expire_one(self, key: Hashable, now: Instant) -> Iterable[Refuse]:
        for queue in self._all_queues():
            request = queue.remove(key)
            if request is not None:
                self._forfeit_if_idle(request.rank)
                yield refuse_expired(request)

    # Slots ---------------------------------------------------------------------------------------

    def _fill_slots(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        while True:
            request = self._take_next(now)
            if request is None:
                return actions
            if request.deadline <= now:
                actions.append(refuse_expired(request))
            else:
                self._hold_slot(request, now)
                actions.append(Start(request))

    def _take_next(self, now: Instant) -> WaitingRequest | None:
        # A statement of an open transaction never waits for a slot: those who hold the slots may be
        # waiting for the transaction's locks. The limit on open transactions bounds the excess.
        if len(self._continuing):
            return self._continuing.pop()
        if len(self._running) >= self._policy.slots:
            return None
        backlogged = self._backlogged()
        owed = self._credits.most_owed(backlogged)
        rank = owed if owed is not None else self._most_urgent(backlogged, now)
        if rank is None:
            return None
        request = self._queues[rank].pop()
        self._forfeit_if_idle(rank)
        return request

    def _most_urgent(self, backlogged: frozenset[Rank], now: Instant) -> Rank | None:
        urgent_expected = self._urgent_seen.holds(now)
        for rank in RANKS_BY_URGENCY:
            if rank in backlogged and self._free_slots(rank, urgent_expected) > 0:
                return rank
        return None

    def _free_slots(self, rank: Rank, urgent_expected: bool) -> int:
        """Count the slots a rank may take; one is kept clear where urgent work keeps coming."""
        free = self._policy.slots - len(self._running)
        keeps_headroom = self._policy.slots >= _SLOTS_FOR_HEADROOM and urgent_expected
        return free - 1 if keeps_headroom and rank is not Rank.URGENT else free

    def _hold_slot(self, request: WaitingRequest, now: Instant) -> None:
        expected = self._times.expected(request.rank)
        self._charge(request.rank, expected)
        self._running[request.key] = _Running(request, now, expected)
        self._running_by_rank[request.rank] += 1
        count = self._running_by_session.get(request.session, 0)
        self._running_by_session[request.session] = count + 1

    def _release_session(self, session: SessionId) -> None:
        count = self._running_by_session[session] - 1
        if count:
            self._running_by_session[session] = count
        else:
            del self._running_by_session[session]

    # Accounts ------------------------------------------------------------------------------------

    def _advance(self, now: Instant) -> None:
        """Settle the accounts for the time since the last event."""
        last, self._last_event = self._last_event, now
        if last is None or now <= last:
            return
        elapsed = now - last
        self._use.advance(elapsed, self._running_by_rank)
        self._credits.earn(elapsed * len(self._running), self._backlogged())
        for running in self._running.values():
            over = now - running.started - running.charged
            if over > _NOTHING:
                running.charged += over
                self._charge(running.request.rank, over)

    def _charge(self, rank: Rank, served: timedelta) -> None:
        self._credits.charge(rank, served, self._times.expected(rank))

    def _forfeit_if_idle(self, rank: Rank) -> None:
        if not len(self._queues[rank]):
            self._credits.forfeit(rank)

    def _backlogged(self) -> frozenset[Rank]:
        return frozenset(rank for rank, queue in self._queues.items() if len(queue))

    def _share_for(self, rank: Rank) -> float:
        """Estimate the share of the slots that new work of a rank gets."""
        position = RANKS_BY_URGENCY.index(rank)
        used = sum(self._use.share(other) for other in RANKS_BY_URGENCY[:position])
        owed = sum(
            self._floors.get(other, 0.0)
            for other in RANKS_BY_URGENCY[position + 1 :]
            if len(self._queues[other])
        )
        return max(self._floors.get(rank, 0.0), 1.0 - used - owed, 1 / _PERCENT)

    def _work_of_more_urgent(self, rank: Rank) -> timedelta:
        work = _NOTHING
        for other in RANKS_BY_URGENCY[: RANKS_BY_URGENCY.index(rank)]:
            work += self._times.expected(other) * len(self._queues[other])
        return work

    def _all_queues(self) -> tuple[RankQueue, ...]:
        return (self._continuing, *self._queues.values())
