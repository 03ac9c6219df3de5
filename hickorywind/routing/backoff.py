"""Jittered delays, so that callers refused together do not retry together."""

from __future__ import annotations

import random
from datetime import timedelta

_MIN_JITTER_FACTOR = 0.5
_MAX_JITTER_FACTOR = 1.5


def jittered_ms(base_ms: int, rng: random.Random) -> int:
    """Return a random delay of 0.5 to 1.5 times ``base_ms``, at least 1."""
    return max(1, round(base_ms * rng.uniform(_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR)))


class FullJitter:
    """Exponential backoff with full jitter.

    Each wait is random between 0 and a bound that doubles from ``initial`` to ``maximum``.
    """

    def __init__(self, initial: timedelta, maximum: timedelta, rng: random.Random) -> None:
        self._bound = initial
        self._maximum = maximum
        self._rng = rng

    def next_wait(self) -> timedelta:
        """Return the wait before the next attempt."""
        wait = self._bound * self._rng.random()
        self._bound = min(self._bound * 2, self._maximum)
        return wait
