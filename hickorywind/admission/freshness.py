"""Upper bound on the age of a replica's data, and the decision whether a read may be served.

A sample states that at some instant not before ``taken_at`` the group's committed log ended at
``position``. Data that contains the position is no older than now minus ``taken_at``. All instants
are of one process's clock. Without new samples the bound grows, so a read is never served from data
whose age is unproven.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import LogPosition
from hickorywind.util.clock import Instant

_MAX_SAMPLES = 64


@dataclass(frozen=True, slots=True)
class LogEndSample:
    """End of the committed log at some instant not before ``taken_at``."""

    position: LogPosition
    taken_at: Instant


@dataclass(frozen=True, slots=True)
class ReadConstraints:
    """Freshness that a read requires: ``floor`` applied, data no older than ``max_staleness``."""

    floor: LogPosition | None = None
    max_staleness: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Serve:
    """Decision to serve the read."""


@dataclass(frozen=True, slots=True)
class WaitForFloor:
    """Decision to wait until the replica has applied the log position that the session requires."""


@dataclass(frozen=True, slots=True)
class WaitForSample:
    """Decision to wait for a new sample or more applied log, to prove the data fresh enough."""


Decision = Serve | WaitForFloor | WaitForSample


class StalenessTracker:
    """Samples of the primary's log end that bound the age of a replica's data."""

    def __init__(self) -> None:
        self._samples: deque[LogEndSample] = deque(maxlen=_MAX_SAMPLES)

    def add(self, sample: LogEndSample) -> None:
        """Add a sample; ignore one that is no newer than the newest."""
        if self._samples and sample.taken_at <= self._samples[-1].taken_at:
            return
        self._samples.append(sample)

    @property
    def newest(self) -> LogEndSample | None:
        """Return the newest sample, or None."""
        return self._samples[-1] if self._samples else None

    def max_age(self, applied: LogPosition, now: Instant) -> timedelta | None:
        """Return the upper bound on the age of data applied up to ``applied``; None if unknown."""
        for sample in reversed(self._samples):
            if applied.contains(sample.position):
                return now - sample.taken_at
        return None

    def decide(self, constraints: ReadConstraints, applied: LogPosition, now: Instant) -> Decision:
        """Decide whether data applied up to ``applied`` may serve a read."""
        if constraints.floor is not None and not applied.contains(constraints.floor):
            return WaitForFloor()
        if constraints.max_staleness is None:
            return Serve()
        max_age = self.max_age(applied, now)
        if max_age is None or max_age > constraints.max_staleness:
            return WaitForSample()
        return Serve()
