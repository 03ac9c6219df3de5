"""Bound the volume that a host sends to other regions, keeping a part for urgent work."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.ids import Rank
from hickorywind.util.clock import Clock

_BURST = timedelta(seconds=2)
# The share of the burst that must be left after work of a rank was charged.
_RESERVE_BY_RANK = {Rank.URGENT: 0.0, Rank.STANDARD: 0.2, Rank.BACKGROUND: 0.5}
_DEBT_LIMIT = timedelta(seconds=2)


class LinkBudget:
    """Refill bytes at a steady rate and grant them by rank.

    Answers are charged after they came, so the budget may fall below zero; control messages are
    charged and never refused.
    """

    def __init__(self, clock: Clock, bytes_per_second: int) -> None:
        self._clock = clock
        self._updated = clock.now()
        self._rate = bytes_per_second
        self._left = self._capacity

    @property
    def _capacity(self) -> float:
        return self._rate * _BURST.total_seconds()

    def set_rate(self, bytes_per_second: int) -> None:
        """Put another rate in force."""
        self._refill()
        filled = self._left / self._capacity if self._capacity else 1.0
        self._rate = bytes_per_second
        self._left = filled * self._capacity

    def allows(self, rank: Rank, size_bytes: int) -> bool:
        """Tell whether work of a rank may send so much now.

        A message above the whole burst passes once the budget is full, otherwise it never would.
        """
        self._refill()
        reserve = self._capacity * _RESERVE_BY_RANK[rank]
        return self._left - min(size_bytes, self._capacity - reserve) >= reserve

    def charge(self, size_bytes: int) -> None:
        """Count bytes that were sent or received."""
        self._refill()
        floor = -self._rate * _DEBT_LIMIT.total_seconds()
        self._left = max(self._left - size_bytes, floor)

    def wait_ms(self, rank: Rank, size_bytes: int) -> int:
        """Return after how many milliseconds so much would be granted to a rank."""
        self._refill()
        reserve = self._capacity * _RESERVE_BY_RANK[rank]
        wanted = reserve + min(size_bytes, self._capacity - reserve)
        missing = max(0.0, wanted - self._left)
        return round(missing / max(self._rate, 1) * 1000) + 1

    def _refill(self) -> None:
        now = self._clock.now()
        gained = self._rate * (now - self._updated).total_seconds()
        self._left = min(self._left + gained, self._capacity)
        self._updated = now
