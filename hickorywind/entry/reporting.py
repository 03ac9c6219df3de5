"""Logging and metrics of the requests of this entry."""

from __future__ import annotations

import logging
from datetime import timedelta

from hickorywind.entry.accounts import EntryAccounts
from hickorywind.entry.request import FinishedRequest, Request
from hickorywind.ids import AccessMode
from hickorywind.observability.metrics import Metrics
from hickorywind.util.clock import to_milliseconds

logger = logging.getLogger(__name__)


class RequestReporter:
    """Reporter that logs one event per request and updates the metrics, if there are any."""

    def __init__(self, metrics: Metrics | None, accounts: EntryAccounts) -> None:
        self._metrics = metrics
        self._accounts = accounts

    def report_end(
        self,
        request: Request,
        finished: FinishedRequest,
        duration: timedelta,
        available_retries: float,
    ) -> None:
        """Log a request's final result and record it in the metrics."""
        result = finished.result
        level = logging.DEBUG if result.is_ok else logging.INFO
        if logger.isEnabledFor(level):
            self._log_end(level, request, finished, duration)
        if self._metrics is None:
            return
        self._metrics.record_request(request.service.name, request.rank, result, duration)
        if request.account is not None:
            label = self._accounts.metrics_label_of(request.account)
            self._metrics.record_account_request(label, result)
        self._metrics.retry_budget.set(available_retries)
        target = finished.target
        if result.is_ok and request.mode is AccessMode.READ and target is not None:
            source = "primary" if target.is_primary else "replica"
            self._metrics.reads.labels(request.service.name, source).inc()

    def _log_end(
        self, level: int, request: Request, finished: FinishedRequest, duration: timedelta
    ) -> None:
        target = finished.target
        extra = {
            "session_id": request.session_id,
            "request_id": finished.request_id,
            "service": request.service.name,
            "backend": target.backend if target is not None else "",
            "rank": request.rank.value,
            "code": int(finished.result.code),
            "outcome": finished.result.outcome.value,
            "reason": finished.result.reason,
            "duration_ms": round(to_milliseconds(duration), 1),
        }
        if request.account is not None:
            extra["account"] = request.account
        logger.log(level, "request_ended", extra=extra)

    def drop_unnamed_accounts(self) -> None:
        """Drop the metrics of accounts that are no longer named there."""
        if self._metrics is not None:
            self._metrics.retain_accounts(self._accounts.metrics_labels)

    def count_retry(self, request: Request) -> None:
        """Count a retry of a request."""
        if self._metrics is not None:
            self._metrics.retries.labels(request.service.name).inc()

    def count_link_bytes(self, region: str, size_bytes: int) -> None:
        """Count bytes exchanged with pools of another region."""
        if self._metrics is not None:
            self._metrics.link_bytes.labels(region).inc(size_bytes)
