"""Which host runs a read, and at which backend server, where hosts share few connections.

Answers two loads. More hosts than connections: if each host opened its own connections, nearly
every operation would open one, which costs the server as much as a short statement. So one host in
the server's zone, its home, runs the reads of all hosts on connections that it keeps. And uneven
demand: a single host sees too few of a server's answers to know how busy it is, its home sees all
of them and reports it with each answer. Reads only: they may run again where an answer is lost.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache

from hickorywind.admission.dispatch import ROUND_TRIPS, ServerState
from hickorywind.ids import AvailabilityZone, BackendId, HostId
from hickorywind.placement.rendezvous import rank_members
from hickorywind.util.clock import Instant

HOME_CONNECTION_SHARE = 0.3  # of a server's connection limit; reads hold theirs for a short time
# A home that did not answer is not asked for this time; others learn of its end in about as long.
SUSPECT_TIME = timedelta(seconds=2)
REPORT_LIFETIME = timedelta(seconds=2)  # an older report says nothing about the present load
_CHOICE_JITTER = 0.2  # hosts with the same reports don't all choose the same server


@lru_cache(maxsize=256)
def _rank_homes(backend: BackendId, hosts: frozenset[HostId]) -> tuple[HostId, ...]:
    return tuple(rank_members(backend, hosts))


class ReadHomes:
    """Homes of the backend servers by one host's view of the hosts that are alive."""

    def __init__(self) -> None:
        self._hosts: dict[AvailabilityZone, frozenset[HostId]] = {}
        self._suspected_until: dict[HostId, Instant] = {}

    def update(self, zones: Mapping[HostId, AvailabilityZone]) -> None:
        """Apply the zones of the hosts that are alive and not leaving, this one included."""
        by_zone: dict[AvailabilityZone, set[HostId]] = {}
        for host, zone in zones.items():
            by_zone.setdefault(zone, set()).add(host)
        self._hosts = {zone: frozenset(hosts) for zone, hosts in by_zone.items()}

    def home_of(self, backend: BackendId, zone: AvailabilityZone, now: Instant) -> HostId | None:
        """Return the home of a server in a zone, or None if no host there is known to answer."""
        for host in _rank_homes(backend, self._hosts.get(zone, frozenset())):
            if not self.is_suspected(host, now):
                return host
        return None

    def is_suspected(self, host: HostId, now: Instant) -> bool:
        """Return whether a home did not answer lately."""
        return now < self._suspected_until.get(host, now)

    def record_silence(self, host: HostId, now: Instant) -> None:
        """Record that a home did not answer."""
        self._suspected_until[host] = now + SUSPECT_TIME


@dataclass(frozen=True, slots=True)
class _Report:
    duration: timedelta
    reported_at: Instant


class ReportedLoads:
    """Durations of reads at each server, queueing included, as their homes report them."""

    def __init__(self) -> None:
        self._reports: dict[BackendId, _Report] = {}

    def record(self, backend: BackendId, duration: timedelta, now: Instant) -> None:
        """Record the duration that a home expects of the next read."""
        self._reports[backend] = _Report(duration, now)

    def expected_duration(self, backend: BackendId, now: Instant) -> timedelta:
        """Return the reported duration; 0 without a recent report, so that the server is tried."""
        report = self._reports.get(backend)
        if report is None or now > report.reported_at + REPORT_LIFETIME:
            return timedelta(0)
        return report.duration


def choose_server(
    servers: Iterable[ServerState],
    primary: BackendId | None,
    loads: ReportedLoads,
    now: Instant,
    rng: random.Random,
) -> ServerState | None:
    """Return the server at which a read is expected to end first, or None if there are none.

    A read at the primary counts as longer, to keep its slots for work that needs it, and one at a
    server that failed a read lately.
    """

    def cost(server: ServerState) -> timedelta:
        duration = loads.expected_duration(server.backend, now)
        duration *= 1 + _CHOICE_JITTER * rng.random()
        penalty = server.read_penalty(server.backend == primary, now)
        return ROUND_TRIPS[server.distance] + duration + penalty

    return min(servers, key=cost, default=None)
