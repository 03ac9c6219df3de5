"""The primary of a service with sync_replicas 1 crashes while one replica is leaving by plan."""

from __future__ import annotations

import asyncio
import contextlib
import os
import time

from caller import Caller, ClosedError, Record
from frame import run_case
from host_processes import LOOPBACK, CannotRunError, Fleet, configuration
from standin_servers import Group, Server
from standin_store import Store

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether to play the disruption
SERVICE, DATABASE = "ledger-db", "signoff"
DRAIN_S = 7.0  # drain_ms
DEAF_S = 6.5
CRASH_S = 3.5


async def write_regularly(
    address: str, name: str, acknowledged: dict[str, float], record: Record
) -> None:
    """Write one row after the other; a caller opens a new session where one ended."""
    number = 0
    while True:
        with contextlib.suppress(ClosedError):
            caller = await Caller.open(address, DATABASE)
            try:
                while True:
                    number += 1
                    answer = await caller.ask(f"WRITE {name} v{number}")
                    record.add(f"{answer.request_id} WRITE {name} v{number}: {answer.lines[-1]}")
                    if answer.is_success:
                        acknowledged[answer.request_id] = time.monotonic()
                    await asyncio.sleep(0.03 if answer.is_success else 0.3)
            finally:
                caller.close()
        await asyncio.sleep(0.3)


async def release(server: Server, group: Group, record: Record) -> None:
    """Replace a server by plan: it drains, ends, and a new one gets its log and address."""
    server.state = "draining"
    await server.report()
    record.add(f"{server.name} reports draining")
    await asyncio.sleep(DRAIN_S + 1.0)
    log, address = server.log, server.address
    await server.crash()
    await group.store.delete(f"servers/{server.name}")
    new = group.add(f"{server.name}-new", server.zone)
    new.address, new.log, new.term, new.applied = address, list(log), server.term, len(log)
    new.term_ends = dict(server.term_ends)
    await new.start()
    record.add(f"{server.name} has ended, {new.name} runs at its address")


async def play(record: Record) -> list[str]:
    """Play the case and return the broken promises."""
    store = Store()
    addresses = await store.start(LOOPBACK)
    group = Group(SERVICE, LOOPBACK, store, sync_replicas=1)
    primary, leaving, deaf = (
        group.add(name, zone) for name, zone in (("i-a", "adum"), ("i-b", "suame"), ("i-c", "tema"))
    )
    await store.put("op/config", configuration(SERVICE, 3, 1, **{DATABASE: "primary"}))
    await group.start()
    acknowledged: dict[str, float] = {}
    faults: list[str] = []

    def check(promoted: Server) -> None:
        held = {request for entry in promoted.log for _, _, request in entry.writes}
        lost = [each for each in acknowledged if each not in held]
        record.add(f"{promoted.name} leads; it lacks {len(lost)} acknowledged commits")
        faults.extend(f"LOST {promoted.name} lacks {each}" for each in lost)

    group.on_promotion = check
    async with Fleet(3, *addresses) as fleet:
        writers = [
            asyncio.create_task(
                write_regularly(host.callers, f"{host.name}.{number}", acknowledged, record)
            )
            for host in fleet.hosts
            for number in range(2)
        ]
        await asyncio.sleep(4)
        if not acknowledged:
            raise CannotRunError("no write was acknowledged")
        replacement = asyncio.create_task(release(leaving, group, record))
        await asyncio.sleep(1)
        if HAS_TROUBLE:
            deaf.is_deaf = True
            record.add(f"{deaf.name} receives nothing from now on")
            await asyncio.sleep(DEAF_S - CRASH_S)
            await primary.crash()
            record.add(f"{primary.name} has crashed")
            await asyncio.sleep(CRASH_S)
            deaf.is_deaf = False
            newest = next((each for each in group.servers if each.role == "primary"), primary)
            if newest is not primary:
                await primary.follow(newest)
                if deaf is not newest:
                    await deaf.follow(newest)
            await primary.start()
            record.add(f"{primary.name} is back; {deaf.name} receives again")
        await replacement
        await asyncio.sleep(2)
        for writer in writers:
            writer.cancel()
        record.add(f"{len(acknowledged)} writes were acknowledged")
        for _, name, holder, token in group.orders:
            record.add(f"failover order: {name} by {holder}, token {token}")
    return faults


run_case(__file__, play)
