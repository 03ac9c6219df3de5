"""Cache of the observers of all groups, updated as hosts come and go.

A change of a host affects few groups: those that it observes and those in which it outranks an
observer. Only these are recomputed, because recomputing all takes a second with hundreds of hosts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from hickorywind.configuration.model import Service
from hickorywind.ids import AvailabilityZone, HostId, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.placement.observers import (
    OBSERVER_COUNT,
    choose_observers,
    observer_key,
    usable_hosts,
)
from hickorywind.placement.rendezvous import outranks, owner_of, rank_members


@dataclass(frozen=True)
class _CachedObservers:
    """Observers of one group whose instances are in ``zones``.

    With ``is_one_per_zone`` each observer is the highest-ranked host of one of these zones.
    ``uncovered_zones`` are the zones that have an instance but no observer.
    """

    zones: frozenset[AvailabilityZone]
    hosts: tuple[HostId, ...]
    is_one_per_zone: bool
    uncovered_zones: frozenset[AvailabilityZone]


class ObserverCache:
    """Cache of the results of ``choose_observers`` for the directory of the last ``update``."""

    def __init__(self) -> None:
        self._directory = Directory()
        self._zone_by_host: Mapping[HostId, AvailabilityZone] = {}
        self._hosts_by_zone: dict[AvailabilityZone, list[HostId]] = {}
        self._cached: dict[ServiceName, _CachedObservers] = {}

    def update(self, directory: Directory) -> None:
        """Read the usable hosts, and discard the entries that their changes may affect."""
        self._directory = directory
        zones = usable_hosts(self._directory)
        changed = self._zone_by_host.items() ^ zones.items()
        removed = {host for host, zone in changed if self._zone_by_host.get(host) == zone}
        added = {host: zone for host, zone in changed if zones.get(host) == zone}
        self._zone_by_host = zones
        self._hosts_by_zone = {}
        for host, zone in zones.items():
            self._hosts_by_zone.setdefault(zone, []).append(host)
        self._cached = {
            name: cached
            for name, cached in self._cached.items()
            if not removed.intersection(cached.hosts) and not _may_change(name, cached, added)
        }

    def observers_of(self, service: Service) -> tuple[HostId, ...]:
        """Return up to ``OBSERVER_COUNT`` hosts, most responsible first."""
        zones = frozenset(instance.availability_zone for instance in service.instances)
        cached = self._cached.get(service.name)
        if cached is None or cached.zones != zones:
            cached = self._choose(service, zones)
            self._cached[service.name] = cached
        return cached.hosts

    def _choose(self, service: Service, zones: frozenset[AvailabilityZone]) -> _CachedObservers:
        key = observer_key(service.name)
        zone_owners = [owner_of(key, self._hosts_by_zone.get(zone, ())) for zone in zones]
        preferred = [host for host in zone_owners if host is not None]
        if len(preferred) < OBSERVER_COUNT:
            hosts = tuple(choose_observers(service, self._directory))
        else:
            ranked = rank_members(key, preferred)[:OBSERVER_COUNT]
            hosts = tuple(HostId(host) for host in ranked)
        uncovered_zones = zones.difference(self._zone_by_host[host] for host in hosts)
        return _CachedObservers(zones, hosts, len(preferred) >= OBSERVER_COUNT, uncovered_zones)


def _may_change(
    name: ServiceName, cached: _CachedObservers, added: Mapping[HostId, AvailabilityZone]
) -> bool:
    if len(cached.hosts) < OBSERVER_COUNT:
        return bool(added)
    last = cached.hosts[-1]
    key = observer_key(name)
    for host, zone in added.items():
        if zone not in cached.zones and cached.is_one_per_zone:
            continue
        # The first host of a zone that has an instance but had no host is preferred to any other.
        if (zone in cached.uncovered_zones and not cached.is_one_per_zone) or outranks(
            key, host, last
        ):
            return True
    return False
