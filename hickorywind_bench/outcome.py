"""Results of experiment runs, with a Markdown table and JSON."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from itertools import pairwise
from pathlib import Path

import msgspec

from hickorywind.util.clock import to_milliseconds
from hickorywind_bench.experiment import Experiment, Variant
from hickorywind_bench.load import StreamRecord

_MEDIAN = 50.0
_TAIL = 99.0
_COLUMNS = (
    "variant",
    "run",
    "stream",
    "sent",
    "answered",
    "goodput/s",
    "p50 ms",
    "p99 ms",
    "refusal p99 ms",
    "gap ms",
    "replica %",
    "errors",
)


class StreamOutcome(msgspec.Struct, frozen=True):
    """Results of one stream in one run.

    ``longest_gap_ms`` is the longest time without an answer between two answers or up to the end
    of the stream's measured time.
    """

    stream: str
    sent: int
    answered: int
    goodput_per_second: float
    p50_ms: float
    p99_ms: float
    refusal_p99_ms: float
    longest_gap_ms: float
    errors: dict[str, int]


class RunOutcome(msgspec.Struct, frozen=True):
    """Results of one run; ``replica_share`` is the share of answered reads that replicas served."""

    variant: Variant
    run: int
    replica_share: float
    streams: tuple[StreamOutcome, ...]


class ExperimentOutcome(msgspec.Struct, frozen=True):
    """Results of an experiment together with its definition."""

    experiment: Experiment
    runs: tuple[RunOutcome, ...]


def summarise_stream(
    record: StreamRecord, started: timedelta, duration: timedelta
) -> StreamOutcome:
    """Compute the results of one stream."""
    stream = record.stream
    begin = started + timedelta(seconds=stream.from_seconds)
    end = started + duration
    if stream.to_seconds is not None:
        end = min(end, started + timedelta(seconds=stream.to_seconds))
    span_seconds = max((end - begin).total_seconds(), 0.001)
    return StreamOutcome(
        stream.name,
        record.sent,
        record.answered,
        record.answered / span_seconds,
        record.latency.percentile_ms(_MEDIAN),
        record.latency.percentile_ms(_TAIL),
        record.refusal_latency.percentile_ms(_TAIL),
        to_milliseconds(longest_gap(record.answered_at, begin, end)),
        dict(record.errors),
    )


def longest_gap(answered_at: Sequence[timedelta], begin: timedelta, end: timedelta) -> timedelta:
    """Return the longest time without an answer within [begin, end]."""
    in_range = [instant for instant in sorted(answered_at) if begin <= instant <= end]
    return max(later - earlier for earlier, later in pairwise((begin, *in_range, end)))


def format_table(runs: Sequence[RunOutcome]) -> str:
    """Return all runs as a Markdown table."""
    lines = ["| " + " | ".join(_COLUMNS) + " |", "|" + " --- |" * len(_COLUMNS)]
    for run in runs:
        for stream in run.streams:
            lines.append("| " + " | ".join(_cells(run, stream)) + " |")
    return "\n".join(lines)


def _cells(run: RunOutcome, stream: StreamOutcome) -> tuple[str, ...]:
    errors = ", ".join(f"{name}: {count}" for name, count in sorted(stream.errors.items()))
    return (
        run.variant.value,
        str(run.run),
        stream.stream,
        str(stream.sent),
        str(stream.answered),
        f"{stream.goodput_per_second:.1f}",
        f"{stream.p50_ms:.1f}",
        f"{stream.p99_ms:.1f}",
        f"{stream.refusal_p99_ms:.1f}",
        f"{stream.longest_gap_ms:.0f}",
        f"{run.replica_share * 100:.1f}",
        errors or "none",
    )


def write_outcome(outcome: ExperimentOutcome, path: Path) -> None:
    """Write an experiment's outcome as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(outcome), indent=2))
