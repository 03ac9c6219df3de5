"""Bound how many caller connections an entry takes in, open and per second."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Clock

ACCEPTS_PER_SECOND = 500
_BURST = 200.0
_LONGEST_WAIT = timedelta(seconds=2)


class AcceptRate:
    """Spread a storm of new connections over time, and refuse what would wait too long."""

    def __init__(self, clock: Clock, per_second: float = ACCEPTS_PER_SECOND) -> None:
        self._clock = clock
        self._rate = per_second
        self._left = _BURST
        self._updated = clock.now()

    def take(self) -> timedelta | None:
        """Return how long a new connection waits for its turn; None to refuse it."""
        now = self._clock.now()
        gained = self._rate * (now - self._updated).total_seconds()
        self._left = min(self._left + gained, _BURST)
        self._updated = now
        wait = timedelta(seconds=max(0.0, 1.0 - self._left) / self._rate)
        if wait > _LONGEST_WAIT:
            return None
        self._left -= 1.0
        return wait
