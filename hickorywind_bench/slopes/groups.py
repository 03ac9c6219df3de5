"""Measurement of the cost of group polls, and of how groups are distributed over hosts.

One real client polls one stand-in backend server at several rates. The distribution is computed
from the placement rules for the largest supported fleet.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from datetime import timedelta
from pathlib import Path

import yaml

from hickorywind.failover.group import estimate_polls_per_second
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.groups.client import GroupClient
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import Address, HostId
from hickorywind.membership.directory import Directory
from hickorywind.placement.observers import choose_observers
from hickorywind_bench.slopes.children import free_port, running_module
from hickorywind_bench.slopes.processes import cpu_seconds
from hickorywind_bench.slopes.sites import (
    DESIGN_HOSTS,
    DESIGN_SERVICES,
    INSTANCES_PER_SERVICE,
    configuration_records,
    make_configuration,
    make_member,
)
from hickorywind_bench.slopes.table import Row
from hickorywind_bench.slopes.traffic import read_traffic

SIZES = (6, 12, 50, 200)
_WINDOW_SECONDS = 10.0
_TIMEOUT = timedelta(seconds=1)
_START_SECONDS = 10.0


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per polling rate, then one row for the placement."""
    with tempfile.TemporaryDirectory() as folder:
        address = Address("127.0.0.1", free_port())
        path = _write_settings(Path(folder), address)
        with running_module("standins.backend", "--config", str(path)) as backend:
            for rate in sizes:
                yield asyncio.run(_measure_one(rate, address, backend))
    yield measure_placement(DESIGN_HOSTS, DESIGN_SERVICES)


def _write_settings(folder: Path, address: Address) -> Path:
    content = {
        "backend": "service-000-0",
        "service": "service-000",
        "listen": str(address),
        "replication_listen": f"127.0.0.1:{free_port()}",
        "initial_primary": True,
    }
    path = folder / "backend.yaml"
    path.write_text(yaml.safe_dump(content))
    return path


async def _measure_one(rate: int, address: Address, backend: int) -> Row:
    client = GroupClient(address, _TIMEOUT)
    await _wait_for_status(client)
    cpu, backend_cpu = time.process_time(), cpu_seconds(backend)
    traffic = read_traffic([address.port])
    begin = time.monotonic()
    polls = 0
    while (elapsed := time.monotonic() - begin) < _WINDOW_SECONDS:
        await client.status()
        polls += 1
        await asyncio.sleep(max(0.0, begin + polls / rate - time.monotonic()))
    used = time.process_time() - cpu
    backend_used = cpu_seconds(backend) - backend_cpu
    traffic_growth = read_traffic([address.port]).since(traffic)
    client.close()
    return Row(
        {
            "polls_per_s": polls / elapsed,
            "bytes_per_poll": traffic_growth.total_bytes / polls,
            "bytes_per_s": traffic_growth.total_bytes / elapsed,
            "cpu_ms_per_poll": used / polls * 1_000,
            "cpu_percent": used / elapsed * 100,
            "backend_cpu_ms_per_poll": backend_used / polls * 1_000,
        }
    )


async def _wait_for_status(client: GroupClient) -> None:
    async with asyncio.timeout(_START_SECONDS):
        while not isinstance(await client.status(), BackendStatus):
            await asyncio.sleep(0.1)


def measure_placement(hosts: int, services: int) -> Row:
    """Return how many groups hosts observe and how far the poll budget lowers their rate."""
    directory = Directory()
    configuration = make_configuration(services)
    directory.merge(configuration_records(configuration, 1))
    directory.merge(make_member(number) for number in range(hosts))
    policy = FailoverPolicy()
    groups: Counter[HostId] = Counter()
    polls_wanted: Counter[HostId] = Counter()
    first_observer: Counter[HostId] = Counter()
    for service in configuration.services:
        for rank, host in enumerate(choose_observers(service, directory)):
            groups[host] += 1
            first_observer[host] += rank == 0
            polls_wanted[host] += estimate_polls_per_second(policy, rank, INSTANCES_PER_SERVICE)
    slowdowns = sorted(max(1.0, rate / policy.polls_per_second) for rate in polls_wanted.values())
    return Row(
        {
            "hosts": hosts,
            "groups_mean": groups.total() / hosts,
            "groups_max": max(groups.values()),
            "first_observer_max": max(first_observer.values()),
            "polls_wanted_mean": polls_wanted.total() / hosts,
            "polls_wanted_max": max(polls_wanted.values()),
            "slowdown_median": slowdowns[len(slowdowns) // 2],
            "slowdown_max": slowdowns[-1],
        }
    )
