"""Burn rates of service-level objectives over several time windows.

A burn rate of 1 spends the error budget exactly as fast as the objective allows. An alert needs
a long window, which shows that the error rate is significant, and a short one, which shows that
errors still occur. See Beyer et al.,
"The Site Reliability Workbook", 2018, chapter 5.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hickorywind.report.counting import (
    Counts,
    Increase,
    ServiceObjective,
    list_increases,
    sum_increases,
)
from hickorywind.report.samples import Sample

WINDOWS = (
    timedelta(minutes=5),
    timedelta(hours=1),
    timedelta(hours=6),
    timedelta(days=3),
)
BUDGET_WINDOW = WINDOWS[-1]
_HUNDRED_PERCENT = 100.0


class Alert(Enum):
    """Urgency with which a burn rate needs a person: none, as a ticket or as a page."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True)
class AlertRule:
    """Alert raised where both windows reach at least ``burn_rate``."""

    short: timedelta
    long: timedelta
    burn_rate: float
    alert: Alert


ALERT_RULES = (
    AlertRule(WINDOWS[0], WINDOWS[1], 14.4, Alert.PAGE),
    AlertRule(WINDOWS[1], WINDOWS[2], 6.0, Alert.PAGE),
    AlertRule(WINDOWS[2], WINDOWS[3], 1.0, Alert.TICKET),
)


@dataclass(frozen=True)
class WindowBurn:
    """Burn rate of one window; ``covered`` is the part of the window that the samples cover."""

    window: timedelta
    covered: timedelta
    counts: Counts
    burn_rate: float


@dataclass(frozen=True)
class ObjectiveReport:
    """Burn rates of one objective; ``budget_left_percent`` is of the error budget of 3 days."""

    service_objective: ServiceObjective
    windows: tuple[WindowBurn, ...]
    budget_left_percent: float
    alert: Alert


@dataclass(frozen=True)
class BurnPoint:
    """Burn rate of the window that ends at ``at_seconds``."""

    at_seconds: float
    burn_rate: float


def compute_burn_rate(counts: Counts, target_percent: float) -> float:
    """Return the share of bad requests divided by the allowed share; 0 without requests."""
    if counts.total <= 0:
        return 0.0
    allowed = (_HUNDRED_PERCENT - target_percent) / _HUNDRED_PERCENT
    return counts.bad / counts.total / allowed


def compute_burn(
    samples: Sequence[Sample], objectives: Sequence[ServiceObjective]
) -> tuple[ObjectiveReport, ...]:
    """Return the burn rates and alert of each objective at the time of the latest sample."""
    if not samples:
        return ()
    start = min(sample.at_seconds for sample in samples)
    end = max(sample.at_seconds for sample in samples)
    return tuple(
        _compute_objective(samples, service_objective, start, end)
        for service_objective in objectives
    )


def _compute_objective(
    samples: Sequence[Sample], service_objective: ServiceObjective, start: float, end: float
) -> ObjectiveReport:
    increases = list_increases(samples, service_objective)
    recorded = timedelta(seconds=end - start)
    target = service_objective.objective.target_percent
    windows = tuple(_compute_window(increases, window, recorded, end, target) for window in WINDOWS)
    spent_percent = _find(windows, BUDGET_WINDOW).burn_rate * _HUNDRED_PERCENT
    left = _HUNDRED_PERCENT - spent_percent
    return ObjectiveReport(service_objective, windows, left, _choose_alert(windows))


def _compute_window(
    increases: Sequence[Increase],
    window: timedelta,
    recorded: timedelta,
    end: float,
    target_percent: float,
) -> WindowBurn:
    counts = sum_increases(increases, end - window.total_seconds(), end)
    return WindowBurn(
        window, min(window, recorded), counts, compute_burn_rate(counts, target_percent)
    )


def _find(windows: Sequence[WindowBurn], length: timedelta) -> WindowBurn:
    return next(window for window in windows if window.window == length)


def _choose_alert(windows: Sequence[WindowBurn]) -> Alert:
    for rule in ALERT_RULES:
        pair = (_find(windows, rule.short), _find(windows, rule.long))
        if all(window.burn_rate >= rule.burn_rate for window in pair):
            return rule.alert
    return Alert.NONE


def compute_burn_over_time(
    samples: Sequence[Sample], service_objective: ServiceObjective, window: timedelta
) -> tuple[BurnPoint, ...]:
    """Return the burn rate of a moving window at the time of each sample."""
    increases = list_increases(samples, service_objective)
    width = window.total_seconds()
    target = service_objective.objective.target_percent
    return tuple(
        BurnPoint(at, compute_burn_rate(sum_increases(increases, at - width, at), target))
        for at in sorted({increase.at_seconds for increase in increases})
    )
