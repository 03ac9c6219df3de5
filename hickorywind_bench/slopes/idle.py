"""Measurement of the memory and processor time that idle caller connections cost one entry."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

from hickorywind.ids import Role
from hickorywind_bench.slopes.callers import open_callers
from hickorywind_bench.slopes.processes import cpu_seconds, resident_bytes
from hickorywind_bench.slopes.running import process_id, running_site
from hickorywind_bench.slopes.table import Row
from standins.cluster import Cluster

SIZES = (500, 1_000, 2_000, 4_000)
_WINDOW_SECONDS = 15.0
_SETTLE_SECONDS = 2.0
_MAX_CONCURRENT_CONNECTS = 50


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield a row without callers, then one per connection count, each on a fresh site."""
    for connections in (0, *sizes):
        with running_site(many_callers=True) as cluster:
            yield asyncio.run(_measure_one(cluster, connections))


async def _measure_one(cluster: Cluster, connections: int) -> Row:
    entry = process_id(cluster, Role.ENTRY)
    before = resident_bytes(entry)
    opened = await open_callers(
        cluster.entries[0],
        cluster.configuration.services[0].name,
        connections,
        _MAX_CONCURRENT_CONNECTS,
    )
    await asyncio.sleep(_SETTLE_SECONDS)
    memory_growth = resident_bytes(entry) - before
    cpu = cpu_seconds(entry)
    await asyncio.sleep(_WINDOW_SECONDS)
    used = cpu_seconds(entry) - cpu
    accepted = len(opened.writers)
    opened.close()
    return Row(
        {
            "connections": accepted,
            "refused": opened.refused + opened.failed,
            "entry_memory_mb": (before + memory_growth) / 1e6,
            "bytes_per_connection": memory_growth / accepted if accepted else 0.0,
            "entry_cpu_percent": used / _WINDOW_SECONDS * 100,
        }
    )
