"""Queries on the record table: configuration, hosts, primaries and homes."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from hickorywind.configuration.model import Configuration, Instance, Service
from hickorywind.configuration.sections import digest_sections, join_sections
from hickorywind.ids import AvailabilityZone, BackendId, HostId, Region, Revision, ServiceName
from hickorywind.membership.table import RecordTable
from hickorywind.placement.homes import HomeAssignments
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    LeavingRecord,
    MemberRecord,
    MemberState,
    Record,
)
from hickorywind.util.decoding import MalformedDataError

logger = logging.getLogger(__name__)

NO_REVISION = Revision(0)


@dataclass(frozen=True)
class ConfigurationInForce:
    """Configuration in force, with its revision."""

    revision: Revision
    configuration: Configuration


class Directory:
    """Index of a record table by host, service and backend server.

    A newer configuration is put in force only once all its sections are present and match the
    digest of its head, so a revision comes into force as a whole and never goes back.
    """

    def __init__(self, table: RecordTable | None = None) -> None:
        self.table = table or RecordTable()
        self._in_force: ConfigurationInForce | None = None
        self._members: dict[HostId, MemberRecord] = {}
        self._groups: dict[ServiceName, GroupRecord] = {}
        self._leaving: set[BackendId] = set()
        self._services: dict[ServiceName, Service] = {}
        self._instances: dict[BackendId, tuple[Service, Instance]] = {}
        self._regions: dict[AvailabilityZone, Region] = {}
        self._homes = HomeAssignments()
        self._apply_records(self.table.records())

    def merge(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Merge records into the table and return those that were new or newer."""
        changed = self.table.merge(records)
        self._apply_records(changed)
        return changed

    def forget_member(self, host: HostId) -> None:
        """Remove the record of a host that has been dead for long."""
        self.table.forget(f"member/{host}")
        self._members.pop(host, None)
        self._homes.remove_host(host)

    def _apply_records(self, records: Iterable[Record]) -> None:
        config_changed = False
        for record in records:
            match record:
                case MemberRecord():
                    self._apply_member(record)
                case GroupRecord():
                    self._groups[record.service] = record
                case LeavingRecord():
                    self._apply_leaving(record)
                case ConfigRecord() | ConfigHeadRecord():
                    config_changed = True
        if config_changed:
            self._activate_if_complete()

    def _apply_member(self, record: MemberRecord) -> None:
        self._members[record.host] = record
        if self._can_be_home(record):
            self._homes.add_host(record.host, record.availability_zone)
        else:
            self._homes.remove_host(record.host)

    def _apply_leaving(self, record: LeavingRecord) -> None:
        if record.leaving:
            self._leaving.add(record.backend)
        else:
            self._leaving.discard(record.backend)

    def _activate_if_complete(self) -> None:
        head = self.table.get("config-head")
        if not isinstance(head, ConfigHeadRecord) or head.revision <= self.revision:
            return
        held_sections = [
            record for record in self.table.records() if isinstance(record, ConfigRecord)
        ]
        sections = {record.section: record.document for record in held_sections}
        if digest_sections(sections) != head.digest:
            return
        try:
            configuration = join_sections(sections)
        except (MalformedDataError, KeyError) as error:
            logger.error("config_refused", extra={"revision": head.revision, "error": str(error)})
            return
        self._activate(ConfigurationInForce(head.revision, configuration))

    def _activate(self, in_force: ConfigurationInForce) -> None:
        self._in_force = in_force
        services = in_force.configuration.services
        self._services = {service.name: service for service in services}
        self._instances = {
            instance.backend: (service, instance)
            for service in services
            for instance in service.instances
        }
        self._regions = {zone.name: zone.region for zone in in_force.configuration.zones}
        self._homes.set_backends(
            {name: instance.availability_zone for name, (_, instance) in self._instances.items()}
        )
        logger.info("config_in_force", extra={"revision": in_force.revision})

    @property
    def in_force(self) -> ConfigurationInForce | None:
        """Return the configuration in force, or None before the first one has arrived."""
        return self._in_force

    @property
    def revision(self) -> Revision:
        """Return the revision in force, or ``NO_REVISION`` before the first."""
        return self._in_force.revision if self._in_force else NO_REVISION

    @property
    def members(self) -> tuple[MemberRecord, ...]:
        """Return the records of all known hosts."""
        return tuple(self._members.values())

    def member(self, host: HostId) -> MemberRecord | None:
        """Return the record of a host, or None if the host is unknown."""
        return self._members.get(host)

    def service(self, name: ServiceName) -> Service | None:
        """Return a service of the configuration in force, or None if it is not in it."""
        return self._services.get(name)

    def instance(self, backend: BackendId) -> Instance | None:
        """Return a backend server of the configuration in force, or None if it is not in it."""
        found = self._instances.get(backend)
        return found[1] if found else None

    def service_of(self, backend: BackendId) -> Service | None:
        """Return the service that a backend server belongs to, or None if it is unknown."""
        found = self._instances.get(backend)
        return found[0] if found else None

    @property
    def backends(self) -> tuple[BackendId, ...]:
        """Return all backend servers of the configuration in force."""
        return tuple(self._instances)

    def region_of(self, zone: AvailabilityZone) -> Region | None:
        """Return the region of an availability zone, or None if the zone is unknown."""
        return self._regions.get(zone)

    def group(self, service: ServiceName) -> GroupRecord | None:
        """Return the record of the primary of a service, or None if it is unknown."""
        return self._groups.get(service)

    def is_leaving(self, backend: BackendId) -> bool:
        """Return whether a backend server is leaving and takes no new work."""
        return backend in self._leaving

    def home_of(self, backend: BackendId) -> MemberRecord | None:
        """Return the host whose pool serves a backend server, or None if there is none."""
        host = self._homes.home_of(backend)
        return self._members.get(host) if host is not None else None

    @staticmethod
    def _can_be_home(record: MemberRecord) -> bool:
        alive = record.state in (MemberState.ALIVE, MemberState.SUSPECT)
        return alive and record.pool is not None
