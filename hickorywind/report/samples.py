"""Samples of request counters, read from processes' metrics and stored in a series file.

A series file contains one ``Sample`` per line as JSON and is append-only.
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
    """Number of requests that ended with one result code."""

    code: int
    count: float


class LatencyCount(msgspec.Struct, frozen=True, order=True):
    """Number of requests that ran and took at most ``bound_ms``."""

    bound_ms: float
    count: float


class RankCounts(msgspec.Struct, frozen=True):
    """Request counters of one rank of one database service."""

    service: ServiceName
    rank: Rank
    ended: tuple[CodeCount, ...]
    in_time: tuple[LatencyCount, ...]


class Sample(msgspec.Struct, frozen=True):
    """Request counters of one process at one time (``at_seconds`` since 1970, UTC).

    ``source`` is the address of the process's metrics endpoint.
    """

    at_seconds: float
    source: str
    ranks: tuple[RankCounts, ...]


@dataclass(frozen=True)
class UnreachableSource:
    """Process whose metrics could not be read, and why."""

    source: str
    reason: str


def parse_exposition(text: str, source: str, at_seconds: float) -> Sample:
    """Return the request counters in a Prometheus text exposition.

    Raise ValueError for malformed text."""
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
    """Fetch the metrics of one process over HTTP."""
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
    """Fetch the metrics of several processes concurrently."""
    with ThreadPoolExecutor(max_workers=_FETCHES_AT_ONCE) as executor:
        results = executor.map(
            lambda address: fetch_sample(address, at_seconds, timeout), addresses
        )
        return tuple(results)


def append_samples(path: Path, samples: Iterable[Sample]) -> None:
    """Append samples to a series file; raise OSError."""
    lines = b"".join(msgspec.json.encode(sample) + b"\n" for sample in samples)
    with path.open("ab") as file:
        file.write(lines)


def read_samples(path: Path) -> tuple[Sample, ...]:
    """Read a series file; raise ``UserError`` that names the invalid line."""
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
