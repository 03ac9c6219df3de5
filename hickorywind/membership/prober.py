"""Failure detection of hosts by direct and indirect probes of a few neighbours.

After Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002; unlike there, only neighbours of the overlay are probed, so that links
stay open and their number is constant.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import Address, HostId, Incarnation
from hickorywind.membership.actions import Endpoint, Send, ToAddress
from hickorywind.membership.directory import Directory
from hickorywind.membership.overlay import Overlay
from hickorywind.protocol.messages import IndirectPing, IndirectPingAck, Ping
from hickorywind.protocol.records import MemberRecord, MemberState, Record
from hickorywind.util.clock import Instant

PROBE_INTERVAL = timedelta(milliseconds=500)
ACK_TIMEOUT = timedelta(milliseconds=400)
INDIRECT_ACK_TIMEOUT = timedelta(milliseconds=600)
INDIRECT_PROBER_COUNT = 2
SUSPICION_TIMEOUT = timedelta(milliseconds=1500)
LEAVING_TIMEOUT = timedelta(seconds=30)
RECONNECT_INTERVAL = timedelta(seconds=5)
ISOLATED_RECONNECT_INTERVAL = timedelta(milliseconds=500)
RELAY_TIMEOUT = timedelta(seconds=2)
_TIMEOUT_BY_STATE = {
    MemberState.SUSPECT: SUSPICION_TIMEOUT,
    MemberState.LEAVING: LEAVING_TIMEOUT,
}


@dataclass(frozen=True)
class StateChange:
    """New state that the failure detector assigns to a host in one incarnation."""

    host: HostId
    incarnation: Incarnation
    state: MemberState


@dataclass
class _Probe:
    member: MemberRecord
    deadline: Instant
    is_indirect: bool = False


@dataclass(frozen=True)
class _Relay:
    source: Endpoint
    sequence: int
    target: HostId
    deadline: Instant


class Prober:
    """Failure detector of one host; reports a ``StateChange`` for each host that stays silent."""

    def __init__(
        self,
        own_host: HostId,
        directory: Directory,
        overlay: Overlay,
        rng: random.Random,
        seeds: Sequence[Address],
    ) -> None:
        self.seeds = tuple(seeds)
        self._own_host = own_host
        self._directory = directory
        self._overlay = overlay
        self._rng = rng
        self._sequence = 0
        self._probe_round: list[HostId] = []
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._deadlines: dict[HostId, tuple[StateChange, Instant]] = {}
        self._next_probe: Instant | None = None
        self._next_reconnect: Instant | None = None
        self.neighbours: Sequence[MemberRecord] = ()

    def refresh_neighbours(self) -> None:
        """Recompute ``neighbours`` after a change of members."""
        self.neighbours = self._overlay.neighbours()

    def update_timer(self, member: MemberRecord, now: Instant) -> None:
        """Start the timeout of a host's new state, if it has one, and stop that of the old one."""
        self._deadlines.pop(member.host, None)
        timeout = _TIMEOUT_BY_STATE.get(member.state)
        if timeout is not None and member.host != self._own_host:
            change = StateChange(member.host, member.incarnation, MemberState.DEAD)
            self._deadlines[member.host] = (change, now + timeout)

    def extend_deadlines(self, pause: timedelta) -> None:
        """Extend deadlines and drop probes after a pause, in which this process saw no answers."""
        self._probes.clear()
        self._relays.clear()
        self._deadlines = {
            host: (change, deadline + pause) for host, (change, deadline) in self._deadlines.items()
        }

    def tick(self, now: Instant) -> Iterator[Send | StateChange]:
        """Return due probes, and state changes for probes and states that have timed out."""
        yield from self._expire_probes(now)
        yield from self._expire_deadlines(now)
        if self._next_probe is None or now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL
            yield from self._probe_next(now)
        if self._next_reconnect is None or now >= self._next_reconnect:
            self._next_reconnect = now + (
                RECONNECT_INTERVAL if self.neighbours else ISOLATED_RECONNECT_INTERVAL
            )
            yield from self._try_reconnect()

    def _expire_probes(self, now: Instant) -> Iterator[Send | StateChange]:
        for sequence, probe in list(self._probes.items()):
            if now < probe.deadline:
                continue
            if probe.is_indirect:
                del self._probes[sequence]
                yield StateChange(probe.member.host, probe.member.incarnation, MemberState.SUSPECT)
            else:
                probe.is_indirect = True
                probe.deadline = now + INDIRECT_ACK_TIMEOUT
                yield from self._send_indirect_pings(sequence, probe.member)
        for sequence, relay in list(self._relays.items()):
            if now >= relay.deadline:
                del self._relays[sequence]

    def _send_indirect_pings(self, sequence: int, target: MemberRecord) -> Iterator[Send]:
        indirect_probers = [member for member in self.neighbours if member.host != target.host]
        count = min(INDIRECT_PROBER_COUNT, len(indirect_probers))
        for prober in self._rng.sample(indirect_probers, count):
            yield Send(ToAddress(prober.controller), IndirectPing(sequence, target.host))

    def _expire_deadlines(self, now: Instant) -> Iterator[StateChange]:
        for host, (change, deadline) in list(self._deadlines.items()):
            if now >= deadline:
                del self._deadlines[host]
                yield change

    def _probe_next(self, now: Instant) -> Iterator[Send]:
        by_host = {member.host: member for member in self.neighbours}
        waiting = {probe.member.host for probe in self._probes.values()}
        while self._probe_round or by_host.keys() - waiting:
            if not self._probe_round:
                self._probe_round = sorted(by_host.keys() - waiting)
                self._rng.shuffle(self._probe_round)
            member = by_host.get(self._probe_round.pop())
            if member is not None and member.host not in waiting:
                sequence = self._next_sequence()
                self._probes[sequence] = _Probe(member, now + ACK_TIMEOUT)
                yield self._ping(sequence, member.controller)
                return

    def _try_reconnect(self) -> Iterator[Send]:
        """Ping a host believed dead and an unknown seed address: a partition may have healed."""
        own = self._directory.member(self._own_host)
        announced = (own,) if own is not None else ()
        others = [member for member in self._directory.members if member.host != self._own_host]
        dead = [member for member in others if member.state is MemberState.DEAD]
        if dead:
            member = self._rng.choice(dead)
            yield self._ping(self._next_sequence(), member.controller, (member, *announced))
        known = {member.controller for member in others if member.state is not MemberState.DEAD}
        if own is not None:
            known.add(own.controller)
        unknown = [seed for seed in self.seeds if seed not in known]
        if unknown:
            yield self._ping(self._next_sequence(), self._rng.choice(unknown), announced)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _ping(self, sequence: int, address: Address, records: tuple[Record, ...] = ()) -> Send:
        digest = self._directory.table.digest
        return Send(ToAddress(address), Ping(sequence, self._own_host, digest, records))

    def handle_ack(self, sequence: int) -> Iterator[Send]:
        """Record the answer to a probe and forward it if another host requested the probe."""
        self._probes.pop(sequence, None)
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            yield Send(relay.source, IndirectPingAck(relay.sequence, relay.target))

    def relay_ping(self, now: Instant, source: Endpoint, message: IndirectPing) -> Iterator[Send]:
        """Ping a host on behalf of another host that got no answer from it."""
        member = self._directory.member(message.target)
        if member is None:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(
            source, message.sequence, message.target, now + RELAY_TIMEOUT
        )
        yield self._ping(sequence, member.controller)
