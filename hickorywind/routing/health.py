"""Remember how backend servers answered lately, as seen from this entry."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.ids import BackendId
from hickorywind.util.clock import Clock, Instant

_LATENCY_WEIGHT = 0.2
_INITIAL_BACKOFF = timedelta(milliseconds=250)
_MAX_BACKOFF = timedelta(seconds=5)


@dataclass(frozen=True)
class FreshnessRequirement:
    """State how fresh a request wants its data: a floor to contain, a greatest age or neither."""

    has_floor: bool = False
    max_staleness_ms: int | None = None


NO_REQUIREMENT = FreshnessRequirement()


@dataclass
class _Backoff:
    """Set a backend server back after refusals in a row, twice as long each time."""

    refusals: int = 0
    until: Instant = timedelta(0)

    def extend(self, now: Instant) -> None:
        backoff = min(_INITIAL_BACKOFF * 2 ** min(self.refusals, 10), _MAX_BACKOFF)
        self.refusals += 1
        self.until = now + backoff

    def reset(self) -> None:
        self.refusals = 0
        self.until = timedelta(0)


@dataclass
class _ServerRecord:
    latency_ms: float = 0.0
    failing: _Backoff = field(default_factory=_Backoff)
    behind: _Backoff = field(default_factory=_Backoff)
    stale: _Backoff = field(default_factory=_Backoff)
    max_missed_staleness_ms: int = 0


class BackendHealth:
    """Average latencies and set backend servers back, each for what it failed at.

    A failure sets it back for all work. Data that was too old for one read says nothing against
    it for reads that ask for less.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[BackendId, _ServerRecord] = {}

    def record_success(
        self,
        backend: BackendId,
        latency_ms: float,
        requirement: FreshnessRequirement = NO_REQUIREMENT,
    ) -> None:
        """Take in an answer to a request with a requirement."""
        record = self._records.setdefault(backend, _ServerRecord(latency_ms))
        record.latency_ms += _LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        record.failing.reset()
        if requirement.has_floor:
            record.behind.reset()
        if (
            requirement.max_staleness_ms is not None
            and requirement.max_staleness_ms <= record.max_missed_staleness_ms
        ):
            record.stale.reset()

    def record_failure(self, backend: BackendId) -> None:
        """Take in a failure, or a refusal that another backend server would not give."""
        self._record(backend).failing.extend(self._clock.now())

    def record_behind(self, backend: BackendId) -> None:
        """Take in that the data did not contain a read's floor."""
        self._record(backend).behind.extend(self._clock.now())

    def record_too_stale(self, backend: BackendId, max_staleness_ms: int) -> None:
        """Take in that the data could not be shown to be so young."""
        record = self._record(backend)
        now = self._clock.now()
        if record.stale.until <= now or max_staleness_ms > record.max_missed_staleness_ms:
            record.max_missed_staleness_ms = max_staleness_ms
        record.stale.extend(now)

    def is_deprioritized(
        self, backend: BackendId, requirement: FreshnessRequirement = NO_REQUIREMENT
    ) -> bool:
        """Tell whether other backend servers go first for now, for a request with a requirement."""
        record = self._records.get(backend)
        if record is None:
            return False
        now = self._clock.now()
        is_behind = requirement.has_floor and record.behind.until > now
        is_stale = (
            requirement.max_staleness_ms is not None
            and requirement.max_staleness_ms <= record.max_missed_staleness_ms
            and record.stale.until > now
        )
        return record.failing.until > now or is_behind or is_stale

    def mean_latency_ms(self, backend: BackendId) -> float:
        """Return the average latency, 0 where nothing is known."""
        record = self._records.get(backend)
        return 0.0 if record is None else record.latency_ms

    def _record(self, backend: BackendId) -> _ServerRecord:
        return self._records.setdefault(backend, _ServerRecord())
