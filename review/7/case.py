"""An instance leaves after the store was silent for a moment; hosts go on sending to it."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from fleet2.callers import Caller, LostError
from fleet2.hosts import Host, HostFolder, wait_until_ready
from fleet2.records import Record, Tasks
from fleet2.servers import Group
from fleet2.store import HttpListener, Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROUNDS = 5
SILENCE_S = 0.1
DRAIN_S = 7.0  # ``drain_ms``
SERVING_S = 9.0  # ``drain_ms`` and a little longer
PAUSE_S = 2.0  # until another instance leads
CALM_S = 6.0  # longer than ``contact_ms``, so that hosts and store are in touch again
ZONES = {"adum": "ashanti", "suame": "ashanti", "tema": "greater-accra"}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": f"r-{kind}",
            "database": database,
            "prefix": "/",
            "route_type": kind,
            "timeout_ms": 1000,
            "target_latency_ms": 1500,
            "priority": 0,
            "backend": "ledger",
            "attempts": 2,
            "max_staleness_ms": 1500,
        }
        for kind, database in (("primary", "signoff"), ("bounded_staleness", "board"))
    ],
    "backends": [{"name": "ledger", "max_conns": 21, "sync_replicas": 0}],
    "limits": {"tx_idle_ms": 3000},
}


async def work(record: Record, host: Host, database: str, name: str) -> None:
    """Read and write in one session after the other until cancelled."""
    number = 0
    while True:
        caller = Caller(record, host.callers, database, name)
        try:
            await caller.open()
            while True:
                number += 1
                is_write = database == "signoff" and number % 3 == 0
                await caller.ask(f"WRITE {name} v{number}" if is_write else f"READ {name}")
                await asyncio.sleep(0.12)
        except LostError:
            await asyncio.sleep(0.2)
        finally:
            caller.close()


async def play(record: Record, folder: HostFolder, has_trouble: bool) -> int:
    """Play the case and return the exit code."""
    store = Store()
    store_address = await store.listener.start()
    group = Group("ledger", store, record, ["adum", "suame", "tema"], ZONES)
    control = HttpListener(group.handle_control)
    control_address = await control.start()
    await store.put("op/config", CONFIGURATION)
    await group.start()
    settings = {"store": store_address, "control": control_address, "zones": ZONES}
    hosts = [Host(f"front-{zone}-1", zone, folder.path, settings) for zone in ZONES]
    tasks = Tasks()
    try:
        for host in hosts:
            host.start()
        if not await wait_until_ready(hosts, 20):
            record.write("not-run", "the hosts are not ready")
            return NOT_RUN
        for number, host in enumerate(hosts):
            for database in ("signoff", "board"):
                tasks.start(work(record, host, database, f"c{number}-{database}"))
        await asyncio.sleep(CALM_S)
        for number in range(ROUNDS):
            await _replace_instance(group, store, record, number, has_trouble)
        return _judge(group, record)
    finally:
        await tasks.cancel()
        for host in hosts:
            host.kill()
        await group.stop()
        store.listener.stop()
        control.stop()


async def _replace_instance(
    group: Group, store: Store, record: Record, number: int, has_trouble: bool
) -> None:
    """Let a new instance start; later one leaves that serves in the place of the primary."""
    await group.add(f"new{number}", "adum")
    record.write("registered", f"new{number}")
    if has_trouble:
        await asyncio.sleep(0.008)
        store.is_silent = True
        record.write("store-silent", SILENCE_S)
        await asyncio.sleep(SILENCE_S)
        store.is_silent = False
        record.write("store-answers")
    await asyncio.sleep(CALM_S)
    await group.primary.leave(SERVING_S)
    await asyncio.sleep(PAUSE_S)


def _judge(group: Group, record: Record) -> int:
    late = [
        (server.id, request, at - server.leaving_since)
        for at, server, request, is_first in group.arrivals
        if is_first and server.leaving_since is not None and at > server.leaving_since + DRAIN_S
    ]
    for server, request, seconds in late:
        record.write("late", server, request, f"{seconds:.3f} s after it said that it leaves")
    record.write("arrivals", len(group.arrivals), "late", len(late))
    if not group.arrivals:
        record.write("not-run", "nothing was served")
        return NOT_RUN
    record.write("result", "broken" if late else "held")
    return BROKEN if late else HELD


def main() -> int:
    """Run the case and return its exit code."""
    folder = HostFolder()
    record = Record(Path(__file__).resolve().parent / "record.txt")
    started = time.monotonic()
    try:
        return asyncio.run(play(record, folder, os.environ.get("TROUBLE", "1") != "0"))
    except OSError as error:
        record.write("not-run", error)
        return NOT_RUN
    finally:
        record.write("took", f"{time.monotonic() - started:.1f} s")
        record.close()
        folder.remove()


if __name__ == "__main__":
    sys.exit(main())
