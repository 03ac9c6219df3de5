"""Sums of the requests that hosts refused or failed, from their logs, by cause and by place."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import msgspec

from hickorywind.report.explanation import (
    FAILURE_EVENTS,
    LogLine,
    count_dropped,
    describe_cause,
    parse_line,
)
from hickorywind.report.table import format_table
from hickorywind.util.clock import milliseconds

MAX_GROUPS = 10_000  # further ones are summed as one, so that memory stays bounded
OTHER_GROUP = "other"
_HEADINGS = ("requests", "mean wait ms")


class LossKey(Enum):
    """What refused and failed requests are summed by."""

    CAUSE = "cause"
    SECOND = "second"
    DATABASE = "database"
    SERVICE = "service"
    HOST = "host"


class LossRow(msgspec.Struct, frozen=True):
    """Row of the report: a group, its number of requests and their mean time at the host."""

    group: dict[str, str]
    requests: int
    mean_wait_ms: float


@dataclass
class _Loss:
    requests: int = 0
    wait: timedelta = timedelta(0)


@dataclass
class LossSummary:
    """Sums by group, and what could not be counted.

    ``unreadable`` is the number of lines that are no log lines, ``dropped`` that of the lines that
    hosts reported as dropped.
    """

    keys: tuple[LossKey, ...]
    unreadable: int = 0
    dropped: int = 0
    _losses: dict[tuple[str, ...], _Loss] = field(default_factory=dict)

    def add(self, line: LogLine) -> None:
        """Count a log line if it reports a refused or failed request."""
        if line.event not in FAILURE_EVENTS:
            return
        group = tuple(_group_value(line, key) for key in self.keys)
        if group not in self._losses and len(self._losses) >= MAX_GROUPS:
            group = (OTHER_GROUP,) * len(self.keys)
        loss = self._losses.setdefault(group, _Loss())
        loss.requests += 1
        loss.wait += _wait(line)

    def rows(self) -> tuple[LossRow, ...]:
        """Return the groups, those with most requests first; seconds in their order."""
        groups = list(self._losses.items())
        if self.keys[0] is LossKey.SECOND:
            groups.sort(key=lambda item: item[0])
        else:
            groups.sort(key=lambda item: (-item[1].requests, item[0]))
        names = [key.value for key in self.keys]
        return tuple(
            LossRow(
                dict(zip(names, group, strict=True)),
                loss.requests,
                round(loss.wait / milliseconds(1) / loss.requests, 1),
            )
            for group, loss in groups
        )


def sum_losses(texts: Iterable[str], keys: Sequence[LossKey]) -> LossSummary:
    """Sum the refused and failed requests of log lines, which are read one by one."""
    summary = LossSummary(tuple(keys))
    for text in texts:
        line = parse_line(text)
        if line is not None:
            summary.add(line)
        elif "event=log_lines_dropped" in text:
            summary.dropped += count_dropped(text)
        elif text.strip():
            summary.unreadable += 1
    return summary


def format_losses(keys: Sequence[LossKey], rows: Sequence[LossRow]) -> str:
    """Return the report as an aligned table."""
    names = [key.value for key in keys]
    cells = [
        (*(row.group[name] for name in names), str(row.requests), f"{row.mean_wait_ms:.0f}")
        for row in rows
    ]
    return format_table((*names, *_HEADINGS), cells)


def _group_value(line: LogLine, key: LossKey) -> str:
    match key:
        case LossKey.CAUSE:
            return describe_cause(line) or ""
        case LossKey.SECOND:
            return line.at.strftime("%H:%M:%S")
        case LossKey.DATABASE | LossKey.SERVICE | LossKey.HOST:
            return line.fields.get(key.value, "")


def _wait(line: LogLine) -> timedelta:
    try:
        return milliseconds(float(line.fields.get("duration_ms", "0")))
    except (ValueError, OverflowError):
        return timedelta(0)
