"""Command ``losses``: sum what hosts refused and failed, from their logs."""

from __future__ import annotations

import argparse

import msgspec

from hickorywind.report.losses import LossKey, LossRow, format_losses, sum_losses
from hickorywind.ui.console import Console
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.logfiles import read_lines
from hickorywind.ui.options import add_command


class LossesOutput(msgspec.Struct, frozen=True):
    """JSON output of ``losses``."""

    rows: tuple[LossRow, ...]
    unreadable: int
    dropped: int


def add_losses(commands: argparse._SubParsersAction) -> None:
    """Add ``losses``."""
    parser = add_command(
        commands,
        "losses",
        "sum refused and failed requests by cause, second or place, from log files",
        "losses --by second --by cause adum-1.log adum-2.log",
        run_losses,
    )
    parser.add_argument(
        "--by",
        action="append",
        choices=[key.value for key in LossKey],
        help="what to sum by, several times for pairs; cause if not given",
    )
    parser.add_argument("files", metavar="FILE", nargs="+")


def run_losses(arguments: argparse.Namespace, console: Console) -> int:
    """Print the sums; raise ``UserError`` if a file can't be read."""
    keys = [LossKey(name) for name in dict.fromkeys(arguments.by or [LossKey.CAUSE.value])]
    summary = sum_losses(read_lines(arguments.files), keys)
    rows = summary.rows()
    text = format_losses(keys, rows)
    if summary.dropped or summary.unreadable:
        text += f"{summary.dropped} lines were dropped, {summary.unreadable} could not be read\n"
    console.show(text.rstrip("\n"), LossesOutput(rows, summary.unreadable, summary.dropped))
    return ExitCode.OK
