"""Give decisions their time through an interface, so that tests can move it by hand.

Instants are ``datetime.timedelta`` since an arbitrary origin of the same clock: they are
monotonic, local to one process, and never compared across hosts.
"""

from __future__ import annotations

import time
from datetime import timedelta
from typing import Protocol

Instant = timedelta


class Clock(Protocol):
    """Tell the current instant."""

    def now(self) -> Instant:
        """Return the time since this clock's origin."""
        ...


class MonotonicClock:
    """Read the operating system's monotonic clock."""

    def now(self) -> Instant:
        """Return the time since the monotonic clock's origin."""
        return timedelta(microseconds=time.monotonic_ns() // 1000)


class ManualClock:
    """Stand still until moved; for tests and simulations of decisions."""

    def __init__(self) -> None:
        self._now = timedelta(seconds=1)

    def now(self) -> Instant:
        """Return the instant the clock was last moved to."""
        return self._now

    def advance(self, by: timedelta) -> None:
        """Move the clock forward."""
        self._now += by


def milliseconds(value: float) -> timedelta:
    """Build a duration from milliseconds."""
    return timedelta(milliseconds=value)


def to_milliseconds(duration: timedelta) -> float:
    """Express a duration in milliseconds."""
    return duration / timedelta(milliseconds=1)


class BoottimeClock:
    """Read the clock that goes on while the machine is suspended."""

    def now(self) -> Instant:
        """Return the time since the machine started, suspensions included."""
        return timedelta(microseconds=time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000)
