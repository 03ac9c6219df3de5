"""Adaptive throttle, with which an entry refuses work that its pool would almost surely refuse.

Under overload, refusals take time of the pool that admitted work needs. Each entry therefore
compares the requests of each backend server and rank with those that the pool admitted, and
refuses the excess itself: client-side throttling, see Beyer et al., "Site Reliability Engineering",
chapter 21. The pool still receives more than it can admit, so it alone decides which requests run.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import BackendId, Rank
from hickorywind.results import Result, ResultCode
from hickorywind.routing.backoff import jittered_ms
from hickorywind.util.clock import Clock, Instant

_DECAY_PERIOD = timedelta(seconds=2)
_MAX_REQUESTS_PER_ADMITTED = 2.0
_MIN_REQUESTS = 20.0
_DEFAULT_RETRY_AFTER_MS = 500
_OVERLOAD_REFUSALS = frozenset((ResultCode.QUEUE_FULL, ResultCode.WOULD_MISS_DEADLINE))


@dataclass
class _RequestCounts:
    updated_at: Instant
    requests: float = 0.0
    admitted: float = 0.0
    retry_after_ms: int = _DEFAULT_RETRY_AFTER_MS

    def decay(self, now: Instant) -> None:
        """Decay the counts exponentially, to 1/e after each decay period."""
        factor = math.exp(-((now - self.updated_at) / _DECAY_PERIOD))
        self.requests *= factor
        self.admitted *= factor
        self.updated_at = now


class Throttle:
    """Throttle by the recent share of admitted requests of each backend server and rank."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._counts: dict[tuple[BackendId, Rank], _RequestCounts] = {}

    def check(self, backend: BackendId, rank: Rank) -> Result | None:
        """Count a request; return a refusal if it should not be sent to the pool."""
        counts = self._current_counts(backend, rank)
        counts.requests += 1
        if counts.requests < _MIN_REQUESTS:
            return None
        excess = counts.requests - _MAX_REQUESTS_PER_ADMITTED * max(counts.admitted, 1.0)
        if self._rng.random() >= excess / counts.requests:
            return None
        reason = f"most requests of rank {rank.value} are refused at backend server {backend}"
        wait_ms = jittered_ms(counts.retry_after_ms, self._rng)
        return Result.not_run(ResultCode.WOULD_MISS_DEADLINE, reason, wait_ms)

    def record_result(self, backend: BackendId, rank: Rank, result: Result) -> None:
        """Record the result of a request that was sent to the pool."""
        counts = self._current_counts(backend, rank)
        if result.code not in _OVERLOAD_REFUSALS:
            counts.admitted += 1
        elif result.retry_after_ms is not None:
            counts.retry_after_ms = result.retry_after_ms

    def _current_counts(self, backend: BackendId, rank: Rank) -> _RequestCounts:
        now = self._clock.now()
        counts = self._counts.setdefault((backend, rank), _RequestCounts(now))
        counts.decay(now)
        return counts
