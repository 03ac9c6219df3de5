"""Assign a home to each backend server and follow changes of hosts at small cost.

The owner by rendezvous hashing changes only where the old owner goes or a new host outranks it, so
one host's change is compared with the homes held instead of all being computed again.
"""

from __future__ import annotations

from collections.abc import Mapping

from hickorywind.ids import AvailabilityZone, BackendId, HostId
from hickorywind.placement.rendezvous import outranks, owner_of


class Homes:
    """Hold the home of each backend server.

    It is a host of the backend server's availability zone, or any host where that zone has none.
    Only usable hosts are added here.
    """

    def __init__(self) -> None:
        self._zones: dict[HostId, AvailabilityZone] = {}
        self._hosts: dict[AvailabilityZone, set[HostId]] = {}
        self._backends: dict[BackendId, AvailabilityZone] = {}
        self._homes: dict[BackendId, HostId] = {}

    def set_backends(self, backends: Mapping[BackendId, AvailabilityZone]) -> None:
        """Follow a new configuration; homes of backend servers that stay are kept."""
        self._homes = {
            backend: home
            for backend, home in self._homes.items()
            if backends.get(backend) == self._backends[backend]
        }
        self._backends = dict(backends)

    def add(self, host: HostId, zone: AvailabilityZone) -> None:
        """Take in a usable host, or one that has changed its availability zone."""
        if self._zones.get(host) == zone:
            return
        self.remove(host)
        self._zones[host] = zone
        self._hosts.setdefault(zone, set()).add(host)
        for backend, home in self._homes.items():
            if self._takes_over(host, zone, backend, home):
                self._homes[backend] = host

    def _takes_over(
        self, host: HostId, zone: AvailabilityZone, backend: BackendId, home: HostId
    ) -> bool:
        wanted = self._backends[backend]
        is_home_local = self._zones[home] == wanted
        if (zone == wanted) != is_home_local:
            return zone == wanted
        return outranks(backend, host, home)

    def remove(self, host: HostId) -> None:
        """Drop a host that is not usable any more."""
        zone = self._zones.pop(host, None)
        if zone is None:
            return
        self._hosts[zone].discard(host)
        self._homes = {backend: home for backend, home in self._homes.items() if home != host}

    def home_of(self, backend: BackendId) -> HostId | None:
        """Return the home of a backend server, None where there is no host or it is not known."""
        zone = self._backends.get(backend)
        if zone is None:
            return None
        if backend not in self._homes:
            owner = owner_of(backend, self._hosts.get(zone) or self._zones)
            if owner is None:
                return None
            self._homes[backend] = HostId(owner)
        return self._homes[backend]
