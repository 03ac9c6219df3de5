"""Spread waits so that those who were refused together don't come back together."""

from __future__ import annotations

import random
from datetime import timedelta

_SPREAD_LOW = 0.5
_SPREAD_HIGH = 1.5


def spread_ms(base_ms: int, rng: random.Random) -> int:
    """Return a wait between half and one and a half times ``base_ms``, at least 1."""
    return max(1, round(base_ms * rng.uniform(_SPREAD_LOW, _SPREAD_HIGH)))


class FullJitter:
    """Draw waits between 0 and a bound that doubles with each attempt."""

    def __init__(self, first: timedelta, longest: timedelta, rng: random.Random) -> None:
        self._bound = first
        self._longest = longest
        self._rng = rng

    def next_wait(self) -> timedelta:
        """Return the next wait."""
        wait = self._bound * self._rng.random()
        self._bound = min(self._bound * 2, self._longest)
        return wait
