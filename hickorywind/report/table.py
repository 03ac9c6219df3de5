"""Burn-rate reports as a text table and as JSON rows."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from hickorywind.report.burn import ObjectiveReport, WindowBurn

_HEADINGS = ("objective", "window", "covered", "good", "bad", "burn rate", "budget left", "alert")
_MINUTE = timedelta(minutes=1)
_HOUR = timedelta(hours=1)
_DAY = timedelta(days=1)


class BurnRow(msgspec.Struct, frozen=True):
    """Row of the report, for one objective and window; the JSON output is a list of rows."""

    objective: str
    window_seconds: float
    covered_seconds: float
    good: float
    bad: float
    burn_rate: float
    budget_left_percent: float
    alert: str


def make_rows(reports: Sequence[ObjectiveReport]) -> tuple[BurnRow, ...]:
    """Return one row for each objective and window."""
    return tuple(_make_row(report, window) for report in reports for window in report.windows)


def _make_row(report: ObjectiveReport, window: WindowBurn) -> BurnRow:
    return BurnRow(
        objective=str(report.service_objective),
        window_seconds=window.window.total_seconds(),
        covered_seconds=window.covered.total_seconds(),
        good=window.counts.good,
        bad=window.counts.bad,
        burn_rate=round(window.burn_rate, 4),
        budget_left_percent=round(report.budget_left_percent, 2),
        alert=report.alert.value,
    )


def format_rows(rows: Sequence[BurnRow]) -> str:
    """Return the report as an aligned table."""
    return format_table(_HEADINGS, [_to_cells(row) for row in rows])


def _to_cells(row: BurnRow) -> tuple[str, ...]:
    return (
        row.objective,
        format_duration(timedelta(seconds=row.window_seconds)),
        format_duration(timedelta(seconds=row.covered_seconds)),
        f"{row.good:.0f}",
        f"{row.bad:.0f}",
        f"{row.burn_rate:.2f}",
        f"{row.budget_left_percent:.1f}%",
        row.alert,
    )


def format_duration(duration: timedelta) -> str:
    """Return a duration in its largest unit, e.g. ``6 h``."""
    for unit, name in ((_DAY, "d"), (_HOUR, "h"), (_MINUTE, "min")):
        if duration >= unit:
            return f"{duration / unit:.3g} {name}"
    return f"{duration.total_seconds():.3g} s"


def format_table(headings: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with aligned columns."""
    lines = [headings, *rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    return "".join(_format_line(line, widths) for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip() + "\n"
