"""Define routes, backend servers and hosts as decisions use them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NewType

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    InstanceRole,
    Region,
    Revision,
    ServiceName,
)

DatabaseName = NewType("DatabaseName", str)
PriorityRank = NewType("PriorityRank", int)


@dataclass(frozen=True, slots=True)
class PrimaryReads:
    """Read at the primary only."""


@dataclass(frozen=True, slots=True)
class BoundedStalenessReads:
    """Read anywhere that holds all commits older than ``max_staleness``."""

    max_staleness: timedelta


@dataclass(frozen=True, slots=True)
class ReadYourWrites:
    """Read anywhere that holds the session's own commits and those older than the bound."""

    max_staleness: timedelta


ReadPolicy = PrimaryReads | BoundedStalenessReads | ReadYourWrites


@dataclass(frozen=True, slots=True)
class Route:
    """Describe how the statements for one database are served.

    ``latency_objective`` is the target latency of a whole operation, its wait included;
    ``statement_timeout`` limits a single statement. Rank 0 is the most urgent.
    """

    database: DatabaseName
    service: ServiceName
    read_policy: ReadPolicy
    statement_timeout: timedelta
    latency_objective: timedelta
    rank: PriorityRank


@dataclass(frozen=True, slots=True)
class ProxyConfiguration:
    """Hold the configuration in force.

    ``revision`` is the store revision that it was read at; ``connection_limits`` counts the
    connections that each backend server of a service accepts from all hosts.
    """

    version: int
    revision: Revision
    routes: Mapping[DatabaseName, Route]
    connection_limits: Mapping[ServiceName, int]
    transaction_idle_timeout: timedelta


class BackendState(Enum):
    """Say whether a backend server takes new work."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one backend server as it registered itself.

    ``started_at_ms`` tells its lives apart: a server that restarts under its id has forgotten all.
    """

    backend: BackendId
    service: ServiceName
    address: Address
    zone: AvailabilityZone
    slots: int
    state: BackendState
    role: InstanceRole
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class Topology:
    """Map availability zones to regions."""

    regions: Mapping[AvailabilityZone, Region] = field(default_factory=dict)

    def distance(self, first: AvailabilityZone, second: AvailabilityZone) -> int:
        """Return 0 within a zone, 1 within a region, 2 between regions."""
        if first == second:
            return 0
        region = self.regions.get(first)
        return 1 if region is not None and region == self.regions.get(second) else 2
