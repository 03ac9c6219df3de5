"""Assignment of a home host to each backend server, updated cheaply when hosts change.

By rendezvous hashing an owner changes only if it is removed or a new host outranks it. A change of
one host is therefore compared with the current homes instead of recomputing all of them.
"""

from __future__ import annotations

from collections.abc import Mapping

from hickorywind.ids import AvailabilityZone, BackendId, HostId
from hickorywind.placement.rendezvous import outranks, owner_of


class HomeAssignments:
    """Home of each backend server: the host whose pool serves it.

    The home is in the backend server's availability zone, or in any zone if that one has no host.
    Callers add only hosts that can be a home.
    """

    def __init__(self) -> None:
        self._zone_of_host: dict[HostId, AvailabilityZone] = {}
        self._hosts_of_zone: dict[AvailabilityZone, set[HostId]] = {}
        self._zone_of_backend: dict[BackendId, AvailabilityZone] = {}
        self._home_of_backend: dict[BackendId, HostId] = {}

    def set_backends(self, backends: Mapping[BackendId, AvailabilityZone]) -> None:
        """Replace the backend servers; those whose zone stays the same keep their home."""
        self._home_of_backend = {
            backend: home
            for backend, home in self._home_of_backend.items()
            if backends.get(backend) == self._zone_of_backend[backend]
        }
        self._zone_of_backend = dict(backends)

    def add_host(self, host: HostId, zone: AvailabilityZone) -> None:
        """Add a usable host, or move a known one to another availability zone."""
        if self._zone_of_host.get(host) == zone:
            return
        self.remove_host(host)
        self._zone_of_host[host] = zone
        self._hosts_of_zone.setdefault(zone, set()).add(host)
        for backend, home in self._home_of_backend.items():
            if self._is_better_home(host, zone, backend, home):
                self._home_of_backend[backend] = host

    def _is_better_home(
        self, host: HostId, zone: AvailabilityZone, backend: BackendId, home: HostId
    ) -> bool:
        backend_zone = self._zone_of_backend[backend]
        is_home_local = self._zone_of_host[home] == backend_zone
        if (zone == backend_zone) != is_home_local:
            return zone == backend_zone
        return outranks(backend, host, home)

    def remove_host(self, host: HostId) -> None:
        """Remove a host that is no longer usable."""
        zone = self._zone_of_host.pop(host, None)
        if zone is None:
            return
        self._hosts_of_zone[zone].discard(host)
        self._home_of_backend = {
            backend: home for backend, home in self._home_of_backend.items() if home != host
        }

    def home_of(self, backend: BackendId) -> HostId | None:
        """Return the home of a backend server, or None if it is unknown or there is no host."""
        zone = self._zone_of_backend.get(backend)
        if zone is None:
            return None
        if backend not in self._home_of_backend:
            owner = owner_of(backend, self._hosts_of_zone.get(zone) or self._zone_of_host)
            if owner is None:
                return None
            self._home_of_backend[backend] = HostId(owner)
        return self._home_of_backend[backend]
