"""Stages of a host's stop and the results that its callers get meanwhile."""

from __future__ import annotations

from enum import Enum, auto

from hickorywind.results import Result, ResultCode

STOP_RETRY_AFTER_MS = 50  # another host can serve the request at once


class StopStage(Enum):
    """What the sessions of a host may still do."""

    SERVING = auto()
    CLOSING_QUIET = auto()  # quiet sessions end, others go on
    REFUSING = auto()  # only what runs already may end


def make_shutdown_refusal() -> Result:
    """Return the result of a request that a stopping host does not run."""
    return Result.not_run(ResultCode.SHUTTING_DOWN, "the host is stopping", STOP_RETRY_AFTER_MS)


def make_shutdown_abort() -> Result:
    """Return the result of an idle transaction that a stopping host ends."""
    reason = "the host is stopping; the transaction was rolled back"
    return Result.not_run(ResultCode.TRANSACTION_LOST, reason, STOP_RETRY_AFTER_MS)


def make_shutdown_cut() -> Result:
    """Return the result of a request that still runs when a stopping host closes its session."""
    reason = "the host stopped before the backend server answered"
    return Result.unknown(ResultCode.CONNECTION_LOST, reason)
