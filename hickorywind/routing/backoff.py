"""Spread waits so that those who were refused together don't come back together."""

from __future__ import annotations

import random
from datetime import timedelta

_MIN_JITTER_FACTOR = 0.5
_MAX_JITTER_FACTOR = 1.5


def jittered_ms(base_ms: int, rng: random.Random) -> int:
    """Return a wait between half and one and a half times ``base_ms``, at least 1."""
    return max(1, round(base_ms * rng.uniform(_MIN_JITTER_FACTOR, _MAX_JITTER_FACTOR)))


class FullJitter:
    """Draw waits between 0 and a bound that doubles with each attempt."""

    def __init__(self, initial: timedelta, maximum: timedelta, rng: random.Random) -> None:
        self._bound = initial
        self._maximum = maximum
        self._rng = rng

    def next_wait(self) -> timedelta:
        """Return the next wait."""
        wait = self._bound * self._rng.random()
        self._bound = min(self._bound * 2, self._maximum)
        return wait
