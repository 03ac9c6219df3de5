"""Results of requests and connections that the entry itself refuses or fails."""

from __future__ import annotations

from hickorywind.results import Outcome, Result, ResultCode


def unknown_service_refusal(name: str) -> Result:
    """Return the refusal for a database name that is not a service."""
    reason = f"database service {name!r} is not known"
    return Result(ResultCode.UNKNOWN_SERVICE, Outcome.NOT_RUN, reason)


def shutting_down_refusal() -> Result:
    """Return the refusal of an entry that is shutting down."""
    reason = "this entry is shutting down; connect to another"
    return Result.not_run(ResultCode.SHUTTING_DOWN, reason, 1)


def transaction_lost_result(result: Result) -> Result:
    """Return ``TRANSACTION_LOST`` for a lost pool, as it rolls back the open transaction."""
    if result.code not in (ResultCode.POOL_LOST, ResultCode.POOL_UNREACHABLE):
        return result
    reason = f"transaction rolled back: {result.reason}"
    return Result(ResultCode.TRANSACTION_LOST, result.outcome, reason)
