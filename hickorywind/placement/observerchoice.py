"""Keep the observers of all groups while hosts come and go.

A host's change concerns few groups: those that it observes, and those in which it outranks an
observer. Only these are chosen anew, because choosing all costs a second at hundreds of hosts.
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
class _Choice:
    """Hold observers; ``is_spread`` tells that each is the first of a zone with an instance.

    ``missing`` are the zones that hold an instance but no observer.
    """

    zones: frozenset[AvailabilityZone]
    hosts: tuple[HostId, ...]
    is_spread: bool
    missing: frozenset[AvailabilityZone]


class ObserverChoice:
    """Answer as ``choose_observers`` would, for the directory last followed."""

    def __init__(self) -> None:
        self._directory = Directory()
        self._zones: Mapping[HostId, AvailabilityZone] = {}
        self._by_zone: dict[AvailabilityZone, list[HostId]] = {}
        self._choices: dict[ServiceName, _Choice] = {}

    def follow(self, directory: Directory) -> None:
        """Take note of the hosts now usable, and forget choices that they may change."""
        self._directory = directory
        zones = usable_hosts(self._directory)
        changed = self._zones.items() ^ zones.items()
        gone = {host for host, zone in changed if self._zones.get(host) == zone}
        come = {host: zone for host, zone in changed if zones.get(host) == zone}
        self._zones = zones
        self._by_zone = {}
        for host, zone in zones.items():
            self._by_zone.setdefault(zone, []).append(host)
        self._choices = {
            name: choice
            for name, choice in self._choices.items()
            if not gone.intersection(choice.hosts) and not _is_concerned(name, choice, come)
        }

    def observers_of(self, service: Service) -> tuple[HostId, ...]:
        """Return up to ``OBSERVER_COUNT`` hosts, most responsible first."""
        zones = frozenset(instance.availability_zone for instance in service.instances)
        choice = self._choices.get(service.name)
        if choice is None or choice.zones != zones:
            choice = self._choose(service, zones)
            self._choices[service.name] = choice
        return choice.hosts

    def _choose(self, service: Service, zones: frozenset[AvailabilityZone]) -> _Choice:
        key = observer_key(service.name)
        firsts = [owner_of(key, self._by_zone.get(zone, ())) for zone in zones]
        spread = [host for host in firsts if host is not None]
        if len(spread) < OBSERVER_COUNT:
            hosts = tuple(choose_observers(service, self._directory))
        else:
            ranked = rank_members(key, spread)[:OBSERVER_COUNT]
            hosts = tuple(HostId(host) for host in ranked)
        missing = zones.difference(self._zones[host] for host in hosts)
        return _Choice(zones, hosts, len(spread) >= OBSERVER_COUNT, missing)


def _is_concerned(
    name: ServiceName, choice: _Choice, come: Mapping[HostId, AvailabilityZone]
) -> bool:
    if len(choice.hosts) < OBSERVER_COUNT:
        return bool(come)
    last = choice.hosts[-1]
    key = observer_key(name)
    for host, zone in come.items():
        if zone not in choice.zones and choice.is_spread:
            continue
        # Where a zone with an instance had no host, its first one comes before any other.
        if (zone in choice.missing and not choice.is_spread) or outranks(key, host, last):
            return True
    return False
