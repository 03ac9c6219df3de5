"""Bound the age of a replica's data and decide whether a read may be served.

A sample says: at an instant not before ``taken_at``, the group's committed log ended at
``position``. Data that contains the position is no older than now minus ``taken_at``. All instants
are of one process's clock. Without new samples the age grows, so a read is never served on hope.
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
    """Pair a position with the instant at which it may at the earliest have been the end."""

    position: LogPosition
    taken_at: Instant


@dataclass(frozen=True, slots=True)
class ReadConstraints:
    """State what a read demands: a position to contain and the greatest age of its data."""

    floor: LogPosition | None = None
    max_staleness: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Serve:
    """Allow the read."""


@dataclass(frozen=True, slots=True)
class WaitForFloor:
    """The replica has not applied the session's floor."""


@dataclass(frozen=True, slots=True)
class WaitForSample:
    """The data can't be shown to be young enough; a new sample or more applied log may do it."""


Decision = Serve | WaitForFloor | WaitForSample


class StalenessTracker:
    """Hold samples of the primary's end and compare them with what a replica has applied."""

    def __init__(self) -> None:
        self._samples: deque[LogEndSample] = deque(maxlen=_MAX_SAMPLES)

    def add(self, sample: LogEndSample) -> None:
        """Take in a sample; those that say less than one held already are dropped."""
        if self._samples and sample.taken_at <= self._samples[-1].taken_at:
            return
        self._samples.append(sample)

    @property
    def newest(self) -> LogEndSample | None:
        """Return the latest sample."""
        return self._samples[-1] if self._samples else None

    def max_age(self, applied: LogPosition, now: Instant) -> timedelta | None:
        """Bound the age of data from above; None where no sample bounds it."""
        for sample in reversed(self._samples):
            if applied.contains(sample.position):
                return now - sample.taken_at
        return None

    def decide(self, constraints: ReadConstraints, applied: LogPosition, now: Instant) -> Decision:
        """Decide on a read of data that contains ``applied``."""
        if constraints.floor is not None and not applied.contains(constraints.floor):
            return WaitForFloor()
        if constraints.max_staleness is None:
            return Serve()
        max_age = self.max_age(applied, now)
        if max_age is None or max_age > constraints.max_staleness:
            return WaitForSample()
        return Serve()
