"""Measurement of reading the platform's host list from the store, as each watcher does."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from datetime import timedelta

import msgspec
from aetcd import rpc

from hickorywind.controller.platformlist import LEAVING_STATE, PlatformEntry, PlatformList
from hickorywind.controller.storetask import PLATFORM_LIST_INTERVAL
from hickorywind.ids import Address
from hickorywind.membership.directory import Directory
from hickorywind.store.etcd import EtcdStore
from hickorywind_bench.slopes.children import free_port, running_module
from hickorywind_bench.slopes.sites import DESIGN_HOSTS, DESIGN_SERVICES, INSTANCES_PER_SERVICE
from hickorywind_bench.slopes.table import Row
from hickorywind_bench.slopes.traffic import read_traffic

SIZES = (100, DESIGN_HOSTS, DESIGN_HOSTS + DESIGN_SERVICES * INSTANCES_PER_SERVICE)
_PREFIX = "/platform/hosts/"
_READS = 10


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of hosts in the list."""
    for hosts in sizes:
        address = Address("127.0.0.1", free_port())
        with running_module("standins.store", "--listen", str(address)):
            yield asyncio.run(_measure_one(hosts, address))


async def _store_entries(address: Address, hosts: int) -> None:
    async with rpc.insecure_channel(str(address)) as channel:
        stub = rpc.KVStub(channel)
        for number in range(hosts):
            entry = PlatformEntry(f"host-{number:04}", "live", f"10.100.0.{number % 250}:7301")
            assert entry.state != LEAVING_STATE
            key = f"{_PREFIX}{entry.host}".encode()
            request = rpc.PutRequest(key=key, value=msgspec.json.encode(entry))
            await stub.Put(request, timeout=10, wait_for_ready=True)


async def _measure_one(hosts: int, address: Address) -> Row:
    await _store_entries(address, hosts)
    store = EtcdStore.from_address(address, timedelta(seconds=10))
    platform_list, directory = PlatformList(), Directory()
    platform_list.extract_addresses_and_leaving(await store.get_prefix(_PREFIX), directory)
    traffic = read_traffic([address.port])
    cpu = time.process_time()
    for _ in range(_READS):
        platform_list.extract_addresses_and_leaving(await store.get_prefix(_PREFIX), directory)
    used = (time.process_time() - cpu) / _READS
    read_bytes = read_traffic([address.port]).since(traffic).total_bytes / _READS
    await store.close()
    interval = PLATFORM_LIST_INTERVAL.total_seconds()
    return Row(
        {
            "hosts_in_list": hosts,
            "read_kb": read_bytes / 1_000,
            "bytes_per_s": read_bytes / interval,
            "read_cpu_ms": used * 1_000,
            "cpu_percent": used / interval * 100,
        }
    )
