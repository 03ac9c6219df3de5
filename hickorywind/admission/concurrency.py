"""Bound the statements that this host has in flight at one backend server.

All hosts share the server's slots, and its own queue is blind to rank. The bound keeps that queue
short: it shrinks when answers take much longer than the shortest seen, and grows while they don't.
"""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Instant

MIN_LIMIT = 1.0  # a host can always find out whether the server has recovered
INITIAL_LIMIT = 3.0  # the slots of a small server
MAX_LIMIT = 12.0  # covers the round trip between regions at short service times
TARGET_QUEUEING_DELAY = timedelta(
    milliseconds=120
)  # queueing at the server that urgent work can bear
# Without an answer for so long a server is looked at; ordinary work takes a tenth of it.
STALL_TIMEOUT = timedelta(milliseconds=350)
_INCREASE = 0.5  # added for each limit's worth of answers in time
_DECREASE = 0.7  # factor upon queueing beyond the target
_REFUSAL_DECREASE = 0.5  # factor when the server refused for lack of room
_DECREASE_INTERVAL = timedelta(milliseconds=150)  # one decrease per this time
_SMOOTHING = 0.2  # weight of the newest duration


class ConcurrencyLimit:
    """Adapt the bound for one backend server to the durations seen."""

    def __init__(self) -> None:
        self.max_in_flight = INITIAL_LIMIT
        self.in_flight = 0
        self.mean_duration = timedelta(milliseconds=30)
        self._shortest_duration: timedelta | None = None
        self._last_progress: Instant = timedelta(0)
        self._last_decrease: Instant = timedelta(0)

    @property
    def has_capacity(self) -> bool:
        """Tell whether one more statement may be sent."""
        return self.in_flight < int(self.max_in_flight)

    def start(self, now: Instant) -> None:
        """Count a statement as sent."""
        if not self.in_flight:
            self._last_progress = now
        self.in_flight += 1

    def is_stalled(self, now: Instant) -> bool:
        """Tell whether statements are in flight and none has been answered for long."""
        return self.in_flight > 0 and now > self._last_progress + STALL_TIMEOUT

    def finish(self, duration: timedelta, now: Instant) -> None:
        """Count the answer to a statement."""
        self.in_flight -= 1
        self._last_progress = now
        self.mean_duration += (duration - self.mean_duration) * _SMOOTHING
        self._shortest_duration = (
            duration
            if self._shortest_duration is None
            else min(self._shortest_duration * 1.01, duration)
        )
        if self.mean_duration > self._shortest_duration * 2 + TARGET_QUEUEING_DELAY:
            self._decrease(_DECREASE, now)
        else:
            self.max_in_flight = min(MAX_LIMIT, self.max_in_flight + _INCREASE / self.max_in_flight)

    def finish_without_answer(self) -> None:
        """Count a statement that ended without an answer."""
        self.in_flight -= 1

    def record_refusal(self, now: Instant) -> None:
        """Count that the server had no room."""
        self._decrease(_REFUSAL_DECREASE, now)

    def _decrease(self, factor: float, now: Instant) -> None:
        if now < self._last_decrease + _DECREASE_INTERVAL:
            return
        self._last_decrease = now
        self.max_in_flight = max(MIN_LIMIT, self.max_in_flight * factor)
