"""Measurement of many simultaneous connects to one entry, as after other entries are lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator

from hickorywind.ids import Role
from hickorywind_bench.slopes.callers import OpenedCallers, open_callers
from hickorywind_bench.slopes.processes import cpu_seconds
from hickorywind_bench.slopes.running import process_id, running_site
from hickorywind_bench.slopes.table import Row
from standins.cluster import Cluster

SIZES = (250, 500, 1_000, 2_000)
_RETRY_DELAY_SECONDS = 1.0
_MAX_ROUNDS = 20


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of connections, each on a fresh site."""
    for connections in sizes:
        with running_site(many_callers=True) as cluster:
            yield asyncio.run(_measure_one(cluster, connections))


async def _measure_one(cluster: Cluster, connections: int) -> Row:
    entry = process_id(cluster, Role.ENTRY)
    cpu = cpu_seconds(entry)
    begin = time.monotonic()
    first, rounds = await _connect_all(cluster, connections)
    elapsed = time.monotonic() - begin
    used = cpu_seconds(entry) - cpu
    accept_seconds = sorted(first.accept_seconds)
    return Row(
        {
            "connects": connections,
            "accepted_at_once": len(accept_seconds),
            "refused": first.refused,
            "failed": first.failed,
            "accept_p50_s": accept_seconds[len(accept_seconds) // 2] if accept_seconds else 0.0,
            "accept_max_s": accept_seconds[-1] if accept_seconds else 0.0,
            "rounds": rounds,
            "all_connected_s": elapsed,
            "entry_cpu_s": used,
            "cpu_ms_per_connect": used / connections * 1_000,
        }
    )


async def _connect_all(cluster: Cluster, connections: int) -> tuple[OpenedCallers, int]:
    """Connect and retry failures after a delay; return the first round and round count."""
    service = cluster.configuration.services[0].name
    address = cluster.entries[0]
    rounds = [await open_callers(address, service, connections, connections)]
    missing = connections - len(rounds[0].writers)
    while missing and len(rounds) < _MAX_ROUNDS:
        await asyncio.sleep(_RETRY_DELAY_SECONDS)
        rounds.append(await open_callers(address, service, missing, missing))
        missing -= len(rounds[-1].writers)
    for opened in rounds:
        opened.close()
    return rounds[0], len(rounds)
