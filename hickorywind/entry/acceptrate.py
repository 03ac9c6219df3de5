"""Rate limit for new caller connections of an entry."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Clock

ACCEPTS_PER_SECOND = 500
_MAX_BURST = 200.0
_MAX_WAIT = timedelta(seconds=2)


class AcceptRateLimiter:
    """Token bucket that delays new connections in a burst, up to a maximum delay."""

    def __init__(self, clock: Clock, per_second: float = ACCEPTS_PER_SECOND) -> None:
        self._clock = clock
        self._tokens_per_second = per_second
        self._tokens = _MAX_BURST
        self._updated_at = clock.now()

    def reserve(self) -> timedelta | None:
        """Take a token and return the delay of a new connection; None if it must be refused."""
        now = self._clock.now()
        gained = self._tokens_per_second * (now - self._updated_at).total_seconds()
        self._tokens = min(self._tokens + gained, _MAX_BURST)
        self._updated_at = now
        wait = timedelta(seconds=max(0.0, 1.0 - self._tokens) / self._tokens_per_second)
        if wait > _MAX_WAIT:
            return None
        self._tokens -= 1.0
        return wait
