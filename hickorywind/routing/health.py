"""Recent latencies and failures of backend servers, as observed by this entry."""

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
    """Freshness that a request requires of its data.

    ``has_floor`` is set if the data must contain a log position; ``max_staleness_ms`` is the
    greatest age accepted, None for any.
    """

    has_floor: bool = False
    max_staleness_ms: int | None = None


NO_REQUIREMENT = FreshnessRequirement()


@dataclass
class _Backoff:
    """Period of lower preference that doubles each time a refusal follows its end.

    Refusals within a period do not extend it: requests that run at the same time, and writes that
    have no other server, are refused many times for one cause.
    """

    periods: int = 0
    until: Instant = timedelta(0)

    def record_refusal(self, now: Instant) -> None:
        if now < self.until:
            return
        self.until = now + min(_INITIAL_BACKOFF * 2 ** min(self.periods, 10), _MAX_BACKOFF)
        self.periods += 1

    def reset(self) -> None:
        self.periods = 0
        self.until = timedelta(0)


@dataclass
class _ServerRecord:
    latency_ms: float = 0.0
    failing: _Backoff = field(default_factory=_Backoff)
    behind: _Backoff = field(default_factory=_Backoff)
    stale: _Backoff = field(default_factory=_Backoff)
    max_missed_staleness_ms: int = 0


class BackendHealth:
    """Average latency of each backend server, and backoff periods by kind of failure.

    After a failure a server is deprioritized for all work. If its data was not fresh enough for
    a read, it is deprioritized only for reads that require as much.
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
        """Record an answer; end the backoffs that its freshness requirement disproves."""
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
        """Record a failure, or a refusal that another backend server would not give."""
        self._record_of(backend).failing.record_refusal(self._clock.now())

    def record_behind(self, backend: BackendId) -> None:
        """Record that the data did not contain the log position that a read required."""
        self._record_of(backend).behind.record_refusal(self._clock.now())

    def record_too_stale(self, backend: BackendId, max_staleness_ms: int) -> None:
        """Record that the data could not be proven to be at most ``max_staleness_ms`` old."""
        record = self._record_of(backend)
        now = self._clock.now()
        if record.stale.until <= now or max_staleness_ms > record.max_missed_staleness_ms:
            record.max_missed_staleness_ms = max_staleness_ms
        record.stale.record_refusal(now)

    def is_deprioritized(
        self, backend: BackendId, requirement: FreshnessRequirement = NO_REQUIREMENT
    ) -> bool:
        """Return whether other backend servers are currently preferred for such a request."""
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
        """Return the moving average of the latency, 0 if none was recorded."""
        record = self._records.get(backend)
        return 0.0 if record is None else record.latency_ms

    def _record_of(self, backend: BackendId) -> _ServerRecord:
        return self._records.setdefault(backend, _ServerRecord())
