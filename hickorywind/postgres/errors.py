"""Encoding of results as the ErrorResponse and NoticeResponse messages sent to callers."""

from __future__ import annotations

from enum import Enum

from pygwire.messages import ErrorResponse, NoticeResponse

from hickorywind.results import Outcome, Result, ResultCode, sqlstate_for

FAILED_TRANSACTION_SQLSTATE = "25P02"


class Severity(Enum):
    """Severity of an error; the connection is closed after ``FATAL``."""

    ERROR = "ERROR"
    FATAL = "FATAL"


_HINT_BY_OUTCOME = {
    Outcome.RAN: "The request ran to its end.",
    Outcome.NOT_RUN: "The request did not run.",
    Outcome.UNKNOWN: "The request may have run; check before sending it again.",
}


def describe_result(result: Result) -> str:
    """Return a result as key=value pairs for the detail field of an error message."""
    words = [f"code={int(result.code)}", f"outcome={result.outcome.value}"]
    words.append(f"retry={'yes' if result.retry_allowed else 'no'}")
    if result.retry_after_ms is not None:
        words.append(f"retry_after_ms={result.retry_after_ms}")
    return " ".join(words)


def encode_error(result: Result, severity: Severity = Severity.ERROR) -> bytes:
    """Encode a result as an ErrorResponse message."""
    return ErrorResponse(_error_fields(result, severity.value, sqlstate_for(result.code))).to_wire()


def encode_failed_transaction(result: Result) -> bytes:
    """Encode the refusal of a statement whose transaction has already failed, as SQLSTATE 25P02."""
    return ErrorResponse(
        _error_fields(result, Severity.ERROR.value, FAILED_TRANSACTION_SQLSTATE)
    ).to_wire()


def encode_notice(result: Result) -> bytes:
    """Encode a result as a NoticeResponse message."""
    return NoticeResponse(_error_fields(result, "NOTICE", sqlstate_for(ResultCode.OK))).to_wire()


def encode_warning(sqlstate: str, text: str) -> bytes:
    """Encode a warning with one of PostgreSQL's SQLSTATE codes as a NoticeResponse message."""
    return NoticeResponse({"S": "WARNING", "V": "WARNING", "C": sqlstate, "M": text}).to_wire()


def _error_fields(result: Result, severity: str, sqlstate: str) -> dict[str, str]:
    reason = result.reason.replace("\0", " ")
    hint = _HINT_BY_OUTCOME[result.outcome]
    if result.retry_after_ms is not None:
        hint += f" It may be sent again after {result.retry_after_ms} ms."
    return {
        "S": severity,
        "V": severity,
        "C": sqlstate,
        "M": f"[{int(result.code)}] {reason}",
        "D": describe_result(result),
        "H": hint,
    }
