"""Remember how backend servers answered lately, as seen from this entry."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.ids import BackendId
from hickorywind.util.clock import Clock, Instant

_LATENCY_WEIGHT = 0.2
_FIRST_TROUBLE = timedelta(milliseconds=250)
_LONGEST_TROUBLE = timedelta(seconds=5)


@dataclass(frozen=True)
class FreshnessDemand:
    """State how fresh a request wants its data: a floor to contain, a greatest age or neither."""

    has_floor: bool = False
    max_staleness_ms: int | None = None


ANY_DATA = FreshnessDemand()


@dataclass
class _SetBack:
    """Set a backend server back after refusals in a row, twice as long each time."""

    refusals: int = 0
    until: Instant = timedelta(0)

    def extend(self, now: Instant) -> None:
        pause = min(_FIRST_TROUBLE * 2 ** min(self.refusals, 10), _LONGEST_TROUBLE)
        self.refusals += 1
        self.until = now + pause

    def end(self) -> None:
        self.refusals = 0
        self.until = timedelta(0)


@dataclass
class _Record:
    latency_ms: float = 0.0
    failing: _SetBack = field(default_factory=_SetBack)
    behind: _SetBack = field(default_factory=_SetBack)
    stale: _SetBack = field(default_factory=_SetBack)
    stale_bound_ms: int = 0


class BackendHealth:
    """Average latencies and set backend servers back, each for what it failed at.

    A failure sets it back for all work. Data that was too old for one read says nothing against
    it for reads that ask for less.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[BackendId, _Record] = {}

    def record_success(
        self, backend: BackendId, latency_ms: float, demand: FreshnessDemand = ANY_DATA
    ) -> None:
        """Take in an answer to a request with a demand."""
        record = self._records.setdefault(backend, _Record(latency_ms))
        record.latency_ms += _LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        record.failing.end()
        if demand.has_floor:
            record.behind.end()
        if demand.max_staleness_ms is not None and demand.max_staleness_ms <= record.stale_bound_ms:
            record.stale.end()

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
        if record.stale.until <= now or max_staleness_ms > record.stale_bound_ms:
            record.stale_bound_ms = max_staleness_ms
        record.stale.extend(now)

    def is_troubled(self, backend: BackendId, demand: FreshnessDemand = ANY_DATA) -> bool:
        """Tell whether other backend servers go first for now, for a request with a demand."""
        record = self._records.get(backend)
        if record is None:
            return False
        now = self._clock.now()
        is_behind = demand.has_floor and record.behind.until > now
        is_stale = (
            demand.max_staleness_ms is not None
            and demand.max_staleness_ms <= record.stale_bound_ms
            and record.stale.until > now
        )
        return record.failing.until > now or is_behind or is_stale

    def cost_ms(self, backend: BackendId) -> float:
        """Return the average latency, 0 where nothing is known."""
        record = self._records.get(backend)
        return 0.0 if record is None else record.latency_ms

    def _record(self, backend: BackendId) -> _Record:
        return self._records.setdefault(backend, _Record())
