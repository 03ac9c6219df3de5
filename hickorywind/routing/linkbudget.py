"""Token bucket for the bytes that a host sends to other regions, with a reserve for urgent work."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.ids import Rank
from hickorywind.util.clock import Clock

_MAX_BURST = timedelta(seconds=2)
# Share of the burst that must stay available after a message of a rank is charged.
_RESERVED_SHARE_BY_RANK = {Rank.URGENT: 0.0, Rank.STANDARD: 0.2, Rank.BACKGROUND: 0.5}
_MAX_DEBT = timedelta(seconds=2)


class LinkBudget:
    """Token bucket in bytes, refilled at a steady rate, that keeps reserves by rank.

    Answers are charged after they arrive, so the budget may become negative. Control messages are
    charged but never refused.
    """

    def __init__(self, clock: Clock, bytes_per_second: int) -> None:
        self._clock = clock
        self._refilled_at = clock.now()
        self._bytes_per_second = bytes_per_second
        self._available_bytes = self._capacity_bytes

    @property
    def _capacity_bytes(self) -> float:
        return self._bytes_per_second * _MAX_BURST.total_seconds()

    def set_rate(self, bytes_per_second: int) -> None:
        """Change the rate; the bucket keeps its fill level as a share of its capacity."""
        self._refill()
        filled_share = self._available_bytes / self._capacity_bytes if self._capacity_bytes else 1.0
        self._bytes_per_second = bytes_per_second
        self._available_bytes = filled_share * self._capacity_bytes

    def allows(self, rank: Rank, size_bytes: int) -> bool:
        """Return whether a message of a rank may be sent now.

        A message larger than the burst is allowed once the bucket is full; otherwise it could
        never be sent.
        """
        self._refill()
        reserved_bytes = self._capacity_bytes * _RESERVED_SHARE_BY_RANK[rank]
        return (
            self._available_bytes - min(size_bytes, self._capacity_bytes - reserved_bytes)
            >= reserved_bytes
        )

    def charge(self, size_bytes: int) -> None:
        """Subtract bytes that were sent or received from the budget."""
        self._refill()
        lower_bound = -self._bytes_per_second * _MAX_DEBT.total_seconds()
        self._available_bytes = max(self._available_bytes - size_bytes, lower_bound)

    def wait_ms(self, rank: Rank, size_bytes: int) -> int:
        """Return the time in milliseconds until a message of a rank would be allowed."""
        self._refill()
        reserved_bytes = self._capacity_bytes * _RESERVED_SHARE_BY_RANK[rank]
        required_bytes = reserved_bytes + min(size_bytes, self._capacity_bytes - reserved_bytes)
        missing_bytes = max(0.0, required_bytes - self._available_bytes)
        return round(missing_bytes / max(self._bytes_per_second, 1) * 1000) + 1

    def _refill(self) -> None:
        now = self._clock.now()
        gained_bytes = self._bytes_per_second * (now - self._refilled_at).total_seconds()
        self._available_bytes = min(self._available_bytes + gained_bytes, self._capacity_bytes)
        self._refilled_at = now
