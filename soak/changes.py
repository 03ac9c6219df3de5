"""Changes of primary, and what became of the commits that a promoted server lacked."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass
from enum import Enum

from hickorywind.ids import Address

SERVED_S = 1.0  # a primary that answered so long before the order to replace it still served


class FormerPrimary(Enum):
    """State of a replaced primary when its successor began to lead."""

    SERVING = "served"
    UNREACHABLE = "ran without serving"
    ENDED_SINCE_ORDER = "served at the order and had ended since"
    GONE = "had ended"


@dataclass(frozen=True)
class Order:
    """Order to promote a server, with the address of the primary of that time.

    ``is_planned`` tells whether that primary was about to leave, ``was_served`` whether it had
    answered a short time before. A new server with its log has its address, too.
    """

    at_s: float
    chosen: str
    primary: Address
    is_planned: bool
    was_served: bool
    token: int = 0


@dataclass(frozen=True)
class PrimaryChange:
    """Change of primary, and the writes that the new one lacked."""

    at_s: float
    former: str
    new: str
    is_planned: bool
    former_state: FormerPrimary
    lost: frozenset[str]

    @property
    def could_keep_all(self) -> bool:
        """Return whether the former primary was there to give all commits."""
        return self.is_planned and self.former_state is FormerPrimary.SERVING

    def describe(self) -> str:
        """Return what changed and whether the former primary was there."""
        kind = "planned" if self.is_planned else "unplanned"
        return f"{kind} change from {self.former}, which {self.former_state.value}, to {self.new}"


def count_rolled_back(
    changes: Iterable[PrimaryChange], acknowledged: Container[str]
) -> Counter[str]:
    """Return the changes, and the writes that they rolled back, by what they were."""
    counts: Counter[str] = Counter()
    for change in changes:
        kind = "planned" if change.is_planned else "unplanned"
        state = f"{kind}, former primary {change.former_state.value}"
        counts[f"changes, {state}"] += 1
        for element in change.lost:
            told = "acknowledged" if element in acknowledged else "not acknowledged"
            counts[f"rolled back, {state}, {told}"] += 1
    return counts
