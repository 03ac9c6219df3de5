"""Measurement of membership traffic: idle, restart, crash, zone loss and healed region partition.

All hosts run in one process over a simulated network, so processor time includes that of the
simulation and is an upper bound. Rates are per host; a host's table holds members and zones only.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import Address, BackendId, HostId, Incarnation, ServiceName, Term
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import GroupRecord, MemberRecord, MemberState
from hickorywind_bench.slopes.fleet import SimulatedFleet
from hickorywind_bench.slopes.sites import (
    DESIGN_HOSTS,
    ZONES,
    configuration_records,
    make_configuration,
)
from hickorywind_bench.slopes.table import Row

SIZES = (50, 150, 400, DESIGN_HOSTS)
RESTARTS_PER_DAY = 140
SECONDS_PER_DAY = 86_400
_CONVERGENCE_LIMIT = timedelta(seconds=600)
_SETTLE_TIME = timedelta(seconds=15)
_QUIET_TIME = timedelta(seconds=20)
_RESTART_TIME = timedelta(seconds=60)
_SPLIT_TIME = timedelta(seconds=60)
_SERVICE = ServiceName("service")
_ZONE_NAMES = tuple(zone.name for zone in ZONES)


@dataclass(frozen=True)
class PhaseCost:
    """Traffic and processor time of a phase per host, and simulated time until all hosts agree."""

    kilobytes: float
    cpu_seconds: float
    convergence_seconds: float


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of hosts."""
    for hosts in sizes:
        yield _measure_one(hosts)


def start_fleet(hosts: int) -> SimulatedFleet:
    """Start a fleet whose hosts know all members but the first, which is then announced to each."""
    regions = configuration_records(make_configuration(0), 1)
    members = [
        MemberRecord(
            HostId(f"h{index}"),
            _ZONE_NAMES[index % len(_ZONE_NAMES)],
            Incarnation(1),
            MemberState.ALIVE,
            Address("10.0.0.0", index + 1),
        )
        for index in range(hosts)
    ]

    def setup(directory: Directory) -> None:
        directory.merge([*regions, *members[1:]])

    fleet = SimulatedFleet(hosts, setup=setup, zones=_ZONE_NAMES)
    for gossiper in fleet.gossipers.values():
        # A host chooses its neighbours only when it receives a member record.
        gossiper.publish(fleet.now, members[:1])
    fleet.run(_SETTLE_TIME)
    return fleet


def _measure_phase(fleet: SimulatedFleet, phase: Callable[[], timedelta | None]) -> PhaseCost:
    fleet.sent_bytes = fleet.sent_messages = 0
    begin = time.process_time()
    elapsed = phase()
    cpu = time.process_time() - begin
    hosts = len(fleet.running_hosts())
    seconds = elapsed.total_seconds() if elapsed is not None else float("nan")
    return PhaseCost(fleet.sent_bytes / hosts / 1_000, cpu / hosts, seconds)


def _measure_one(hosts: int) -> Row:
    fleet = start_fleet(hosts)
    quiet = _measure_phase(fleet, lambda: fleet.run(_QUIET_TIME))
    rate = quiet.kilobytes * 1_000 / _QUIET_TIME.total_seconds()
    messages = fleet.sent_messages / _QUIET_TIME.total_seconds() / hosts
    idle_cpu = quiet.cpu_seconds / _QUIET_TIME.total_seconds()
    group_cost = _measure_phase(fleet, lambda: _spread_group(fleet))
    restart = _measure_phase(fleet, lambda: _restart(fleet, hosts // 2))
    restart_bytes = max(0.0, restart.kilobytes * 1_000 - rate * _RESTART_TIME.total_seconds())
    restart_cpu = max(0.0, restart.cpu_seconds - idle_cpu * _RESTART_TIME.total_seconds())
    crash = _measure_phase(fleet, lambda: _crash(fleet, {hosts // 3}))
    fleet.run(_SETTLE_TIME)
    zone = _measure_phase(fleet, lambda: _crash(fleet, _hosts_of_zone(fleet, 0)))
    healing = _split_and_heal(fleet)
    return Row(
        {
            "hosts": hosts,
            "quiet_bytes_per_s": rate,
            "quiet_messages_per_s": messages,
            "quiet_cpu_percent": idle_cpu * 100,
            "group_record_everywhere_s": group_cost.convergence_seconds,
            "restart_bytes": restart_bytes,
            "restart_cpu_ms": restart_cpu * 1_000,
            "restarts_bytes_per_s": restart_bytes * RESTARTS_PER_DAY / SECONDS_PER_DAY,
            "crash_known_s": crash.convergence_seconds,
            "zone_lost_known_s": zone.convergence_seconds,
            "zone_lost_kb": zone.kilobytes,
            "zone_lost_cpu_s": zone.cpu_seconds,
            **healing,
        }
    )


def _split_and_heal(fleet: SimulatedFleet) -> dict[str, float]:
    """Partition the regions for a while, reconnect them and return what healing cost."""
    fleet.run(_SETTLE_TIME)
    cut_regions(fleet)
    fleet.run(_SPLIT_TIME)
    healing = _measure_phase(fleet, lambda: heal_regions(fleet))
    return {
        "healed_s": healing.convergence_seconds,
        "healing_kb": healing.kilobytes,
        "healing_cpu_s": healing.cpu_seconds,
    }


def _spread_group(fleet: SimulatedFleet) -> timedelta | None:
    record = GroupRecord(_SERVICE, Term(2), BackendId("service-1"))
    fleet.gossipers[0].publish(fleet.now, (record,))
    gossipers = fleet.gossipers.values()
    return fleet.run(
        _CONVERGENCE_LIMIT,
        lambda: all(gossiper.directory.group(_SERVICE) for gossiper in gossipers),
    )


def _restart(fleet: SimulatedFleet, index: int) -> None:
    """Stop one host gracefully, restart it and run for a fixed total time."""
    end = fleet.now + _RESTART_TIME
    fleet.gossipers[index].leave(fleet.now)
    fleet.run(timedelta(seconds=5))
    fleet.stopped.add(index)
    fleet.run(timedelta(seconds=10))
    fleet.start(index, incarnation=10)
    fleet.run(end - fleet.now)


def _crash(fleet: SimulatedFleet, hosts: set[int]) -> timedelta | None:
    fleet.stopped |= hosts
    return fleet.run(_CONVERGENCE_LIMIT, fleet.has_converged)


def _hosts_of_zone(fleet: SimulatedFleet, zone: int) -> set[int]:
    return {index for index in fleet.running_hosts() if index % len(_ZONE_NAMES) == zone}


def _is_first_region(index: int) -> bool:
    first = ZONES[0].region
    return ZONES[index % len(ZONES)].region == first


def cut_regions(fleet: SimulatedFleet) -> None:
    """Drop all messages between the regions."""
    fleet.is_cut = lambda sender, target: _is_first_region(sender) != _is_first_region(target)


def heal_regions(fleet: SimulatedFleet) -> timedelta | None:
    """Deliver messages between the regions again; return the time until all hosts agree."""
    fleet.is_cut = lambda sender, target: False
    return fleet.run(_CONVERGENCE_LIMIT, fleet.has_converged)
