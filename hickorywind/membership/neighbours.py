"""Choice of the few hosts that each host greets.

Up to ``FULL_MESH_SIZE`` hosts greet all others. In a larger fleet each host greets its successors
on a ring of hashes per availability zone, so that the cost per host does not grow with the fleet,
every host is greeted by several others, and every zone is seen from every other one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from functools import lru_cache

import xxhash

from hickorywind.ids import AvailabilityZone, HostId

FULL_MESH_SIZE = 16  # hosts, this one included
OWN_ZONE_NEIGHBOURS = 3
OTHER_ZONE_NEIGHBOURS = 1
# A zone in which all hosts are silent costs at most this many greetings more.
MAX_SUBSTITUTES_PER_ZONE = 2


def choose_neighbours(
    own_host: HostId,
    own_zone: AvailabilityZone,
    zones: Mapping[HostId, AvailabilityZone],
    unresponsive: Collection[HostId],
) -> frozenset[HostId]:
    """Return the hosts to greet out of ``zones``, which holds the zone of every other host.

    For each host in ``unresponsive`` a substitute is chosen in its zone. It is still greeted, so
    that its return is noticed.
    """
    if len(zones) < FULL_MESH_SIZE:
        return frozenset(zones)
    by_zone: dict[AvailabilityZone, list[HostId]] = {}
    for host, zone in zones.items():
        by_zone.setdefault(zone, []).append(host)
    origin = _ring_position(own_host)
    chosen: set[HostId] = set()
    for zone, hosts in by_zone.items():
        count = OWN_ZONE_NEIGHBOURS if zone == own_zone else OTHER_ZONE_NEIGHBOURS
        most = count + MAX_SUBSTITUTES_PER_ZONE
        ring = sorted(hosts, key=lambda host: (_ring_position(host) - origin) % 2**64)
        responsive = 0
        for host in ring[:most]:
            chosen.add(host)
            responsive += host not in unresponsive
            if responsive == count:
                break
    return frozenset(chosen)


def count_neighbours(own_zone: AvailabilityZone, zones: Mapping[HostId, AvailabilityZone]) -> int:
    """Return how many of the hosts in ``zones`` are greeted while all of them respond."""
    if len(zones) < FULL_MESH_SIZE:
        return len(zones)
    sizes = Counter(zones.values())
    own_count = min(OWN_ZONE_NEIGHBOURS, sizes.pop(own_zone, 0))
    return own_count + OTHER_ZONE_NEIGHBOURS * len(sizes)


@lru_cache(maxsize=4096)
def _ring_position(host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
