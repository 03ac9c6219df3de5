"""Simulation of a fleet: many gossipers in one process over a fake network and simulated time."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta
from typing import Any

from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation
from hickorywind.membership.actions import Send, ToAddress, ToPeer
from hickorywind.membership.directory import Directory
from hickorywind.membership.gossip import Gossiper, HostIdentity
from hickorywind.protocol.codec import decode, encode
from hickorywind.protocol.records import MemberState
from hickorywind.util.clock import Instant, milliseconds

TICK = milliseconds(50)
FRAME_BYTES = 54  # TCP/IP and ZMTP headers of one small message
ZONES = tuple(AvailabilityZone(name) for name in ("a", "b", "c"))
_SEED_COUNT = 3


class SimulatedFleet:
    """Gossipers of simulated hosts by host number, with the messages in flight between them.

    Host i has address 10.0.0.0:i; hosts are assigned to the zones in turn. ``setup`` fills each new
    directory; ``is_cut`` returns whether messages from one host to another are lost.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        setup: Callable[[Directory], object] | None = None,
        zones: Sequence[AvailabilityZone] = ZONES,
    ) -> None:
        self.rng = random.Random(seed)
        self.now: Instant = timedelta(seconds=1)
        self.setup = setup or (lambda directory: None)
        self.zones = zones
        self.gossipers: dict[int, Gossiper] = {}
        self.stopped: set[int] = set()
        self.frozen: dict[int, Instant] = {}
        self.is_cut: Callable[[int, int], bool] = lambda sender, target: False
        self.sent_bytes = 0
        self.sent_messages = 0
        self.bytes_by_link: Counter[tuple[AvailabilityZone, AvailabilityZone]] = Counter()
        self.queue: list[tuple[Instant, int, Callable[[Any], None], Any]] = []
        self.sequence = itertools.count()
        for index in range(count):
            self.start(index)

    def start(self, index: int, incarnation: int = 1) -> None:
        """Start or restart a host; its directory holds only what ``setup`` adds."""
        identity = HostIdentity(
            HostId(f"h{index}"),
            self._zone_of(index),
            Address("10.0.0.0", index + 1),
        )
        directory = Directory()
        self.setup(directory)
        seeds = [Address("10.0.0.0", seed + 1) for seed in range(_SEED_COUNT)]
        rng = random.Random(self.rng.random())
        self.gossipers[index] = Gossiper(identity, Incarnation(incarnation), directory, rng, seeds)
        self.stopped.discard(index)
        phase = TICK * self.rng.random()
        self._schedule(self.now + phase, self.tick, index)

    def _zone_of(self, index: int) -> AvailabilityZone:
        return self.zones[index % len(self.zones)]

    def _schedule(self, due: Instant, function: Callable[[Any], None], argument: Any) -> None:
        heapq.heappush(self.queue, (due, next(self.sequence), function, argument))

    def tick(self, index: int) -> None:
        """Run the periodic work of one host and schedule its next tick."""
        if index in self.stopped:
            return
        resume = self.frozen.get(index)
        if resume is not None and resume > self.now:
            self._schedule(resume, self.tick, index)
            return
        self.dispatch(index, self.gossipers[index].tick(self.now))
        self.gossipers[index].take_changed_records()
        self._schedule(self.now + TICK, self.tick, index)

    def dispatch(self, index: int, actions: Iterable[Send]) -> None:
        """Count a host's messages and schedule their delivery after a random delay."""
        for action in actions:
            match action.target:
                case ToAddress(address):
                    target = address.port - 1
                case ToPeer(peer):
                    target = int(peer)
            data = encode(action.message)
            size_bytes = len(data) + FRAME_BYTES
            self.sent_bytes += size_bytes
            self.bytes_by_link[self._zone_of(index), self._zone_of(target)] += size_bytes
            self.sent_messages += 1
            delay = milliseconds(1 + self.rng.random() * 2)
            self._schedule(self.now + delay, self.deliver, (index, target, data))

    def deliver(self, item: tuple[int, int, bytes]) -> None:
        """Deliver a message, unless its receiver is stopped or cut off from the sender."""
        sender, target, data = item
        if target in self.stopped or target not in self.gossipers or self.is_cut(sender, target):
            return
        resume = self.frozen.get(target)
        if resume is not None and resume > self.now:
            self._schedule(resume, self.deliver, item)
            return
        source = ToPeer(str(sender).encode())
        self.dispatch(target, self.gossipers[target].receive(self.now, source, decode(data)))

    def run(self, duration: timedelta, until: Callable[[], bool] | None = None) -> timedelta | None:
        """Run for ``duration``, or until ``until`` holds.

        Return the simulated time until ``until`` held, or None where it did not.
        """
        end = self.now + duration
        begin = self.now
        next_check = self.now
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, argument = heapq.heappop(self.queue)
            function(argument)
            if until is not None and self.now >= next_check:
                next_check = self.now + TICK
                if until():
                    return self.now - begin
        self.now = end
        return None

    def running_hosts(self) -> list[int]:
        """Return the numbers of the running hosts."""
        return [index for index in self.gossipers if index not in self.stopped]

    def has_converged(self) -> bool:
        """Return whether all running hosts hold equal tables listing just them as alive."""
        running_hosts = self.running_hosts()
        digests = {self.gossipers[index].directory.table.digest for index in running_hosts}
        if len(digests) != 1:
            return False
        alive_hosts = {f"h{index}" for index in running_hosts}
        return all(self.alive_hosts(index) == alive_hosts for index in running_hosts) and not any(
            member.state is MemberState.SUSPECT
            for index in running_hosts
            for member in self.gossipers[index].directory.members
        )

    def alive_hosts(self, index: int) -> set[str]:
        """Return the hosts that one host's directory lists as alive."""
        members = self.gossipers[index].directory.members
        return {member.host for member in members if member.state is MemberState.ALIVE}
