"""Error messages for configuration changes that were not accepted."""

from __future__ import annotations

from hickorywind.configuration.acceptance import Finished, Proposal, Verdict
from hickorywind.results import ResultCode, UserError


def error_for_outcome(finished: Finished, proposal: Proposal) -> UserError | None:
    """Return the error to report to the operator, or None if the change was accepted."""
    match finished.verdict:
        case Verdict.ACCEPTED | Verdict.SUPERSEDED:
            return None
        case Verdict.CONFLICT:
            return UserError(ResultCode.CONFIG_CONFLICT, _describe_conflict(finished, proposal))
        case Verdict.UNAVAILABLE:
            return UserError(
                ResultCode.STORE_UNAVAILABLE,
                "the store did not answer; nothing was changed, apply again later",
            )
        case Verdict.UNKNOWN:
            return UserError(
                ResultCode.STORE_OUTCOME_UNKNOWN,
                f"the store's answer was lost; change {proposal.change_id} may have taken effect,"
                f" find out by applying again with --change-id {proposal.change_id}",
            )


def _describe_conflict(finished: Finished, proposal: Proposal) -> str:
    reviewed = proposal.reviewed_revision
    if finished.current is None:
        return f"not applied: revision {reviewed} was reviewed, but the store holds none"
    other = finished.current.envelope
    if other.change_id == proposal.change_id:
        return f"not applied: change id {other.change_id} is already used by another document"
    return (
        f"not applied: revision {reviewed} was reviewed, but revision {finished.revision} is"
        f" current, change {other.change_id} by {other.author} ({other.note});"
        " review the difference and apply again"
    )
