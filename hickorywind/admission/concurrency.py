"""Adaptive limit on the statements that this host has in flight at one backend server.

All hosts share the server's slots, and the server's own queue ignores ranks. The limit keeps that
queue short: it decreases when the mean duration exceeds twice the shortest recent duration by more
than ``TARGET_QUEUEING_DELAY``, and increases otherwise.
"""

from __future__ import annotations

from datetime import timedelta

from hickorywind.util.clock import Instant

MIN_LIMIT = 1.0  # one statement can always probe whether the server has recovered
INITIAL_LIMIT = 3.0  # number of slots of a small server
MAX_LIMIT = 12.0  # keeps a server in another region busy when service times are short
# Queueing delay at the server that is acceptable for urgent work; the limit decreases when the mean
# duration exceeds twice the baseline plus this delay.
TARGET_QUEUEING_DELAY = timedelta(milliseconds=120)
# Time without any answer after which the host checks the server; ten times what statements
# ordinarily take.
STALL_TIMEOUT = timedelta(milliseconds=350)
# A timely answer adds _INCREASE / limit, so as many answers as the limit allows in flight together
# add about _INCREASE.
_INCREASE = 0.5
_DECREASE = 0.7  # factor when the mean duration is too long
_REFUSAL_DECREASE = 0.5  # factor when the server refuses a statement because it is full
_DECREASE_INTERVAL = timedelta(milliseconds=150)  # minimum time between two decreases
_SMOOTHING = 0.2  # weight of the newest duration in the moving average


class ConcurrencyLimit:
    """Limit on statements in flight at one backend server, adapted to their durations."""

    def __init__(self) -> None:
        self.max_in_flight = INITIAL_LIMIT
        self.in_flight = 0
        self.mean_duration = timedelta(milliseconds=30)
        self._baseline_duration: timedelta | None = None
        self._last_progress: Instant = timedelta(0)
        self._last_decrease: Instant = timedelta(0)

    @property
    def has_capacity(self) -> bool:
        """Return whether the limit allows one more statement."""
        return self.in_flight < int(self.max_in_flight)

    def start(self, now: Instant) -> None:
        """Count a statement as in flight: it takes a slot until it finishes."""
        if not self.in_flight:
            self._last_progress = now
        self.in_flight += 1

    def is_stalled(self, now: Instant) -> bool:
        """Return whether statements are in flight but none was answered in ``STALL_TIMEOUT``."""
        return self.in_flight > 0 and now > self._last_progress + STALL_TIMEOUT

    def finish(self, duration: timedelta, now: Instant) -> None:
        """Record the answer to a statement and adapt the limit to its duration."""
        self.in_flight -= 1
        self._last_progress = now
        self.mean_duration += (duration - self.mean_duration) * _SMOOTHING
        # The baseline rises by 1 % per answer, so it follows a lasting change of service times.
        self._baseline_duration = (
            duration
            if self._baseline_duration is None
            else min(self._baseline_duration * 1.01, duration)
        )
        if self.mean_duration > self._baseline_duration * 2 + TARGET_QUEUEING_DELAY:
            self._decrease(_DECREASE, now)
        else:
            self.max_in_flight = min(MAX_LIMIT, self.max_in_flight + _INCREASE / self.max_in_flight)

    def finish_without_answer(self) -> None:
        """Record the end of a statement that was not answered."""
        self.in_flight -= 1

    def record_refusal(self, now: Instant) -> None:
        """Decrease the limit because the server refused a statement for lack of capacity."""
        self._decrease(_REFUSAL_DECREASE, now)

    def _decrease(self, factor: float, now: Instant) -> None:
        if now < self._last_decrease + _DECREASE_INTERVAL:
            return
        self._last_decrease = now
        self.max_in_flight = max(MIN_LIMIT, self.max_in_flight * factor)
