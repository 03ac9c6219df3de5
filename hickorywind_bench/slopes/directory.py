"""Measurement of the record table and directory: memory, home lookups, and the cost of one change.

Hosts and services grow together, in the same proportion as in the largest supported fleet.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import msgspec

from hickorywind.membership.directory import Directory
from hickorywind.membership.overlay import Overlay
from hickorywind.membership.table import RecordTable
from hickorywind.placement.observercache import ObserverCache
from hickorywind.placement.storewatchers import choose_store_watchers
from hickorywind.protocol.records import MemberState, Record
from hickorywind_bench.slopes.processes import measure_allocation
from hickorywind_bench.slopes.sites import (
    DESIGN_HOSTS,
    DESIGN_SERVICES,
    ZONES,
    configuration_records,
    group_records,
    make_configuration,
    make_member,
)
from hickorywind_bench.slopes.table import Row

SIZES = (100, 300, DESIGN_HOSTS)
_MS_PER_SECOND = 1_000


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of hosts."""
    for hosts in sizes:
        yield _measure_one(hosts, hosts * DESIGN_SERVICES // DESIGN_HOSTS)


def _cpu_ms(call: Callable[[], object]) -> float:
    begin = time.process_time()
    call()
    return (time.process_time() - begin) * _MS_PER_SECOND


def _measure_one(hosts: int, services: int) -> Row:
    records = _make_records(hosts, services)
    encoded = msgspec.msgpack.encode(records)
    decoder = msgspec.msgpack.Decoder(list[Record])

    def fill_table() -> RecordTable:
        table = RecordTable()
        table.merge(decoder.decode(encoded))
        return table

    table, table_bytes = measure_allocation(fill_table)
    directory, directory_bytes = measure_allocation(lambda: Directory(table))
    first = _cpu_ms(lambda: _look_up_homes(directory))
    again = _cpu_ms(lambda: _look_up_homes(directory))
    observer_cache = ObserverCache()
    observers = _cpu_ms(lambda: _look_up_observers(observer_cache, directory))
    watchers = _cpu_ms(lambda: choose_store_watchers(ZONES[0].name, directory))
    own = directory.members[0]
    overlay = Overlay(own.host, own.availability_zone, directory)
    neighbours = _cpu_ms(overlay.neighbours)
    neighbours_again = _cpu_ms(overlay.neighbours)
    dead_member = msgspec.structs.replace(directory.members[0], state=MemberState.DEAD)
    homes_before = _list_homes(directory)
    merge = _cpu_ms(lambda: directory.merge((dead_member,)))
    after = _cpu_ms(lambda: _look_up_homes(directory))
    observers_after = _cpu_ms(lambda: _look_up_observers(observer_cache, directory))
    moved = sum(
        1 for pair in zip(homes_before, _list_homes(directory), strict=True) if pair[0] != pair[1]
    )
    changed_records = _with_one_change(services)
    change_ms = _cpu_ms(lambda: directory.merge(changed_records))
    return Row(
        {
            "hosts": hosts,
            "services": services,
            "records_bytes": len(encoded),
            "table_mb": table_bytes / 1e6,
            "directory_mb": directory_bytes / 1e6,
            "homes_first_ms": first,
            "homes_again_ms": again,
            "member_change_ms": merge,
            "homes_after_change_ms": after,
            "homes_moved": moved,
            "observers_first_ms": observers,
            "observers_after_change_ms": observers_after,
            "watchers_ms": watchers,
            "neighbours_first_ms": neighbours,
            "neighbours_again_ms": neighbours_again,
            "config_change_ms": change_ms,
        }
    )


def _make_records(hosts: int, services: int) -> list[Record]:
    configuration = make_configuration(services)
    members = [make_member(number) for number in range(hosts)]
    return [*members, *configuration_records(configuration, 1), *group_records(configuration)]


def _with_one_change(services: int) -> list[Record]:
    """Return the records of a second revision that differs in one service."""
    configuration = make_configuration(services)
    first, *others = configuration.services
    instance = msgspec.structs.replace(first.instances[0], slots=5)
    changed_service = msgspec.structs.replace(first, instances=(instance, *first.instances[1:]))
    changed_configuration = msgspec.structs.replace(
        configuration, services=(changed_service, *others)
    )
    old = {record.key: record for record in configuration_records(configuration, 1)}
    return [
        record
        for record in configuration_records(changed_configuration, 2)
        if getattr(old[record.key], "document", None) != getattr(record, "document", "")
    ]


def _list_homes(directory: Directory) -> list[str | None]:
    homes = [directory.home_of(backend) for backend in directory.backends]
    return [home.host if home is not None else None for home in homes]


def _look_up_homes(directory: Directory) -> None:
    for backend in directory.backends:
        directory.home_of(backend)


def _look_up_observers(observer_cache: ObserverCache, directory: Directory) -> None:
    observer_cache.update(directory)
    for service in directory.in_force.configuration.services:
        observer_cache.observers_of(service)
