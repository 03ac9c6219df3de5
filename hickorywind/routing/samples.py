"""Samples of a primary's log position over time, which bound the age of data."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import NamedTuple

from hickorywind.ids import LogPosition
from hickorywind.util.clock import Instant

MIN_SAMPLE_INTERVAL = timedelta(milliseconds=25)  # closer samples would only use memory
MAX_SAMPLES = 256  # at this interval, covers the staleness bounds in use


class SampledPosition(NamedTuple):
    """Log position that contains every commit acknowledged before ``taken_at``."""

    taken_at: Instant
    position: LogPosition


class PositionSamples:
    """Recent samples of a primary's log position, oldest first."""

    def __init__(self) -> None:
        self._samples: deque[SampledPosition] = deque(maxlen=MAX_SAMPLES)

    def add(self, taken_at: Instant, position: LogPosition) -> bool:
        """Add a sample, unless one just as recent is known; return whether it was added.

        ``taken_at`` is when the primary was queried, not when it answered.
        """
        if self._samples and taken_at < self._samples[-1].taken_at + MIN_SAMPLE_INTERVAL:
            return False
        self._samples.append(SampledPosition(taken_at, position))
        return True

    def clear(self) -> None:
        """Remove all samples: the log of a new primary may not contain their positions."""
        self._samples.clear()

    def position_since(self, oldest: Instant) -> LogPosition | None:
        """Return the position of the oldest sample taken at ``oldest`` or later, or None.

        Of the sufficient positions the oldest is the one that replicas most likely have applied.
        """
        for taken_at, position in self._samples:
            if taken_at >= oldest:
                return position
        return None

    def newest(self) -> SampledPosition | None:
        """Return the newest sample, or None."""
        return self._samples[-1] if self._samples else None
