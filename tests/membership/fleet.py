"""Run many membership cores in one process over a fake network with a hand-moved clock."""

import heapq
import itertools
import random
from datetime import timedelta

from hickorywind.configuration.model import Configuration, Zone
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation, Region, Revision
from hickorywind.membership.actions import ToAddress, ToPeer
from hickorywind.membership.directory import Directory
from hickorywind.membership.gossip import GossipCore, HostIdentity
from hickorywind.protocol.codec import decode, encode
from hickorywind.protocol.records import ConfigHeadRecord, ConfigRecord, MemberState
from hickorywind.util.clock import milliseconds

TICK = milliseconds(50)
FRAME_BYTES = 54  # TCP/IP and ZMTP headers of one small message
ZONES = ("a", "b", "c")


def learn_regions(directory):
    """Put zones a and b in one region and c in another; for ``Fleet(setup=...)``."""
    zones = tuple(
        Zone(AvailabilityZone(name), Region("far" if name == "c" else "near")) for name in ZONES
    )
    sections = split_sections(Configuration("test", zones, ()))
    records = [ConfigRecord(name, Revision(1), text) for name, text in sections.items()]
    directory.merge((*records, ConfigHeadRecord(Revision(1), digest_sections(sections))))


class Fleet:
    """Hosts are numbered; host i has address 10.0.0.0:i and zone ZONES[i % 3]."""

    def __init__(self, count, seed=1, setup=None):
        self.rng = random.Random(seed)
        self.now = timedelta(seconds=1)
        self.setup = setup or (lambda directory: None)
        self.cores = {}
        self.stopped = set()
        self.frozen = {}
        self.is_cut = lambda a, b: False
        self.sent_bytes = 0
        self.sent_messages = 0
        self.between_regions_bytes = 0
        self.queue = []
        self.tie = itertools.count()
        for index in range(count):
            self.start(index)

    def start(self, index, incarnation=1):
        identity = HostIdentity(
            HostId(f"h{index}"), AvailabilityZone(ZONES[index % 3]), Address("10.0.0.0", index)
        )
        directory = Directory()
        self.setup(directory)
        seeds = [Address("10.0.0.0", seed) for seed in range(3)]
        rng = random.Random(self.rng.random())
        self.cores[index] = GossipCore(identity, Incarnation(incarnation), directory, rng, seeds)
        self.stopped.discard(index)
        phase = TICK * self.rng.random()
        heapq.heappush(self.queue, (self.now + phase, next(self.tie), self.tick, index))

    def tick(self, index):
        if index in self.stopped:
            return
        resume = self.frozen.get(index)
        if resume is not None and resume > self.now:
            heapq.heappush(self.queue, (resume, next(self.tie), self.tick, index))
            return
        self.dispatch(index, self.cores[index].tick(self.now))
        self.cores[index].take_news()
        heapq.heappush(self.queue, (self.now + TICK, next(self.tie), self.tick, index))

    def dispatch(self, index, actions):
        for action in actions:
            match action.target:
                case ToAddress(address):
                    target = address.port
                case ToPeer(peer):
                    target = int(peer)
            data = encode(action.message)
            self.sent_bytes += len(data) + FRAME_BYTES
            self.sent_messages += 1
            if (index % 3 == 2) != (target % 3 == 2):
                self.between_regions_bytes += len(data) + FRAME_BYTES
            delay = milliseconds(1 + self.rng.random() * 2)
            arrival = (self.now + delay, next(self.tie), self.deliver, (index, target, data))
            heapq.heappush(self.queue, arrival)

    def deliver(self, item):
        sender, target, data = item
        if target in self.stopped or target not in self.cores or self.is_cut(sender, target):
            return
        resume = self.frozen.get(target)
        if resume is not None and resume > self.now:
            heapq.heappush(self.queue, (resume, next(self.tie), self.deliver, item))
            return
        source = ToPeer(str(sender).encode())
        self.dispatch(target, self.cores[target].receive(self.now, source, decode(data)))

    def run(self, duration, until=None):
        """Advance; with ``until`` stop once it holds and return the time taken, else None."""
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

    def running(self):
        return [index for index in self.cores if index not in self.stopped]

    def agree(self):
        """All running hosts hold equal tables in which exactly the running ones are alive."""
        running = self.running()
        digests = {self.cores[index].directory.table.digest for index in running}
        if len(digests) != 1:
            return False
        alive = {f"h{index}" for index in running}
        return all(self.alive(index) == alive for index in running) and not any(
            member.state is MemberState.SUSPECT
            for index in running
            for member in self.cores[index].directory.members
        )

    def alive(self, index):
        members = self.cores[index].directory.members
        return {member.host for member in members if member.state is MemberState.ALIVE}
