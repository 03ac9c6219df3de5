"""Synthetic configurations and members for fleets of any size."""

from __future__ import annotations

from hickorywind.configuration.model import (
    Configuration,
    Instance,
    Objective,
    RankPolicy,
    ReadKind,
    Service,
    Zone,
)
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Rank,
    Region,
    Revision,
    ServiceName,
    Term,
)
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    MemberRecord,
    MemberState,
    Record,
)

DESIGN_HOSTS = 670
DESIGN_SERVICES = 820
INSTANCES_PER_SERVICE = 3
ZONES = tuple(
    Zone(AvailabilityZone(f"zone-{index}"), Region("first" if index < 4 else "second"))
    for index in range(7)
)
_RANKS = (
    RankPolicy(Rank.URGENT, 34),
    RankPolicy(Rank.STANDARD, 33),
    RankPolicy(Rank.BACKGROUND, 10, 20_000),
)
_READ_KINDS = (ReadKind("invoice-check", 0), ReadKind("shift-list", 500, 2_000))
_OBJECTIVES = (Objective(Rank.URGENT, 99.9, 200), Objective(Rank.STANDARD, 99.0, 500))


def make_service(number: int, slots: int = 3) -> Service:
    """Return a service with three instances in three neighbouring zones."""
    name = f"service-{number:03}"
    instances = tuple(
        Instance(
            BackendId(f"{name}-{index}"),
            ZONES[(number + index) % len(ZONES)].name,
            f"10.{number // 250}.{number % 250}.{index + 1}:5432",
            slots,
            20,
        )
        for index in range(INSTANCES_PER_SERVICE)
    )
    return Service(ServiceName(name), instances, _RANKS, _READ_KINDS, _OBJECTIVES)


def make_configuration(services: int) -> Configuration:
    """Return a configuration with the given number of services."""
    service_list = tuple(make_service(number) for number in range(services))
    return Configuration("Capacity", ZONES, service_list)


def configuration_records(configuration: Configuration, revision: int) -> list[Record]:
    """Return the records that a store watcher publishes for a configuration."""
    sections = split_sections(configuration)
    records: list[Record] = [
        ConfigRecord(name, Revision(revision), document) for name, document in sections.items()
    ]
    records.append(ConfigHeadRecord(Revision(revision), digest_sections(sections)))
    return records


def make_member(number: int, incarnation: int = 1_780_000_000_000) -> MemberRecord:
    """Return the record of a live host; hosts are assigned to the zones in turn."""
    address = f"10.100.{number // 250}.{number % 250 + 1}"
    return MemberRecord(
        HostId(f"host-{number:03}"),
        ZONES[number % len(ZONES)].name,
        Incarnation(incarnation),
        MemberState.ALIVE,
        Address(address, 7301),
        Address(address, 7302),
        Address(address, 7303),
    )


def group_records(configuration: Configuration) -> list[Record]:
    """Return group records with the first instance of each service as its primary."""
    return [
        GroupRecord(service.name, Term(1), service.instances[0].backend)
        for service in configuration.services
    ]
