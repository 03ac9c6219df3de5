"""Read request counters from metrics and keep them as a series in a file.

A series file holds one ``Sample`` as JSON a line; lines are only ever appended.
"""

from __future__ import annotations

import urllib.request
from collections import defaultdict
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from hickorywind.ids import Address, Rank, ServiceName
from hickorywind.results import ResultCode, UserError

_REQUESTS = "hickorywind_requests_total"
_BUCKETS = "hickorywind_request_seconds_bucket"
_FETCHES_AT_ONCE = 16
_MS_PER_SECOND = 1_000


class CodeCount(msgspec.Struct, frozen=True, order=True):
    """Count the requests that ended with one result code."""

    code: int
    count: float


class LatencyCount(msgspec.Struct, frozen=True, order=True):
    """Count the requests that ran within a latency bound."""

    bound_ms: float
    count: float


class RankCounts(msgspec.Struct, frozen=True):
    """Hold the counters of one rank of work at one database service."""

    service: ServiceName
    rank: Rank
    ended: tuple[CodeCount, ...]
    in_time: tuple[LatencyCount, ...]


class Sample(msgspec.Struct, frozen=True):
    """Hold the counters of one process at one time (``at_seconds`` since 1970, UTC).

    ``source`` is the address of the process's metrics.
    """

    at_seconds: float
    source: str
    ranks: tuple[RankCounts, ...]


@dataclass(frozen=True)
class UnreachableSource:
    """Say why the metrics of a process could not be read."""

    source: str
    reason: str


def parse_exposition(text: str, source: str, at_seconds: float) -> Sample:
    """Pick the request counters out of a text exposition; raise ValueError where it is broken."""
    ended: dict[tuple[str, str], list[CodeCount]] = defaultdict(list)
    in_time: dict[tuple[str, str], list[LatencyCount]] = defaultdict(list)
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            key = (sample.labels.get("service", ""), sample.labels.get("rank", ""))
            if sample.name == _REQUESTS:
                ended[key].append(CodeCount(int(sample.labels["code"]), sample.value))
            elif sample.name == _BUCKETS and sample.labels["le"] != "+Inf":
                bound_ms = round(float(sample.labels["le"]) * _MS_PER_SECOND, 3)
                in_time[key].append(LatencyCount(bound_ms, sample.value))
    ranks = tuple(
        RankCounts(
            ServiceName(service),
            Rank(rank),
            tuple(sorted(ended[service, rank])),
            tuple(sorted(in_time[service, rank])),
        )
        for service, rank in sorted(ended)
    )
    return Sample(at_seconds, source, ranks)


def fetch_sample(
    address: Address, at_seconds: float, timeout: timedelta
) -> Sample | UnreachableSource:
    """Read the metrics of one process over HTTP."""
    source = str(address)
    try:
        with urllib.request.urlopen(  # noqa: S310
            f"http://{address}/metrics", timeout=timeout.total_seconds()
        ) as answer:
            text = answer.read().decode()
        return parse_exposition(text, source, at_seconds)
    except (OSError, ValueError) as error:
        return UnreachableSource(source, str(error))


def fetch_samples(
    addresses: Sequence[Address], at_seconds: float, timeout: timedelta
) -> tuple[Sample | UnreachableSource, ...]:
    """Read the metrics of several processes at the same time."""
    with ThreadPoolExecutor(max_workers=_FETCHES_AT_ONCE) as executor:
        results = executor.map(
            lambda address: fetch_sample(address, at_seconds, timeout), addresses
        )
        return tuple(results)


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Add samples to a series file; raise OSError."""
    lines = b"".join(msgspec.json.encode(sample) + b"\n" for sample in samples)
    with path.open("ab") as file:
        file.write(lines)


def read_samples(path: Path) -> tuple[Sample, ...]:
    """Read a series file; raise ``UserError`` that names the line in error."""
    samples = []
    try:
        lines = path.read_bytes().splitlines()
    except OSError as error:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: {error.strerror}") from None
    for number, line in enumerate(lines, start=1):
        try:
            samples.append(msgspec.json.decode(line, type=Sample))
        except msgspec.MsgspecError as error:
            raise UserError(
                ResultCode.SETTINGS_INVALID, f"{path}: line {number}: {error}"
            ) from None
    return tuple(samples)
