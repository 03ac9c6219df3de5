"""Estimate service times and the use that each rank makes of a backend server."""

from __future__ import annotations

import math
from datetime import timedelta

from hickorywind.ids import Rank
from hickorywind.util.clock import Instant

_FIRST_GUESS = timedelta(milliseconds=5)
_SMOOTHING = 0.1
_USE_WINDOW = timedelta(seconds=2)


class ServiceTimes:
    """Keep a moving average of the service time for each rank."""

    def __init__(self) -> None:
        self._averages: dict[Rank, timedelta] = {}

    def observe(self, rank: Rank, duration: timedelta) -> None:
        """Take in how long one request of a rank held its slot."""
        average = self._averages.get(rank)
        if average is None:
            self._averages[rank] = duration
        else:
            self._averages[rank] = average + (duration - average) * _SMOOTHING

    def expected(self, rank: Rank) -> timedelta:
        """Return the expected service time; before any sample, that of other ranks or a guess."""
        average = self._averages.get(rank)
        if average is not None:
            return average
        return max(self._averages.values(), default=_FIRST_GUESS)


class SlotUse:
    """Measure the share of all slots that each rank used in the recent past."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._shares = dict.fromkeys(Rank, 0.0)

    def advance(self, elapsed: timedelta, running: dict[Rank, int]) -> None:
        """Take in that ``running`` slots were held by each rank for ``elapsed``."""
        kept = math.exp(-(elapsed / _USE_WINDOW))
        for rank, count in running.items():
            used = count / self._slots
            self._shares[rank] = self._shares[rank] * kept + used * (1 - kept)

    def share(self, rank: Rank) -> float:
        """Return the share of the slots, from 0 to 1, that a rank used."""
        return self._shares[rank]


class RecentlySeen:
    """Remember whether an event happened within a window."""

    def __init__(self, window: timedelta) -> None:
        self._window = window
        self._last: Instant | None = None

    def mark(self, now: Instant) -> None:
        """Note that the event happens now."""
        self._last = now

    def holds(self, now: Instant) -> bool:
        """Tell whether the event happened within the window."""
        return self._last is not None and now - self._last <= self._window
