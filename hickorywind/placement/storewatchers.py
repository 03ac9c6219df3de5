"""Choice of the hosts of an availability zone whose controllers watch the store."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.ids import AvailabilityZone, HostId
from hickorywind.membership.directory import Directory
from hickorywind.placement.rendezvous import rank_members
from hickorywind.protocol.records import MemberState

STORE_WATCHERS_PER_ZONE = 2


def choose_store_watchers(zone: AvailabilityZone, directory: Directory) -> Sequence[HostId]:
    """Return the hosts of a zone that watch the store; their number does not grow with the zone."""
    hosts = [
        member.host
        for member in directory.members
        if member.availability_zone == zone
        and member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    ]
    return [HostId(host) for host in rank_members("watch-store", hosts)[:STORE_WATCHERS_PER_ZONE]]
