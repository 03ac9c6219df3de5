"""Command ``explain``: determine from the hosts' logs why a request failed."""

from __future__ import annotations

import argparse

import msgspec

from hickorywind.report.explanation import (
    LogLine,
    NoExplanation,
    RequestExplanation,
    explain_request,
)
from hickorywind.results import ResultCode, UserError
from hickorywind.ui.console import Console
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.logfiles import read_lines
from hickorywind.ui.options import add_command


class ExplainOutput(msgspec.Struct, frozen=True):
    """JSON output of ``explain``."""

    request_id: str
    lines: tuple[dict[str, str], ...]
    cause: str
    dropped: int


def add_explain(commands: argparse._SubParsersAction) -> None:
    """Add ``explain``."""
    parser = add_command(
        commands,
        "explain",
        "tell why a request failed, from log files",
        "explain 5c0e7a21d94b36f8 adum-1.log adum-2.log",
        run_explain,
    )
    parser.add_argument("request", metavar="REQUEST_ID")
    parser.add_argument("files", metavar="FILE", nargs="+")


def run_explain(arguments: argparse.Namespace, console: Console) -> int:
    """Print the log lines of a request and its cause; raise ``UserError`` if none name it."""
    match explain_request(arguments.request, read_lines(arguments.files)):
        case NoExplanation(reason):
            raise UserError(ResultCode.SETTINGS_INVALID, reason)
        case RequestExplanation(lines, cause, dropped) as explanation:
            console.show(
                _render(explanation),
                ExplainOutput(
                    arguments.request, tuple(dict(line.fields) for line in lines), cause, dropped
                ),
            )
    return ExitCode.OK


def _render(explanation: RequestExplanation) -> str:
    rows = [_render_line(line) for line in explanation.lines]
    if explanation.dropped:
        rows.append(
            f"{explanation.dropped} log lines were dropped; "
            "some lines of this request may be missing"
        )
    rows.append(f"cause: {explanation.cause}")
    return "\n".join(rows)


def _render_line(line: LogLine) -> str:
    hidden = {"ts", "host", "event", "level", "logger"}
    rest = " ".join(f"{key}={value}" for key, value in line.fields.items() if key not in hidden)
    return f"{line.at.strftime('%H:%M:%S.%f')[:-3]} {line.host} {line.event} {rest}"
