"""Account for the share of a backend server that each rank is owed.

While a rank has waiting work it earns its floor's share of all slot time served. What it is served
is charged against that. A rank in credit goes ahead of more urgent ones, which keeps its floor in
any flood; a rank without waiting work earns nothing, which gives its share away.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from hickorywind.ids import RANKS_BY_URGENCY, Rank

_NOTHING = timedelta(0)
_CREDIT_CAP = timedelta(seconds=1)


class FloorCredits:
    """Hold the slot time owed to each rank; ``floors`` are shares from 0 to 1."""

    def __init__(self, floors: Mapping[Rank, float]) -> None:
        self._floors = dict(floors)
        self._credits = dict.fromkeys(RANKS_BY_URGENCY, _NOTHING)

    def earn(self, served: timedelta, backlogged: frozenset[Rank]) -> None:
        """Credit the backlogged ranks with their share of the slot time served to all."""
        for rank in RANKS_BY_URGENCY:
            if rank in backlogged:
                earned = self._credits[rank] + served * self._floors.get(rank, 0.0)
                self._credits[rank] = min(earned, _CREDIT_CAP)

    def charge(self, rank: Rank, served: timedelta, debt_limit: timedelta) -> None:
        """Charge a rank with slot time; negative time gives back what was charged too much.

        Slot time that nobody else wanted makes no debt beyond ``debt_limit``.
        """
        held = self._credits[rank]
        self._credits[rank] = max(held - served, min(held, -debt_limit))

    def forfeit(self, rank: Rank) -> None:
        """Take away unused credit of a rank that has no more waiting work."""
        self._credits[rank] = min(self._credits[rank], _NOTHING)

    def most_owed(self, candidates: frozenset[Rank]) -> Rank | None:
        """Return the candidate with most credit, or None where none is in credit."""
        owed = [rank for rank in candidates if self._credits[rank] > _NOTHING]
        return max(owed, key=lambda rank: self._credits[rank], default=None)
