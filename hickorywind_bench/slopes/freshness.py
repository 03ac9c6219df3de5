"""Measurement of the backend status calls caused by reads at a replica with bounded staleness.

One ``BackendMonitor`` of a replica and one of its primary serve a stream of reads with a staleness
bound. Only the calls of ``FreshnessChecker`` are counted, not the pool's regular status polls.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import yaml

from hickorywind.groups.client import GroupClient
from hickorywind.ids import (
    AccessMode,
    Address,
    BackendId,
    Incarnation,
    Rank,
    RequestId,
    ServiceName,
    SessionId,
)
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.pool.freshnesschecker import FreshnessChecker
from hickorywind.protocol.messages import Execute
from hickorywind.util.clock import MonotonicClock
from hickorywind_bench.slopes.children import free_port, running_module
from hickorywind_bench.slopes.table import Row
from hickorywind_bench.slopes.traffic import read_traffic

SIZES = (10, 50, 200)
_STALENESS_MS = (500, 2_000)
_WINDOW_SECONDS = 10.0
_START_SECONDS = 10.0
_TIMEOUT = timedelta(seconds=1)
_BACKENDS = (BackendId("service-000-0"), BackendId("service-000-1"))


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per staleness bound and read rate."""
    with tempfile.TemporaryDirectory() as folder, contextlib.ExitStack() as stack:
        addresses = [Address("127.0.0.1", free_port()) for _ in _BACKENDS]
        for path in _write_settings(Path(folder), addresses):
            stack.enter_context(running_module("standins.backend", "--config", str(path)))
        for staleness_ms in _STALENESS_MS:
            for rate in sizes:
                yield asyncio.run(_measure_one(rate, staleness_ms, addresses))


def _write_settings(folder: Path, addresses: list[Address]) -> Iterator[Path]:
    replication = [f"127.0.0.1:{free_port()}" for _ in addresses]
    peers = [
        {"backend": backend, "address": address}
        for backend, address in zip(_BACKENDS, replication, strict=True)
    ]
    for index, address in enumerate(addresses):
        content = {
            "backend": _BACKENDS[index],
            "service": "service-000",
            "listen": str(address),
            "replication_listen": replication[index],
            "peers": peers,
            "initial_primary": index == 0,
        }
        path = folder / f"{index}.yaml"
        path.write_text(yaml.safe_dump(content))
        yield path


def _make_read(number: int, staleness_ms: int) -> Execute:
    return Execute(
        RequestId(number),
        Incarnation(1),
        SessionId("session"),
        ServiceName("service-000"),
        _BACKENDS[1],
        Rank.STANDARD,
        AccessMode.READ,
        5_000,
        b"",
        max_staleness_ms=staleness_ms,
    )


async def _measure_one(rate: int, staleness_ms: int, addresses: list[Address]) -> Row:
    clock = MonotonicClock()
    primary, replica = (
        BackendMonitor(backend, lambda address=address: GroupClient(address, _TIMEOUT), clock)
        for backend, address in zip(_BACKENDS, addresses, strict=True)
    )
    checker = FreshnessChecker(replica, lambda: primary, clock, random.Random(1))
    await _wait_for_status(primary, replica)
    ports = [address.port for address in addresses]
    traffic = read_traffic(ports)
    cpu, begin = time.process_time(), time.monotonic()
    sent = waited = refused = 0
    while (elapsed := time.monotonic() - begin) < _WINDOW_SECONDS:
        message, arrived = _make_read(sent, staleness_ms), clock.now()
        if not checker.may_run_now(message, arrived):
            waited += 1
            refused += (
                await checker.wait_until_fresh(message, arrived, arrived + _TIMEOUT) is not None
            )
        sent += 1
        await asyncio.sleep(max(0.0, begin + sent / rate - time.monotonic()))
    used = time.process_time() - cpu
    traffic_growth = read_traffic(ports).since(traffic)
    return Row(
        {
            "reads_per_s": sent / elapsed,
            "max_staleness_ms": staleness_ms,
            "bytes_per_s": traffic_growth.total_bytes / elapsed,
            "bytes_per_read": traffic_growth.total_bytes / sent,
            "cpu_percent": used / elapsed * 100,
            "waited": waited,
            "refused": refused,
        }
    )


async def _wait_for_status(*monitors: BackendMonitor) -> None:
    async with asyncio.timeout(_START_SECONDS):
        for monitor in monitors:
            while await monitor.refresh() is None:
                await asyncio.sleep(0.1)
