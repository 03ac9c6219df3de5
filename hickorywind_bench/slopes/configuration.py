"""Measurement of how a configuration change spreads: changed sections against the whole document.

Hosts run in one process over a simulated network. Each row gives the numbers of services and hosts.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from datetime import timedelta

import msgspec

from hickorywind.configuration.acceptance import ChangeEnvelope, ChangeId, encode_envelope
from hickorywind.configuration.model import Configuration
from hickorywind.ids import Address, HostId, Incarnation, Revision
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import MemberRecord, MemberState, Record
from hickorywind_bench.slopes.fleet import SimulatedFleet
from hickorywind_bench.slopes.sites import (
    DESIGN_SERVICES,
    ZONES,
    configuration_records,
    make_configuration,
    make_service,
)
from hickorywind_bench.slopes.table import Row

SIZES = (100, 400, DESIGN_SERVICES)
HOSTS = (70, 210, 420)
CHANGES_PER_DAY = 960
_SECONDS_PER_DAY = 86_400
_STARTUP_TIME = timedelta(seconds=120)
_MEASURED_TIME = timedelta(seconds=20)
_CONVERGENCE_LIMIT = timedelta(seconds=300)
_ZONE_NAMES = tuple(zone.name for zone in ZONES)


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of services on few hosts, then rows with more hosts."""
    for services in sizes:
        yield _measure_one(services, HOSTS[0])
    for hosts in HOSTS[1:]:
        yield _measure_one(sizes[-1], hosts)


def _start_fleet(hosts: int, records: list[Record]) -> SimulatedFleet:
    members = [
        MemberRecord(
            HostId(f"h{index}"),
            _ZONE_NAMES[index % len(_ZONE_NAMES)],
            Incarnation(0),
            MemberState.ALIVE,
            Address("10.0.0.0", index + 1),
        )
        for index in range(hosts)
    ]

    def setup(directory: Directory) -> None:
        directory.merge([*records, *members])

    fleet = SimulatedFleet(hosts, setup=setup, zones=_ZONE_NAMES)
    fleet.run(_STARTUP_TIME)
    return fleet


def _measure_one(services: int, hosts: int) -> Row:
    old = make_configuration(services)
    new = change_one_service(old)
    records = configuration_records(old, 1)
    changed = changed_records(old, new, 2)
    document = msgspec.json.encode(new)
    fleet = _start_fleet(hosts, records)
    fleet.sent_bytes = 0
    fleet.run(_MEASURED_TIME)
    quiet_bytes = fleet.sent_bytes
    fleet.sent_bytes = 0
    begin = time.process_time()
    end = fleet.now + _MEASURED_TIME
    fleet.gossipers[0].publish(fleet.now, changed)
    elapsed = _wait_in_force(fleet, Revision(2))
    cpu = time.process_time() - begin
    fleet.run(end - fleet.now)
    extra = max(0, fleet.sent_bytes - quiet_bytes) / hosts
    whole = _measure_whole_document(hosts, new)
    return Row(
        {
            "services": services,
            "hosts": hosts,
            "document_bytes": len(document),
            "stored_bytes": stored_bytes(new),
            "changed_bytes": len(msgspec.msgpack.encode(changed)),
            "change_in_force_s": elapsed,
            "change_bytes_per_host": extra,
            "changes_bytes_per_s": extra * CHANGES_PER_DAY / _SECONDS_PER_DAY,
            "change_cpu_ms_per_host": cpu / hosts * 1_000,
            **whole,
        }
    )


def _wait_in_force(fleet: SimulatedFleet, revision: Revision) -> float:
    gossipers = [fleet.gossipers[index] for index in fleet.running_hosts()]
    elapsed = fleet.run(
        _CONVERGENCE_LIMIT,
        lambda: all(gossiper.directory.revision == revision for gossiper in gossipers),
    )
    return elapsed.total_seconds() if elapsed is not None else float("nan")


def _measure_whole_document(hosts: int, configuration: Configuration) -> dict[str, float]:
    """Spread the whole document to hosts that hold only the zones, and return the cost."""
    zones = configuration_records(make_configuration(0), 1)
    fleet = _start_fleet(hosts, zones)
    fleet.sent_bytes = 0
    begin = time.process_time()
    fleet.gossipers[0].publish(fleet.now, configuration_records(configuration, 2))
    elapsed = _wait_in_force(fleet, Revision(2))
    cpu = time.process_time() - begin
    return {
        "whole_in_force_s": elapsed,
        "whole_kb_per_host": fleet.sent_bytes / hosts / 1_000,
        "whole_cpu_s_per_host": cpu / hosts,
    }


def change_one_service(configuration: Configuration) -> Configuration:
    """Change the slots of one backend server."""
    first = make_service(0, slots=5)
    return msgspec.structs.replace(configuration, services=(first, *configuration.services[1:]))


def changed_records(old: Configuration, new: Configuration, revision: int) -> list[Record]:
    """Return the records that a store watcher publishes for a change."""
    old_records = {record.key: record for record in configuration_records(old, 1)}
    return [
        record
        for record in configuration_records(new, revision)
        if getattr(old_records.get(record.key), "document", None) != getattr(record, "document", "")
    ]


def stored_bytes(configuration: Configuration) -> int:
    """Return the size of the stored configuration in bytes."""
    envelope = ChangeEnvelope(
        change_id=ChangeId("0" * 32),
        author="operator",
        note="change the slots of one backend server",
        reviewed_revision=Revision(1),
        recent_changes=tuple(ChangeId(f"{number:032}") for number in range(32)),
        document=configuration,
    )
    return len(encode_envelope(envelope))
