"""Log lines for failed requests, and counts of all requests."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.host.fleet import ConfigurationState
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.transaction import Transaction
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.ports.catalog import DatabaseName
from hickorywind.ports.replies import (
    LocalCompletion,
    ProxyFailure,
    RelayedAnswer,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import to_milliseconds

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class SessionCut:
    """What a caller may miss when the host closes its connection."""

    unanswered: int  # requests that were decoded and have no reply
    unsent_bytes: int  # of replies
    has_unread_input: bool
    state: TransactionState
    since_input: timedelta

    @property
    def is_clean(self) -> bool:
        """Whether the caller misses nothing."""
        is_idle = self.state is TransactionState.IDLE
        return is_idle and not (self.unanswered or self.unsent_bytes or self.has_unread_input)


@dataclass(frozen=True)
class ConfigurationEvidence:
    """What a host knows about its configuration when it refuses a database as unknown.

    ``contact_age`` is the age of the last contact with the store that its copies reflect, None if
    there was none; ``watches_store`` whether the host watches the store itself.
    """

    state: ConfigurationState | None
    contact_age: timedelta | None
    watches_store: bool


class RequestLog:
    """Log of request outcomes: a line for each failed request and a count of all."""

    def __init__(
        self, metrics: HostMetrics, configuration_evidence: Callable[[], ConfigurationEvidence]
    ) -> None:
        self._metrics = metrics
        self._configuration_evidence = configuration_evidence

    def record_refusal(self, request_id: str, database: DatabaseName, result: Result) -> None:
        """Log and count a request or session that was refused before it was routed."""
        self._metrics.count_request(result.outcome.value, int(result.code))
        logger.info(
            "request_refused",
            extra={
                "request_id": request_id,
                "database": database,
                "outcome": result.outcome,
                "code": int(result.code),
                "reason": result.reason,
                **self._evidence_fields(int(result.code)),
            },
        )

    def _evidence_fields(self, code: int) -> dict[str, object]:
        if code != ResultCode.UNKNOWN_SERVICE:
            return {}
        return _configuration_fields(self._configuration_evidence())

    def record_cut(self, database: DatabaseName, cut: SessionCut) -> None:
        """Count a connection that the host closes; log it if the caller may miss something."""
        self._metrics.sessions_closed.labels(str(cut.is_clean).lower()).inc()
        if cut.is_clean:
            return
        logger.info(
            "session_cut",
            extra={
                "database": database,
                "unanswered": cut.unanswered,
                "unsent_bytes": cut.unsent_bytes,
                "unread_input": cut.has_unread_input,
                "state": cut.state.value,
                "since_input_ms": round(to_milliseconds(cut.since_input), 1),
            },
        )

    def record_reply(
        self,
        request: Request,
        database: DatabaseName,
        client: str,
        reply: Reply,
        duration: timedelta,
        transaction: Transaction | None,
        service: ServiceRuntime | None,
        version: int,
    ) -> None:
        """Count a request and, if it failed, log it with the host's view of its service.

        Requests that the proxy completed without a backend server are not counted.
        """
        match reply:
            case LocalCompletion():
                return
            case RelayedAnswer(answer) if answer.is_ok:
                self._metrics.count_request("ran", 0)
                self._metrics.observe_latency(duration)
                return
            case RelayedAnswer(answer):
                outcome, code, reason = "backend_error", 0, answer.error.text
            case ProxyFailure(result):
                outcome, code, reason = result.outcome.value, int(result.code), result.reason
        self._metrics.count_request(outcome, code)
        logger.info(
            "request_failed",
            extra={
                "request_id": request.request_id,
                "database": database,
                "client": client,
                "statement": type(request.statement).__name__.lower(),
                "outcome": outcome,
                "code": code,
                "reason": reason,
                "duration_ms": round(to_milliseconds(duration), 1),
                "in_transaction": transaction is not None,
                "config_version": version,
                **self._evidence_fields(code),
                **({} if service is None else _service_fields(service)),
            },
        )


def _service_fields(service: ServiceRuntime) -> dict[str, object]:
    view = service.current_view()
    return {
        "service": service.name,
        "primary": view.primary,
        "primary_state": view.primary_state,
        "change": view.change,
        "permit_ms": view.permit_ms,
        "sample_age_ms": view.sample_age_ms,
        "waiting": view.waiting,
    }


def _configuration_fields(evidence: ConfigurationEvidence) -> dict[str, object]:
    fields: dict[str, object] = {
        "store_contact_ms": _whole_milliseconds(evidence.contact_age),
        "watches_store": evidence.watches_store,
    }
    state = evidence.state
    if state is None:
        return fields
    return fields | {
        "config_version": state.version,
        "config_revision": state.revision,
        "config_source": state.source,
        "config_age_ms": _whole_milliseconds(state.age),
        "newer_revision": state.newer_revision,
        "behind_ms": _whole_milliseconds(state.behind),
    }


def _whole_milliseconds(duration: timedelta | None) -> int | None:
    return None if duration is None else round(to_milliseconds(duration))
