"""Build the results by which an entry itself refuses, or explains a failure."""

from __future__ import annotations

from hickorywind.results import Outcome, Result, ResultCode


def unknown_service_refusal(name: str) -> Result:
    """Build the refusal for a database name that is no service."""
    reason = f"database service {name!r} is not known"
    return Result(ResultCode.UNKNOWN_SERVICE, Outcome.NOT_RUN, reason)


def shutting_down_refusal() -> Result:
    """Build the refusal of an entry that stops."""
    reason = "this entry is shutting down; connect to another"
    return Result.not_run(ResultCode.SHUTTING_DOWN, reason, 1)


def transaction_lost_result(result: Result) -> Result:
    """Report a failure inside a transaction, which as a whole is rolled back."""
    if result.code not in (ResultCode.POOL_LOST, ResultCode.POOL_UNREACHABLE):
        return result
    reason = f"transaction rolled back: {result.reason}"
    return Result(ResultCode.TRANSACTION_LOST, result.outcome, reason)
