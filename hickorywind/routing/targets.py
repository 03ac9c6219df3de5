"""Selection of the backend servers that may serve a request, in order of preference."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import IntEnum

from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    LogPosition,
    Region,
    ServiceName,
    Term,
)
from hickorywind.membership.directory import Directory
from hickorywind.routing.health import BackendHealth, FreshnessRequirement
from hickorywind.routing.session import Floor, KnownFloor, NoFloor, UnknownFloor


class Distance(IntEnum):
    """Distance of the entry from the availability zone of a pool."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True)
class Target:
    """Backend server to try, and the pool that is its home.

    ``term`` is the term in which the backend server is believed to be primary, None for replicas.
    ``floor`` is the log position that the data must contain, None for any. ``distance`` and
    ``region`` are those of the pool.
    """

    backend: BackendId
    pool_host: HostId
    pool: Address
    distance: Distance
    term: Term | None = None
    floor: LogPosition | None = None
    region: Region | None = None

    @property
    def is_primary(self) -> bool:
        """Return whether the backend server is believed to be primary."""
        return self.term is not None


@dataclass(frozen=True)
class NeedsPrimary:
    """Requirement of writes and transactions: the primary."""


@dataclass(frozen=True)
class NeedsRead:
    """Requirement of reads: a backend server that has applied at least ``floor``.

    ``max_staleness_ms`` is the greatest age of data accepted, None for any.
    """

    floor: Floor
    max_staleness_ms: int | None = None


Need = NeedsPrimary | NeedsRead


class TargetChooser:
    """Chooser of the targets of requests, based on the directory and on recent health."""

    def __init__(
        self,
        directory: Directory,
        zone: AvailabilityZone,
        health: BackendHealth,
        rng: random.Random,
        replica_reads: bool = True,
    ) -> None:
        """Choose for an entry in ``zone``; without ``replica_reads`` all reads use the primary."""
        self._directory = directory
        self._zone = zone
        self._health = health
        self._rng = rng
        self._replica_reads = replica_reads

    def choose(self, service: Service, need: Need) -> tuple[Target, ...]:
        """Return the targets in order of preference; none if no pool is known."""
        match need:
            case NeedsPrimary():
                return self._primary_targets(service.name, None)
            case NeedsRead(floor=UnknownFloor()):
                return self._primary_targets(service.name, None)
            case NeedsRead(floor=NoFloor(), max_staleness_ms=max_staleness_ms):
                return self._read_targets(service, None, max_staleness_ms)
            case NeedsRead(KnownFloor(position=position), max_staleness_ms):
                return self._read_targets(service, position, max_staleness_ms)

    def _read_targets(
        self, service: Service, floor: LogPosition | None, max_staleness_ms: int | None
    ) -> tuple[Target, ...]:
        primary = self._primary_targets(service.name, floor)
        if not self._replica_reads:
            return primary
        requirement = FreshnessRequirement(floor is not None, max_staleness_ms)
        return (
            self._order_by_preference(self._replica_targets(service, floor), requirement) + primary
        )

    def _primary_targets(
        self, service: ServiceName, floor: LogPosition | None
    ) -> tuple[Target, ...]:
        group = self._directory.group(service)
        instance = self._directory.instance(group.primary) if group is not None else None
        if group is None or instance is None:
            return ()
        target = self._make_target(instance, group.term, floor)
        return () if target is None else (target,)

    def _replica_targets(self, service: Service, floor: LogPosition | None) -> list[Target]:
        group = self._directory.group(service.name)
        primary = group.primary if group is not None else None
        targets = []
        for instance in service.instances:
            if instance.backend == primary or self._directory.is_leaving(instance.backend):
                continue
            target = self._make_target(instance, None, floor)
            if target is not None:
                targets.append(target)
        return targets

    def _make_target(
        self, instance: Instance, term: Term | None, floor: LogPosition | None
    ) -> Target | None:
        home = self._directory.home_of(instance.backend)
        if home is None or home.pool is None:
            return None
        distance = self._distance(home.availability_zone)
        region = self._directory.region_of(home.availability_zone)
        return Target(instance.backend, home.host, home.pool, distance, term, floor, region)

    def _distance(self, zone: AvailabilityZone) -> Distance:
        if zone == self._zone:
            return Distance.SAME_ZONE
        region = self._directory.region_of(zone)
        if region is not None and region == self._directory.region_of(self._zone):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def _order_by_preference(
        self, targets: list[Target], requirement: FreshnessRequirement
    ) -> tuple[Target, ...]:
        """Order targets by health, then by distance; break a tie of the first two by latency.

        The targets are shuffled first, so two random ones are compared: this spreads load without
        sending all requests to the same target.
        """

        def preference_of(target: Target) -> tuple[bool, Distance]:
            return (self._health.is_deprioritized(target.backend, requirement), target.distance)

        if len(targets) > 1:
            self._rng.shuffle(targets)
            targets.sort(key=preference_of)
            first, second = targets[:2]
            is_tie = preference_of(first) == preference_of(second)
            if is_tie and self._mean_latency_ms(second) < self._mean_latency_ms(first):
                targets[0], targets[1] = second, first
        return tuple(targets)

    def _mean_latency_ms(self, target: Target) -> float:
        return self._health.mean_latency_ms(target.backend)
