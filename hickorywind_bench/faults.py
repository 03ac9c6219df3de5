"""Injection of an experiment's faults into a running site."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from hickorywind.configuration.model import Service
from hickorywind.groups.client import GroupClient
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole
from hickorywind.util.clock import Clock
from hickorywind_bench.experiment import Fault, FaultAction
from standins.cluster import Cluster

_STATUS_TIMEOUT = timedelta(seconds=1)


async def find_primary(service: Service) -> BackendId:
    """Return the primary of the newest term; raise RuntimeError if none answers."""
    found: list[BackendStatus] = []
    for instance in service.instances:
        client = GroupClient(instance.endpoint, _STATUS_TIMEOUT)
        answer = await client.status()
        client.close()
        if isinstance(answer, BackendStatus) and answer.role is InstanceRole.PRIMARY:
            found.append(answer)
    if not found:
        raise RuntimeError(f"{service.name} has no primary")
    return max(found, key=lambda status: status.term).backend


async def inject_fault(fault: Fault, cluster: Cluster, service: Service) -> None:
    """Inject one fault immediately."""
    match fault.action:
        case FaultAction.KILL_PRIMARY:
            cluster.process(f"backend/{await find_primary(service)}").kill()
        case FaultAction.FREEZE_PRIMARY:
            cluster.process(f"backend/{await find_primary(service)}").freeze()
        case FaultAction.CUT_PRIMARY:
            await cut_replication(cluster, service, await find_primary(service))
        case FaultAction.FREEZE_STORE:
            cluster.process("store").freeze()
        case FaultAction.KILL_ENTRY:
            cluster.process(f"entry/{cluster.hosts[0].host}").kill()
        case FaultAction.KILL_POOL:
            cluster.process(f"pool/{cluster.hosts[0].host}").kill()


async def cut_replication(cluster: Cluster, service: Service, backend: BackendId) -> None:
    """Cut replication between a backend server and the others of its group, in both directions."""
    others = [item.backend for item in service.instances if item.backend != backend]
    names = [f"{backend}->{other}" for other in others]
    names += [f"{other}->{backend}" for other in others]
    await send_relay_commands(cluster, [f"cut {name}" for name in names])


async def send_relay_commands(cluster: Cluster, commands: list[str]) -> None:
    """Send commands to the site's relay; raise RuntimeError if one is refused."""
    if cluster.relay_control is None:
        raise RuntimeError("the site has no relay")
    address = cluster.relay_control
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for command in commands:
        writer.write(command.encode() + b"\n")
        answer = await reader.readline()
        if answer.strip() != b"ok":
            raise RuntimeError(f"{command}: {answer.decode().strip()}")
    writer.close()


async def inject_faults(
    faults: tuple[Fault, ...], cluster: Cluster, service: Service, started: timedelta, clock: Clock
) -> None:
    """Inject all faults at their times after ``started``."""
    for fault in sorted(faults, key=lambda item: item.at_seconds):
        due = started + timedelta(seconds=fault.at_seconds)
        await asyncio.sleep(max(0.0, (due - clock.now()).total_seconds()))
        await inject_fault(fault, cluster, service)
