"""Bound the age of data by samples of where a primary's log ended at a known instant."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from hickorywind.ids import LogPosition
from hickorywind.util.clock import Instant

MIN_SAMPLE_INTERVAL = timedelta(milliseconds=25)  # finer samples would only take memory
MAX_SAMPLES = 256  # covers the staleness bounds in use at that spacing


class SampledPosition(NamedTuple):
    """Name a log position that held every commit acknowledged before ``taken_at``."""

    taken_at: Instant
    position: LogPosition


class PositionSamples:
    """Remember positions that contain every commit acknowledged before an instant."""

    def __init__(self) -> None:
        self._samples: deque[SampledPosition] = deque(maxlen=MAX_SAMPLES)

    def add(self, taken_at: Instant, position: LogPosition) -> None:
        """Add a sample; ``taken_at`` is when the primary was asked, not when it answered."""
        if self._samples and taken_at < self._samples[-1].taken_at + MIN_SAMPLE_INTERVAL:
            return
        self._samples.append(SampledPosition(taken_at, position))

    def clear(self) -> None:
        """Forget all samples: a new primary may lack what they name."""
        self._samples.clear()

    def position_since(self, oldest: Instant) -> LogPosition | None:
        """Return the position of the oldest sample taken_at at ``oldest`` or later.

        The oldest that suffices is the one that replicas most likely hold.
        """
        for taken_at, position in self._samples:
            if taken_at >= oldest:
                return position
        return None

    def newest(self) -> SampledPosition | None:
        """Return the latest sample."""
        return self._samples[-1] if self._samples else None
