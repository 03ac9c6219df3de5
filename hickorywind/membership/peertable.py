"""What one host knows of the others: whom it greets, who is alive, silent or leaving.

A host hears from its neighbours itself. Of all others it knows only the exceptions that neighbours
report: hosts that are silent or leaving. A host without such a report is alive if this host hears
from any host in its availability zone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.failover.leadership import PERMIT_DURATION, HostRecord
from hickorywind.ids import AvailabilityZone, HostId
from hickorywind.membership.neighbours import (
    FULL_MESH_SIZE,
    choose_neighbours,
    count_neighbours,
)
from hickorywind.protocol.hoststatus import PeerStatus
from hickorywind.protocol.messages import PeerReport
from hickorywind.util.clock import Clock, Instant, milliseconds, to_milliseconds

ALIVE_WINDOW = timedelta(milliseconds=3500)  # longer than three lost greetings in a row
SILENT_AFTER = timedelta(milliseconds=2500)  # longer than a process takes to restart
# A silent host counts towards the quorum until its permit has expired: until then this host itself
# may be the isolated one.
EXPECTED_WINDOW = SILENT_AFTER + PERMIT_DURATION + timedelta(seconds=2)
# After this time without any of its hosts a zone counts as lost, not as cut off for a moment.
ZONE_SILENCE_LIMIT = timedelta(seconds=10)
ZONE_ANSWER_WINDOW = timedelta(milliseconds=1500)  # for one answer out of two greetings
ZONE_MIN_HOSTS = 3  # of a zone with fewer hosts all may end at once
REPORT_LIFETIME = timedelta(seconds=4)  # a report is repeated each second while it holds
MISSED_GREETINGS_UNTIL_UNRESPONSIVE = 2


@dataclass
class PeerState:
    """Knowledge of one other host; ``last_heard`` counts only while it is greeted."""

    record: HostRecord
    last_heard: Instant
    is_greeted: bool = False
    missed_greetings: int = 0
    is_leaving: bool = False
    holds_permit: bool = False
    reported_at: Instant | None = None
    silent_since: Instant | None = None


@dataclass(frozen=True)
class _Neighbours:
    unresponsive: set[HostId]
    hosts: frozenset[HostId]


@dataclass(frozen=True)
class _Alive:
    heard_zones: set[AvailabilityZone]
    observed: dict[HostId, bool]
    hosts: tuple[HostId, ...]


@dataclass(frozen=True)
class _Active:
    alive: tuple[HostId, ...]
    leaving: set[HostId]
    hosts: tuple[HostId, ...]


@dataclass
class PeerTable:
    """Other hosts of the fleet and what is known of them."""

    own_host: HostId
    own_zone: AvailabilityZone
    clock: Clock
    states: dict[HostId, PeerState] = field(default_factory=dict)
    _zones_heard: dict[AvailabilityZone, Instant] = field(default_factory=dict)
    # When a host of the zone answered a greeting in time.
    _zones_answered: dict[AvailabilityZone, Instant] = field(default_factory=dict)
    # When one did so after a pause.
    _zones_back: dict[AvailabilityZone, Instant] = field(default_factory=dict)
    # Hosts that are greeted or were reported. Only these can be silent or leaving, so most methods
    # look at these few instead of at the whole fleet.
    _observed: set[HostId] = field(default_factory=set)
    # Answers that take the whole fleet into account, and what they were computed from: a fleet
    # seldom changes, and each greeting asks for them.
    _zones: dict[HostId, AvailabilityZone] = field(default_factory=dict)
    _neighbours: _Neighbours | None = None
    _alive: dict[timedelta, _Alive] = field(default_factory=dict)  # by window
    _active: _Active | None = None

    def add(self, record: HostRecord) -> PeerState:
        """Add a host, or replace what is known of an older incarnation."""
        now = self.clock.now()
        self._zones_heard.setdefault(record.zone, now)
        self._zones_answered.setdefault(record.zone, now)
        self._observed.discard(record.host)
        state = self.states[record.host] = PeerState(record, now)
        self._zones[record.host] = record.zone
        self._forget_answers()
        return state

    def remove(self, host: HostId) -> None:
        """Forget a host."""
        self.states.pop(host, None)
        self._observed.discard(host)
        self._zones.pop(host, None)
        self._forget_answers()

    def _forget_answers(self) -> None:
        self._neighbours = None
        self._alive.clear()

    def update_neighbours(self) -> frozenset[HostId]:
        """Choose the hosts to greet and return them."""
        unresponsive = {
            host
            for host, state in self._observed_states()
            if state.missed_greetings >= MISSED_GREETINGS_UNTIL_UNRESPONSIVE
            or self._is_reported_silent(state)
        }
        if self._neighbours is None or self._neighbours.unresponsive != unresponsive:
            chosen = choose_neighbours(self.own_host, self.own_zone, self._zones, unresponsive)
            self._neighbours = _Neighbours(unresponsive, chosen)
        chosen = self._neighbours.hosts
        for host in self._observed | chosen:
            state = self.states[host]
            is_greeted = host in chosen
            if is_greeted and not state.is_greeted:
                state.last_heard = self._assumed_last_heard(state)
            state.is_greeted = is_greeted
        reported = {host for host, state in self._observed_states() if self._has_report(state)}
        self._observed = reported | chosen
        return chosen

    def _observed_states(self) -> list[tuple[HostId, PeerState]]:
        return [(host, self.states[host]) for host in sorted(self._observed)]

    def _assumed_last_heard(self, state: PeerState) -> Instant:
        if self._is_reported_silent(state):
            return state.silent_since
        # ``last_heard`` is the time at which the host became known, if it was never greeted.
        return max(state.last_heard, self._zones_heard[state.record.zone])

    # Messages of other hosts -------------------------------------------------------------------

    def record_heard(self, host: HostId) -> None:
        """Record that a greeted host answered just now."""
        state = self.states.get(host)
        if state is not None:
            now = self.clock.now()
            state.last_heard = self._zones_heard[state.record.zone] = now
            state.missed_greetings = 0

    def record_answer(self, host: HostId) -> None:
        """Record that a host answered a greeting in time."""
        state = self.states.get(host)
        if state is None:
            return
        now, zone = self.clock.now(), state.record.zone
        if now > self._zones_answered[zone] + ZONE_ANSWER_WINDOW:
            self._zones_back[zone] = now
        self._zones_answered[zone] = now

    def record_reports(self, reports: Iterable[PeerReport]) -> None:
        """Record what another host reported of hosts that this one does not greet."""
        now = self.clock.now()
        for report in reports:
            state = self.states.get(report.host)
            if state is None or state.is_greeted:
                continue
            if state.record.incarnation != report.incarnation:
                continue
            reported_at = now - milliseconds(report.age_ms)
            if state.reported_at is not None and state.reported_at >= reported_at:
                continue
            self._observed.add(report.host)
            state.reported_at = reported_at
            state.is_leaving = report.is_leaving
            silent = report.silent_ms
            state.silent_since = None if silent is None else now - milliseconds(silent)

    def make_reports(self) -> tuple[PeerReport, ...]:
        """Return the silent and leaving hosts, to report to other hosts.

        Return none for a full mesh, and none while this host itself may be isolated.
        """
        if len(self.states) < FULL_MESH_SIZE or not self.sees_majority():
            return ()
        now = self.clock.now()
        reports = (self._make_report(host, state, now) for host, state in self._observed_states())
        return tuple(report for report in reports if report is not None)

    def _make_report(self, host: HostId, state: PeerState, now: Instant) -> PeerReport | None:
        is_silent = self._is_silent(state)
        if not is_silent and not state.is_leaving:
            return None
        if state.is_greeted:
            reported_at, silent_since = now, state.last_heard
        elif self._has_report(state):
            reported_at, silent_since = state.reported_at, state.silent_since
        else:
            return None
        silent_ms = int(to_milliseconds(now - silent_since)) if is_silent else None
        age_ms = int(to_milliseconds(now - reported_at))
        return PeerReport(host, state.record.incarnation, silent_ms, state.is_leaving, age_ms)

    def _has_report(self, state: PeerState) -> bool:
        if state.reported_at is None:
            return False
        return self.clock.now() < state.reported_at + REPORT_LIFETIME

    def _is_reported_silent(self, state: PeerState) -> bool:
        return self._has_report(state) and state.silent_since is not None

    def _is_silent(self, state: PeerState) -> bool:
        if state.is_greeted:
            return state.last_heard < self.clock.now() - SILENT_AFTER
        return self._is_reported_silent(state)

    # Views -------------------------------------------------------------------------------------

    def alive(self, window: timedelta = ALIVE_WINDOW) -> tuple[HostId, ...]:
        """Return the other hosts that are alive as far as this host can tell.

        Hosts, or their zones, that were not heard within ``window`` don't count. The same tuple is
        returned until the answer changes.
        """
        oldest = self.clock.now() - window
        heard_zones = {zone for zone, heard in self._zones_heard.items() if heard >= oldest}
        observed = {
            host: self._is_alive(state, oldest, heard_zones)
            for host, state in self._observed_states()
        }
        known = self._alive.get(window)
        if known is None or known.heard_zones != heard_zones or known.observed != observed:
            hosts = tuple(
                host
                for host, zone in self._zones.items()
                if observed.get(host, zone in heard_zones)
            )
            known = self._alive[window] = _Alive(heard_zones, observed, hosts)
        return known.hosts

    def _is_alive(
        self, state: PeerState, oldest: Instant, heard_zones: set[AvailabilityZone]
    ) -> bool:
        if state.is_greeted:
            return state.last_heard >= oldest
        return state.record.zone in heard_zones and not self._is_reported_silent(state)

    def active(self) -> tuple[HostId, ...]:
        """Return the alive other hosts that are not stopping.

        The same tuple is returned until the answer changes.
        """
        leaving = {host for host, state in self._observed_states() if self._is_leaving(state)}
        alive = self.alive()
        known = self._active
        if known is None or known.alive is not alive or known.leaving != leaving:
            hosts = tuple(host for host in alive if host not in leaving)
            known = self._active = _Active(alive, leaving, hosts)
        return known.hosts

    def _is_leaving(self, state: PeerState) -> bool:
        return state.is_leaving and (state.is_greeted or self._has_report(state))

    def silent_hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts that are silent, as heard or as reported."""
        return tuple(state.record for _, state in self._observed_states() if self._is_silent(state))

    def is_zone_out_of_reach(self, zone: AvailabilityZone) -> bool:
        """Return whether the hosts of a zone stopped answering in time together, a moment ago.

        The way to it is a likelier cause than the end of all of them. Once they answer again, what
        was reported meanwhile has to lapse.
        """
        if sum(each == zone for each in self._zones.values()) < ZONE_MIN_HOSTS:
            return False
        now, answered_at = self.clock.now(), self._zones_answered[zone]
        if zone in self._zones_back and now < self._zones_back[zone] + REPORT_LIFETIME:
            return True
        return answered_at + ZONE_ANSWER_WINDOW < now < answered_at + ZONE_SILENCE_LIMIT

    def silent_since(self, host: HostId) -> Instant:
        """Return since when a silent host has been silent."""
        state = self.states[host]
        return state.last_heard if state.is_greeted else state.silent_since

    def has_missed_greeting(self, host: HostId) -> bool:
        """Return whether a host did not answer the last greeting of this one."""
        state = self.states.get(host)
        return state is not None and state.is_greeted and state.missed_greetings > 0

    def expected_count(self) -> int:
        """Return how many other hosts count towards the majority."""
        unexpected = sum(not self._is_expected(state) for _, state in self._observed_states())
        return len(self.states) - unexpected

    def _is_expected(self, state: PeerState) -> bool:
        oldest = self.clock.now() - EXPECTED_WINDOW
        if state.is_greeted:
            return state.last_heard >= oldest
        return not self._is_reported_silent(state) or state.silent_since >= oldest

    def sees_majority(self) -> bool:
        """Return whether this host and the alive others are a majority of the expected hosts."""
        return len(self.alive()) * 2 >= self.expected_count()

    def voters(self) -> tuple[HostId, ...]:
        """Return the alive neighbours, which are asked about a backend server."""
        oldest = self.clock.now() - ALIVE_WINDOW
        return tuple(
            host
            for host, state in self._observed_states()
            if state.is_greeted and state.last_heard >= oldest
        )

    def is_quorum(self, count: int) -> bool:
        """Return whether this host and ``count`` neighbours are a majority of the expected ones.

        Otherwise this host itself may be isolated.
        """
        greeted = (state for _, state in self._observed_states() if state.is_greeted)
        return count * 2 >= sum(self._is_expected(state) for state in greeted)

    def required_confirmations(self) -> int:
        """Return how many neighbours, half of them or more, confirm the lease of this host.

        They and this host are a majority of a fleet in which all hosts greet each other.
        """
        return (count_neighbours(self.own_zone, self._zones) + 1) // 2

    def any_holds_permit(self) -> bool:
        """Return whether an active neighbour holds a permit to use primaries."""
        return any(
            self.states[host].holds_permit and not self._is_leaving(self.states[host])
            for host in self.voters()
        )

    def describe(self) -> tuple[PeerStatus, ...]:
        """Return the status of each other host."""
        now = self.clock.now()
        alive = set(self.alive())
        statuses = []
        for host, state in sorted(self.states.items()):
            heard = now - state.last_heard if state.is_greeted else None
            statuses.append(
                PeerStatus(
                    host,
                    state.record.zone,
                    None if heard is None else int(to_milliseconds(heard)),
                    self._is_leaving(state),
                    state.holds_permit,
                    host in alive,
                )
            )
        return tuple(statuses)
