"""Checks of a request against the status of its backend server."""

from __future__ import annotations

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import AccessMode, InstanceRole, Term
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode

RETRY_AFTER_MS = 200
_MAJORITY_SILENCE_LIMIT_MS = 1_000


def needs_newer_status(status: BackendStatus | None, message: Execute) -> bool:
    """Return whether a newer status is needed to decide on the request.

    That is so without a status, if the sender knows a later term, or if a write would be refused.
    """
    if status is None:
        return True
    expected = message.expected_term
    if expected is not None and status.term < expected:
        return True
    return message.mode is AccessMode.WRITE and not _can_commit(status)


def _can_commit(status: BackendStatus) -> bool:
    """Return whether the backend server is a primary that recently heard from its majority."""
    return status.role is InstanceRole.PRIMARY and status.silence_ms < _MAJORITY_SILENCE_LIMIT_MS


def status_refusal(status: BackendStatus, message: Execute) -> Result | None:
    """Return a refusal if the status rules the request out, None otherwise."""
    if is_for_older_term(message, status.term):
        return stale_term_refusal(status.term, message)
    if message.mode is AccessMode.WRITE and not _can_commit(status):
        reason = (
            "the backend server is not the primary, or is cut off from the majority of its group"
        )
        return Result.not_run(ResultCode.NO_PRIMARY, reason, RETRY_AFTER_MS)
    return None


def is_for_older_term(message: Execute, term: Term) -> bool:
    """Return whether a request expects the primary of a term before ``term``."""
    return message.expected_term is not None and message.expected_term < term


def stale_term_refusal(term: Term, message: Execute) -> Result:
    """Return the refusal of a request that expects the primary of an earlier term."""
    reason = f"the database group is at term {term}"
    if message.transaction_id is not None:
        return Result.not_run(ResultCode.TRANSACTION_LOST, reason)
    return Result.not_run(ResultCode.STALE_TERM, reason, RETRY_AFTER_MS)


def unreachable_refusal(reason: str) -> Result:
    """Return the refusal of a request because the backend server can't be reached."""
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)


def leaving_refusal() -> Result:
    """Return the refusal of a new request for a backend server that is leaving."""
    reason = "the backend server is leaving and accepts no new requests"
    return Result.not_run(ResultCode.BACKEND_LEAVING, reason, RETRY_AFTER_MS)
