"""The store comes back from a copy that is some seconds old; then all hosts are killed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time

from caller import Caller, ClosedError, Record
from frame import run_case
from host_processes import LOOPBACK, CannotRunError, Fleet, configuration
from standin_servers import Group
from standin_store import Store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether to play the disruption
SERVICE, DATABASE = "ledger-db", "signoff"
DRAIN_S = 7.0
AWAY_S = 1.0
STORM_S, STORM_GAP_S = 2.0, 0.08
DOWN_S = 1.5


async def write_regularly(address: str, name: str, acknowledged: list[str]) -> None:
    """Write one row after the other; a caller opens a new session where one ended."""
    number = 0
    while True:
        with contextlib.suppress(ClosedError):
            caller = await Caller.open(address, DATABASE)
            try:
                while True:
                    number += 1
                    answer = await caller.ask(f"WRITE {name} v{number}")
                    if answer.is_success:
                        acknowledged.append(answer.request_id)
                    await asyncio.sleep(0.05 if answer.is_success else 0.3)
            finally:
                caller.close()
        await asyncio.sleep(0.3)


async def kill_all(fleet: Fleet, record: Record) -> None:
    """Kill all hosts at the same moment and start them again."""
    for host in fleet.hosts:
        host.kill()
    record.add("all hosts are killed")
    await asyncio.sleep(DOWN_S)
    for host in fleet.hosts:
        host.start()
    record.add("all hosts are started")


def make_configuration(version: int) -> bytes:
    """Return a version of the configuration; its changes don't matter here."""
    return configuration(SERVICE, version, **{DATABASE: "primary"})


async def change_configurations(store: Store) -> int:
    """Write configurations in quick succession and return the newest version."""
    version = 3
    for _ in range(round(STORM_S / STORM_GAP_S)):
        version += 2
        await store.put("op/config", make_configuration(version))
        await asyncio.sleep(STORM_GAP_S)
    return version


async def play(record: Record) -> list[str]:
    """Play the case and return the broken promises."""
    store = Store()
    addresses = await store.start(LOOPBACK)
    group = Group(SERVICE, LOOPBACK, store)
    primary = group.add("i-a", "adum")
    for name, zone in (("i-b", "suame"), ("i-c", "tema")):
        group.add(name, zone)
    await store.put("op/config", make_configuration(3))
    await group.start()
    acknowledged: list[str] = []
    async with Fleet(4, *addresses) as fleet:
        writers = [
            asyncio.create_task(write_regularly(host.callers, host.name, acknowledged))
            for host in fleet.hosts
        ]
        await asyncio.sleep(4)
        if not acknowledged:
            raise CannotRunError("no write was acknowledged")
        copy, copied_at = store.copy(), time.monotonic()
        record.add(f"the store is copied at revision {copy.revision}")
        version = await change_configurations(store)
        record.add(f"the operator has written configurations up to version {version}")
        primary.state = "draining"
        await primary.report()
        record.add("i-a reports draining")
        async with asyncio.timeout(DRAIN_S):
            while not group.promotions:
                await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        if HAS_TROUBLE:
            record.add(f"the store goes away at revision {store.contents.revision}")
            store.go_away()
            await asyncio.sleep(AWAY_S)
            await store.come_back(copy)
            age_s = time.monotonic() - copied_at
            record.add(f"the store is back from its copy, which is {age_s:.1f} s old")
            await store.put("op/config", make_configuration(version))
            for server in group.servers:
                await server.report()
        await asyncio.sleep(6)
        await primary.crash()
        await store.delete("servers/i-a")
        record.add("i-a has ended")
        await asyncio.sleep(4)
        if HAS_TROUBLE:
            await kill_all(fleet, record)
            await asyncio.sleep(12)
        for writer in writers:
            writer.cancel()
    for second, counts in store.calls.items():
        text = ", ".join(f"{count:.0f} {kind}" for kind, count in counts.items())
        record.add(f"calls to the store: {text}", second)
    for at, revision, key in store.writes:
        if key.startswith("hickorywind/services/"):
            record.add(f"{key} is written at revision {revision}", at)
    faults, highest = [], ("", 0)
    for at, name, holder, token in group.orders:
        record.add(f"failover order: {name} by {holder}, token {token}", at)
        if token < highest[1]:
            faults.append(f"ONE {holder} orders with token {token} after {highest[1]}")
        if token == highest[1] and holder != highest[0]:
            faults.append(f"ONE {holder} and {highest[0]} order with the same token {token}")
        if token > highest[1]:
            highest = (holder, token)
    return faults


run_case(__file__, play)
