"""Explanation of why a request failed, from the log lines of several hosts."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

# State changes within this time before a failure may explain it.
EXPLANATION_WINDOW = timedelta(seconds=10)
_PAIR = re.compile(r'(?P<key>[^\s=]+)=(?P<value>"(?:[^"\\]|\\.)*"|\S*)')
_ESCAPES = {"n": "\n", "r": "\r", "t": "\t"}
FAILURE_EVENTS = frozenset({"request_failed", "request_refused"})
_STATE_EVENTS = frozenset(
    {
        "backend_gone",
        "backend_registered",
        "backend_unreachable",
        "configuration_in_force",
        "copy_behind",
        "copy_caught_up",
        "drain_started",
        "fencing_waits",
        "leadership_changed",
        "lease_ended",
        "position_rolled_back",
        "primary_changed",
        "primary_checked",
        "primary_lost_lead",
        "primary_state",
        "primary_unreachable",
        "process_started",
        "promotion_ordered",
        "service_closed",
        "store_lost",
        "store_regained",
    }
)
_NO_PRIMARY = "3001"
_CAUSE_BY_CODE: Mapping[str, str] = {
    "1002": "the caller sent what could not be read",
    "1003": "the caller sent a message beyond the limit",
    "1006": "the configuration in force had no route for the database",
    "1010": "the session had not prepared the statement",
    "2002": "the queue was too long to serve it in time: more work than slots",
    "2003": "no backend server was free or usable in time",
    "2005": "its transaction had been idle too long",
    "2008": "its caller closed the connection before it was answered",
    "3002": "no backend server held the log position that the session had seen",
    "3005": "the backend server refused or could not be reached, several times",
    "4001": "its primary was replaced before the answer came: it may have run",
    "4002": "the connection to its backend server was lost after sending: it may have run",
    "4004": "its transaction was rolled back when the connection or the primary was lost",
    "5002": "its host was stopping",
    "5003": "its host had not read a configuration yet",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """Parsed key=value log line."""

    at: datetime
    host: str
    event: str
    fields: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class RequestExplanation:
    """Log lines that explain a request, in order of time, and the cause of its failure.

    ``dropped`` is the number of log lines that the hosts reported as dropped.
    """

    lines: tuple[LogLine, ...]
    cause: str
    dropped: int


@dataclass(frozen=True, slots=True)
class NoExplanation:
    """Reason why a request can't be explained."""

    reason: str


def parse_line(text: str) -> LogLine | None:
    """Return a key=value log line parsed, or None for other text such as a truncated line."""
    fields = {match["key"]: _unquote(match["value"]) for match in _PAIR.finditer(text)}
    try:
        at = datetime.fromisoformat(fields["ts"])
        return LogLine(at, fields["host"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return re.sub(r"\\(.)", lambda match: _ESCAPES.get(match[1], match[1]), value[1:-1])


def explain_request(request_id: str, texts: Iterable[str]) -> RequestExplanation | NoExplanation:
    """Return a request's log lines, the state changes shortly before its failure, and the cause."""
    dropped = 0
    lines = []
    for text in texts:
        line = parse_line(text)
        if line is not None:
            lines.append(line)
        elif "event=log_lines_dropped" in text:
            dropped += count_dropped(text)
    request_lines = [line for line in lines if line.fields.get("request_id") == request_id]
    if not request_lines:
        hint = f"; {dropped} lines were dropped" if dropped else ""
        return NoExplanation(
            f"no line names request {request_id}{hint}: it ran, or its log is missing"
        )
    context_lines = [line for line in lines if _is_context(line, request_lines)]
    ordered = sorted((*request_lines, *context_lines), key=lambda line: line.at)
    return RequestExplanation(tuple(ordered), _find_cause(request_lines), dropped)


def count_dropped(text: str) -> int:
    """Return how many lines a host dropped, as a line about that says."""
    match = re.search(r"count=(\d+)", text)
    return int(match[1]) if match else 0


def _is_context(line: LogLine, request_lines: list[LogLine]) -> bool:
    if line.event not in _STATE_EVENTS:
        return False
    return any(
        _is_related(line, failure) for failure in request_lines if failure.event in FAILURE_EVENTS
    )


def _is_related(line: LogLine, failure: LogLine) -> bool:
    if not failure.at - EXPLANATION_WINDOW <= line.at <= failure.at:
        return False
    service = line.fields.get("service")
    if service is not None:
        return service == failure.fields.get("service")
    return line.host == failure.host


def _find_cause(request_lines: list[LogLine]) -> str:
    for line in reversed(request_lines):
        cause = describe_cause(line)
        if cause is not None:
            return cause
    return "its lines name no failure"


def describe_cause(line: LogLine) -> str | None:
    """Return why a request was refused or failed, or None if a line does not tell."""
    code = line.fields.get("code", "")
    if code == _NO_PRIMARY:
        return f"[{code}] {_explain_missing_primary(line.fields)}"
    if code in _CAUSE_BY_CODE:
        return f"[{code}] {_CAUSE_BY_CODE[code]}"
    if line.event in FAILURE_EVENTS:
        return f"the backend server answered: {line.fields.get('reason', '')}"
    return None


def _explain_missing_primary(fields: Mapping[str, str]) -> str:
    """Return why a host had no primary, from what it believed when it refused the request."""
    if fields.get("permit_ms") == "0":
        return (
            "its host held no permit for primaries: for 7 s it had reached neither the store nor"
            " another host that did (see store_lost)"
        )
    return f"no primary could be used from this host: {fields.get('reason', '')}"
