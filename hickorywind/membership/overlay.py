"""Overlay network: the few neighbours that each host probes and sends changed records to.

Rings in hash order within the availability zone and within the region keep the graph connected for
any number of hosts; the out-degree is constant. Only a few gateway hosts of each zone have
neighbours in other regions, because traffic between regions is billed by volume.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from functools import lru_cache

import xxhash

from hickorywind.ids import AvailabilityZone, HostId, Region
from hickorywind.membership.directory import Directory
from hickorywind.placement.rendezvous import rank_members
from hickorywind.protocol.records import MemberRecord, MemberState

RING_SUCCESSORS = 2
RANDOM_NEIGHBOURS = 1
GATEWAYS_PER_ZONE = 2
REMOTE_NEIGHBOURS_PER_REGION = 2


@lru_cache(maxsize=8192)
def _ring_position(ring: str, host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(f"{ring}\0{host}".encode())


def _successors(ring: str, own_host: HostId, hosts: Iterable[HostId]) -> list[HostId]:
    origin = _ring_position(ring, own_host)
    others = (host for host in hosts if host != own_host)
    ordered = sorted(others, key=lambda host: (_ring_position(ring, host) - origin) % 2**64)
    return ordered[:RING_SUCCESSORS]


class Overlay:
    """Neighbours of one host, computed from the members that it knows."""

    def __init__(self, own_host: HostId, zone: AvailabilityZone, directory: Directory) -> None:
        self._own_host = own_host
        self._zone = zone
        self._directory = directory

    def neighbours(self) -> Sequence[MemberRecord]:
        """Return the hosts to probe and to send changed records to, without duplicates."""
        alive = {
            member.host: member
            for member in self._directory.members
            if member.state is MemberState.ALIVE and member.host != self._own_host
        }
        local = [host for host, member in alive.items() if self._is_local(member)]
        same_zone = [host for host in local if alive[host].availability_zone == self._zone]
        chosen = [
            *_successors("zone", self._own_host, same_zone),
            *_successors("region", self._own_host, local),
            *rank_members(self._own_host, local)[:RANDOM_NEIGHBOURS],
            *self._remote_neighbours(alive, same_zone),
        ]
        return [alive[host] for host in dict.fromkeys(chosen)]

    def _region(self, zone: AvailabilityZone) -> Region | None:
        return self._directory.region_of(zone)

    def _is_local(self, member: MemberRecord) -> bool:
        region = self._region(member.availability_zone)
        own_region = self._region(self._zone)
        return region is None or own_region is None or region == own_region

    def _remote_neighbours(
        self, alive: dict[HostId, MemberRecord], same_zone: list[HostId]
    ) -> list[HostId]:
        gateways = rank_members("gateway", [*same_zone, self._own_host])[:GATEWAYS_PER_ZONE]
        if self._own_host not in gateways:
            return []
        by_region: dict[Region | None, list[HostId]] = {}
        for host, member in alive.items():
            if not self._is_local(member):
                by_region.setdefault(self._region(member.availability_zone), []).append(host)
        return [
            HostId(host)
            for hosts in by_region.values()
            for host in rank_members(self._own_host, hosts)[:REMOTE_NEIGHBOURS_PER_REGION]
        ]
