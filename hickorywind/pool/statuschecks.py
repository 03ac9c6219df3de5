"""Check a request against the status of the backend server it is for."""

from __future__ import annotations

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import AccessMode, InstanceRole, Term
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode

RETRY_AFTER_MS = 200
_MAJORITY_SILENCE_LIMIT_MS = 1_000


def needs_newer_status(status: BackendStatus | None, message: Execute) -> bool:
    """Tell whether the status held may be older than what the sender knows."""
    if status is None:
        return True
    expected = message.expected_term
    if expected is not None and status.term < expected:
        return True
    return message.mode is AccessMode.WRITE and not _can_commit(status)


def _can_commit(status: BackendStatus) -> bool:
    """Tell whether a write has a chance to be proved: a primary that its majority answers."""
    return status.role is InstanceRole.PRIMARY and status.silence_ms < _MAJORITY_SILENCE_LIMIT_MS


def status_refusal(status: BackendStatus, message: Execute) -> Result | None:
    """Refuse what the sender would not have sent had it known the status."""
    if is_for_older_term(message, status.term):
        return stale_term_refusal(status.term, message)
    if message.mode is AccessMode.WRITE and not _can_commit(status):
        reason = "the backend server is not primary, or cut off from its group"
        return Result.not_run(ResultCode.NO_PRIMARY, reason, RETRY_AFTER_MS)
    return None


def is_for_older_term(message: Execute, term: Term) -> bool:
    """Tell whether a request is meant for the primary of a term before ``term``."""
    return message.expected_term is not None and message.expected_term < term


def stale_term_refusal(term: Term, message: Execute) -> Result:
    """Refuse a request that is meant for the primary of an earlier term."""
    reason = f"the group is at term {term}"
    if message.transaction_id is not None:
        return Result.not_run(ResultCode.TRANSACTION_LOST, reason)
    return Result.not_run(ResultCode.STALE_TERM, reason, RETRY_AFTER_MS)


def unreachable_refusal(reason: str) -> Result:
    """Refuse a request because the backend server can't be reached."""
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)


def leaving_refusal() -> Result:
    """Refuse new work for a backend server that is leaving."""
    reason = "the backend server takes no new work"
    return Result.not_run(ResultCode.BACKEND_LEAVING, reason, RETRY_AFTER_MS)
