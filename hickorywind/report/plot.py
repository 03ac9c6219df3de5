"""Plots of burn rates over time; require matplotlib, which only development installs include."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path

from hickorywind.report.burn import compute_burn_over_time
from hickorywind.report.counting import ServiceObjective
from hickorywind.report.samples import Sample
from hickorywind.results import ResultCode, UserError

PLOT_SUFFIXES = (".png", ".svg")
_SIZE_INCHES = (10.0, 5.0)


def draw_burn(
    samples: Sequence[Sample],
    objectives: Sequence[ServiceObjective],
    window: timedelta,
    path: Path,
) -> None:
    """Write a PNG or SVG plot of each objective's burn rate.

    Raise ``UserError`` for another file type, without matplotlib, or where writing fails."""
    if path.suffix not in PLOT_SUFFIXES:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: expected a .png or .svg file")
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise UserError(ResultCode.SETTINGS_INVALID, "plots need matplotlib, see docs") from None
    figure = Figure(figsize=_SIZE_INCHES, layout="constrained")
    axes = figure.subplots()
    start = min((sample.at_seconds for sample in samples), default=0.0)
    for service_objective in objectives:
        points = compute_burn_over_time(samples, service_objective, window)
        times = [point.at_seconds - start for point in points]
        axes.step(
            times, [point.burn_rate for point in points], where="post", label=str(service_objective)
        )
    axes.axhline(1.0, color="grey", linestyle="--", linewidth=1)
    axes.set_xlabel("time since the first sample, s")
    axes.set_ylabel(f"burn rate over {window.total_seconds():.0f} s")
    if objectives:
        axes.legend(loc="upper left", fontsize="small")
    try:
        figure.savefig(path)
    except OSError as error:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: {error.strerror}") from None
