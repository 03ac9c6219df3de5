"""Measurement of store calls: while idle, per configuration change and per failover.

Each row is measured on a fresh site with the given number of hosts in each of three availability
zones. The store counts an open watch as one call, when the watch is opened.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Iterator
from pathlib import Path

from hickorywind.ids import Role
from hickorywind_bench.slopes.processes import cpu_seconds, resident_bytes
from hickorywind_bench.slopes.running import process_id, running_site
from hickorywind_bench.slopes.table import Row
from standins.cluster import Cluster, run_command
from standins.store.control import read_calls

SIZES = (1, 2, 3)
_IDLE_SECONDS = 60.0
_CHANGE_SECONDS = 5.0
_FAILOVER_SECONDS = 8.0
_CHANGE_COUNT = 3
_REVISION = re.compile(r"revision (\d+)")


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of hosts in each zone."""
    for hosts_per_zone in sizes:
        with running_site(hosts_per_zone) as cluster:
            yield asyncio.run(_measure_one(cluster, hosts_per_zone))


class _CallCounter:
    """Counter of the calls to a site's store between two readings."""

    def __init__(self, cluster: Cluster) -> None:
        self._address = cluster.store_address
        self._previous: dict[str, int] = {}

    async def calls_since_last(self) -> dict[str, int]:
        """Return the number of calls of each kind since the previous reading, zeros left out."""
        calls = await read_calls(self._address)
        differences = {kind: count - self._previous.get(kind, 0) for kind, count in calls.items()}
        self._previous = calls
        return {kind: count for kind, count in differences.items() if count}


def _format_calls(calls: dict[str, int]) -> str:
    return ",".join(f"{kind}:{count}" for kind, count in sorted(calls.items())) or "none"


def _cpu_of(cluster: Cluster, role: Role) -> float:
    return cpu_seconds(process_id(cluster, role))


async def _measure_one(cluster: Cluster, hosts_per_zone: int) -> Row:
    counter = _CallCounter(cluster)
    await counter.calls_since_last()
    cpu = {role: _cpu_of(cluster, role) for role in Role}
    begin = time.monotonic()
    await asyncio.sleep(_IDLE_SECONDS)
    elapsed = time.monotonic() - begin
    idle_calls = await counter.calls_since_last()
    percent = {
        f"{role.value}_cpu_percent": (_cpu_of(cluster, role) - cpu[role]) / elapsed * 100
        for role in Role
    }
    memory = {
        f"{role.value}_memory_mb": resident_bytes(process_id(cluster, role)) / 1e6 for role in Role
    }
    for revision in range(_CHANGE_COUNT):
        await asyncio.to_thread(_apply_change, cluster, revision)
    await asyncio.sleep(_CHANGE_SECONDS)
    changes = await counter.calls_since_last()
    backend = cluster.configuration.services[0].instances[0].backend
    cluster.process(f"backend/{backend}").kill()
    await asyncio.sleep(_FAILOVER_SECONDS)
    failover = await counter.calls_since_last()
    return Row(
        {
            "hosts_per_zone": hosts_per_zone,
            "rest_per_minute": _format_calls(idle_calls),
            f"{_CHANGE_COUNT}_changes": _format_calls(changes),
            "failover": _format_calls(failover),
            **percent,
            **memory,
        }
    )


def _apply_change(cluster: Cluster, number: int) -> None:
    """Apply a document that differs from the accepted configuration in one limit."""
    text = cluster.document_path.read_text()
    path = Path(cluster.document_path).with_name(f"changed-{number}.yaml")
    path.write_text(
        text.replace("retry_budget_percent: 10", f"retry_budget_percent: {11 + number}")
    )
    cluster.apply(path, f"change {number}", _accepted_revision(cluster))


def _accepted_revision(cluster: Cluster) -> int:
    """Return the accepted revision, read from ``config history``."""
    shown = run_command(("config", "history", "--store", str(cluster.store_address)))
    return int(_REVISION.findall(shown)[0])
