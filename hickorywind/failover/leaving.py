"""Leaving records derived from backend servers' reports that they are leaving or have returned."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId
from hickorywind.protocol.records import LeavingRecord
from hickorywind.util.clock import Instant

RETURN_CONFIRMATION_TIME = timedelta(seconds=1)


class LeavingTracker:
    """Comparison of one backend server's reports with its current ``LeavingRecord``.

    A report counts only if it was requested after the record last changed; otherwise a late report
    would revert a newer record. A departure is published at once, a return only after the server
    has reported it for ``RETURN_CONFIRMATION_TIME``.
    """

    def __init__(self, backend: BackendId) -> None:
        self._backend = backend
        self._record: LeavingRecord | None = None
        self._record_changed_at: Instant | None = None
        self._returned_since: Instant | None = None

    def update(
        self, asked_at: Instant, status: BackendStatus, record: LeavingRecord | None, now: Instant
    ) -> LeavingRecord | None:
        """Return the record to publish, or None if the report changes nothing."""
        if self._record_changed_at is None or record != self._record:
            self._record, self._record_changed_at = record, now
            self._returned_since = None
        is_recorded_as_leaving = record is not None and record.leaving
        generation = record.generation + 1 if record is not None else 1
        if status.leaving == is_recorded_as_leaving:
            self._returned_since = None
            return None
        if record is not None and asked_at < self._record_changed_at:
            return None
        if status.leaving:
            return LeavingRecord(self._backend, generation, True)
        self._returned_since = self._returned_since if self._returned_since is not None else now
        if now - self._returned_since < RETURN_CONFIRMATION_TIME:
            return None
        return LeavingRecord(self._backend, generation, False)
