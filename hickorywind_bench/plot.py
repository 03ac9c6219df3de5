"""Plots of an experiment's outcome."""

from __future__ import annotations

from pathlib import Path

from hickorywind_bench.outcome import ExperimentOutcome


def draw_outcome(outcome: ExperimentOutcome, path: Path) -> None:
    """Draw goodput and latency by stream and variant as bars into a PNG or SVG file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (goodput, latency) = pyplot.subplots(1, 2, figsize=(11, 4))
    names = [stream.name for stream in outcome.experiment.streams]
    width = 0.8 / len(outcome.runs)
    for index, run in enumerate(outcome.runs):
        places = [position + index * width for position in range(len(names))]
        label = f"{run.variant.value} {run.run}"
        goodput.bar(places, [item.goodput_per_second for item in run.streams], width, label=label)
        latency.bar(places, [item.p99_ms for item in run.streams], width, label=label)
    for axes, title in ((goodput, "answers per second"), (latency, "p99 in ms")):
        axes.set_title(title)
        axes.set_xticks(range(len(names)), names)
        axes.legend(fontsize="small")
    figure.suptitle(outcome.experiment.name)
    figure.savefig(path)
    pyplot.close(figure)
