"""Bound the age of data by samples of where a primary's log ended at a known instant."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from hickorywind.ids import LogPosition
from hickorywind.util.clock import Instant

SAMPLE_SPACING = timedelta(milliseconds=25)  # finer samples would only take memory
SAMPLE_LIMIT = 256  # covers the staleness bounds in use at that spacing


class TakenPosition(NamedTuple):
    """Name a log position that held every commit acknowledged before ``taken``."""

    taken: Instant
    position: LogPosition


class PositionSamples:
    """Remember positions that contain every commit acknowledged before an instant."""

    def __init__(self) -> None:
        self._samples: deque[TakenPosition] = deque(maxlen=SAMPLE_LIMIT)

    def add(self, taken: Instant, position: LogPosition) -> None:
        """Add a sample; ``taken`` is when the primary was asked, not when it answered."""
        if self._samples and taken < self._samples[-1].taken + SAMPLE_SPACING:
            return
        self._samples.append(TakenPosition(taken, position))

    def clear(self) -> None:
        """Forget all samples: a new primary may lack what they name."""
        self._samples.clear()

    def position_since(self, oldest: Instant) -> LogPosition | None:
        """Return the position of the oldest sample taken at ``oldest`` or later.

        The oldest that suffices is the one that replicas most likely hold.
        """
        for taken, position in self._samples:
            if taken >= oldest:
                return position
        return None

    def newest(self) -> TakenPosition | None:
        """Return the latest sample."""
        return self._samples[-1] if self._samples else None
