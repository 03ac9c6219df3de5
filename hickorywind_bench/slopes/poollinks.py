"""Measurement of the idle links from one entry to pools: bytes, processor time and memory.

An entry opens a link to every pool that is home of any backend server, so the number of links
grows with the fleet. The responder process stands in for all pools; its cost equals that of one
pool with the same number of entries.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Iterator

from hickorywind.entry.poollink import PoolLink
from hickorywind.ids import Address, HostId, Incarnation
from hickorywind.protocol.messages import EntryHeartbeat
from hickorywind.util.clock import MonotonicClock
from hickorywind_bench.slopes.children import free_port, running_module
from hickorywind_bench.slopes.processes import cpu_seconds, resident_bytes
from hickorywind_bench.slopes.sites import DESIGN_HOSTS
from hickorywind_bench.slopes.table import Row
from hickorywind_bench.slopes.traffic import read_traffic

SIZES = (10, 100, 300, DESIGN_HOSTS)
_HEARTBEAT = EntryHeartbeat(HostId("host-000"), Incarnation(1))
_WINDOW_SECONDS = 10.0
_CONNECT_TIMEOUT_SECONDS = 30.0


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of links."""
    for links in sizes:
        port = free_port()
        with running_module("hickorywind_bench.slopes.responder", str(port)) as responder:
            yield asyncio.run(_measure_one(links, port, responder))


async def _measure_one(count: int, port: int, responder: int) -> Row:
    before = resident_bytes(os.getpid())
    clock = MonotonicClock()
    links = [PoolLink(Address("127.0.0.1", port), _HEARTBEAT, clock, None) for _ in range(count)]
    tasks = [asyncio.create_task(link.run()) for link in links]
    async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
        while any(link.incarnation is None for link in links):
            await asyncio.sleep(0.1)
    await asyncio.sleep(2)
    memory = resident_bytes(os.getpid()) - before
    cpu, pool_cpu = time.process_time(), cpu_seconds(responder)
    traffic = await asyncio.to_thread(read_traffic, [port])
    begin = time.monotonic()
    await asyncio.sleep(_WINDOW_SECONDS)
    elapsed = time.monotonic() - begin
    used = time.process_time() - cpu
    pool_used = cpu_seconds(responder) - pool_cpu
    traffic_growth = (await asyncio.to_thread(read_traffic, [port])).since(traffic)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return Row(
        {
            "links": count,
            "connections": traffic_growth.connections,
            "bytes_per_s": traffic_growth.total_bytes / elapsed,
            "segments_per_s": traffic_growth.segments / elapsed,
            "entry_cpu_percent": used / elapsed * 100,
            "pool_cpu_percent": pool_used / elapsed * 100,
            "entry_memory_mb": memory / 1e6,
        }
    )
