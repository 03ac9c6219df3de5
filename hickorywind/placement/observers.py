"""Choice of the hosts whose controllers observe a database group."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.configuration.model import Service
from hickorywind.ids import AvailabilityZone, HostId, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.placement.rendezvous import rank_members
from hickorywind.protocol.records import MemberState

OBSERVER_COUNT = 3


def observer_key(service: ServiceName) -> str:
    """Return the key by which hosts are ranked as observers of a service."""
    return f"observe/{service}"


def usable_hosts(directory: Directory) -> dict[HostId, AvailabilityZone]:
    """Return the availability zone of each host that may observe groups."""
    return {
        member.host: member.availability_zone
        for member in directory.members
        if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    }


def choose_observers(service: Service, directory: Directory) -> Sequence[HostId]:
    """Return up to ``OBSERVER_COUNT`` hosts, highest rank first.

    If possible, each availability zone that has an instance has an observer, so that a network
    partition between zones leaves an observer on the side of the majority.
    """
    usable = usable_hosts(directory)
    ranked = rank_members(observer_key(service.name), usable)
    first_of_zone: dict[str, str] = {}
    for host in ranked:
        first_of_zone.setdefault(usable[HostId(host)], host)
    zones = {instance.availability_zone for instance in service.instances}
    preferred = [host for zone, host in first_of_zone.items() if zone in zones]
    others = [host for host in ranked if host not in preferred]
    chosen = set([*preferred, *others][:OBSERVER_COUNT])
    return [HostId(host) for host in ranked if host in chosen]
