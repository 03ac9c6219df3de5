"""Remember how backend servers answered lately, as seen from this entry."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import BackendId
from hickorywind.util.clock import Clock, Instant

_LATENCY_WEIGHT = 0.2
_FIRST_TROUBLE = timedelta(milliseconds=250)
_LONGEST_TROUBLE = timedelta(seconds=5)


@dataclass
class _Record:
    latency_ms: float = 0.0
    failures: int = 0
    troubled_until: Instant = timedelta(0)


class BackendHealth:
    """Average latencies and set a backend server back after failures, twice as long each time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[BackendId, _Record] = {}

    def record_success(self, backend: BackendId, latency_ms: float) -> None:
        """Take in an answer."""
        record = self._records.setdefault(backend, _Record(latency_ms))
        record.latency_ms += _LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        record.failures = 0
        record.troubled_until = timedelta(0)

    def record_failure(self, backend: BackendId) -> None:
        """Take in a failure, or a refusal that another backend server would not give."""
        record = self._records.setdefault(backend, _Record())
        pause = min(_FIRST_TROUBLE * 2 ** min(record.failures, 10), _LONGEST_TROUBLE)
        record.failures += 1
        record.troubled_until = self._clock.now() + pause

    def is_troubled(self, backend: BackendId) -> bool:
        """Tell whether other backend servers go first for now."""
        record = self._records.get(backend)
        return record is not None and record.troubled_until > self._clock.now()

    def cost_ms(self, backend: BackendId) -> float:
        """Return the average latency, 0 where nothing is known."""
        record = self._records.get(backend)
        return 0.0 if record is None else record.latency_ms
