"""First-in, first-out queue of one backend server: the baseline for measurements."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Hashable, Sequence

from hickorywind.admission.refusals import jittered_retry_ms, refuse_expired, refuse_queue_full
from hickorywind.admission.requests import Action, Start, WaitingRequest
from hickorywind.admission.scheduler import AdmissionPolicy
from hickorywind.ids import Rank
from hickorywind.util.clock import Instant

_RETRY_SECONDS = 0.1


class FifoQueue:
    """``AdmissionQueue`` interface without ranks, guaranteed shares and deadline estimates."""

    def __init__(self, policy: AdmissionPolicy, rng: random.Random) -> None:
        self.set_policy(policy)
        self._rng = rng
        self._waiting: OrderedDict[Hashable, WaitingRequest] = OrderedDict()
        self._waiting_bytes = 0
        self._running: set[Hashable] = set()

    def set_policy(self, policy: AdmissionPolicy) -> None:
        """Apply changed slots and queue limits to requests that arrive from now on."""
        self._slots = policy.slots
        self._queue_limit = sum(rank.queue_limit for rank in policy.ranks)
        self._queue_limit_bytes = sum(rank.queue_limit_bytes for rank in policy.ranks)

    def arrive(self, request: WaitingRequest, now: Instant) -> Sequence[Action]:
        """Start, queue or refuse a request that arrives."""
        if request.deadline <= now:
            return (refuse_expired(request),)
        if request.in_transaction:
            self._running.add(request.key)
            return (Start(request),)
        is_full = len(self._waiting) >= self._queue_limit
        if is_full or self._waiting_bytes + request.size_bytes > self._queue_limit_bytes:
            return (refuse_queue_full(request, jittered_retry_ms(_RETRY_SECONDS, self._rng)),)
        self._waiting[request.key] = request
        self._waiting_bytes += request.size_bytes
        return self._fill_slots(now)

    def finish(self, key: Hashable, now: Instant) -> Sequence[Action]:
        """Release the slot of a started request and start waiting ones."""
        self._running.remove(key)
        return self._fill_slots(now)

    def withdraw(self, key: Hashable, now: Instant) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        request = self._waiting.pop(key, None)
        if request is not None:
            self._waiting_bytes -= request.size_bytes
        return request is not None

    def expire(self, now: Instant) -> Sequence[Action]:
        """Refuse the waiting requests whose deadline has passed."""
        expired = [request for request in self._waiting.values() if request.deadline <= now]
        for request in expired:
            self.withdraw(request.key, now)
        return [refuse_expired(request) for request in expired]

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def waiting_by_rank(self) -> dict[Rank, int]:
        """Return the number of waiting requests of each rank."""
        counts = dict.fromkeys(Rank, 0)
        for request in self._waiting.values():
            counts[request.rank] += 1
        return counts

    def waiting_bytes_by_rank(self) -> dict[Rank, int]:
        """Return the total size in bytes of the waiting requests of each rank."""
        sizes = dict.fromkeys(Rank, 0)
        for request in self._waiting.values():
            sizes[request.rank] += request.size_bytes
        return sizes

    def _fill_slots(self, now: Instant) -> list[Action]:
        actions: list[Action] = []
        while self._waiting and len(self._running) < self._slots:
            _, request = self._waiting.popitem(last=False)
            self._waiting_bytes -= request.size_bytes
            if request.deadline <= now:
                actions.append(refuse_expired(request))
            else:
                self._running.add(request.key)
                actions.append(Start(request))
        return actions
