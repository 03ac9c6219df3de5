"""Bound the statements that this host has in flight at one backend server.

All hosts share the server's slots, and its own queue is blind to rank. The bound keeps that queue
short: it shrinks when answers take much longer than the shortest seen, and grows while they don't.
"""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Instant

LIMIT_MIN = 1.0  # a host can always find out whether the server has recovered
LIMIT_START = 3.0  # the slots of a small server
LIMIT_MAX = 12.0  # covers the round trip between regions at short service times
QUEUE_TARGET = timedelta(milliseconds=120)  # queueing at the server that urgent work can bear
# Without an answer for so long a server is looked at; ordinary work takes a tenth of it.
STALL_AFTER = timedelta(milliseconds=350)
_GROWTH = 0.5  # added for each limit's worth of answers in time
_DECREASE = 0.7  # factor upon queueing beyond the target
_BUSY_DECREASE = 0.5  # factor when the server refused for lack of room
_HOLD = timedelta(milliseconds=150)  # one decrease per this time
_SMOOTHING = 0.2  # weight of the newest duration


class ConcurrencyLimit:
    """Adapt the bound for one backend server to the durations seen."""

    def __init__(self) -> None:
        self.limit = LIMIT_START
        self.in_flight = 0
        self.mean = timedelta(milliseconds=30)
        self._floor: timedelta | None = None
        self._progress: Instant = timedelta(0)
        self._decreased: Instant = timedelta(0)

    @property
    def has_room(self) -> bool:
        """Tell whether one more statement may be sent."""
        return self.in_flight < int(self.limit)

    def start(self, now: Instant) -> None:
        """Count a statement as sent."""
        if not self.in_flight:
            self._progress = now
        self.in_flight += 1

    def is_stalled(self, now: Instant) -> bool:
        """Tell whether statements are in flight and none has been answered for long."""
        return self.in_flight > 0 and now > self._progress + STALL_AFTER

    def finish(self, duration: timedelta, now: Instant) -> None:
        """Count the answer to a statement."""
        self.in_flight -= 1
        self._progress = now
        self.mean += (duration - self.mean) * _SMOOTHING
        self._floor = duration if self._floor is None else min(self._floor * 1.01, duration)
        if self.mean > self._floor * 2 + QUEUE_TARGET:
            self._decrease(_DECREASE, now)
        else:
            self.limit = min(LIMIT_MAX, self.limit + _GROWTH / self.limit)

    def abandon(self) -> None:
        """Count a statement that ended without an answer."""
        self.in_flight -= 1

    def refused(self, now: Instant) -> None:
        """Count that the server had no room."""
        self._decrease(_BUSY_DECREASE, now)

    def _decrease(self, factor: float, now: Instant) -> None:
        if now < self._decreased + _HOLD:
            return
        self._decreased = now
        self.limit = max(LIMIT_MIN, self.limit * factor)
