"""Bound the age of a replica's data and decide whether a read may be served.

A sample says: at an instant not before ``taken``, the group's committed log ended at ``position``.
Data that contains the position is no older than now minus ``taken``. All instants are of one
process's clock. Without new samples the age grows, so a read is never served on hope.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import LogPosition
from hickorywind.util.clock import Instant

_SAMPLES_KEPT = 64


@dataclass(frozen=True, slots=True)
class Sample:
    """Pair a position with the instant at which it may at the earliest have been the end."""

    position: LogPosition
    taken: Instant


@dataclass(frozen=True, slots=True)
class ReadNeeds:
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


class Freshness:
    """Hold samples of the primary's end and compare them with what a replica has applied."""

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=_SAMPLES_KEPT)

    def add(self, sample: Sample) -> None:
        """Take in a sample; those that say less than one held already are dropped."""
        if self._samples and sample.taken <= self._samples[-1].taken:
            return
        self._samples.append(sample)

    @property
    def newest(self) -> Sample | None:
        """Return the latest sample."""
        return self._samples[-1] if self._samples else None

    def age(self, applied: LogPosition, now: Instant) -> timedelta | None:
        """Bound the age of data from above; None where no sample bounds it."""
        for sample in reversed(self._samples):
            if applied.contains(sample.position):
                return now - sample.taken
        return None

    def decide(self, needs: ReadNeeds, applied: LogPosition, now: Instant) -> Decision:
        """Decide on a read of data that contains ``applied``."""
        if needs.floor is not None and not applied.contains(needs.floor):
            return WaitForFloor()
        if needs.max_staleness is None:
            return Serve()
        age = self.age(applied, now)
        if age is None or age > needs.max_staleness:
            return WaitForSample()
        return Serve()
