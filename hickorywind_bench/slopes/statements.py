"""Measurement of the cost of a statement through entry and pool against a direct connection.

Statements are small reads and writes by key, spread over one entry's callers; the services' local
backend servers answer. Latency is measured from the scheduled arrival. The last row saturates one
entry.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

import asyncpg

from hickorywind.ids import Address, Rank, Role, ServiceName
from hickorywind.util.clock import MonotonicClock
from hickorywind_bench.experiment import Stream, StreamKind
from hickorywind_bench.load import TABLE, LoadPlan, StreamRecord, create_table, run_load
from hickorywind_bench.slopes.processes import cpu_seconds
from hickorywind_bench.slopes.running import process_id, running_site
from hickorywind_bench.slopes.table import Row
from hickorywind_bench.slopes.traffic import Traffic, read_traffic
from standins.cluster import Cluster

SIZES = (50, 100, 200)
_SECONDS = 8.0
_WARM_UP_SECONDS = 2.0
_CONNECTIONS = 8
_READS_PER_WRITE = 4
_SATURATING_CALLERS = 40
_STALENESS_MS = 10_000


@dataclass(frozen=True)
class ResourceMeter:
    """Reader of processor time by role and of the traffic between entries and pools."""

    cluster: Cluster

    def cpu(self, role: Role) -> float:
        """Return the processor seconds used by all processes of a role."""
        hosts = range(len(self.cluster.hosts))
        return sum(cpu_seconds(process_id(self.cluster, role, index)) for index in hosts)

    def pool_traffic(self) -> Traffic:
        """Return the traffic between all pools and entries."""
        return read_traffic([host.pool.port for host in self.cluster.hosts])


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield rows per kind and rate, through the system and direct, then one at saturation."""
    with running_site() as cluster:
        service = cluster.configuration.services[0]
        entries = cluster.entries[:1]
        direct = (service.instances[0].endpoint,)
        asyncio.run(create_table(_plan(entries, service.name)))
        for kind in StreamKind:
            for rate in _rates(kind, sizes):
                yield asyncio.run(_measure_rate(cluster, service.name, entries, kind, rate))
                yield asyncio.run(_measure_direct(service.name, direct, kind, rate))
        yield asyncio.run(_measure_saturated(cluster, service.name))


def _rates(kind: StreamKind, sizes: tuple[int, ...]) -> tuple[int, ...]:
    """Return the rates for a kind; lower for writes, which are slower in stand-in backends."""
    return sizes if kind is StreamKind.READ else tuple(rate // _READS_PER_WRITE for rate in sizes)


def _plan(entries: tuple[Address, ...], service: ServiceName) -> LoadPlan:
    warm_up = timedelta(seconds=_WARM_UP_SECONDS)
    return LoadPlan(entries, service, warm_up, timedelta(seconds=_SECONDS), 1)


def _stream(kind: StreamKind, rate: int) -> Stream:
    staleness = _STALENESS_MS if kind is StreamKind.READ else None
    return Stream(
        kind.value,
        Rank.STANDARD,
        kind,
        rate,
        max_staleness_ms=staleness,
        connections=_CONNECTIONS,
    )


async def _measure_rate(
    cluster: Cluster,
    service: ServiceName,
    entries: tuple[Address, ...],
    kind: StreamKind,
    rate: int,
) -> Row:
    meter = ResourceMeter(cluster)
    clock = MonotonicClock()
    plan = _plan(entries, service)
    running = asyncio.create_task(run_load(plan, (_stream(kind, rate),), clock))
    await asyncio.sleep(_WARM_UP_SECONDS)
    before = [meter.cpu(role) for role in Role]
    traffic = meter.pool_traffic()
    begin = clock.now()
    await asyncio.sleep(_SECONDS - 1)
    end = clock.now()
    used = [meter.cpu(role) - earlier for role, earlier in zip(Role, before, strict=True)]
    traffic_growth = meter.pool_traffic().since(traffic)
    _, records = await running
    statements = sum(1 for instant in records[0].answered_at if begin <= instant < end)
    elapsed = (end - begin).total_seconds()
    cpu = dict(zip(Role, used, strict=True))
    return Row(
        {
            "kind": kind.value,
            "path": "system",
            **_latency(rate, records[0]),
            "answered_per_s": statements / elapsed,
            "entry_cpu_ms": cpu[Role.ENTRY] / statements * 1_000,
            "pool_cpu_ms": cpu[Role.POOL] / statements * 1_000,
            "controller_cpu_percent": cpu[Role.CONTROLLER] / elapsed * 100 / len(cluster.hosts),
            "pool_link_bytes": traffic_growth.total_bytes / statements,
        }
    )


async def _measure_direct(
    service: ServiceName, backends: tuple[Address, ...], kind: StreamKind, rate: int
) -> Row:
    plan = _plan(backends, service)
    _, records = await run_load(plan, (_stream(kind, rate),), MonotonicClock())
    return Row({"kind": kind.value, "path": "direct", **_latency(rate, records[0])})


def _latency(rate: int, record: StreamRecord) -> dict[str, float | int]:
    return {
        "rate_per_s": rate,
        "answered": record.answered,
        "errors": record.errors.total(),
        "p50_ms": record.latency.percentile_ms(50),
        "p99_ms": record.latency.percentile_ms(99),
    }


async def _measure_saturated(cluster: Cluster, service: ServiceName) -> Row:
    """Measure callers that each send one read after another through one entry."""
    meter = ResourceMeter(cluster)
    counts = [0] * _SATURATING_CALLERS
    callers = [
        asyncio.create_task(_send_reads(cluster.entries[0], service, counts, index))
        for index in range(_SATURATING_CALLERS)
    ]
    await asyncio.sleep(_WARM_UP_SECONDS)
    sent = sum(counts)
    entry, pool = meter.cpu(Role.ENTRY), meter.cpu(Role.POOL)
    begin = time.monotonic()
    await asyncio.sleep(_SECONDS)
    elapsed = time.monotonic() - begin
    statements = sum(counts) - sent
    entry, pool = meter.cpu(Role.ENTRY) - entry, meter.cpu(Role.POOL) - pool
    for caller in callers:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    return Row(
        {
            "kind": "read",
            "path": "system, full",
            "rate_per_s": statements / elapsed,
            "answered": statements,
            "entry_cpu_ms": entry / statements * 1_000,
            "pool_cpu_ms": pool / statements * 1_000,
            "entry_busy_percent": entry / elapsed * 100,
            "pools_busy_percent": pool / elapsed * 100,
        }
    )


async def _send_reads(
    address: Address, service: ServiceName, counts: list[int], index: int
) -> None:
    connection = await asyncpg.connect(
        host=address.host, port=address.port, database=service, user="bench", ssl=False
    )
    hint = f"/* hickorywind priority=standard max_staleness_ms={_STALENESS_MS} */"
    try:
        while True:
            with contextlib.suppress(asyncpg.PostgresError):
                await connection.execute(f"{hint} SELECT v FROM {TABLE} WHERE k = {index}")
                counts[index] += 1
    finally:
        connection.terminate()
