"""Bytes that a host exchanges with other hosts and with the store, by kind and distance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

# Stated limit of a host's control traffic.
CONTROL_BYTES_PER_SECOND = 5_000
# Messages that carry work of callers.
_WORK_KINDS = frozenset({"SharedRead", "SharedReadReply", "PositionQuery", "PositionReply"})


class Distance(Enum):
    """Where the other end of a transfer is; that of the store is not known to hosts."""

    ZONE = "zone"
    REGION = "region"
    OTHER_REGION = "other_region"
    STORE = "store"


@dataclass(frozen=True, slots=True)
class TrafficSummary:
    """Control traffic of a period: bytes by distance and by kind, largest first."""

    total_bytes: int
    other_region_bytes: int
    store_bytes: int
    by_kind: tuple[tuple[str, int, int], ...]  # kind, messages, bytes

    def exceeds_limit(self, period: timedelta) -> bool:
        """Return whether a host should have exchanged less in a period."""
        return self.total_bytes > CONTROL_BYTES_PER_SECOND * period.total_seconds()


class TrafficMeter:
    """Counts of the transfers of one host; both directions of its own connections count.

    ``on_transfer`` receives each transfer's kind, distance and size in bytes.
    """

    def __init__(self, on_transfer: Callable[[str, Distance, int], None] | None = None) -> None:
        self._on_transfer = on_transfer
        self._messages: Counter[tuple[str, Distance]] = Counter()
        self._bytes: Counter[tuple[str, Distance]] = Counter()

    def record(self, kind: str, distance: Distance, size_bytes: int) -> None:
        """Count a message that was sent or received."""
        self._messages[kind, distance] += 1
        self._bytes[kind, distance] += size_bytes
        if self._on_transfer is not None:
            self._on_transfer(kind, distance, size_bytes)

    def take_summary(self) -> TrafficSummary:
        """Return the control traffic since the last call."""
        messages, counted = self._messages, self._bytes
        self._messages, self._bytes = Counter(), Counter()
        control = [key for key in counted if key[0] not in _WORK_KINDS]
        by_distance: Counter[Distance] = Counter()
        for kind, distance in control:
            by_distance[distance] += counted[kind, distance]
        control.sort(key=lambda key: counted[key], reverse=True)
        return TrafficSummary(
            by_distance.total(),
            by_distance[Distance.OTHER_REGION],
            by_distance[Distance.STORE],
            tuple(
                (f"{kind}.{distance.value}", messages[kind, distance], counted[kind, distance])
                for kind, distance in control
            ),
        )
