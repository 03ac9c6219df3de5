"""Clock interface, so that tests can control the time on which decisions depend.

Instants are ``datetime.timedelta`` since an arbitrary origin of the same clock: they are
monotonic, local to one process, and never compared across hosts.
"""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Protocol

Instant = timedelta


class Clock(Protocol):
    """Source of the current instant."""

    def now(self) -> Instant:
        """Return the time since this clock's origin."""
        ...


class MonotonicClock:
    """Monotonic clock of the operating system."""

    def now(self) -> Instant:
        """Return the time since the monotonic clock's origin."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)


class ManualClock:
    """Clock that changes only by ``advance``, for tests and simulations."""

    def __init__(self) -> None:
        self._now = timedelta(seconds=1)

    def now(self) -> Instant:
        """Return the instant to which the clock was last advanced."""
        return self._now

    def advance(self, by: timedelta) -> None:
        """Advance the clock."""
        self._now += by


def milliseconds(value: float) -> timedelta:
    """Return a duration of a number of milliseconds."""
    return timedelta(milliseconds=value)


def to_milliseconds(duration: timedelta) -> float:
    """Return a duration as a number of milliseconds."""
    return duration / timedelta(milliseconds=1)


class BoottimeClock:
    """Monotonic clock that also counts the time while the machine is suspended."""

    def now(self) -> Instant:
        """Return the time since the machine started, suspensions included."""
        return timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)
