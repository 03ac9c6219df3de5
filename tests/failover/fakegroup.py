"""Simulation of group monitors and the stand-in's replication protocol on a simulated clock."""

import heapq
import itertools
import random
from datetime import timedelta

from hickorywind.failover.actions import (
    AcceptTerm,
    NoAnswer,
    PollStatus,
    PromoteBackend,
    PublishGroup,
    PublishLeaving,
    Refusal,
)
from hickorywind.failover.group import GroupMonitor
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, ServiceName, Term
from hickorywind.util.clock import milliseconds
from standins.backend.log import Entry, Journal
from standins.backend.member import Member, RefusedError

SERVICE = ServiceName("s")
HEARTBEAT = milliseconds(50)
TICK = milliseconds(20)
CALL_TIMEOUT = milliseconds(500)
WRITE_INTERVAL = milliseconds(30)


class MemoryJournal(Journal):
    """Journal that keeps its records over a restart of the instance."""

    def __init__(self):
        super().__init__(None)
        self.records = []

    def write(self, record):
        self.records.append(record)


class FakeGroup:
    """Simulated database group: instances b0.., observers o0..; faults apply to these names.

    ``acknowledged`` holds every entry that a writer was told is committed, ``leaders_by_term``
    every instance that ever led.
    """

    def __init__(self, instances=3, observers=3, seed=0, policy=None):
        self.rng = random.Random(seed)
        self.now = timedelta(seconds=1)
        self.sequence = itertools.count()
        self.queue = []
        self.policy = policy or FailoverPolicy()
        self.backends = [BackendId(f"b{index}") for index in range(instances)]
        self.journals = {backend: MemoryJournal() for backend in self.backends}
        self.members = {}
        self.down = set()
        self.frozen = {}
        self.cuts = set()
        self.leaving = set()
        self.open_transactions = {}
        self.record = None
        self.leaving_records = {}
        self.acknowledged = {}
        self.leaders_by_term = {}
        self.promotions = []
        self.violations = []
        self.accept_requests = 0
        for backend in self.backends:
            self.start(backend)
        self.members[self.backends[0]].bootstrap(True)
        for backend in self.backends[1:]:
            self.members[backend].bootstrap(False)
        self.record_leader(self.backends[0])
        self.monitors = {}
        for index in range(observers):
            rng = random.Random(self.rng.random())
            name = f"o{index}"
            monitor = GroupMonitor(SERVICE, self.backends, name, self.policy, rng)
            monitor.rank = index
            self.monitors[name] = monitor
            self.schedule(TICK * self.rng.random(), self.tick, name)
        self.schedule(HEARTBEAT, self.replicate, None)
        self.schedule(WRITE_INTERVAL, self.write, None)

    # Time and network ---------------------------------------------------------------------------

    def schedule(self, delay, function, argument):
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), function, argument))

    def run(self, duration):
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            self.now, _, function, argument = heapq.heappop(self.queue)
            function(argument)
        self.now = end

    def seconds(self):
        return self.now.total_seconds()

    def resumes_at(self, name):
        resume = self.frozen.get(name)
        return resume if resume is not None and resume > self.now else None

    def can_talk(self, a, b):
        return frozenset((a, b)) not in self.cuts and a not in self.down and b not in self.down

    def cut(self, a, b):
        self.cuts.add(frozenset((a, b)))

    def isolate(self, name):
        for other in [*self.backends, *self.monitors]:
            if other != name:
                self.cut(name, other)

    def heal(self):
        self.cuts.clear()
        self.frozen.clear()
        for backend in list(self.down):
            self.restart(backend)

    # Instances ----------------------------------------------------------------------------------

    def start(self, backend):
        others = tuple(other for other in self.backends if other != backend)
        member = Member(backend, others, self.seconds, self.journals[backend])
        self.members[backend] = member

    def kill(self, backend):
        self.down.add(backend)

    def restart(self, backend):
        records = list(self.journals[backend].records)
        self.start(backend)
        for record in records:
            self.members[backend].restore(record)
        self.down.discard(backend)

    def record_leader(self, backend):
        member = self.members[backend]
        leaders = self.leaders_by_term.setdefault(member.term, set())
        leaders.add(backend)
        if len(leaders) > 1:
            self.violations.append(f"term {member.term} led by {sorted(leaders)}")
        for offset, entry in self.acknowledged.items():
            if member.log.last.offset < offset or member.log.entry_at(offset) != entry:
                self.violations.append(f"{backend} leads without acknowledged entry {offset}")
                break

    def active_primaries(self):
        return [
            backend
            for backend in self.backends
            if self.members[backend].role is InstanceRole.PRIMARY
            and backend not in self.down
            and self.resumes_at(backend) is None
        ]

    def replicate(self, _):
        for primary in self.active_primaries():
            for other in self.backends:
                is_reachable = other != primary and self.can_talk(primary, other)
                if is_reachable and self.resumes_at(other) is None:
                    self.exchange(primary, other)
        self.schedule(HEARTBEAT / 5, self.replicate, None)

    def exchange(self, primary, other):
        member = self.members[primary]
        if member.role is not InstanceRole.PRIMARY:
            return
        message = member.build_append(other)
        try:
            answer = self.members[other].receive_append(message)
        except RefusedError as error:
            self.violations.append(str(error))
            return
        if self.rng.random() < 0.9:
            member.receive_answer(other, message.term, answer)

    def write(self, _):
        """Append an entry at every instance that acts as primary; acknowledge what commits."""
        for primary in self.active_primaries():
            member = self.members[primary]
            member.append(Entry(member.term, (), str(next(self.sequence))))
            self.acknowledge(member)
        self.schedule(WRITE_INTERVAL, self.write, None)

    def acknowledge(self, member):
        for offset in range(len(self.acknowledged) + 1, member.committed_offset + 1):
            self.acknowledged[offset] = member.log.entry_at(offset)
        shared = min(len(self.acknowledged), member.committed_offset)
        if shared and member.log.entry_at(shared) != self.acknowledged[shared]:
            self.violations.append(f"conflicting acknowledged entries at offset {shared}")

    def status(self, backend):
        member = self.members[backend]
        return BackendStatus(
            backend,
            SERVICE,
            member.role,
            member.term,
            member.proposer,
            member.log.last,
            member.committed,
            member.committed,
            member.silence_ms,
            backend in self.leaving,
            0,
            20,
            member.progress(),
            self.open_transactions.get(backend, 0),
        )

    # Observers ----------------------------------------------------------------------------------

    def tick(self, name):
        resume = self.resumes_at(name)
        if resume is not None:
            self.schedule(resume - self.now, self.tick, name)
            return
        monitor = self.monitors[name]
        monitor.group_record = self.record
        monitor.leaving_records = dict(self.leaving_records)
        self.perform(name, monitor.tick(self.now))
        self.schedule(TICK, self.tick, name)

    def perform(self, name, actions):
        for action in actions:
            match action:
                case PublishGroup(record, is_own_promotion):
                    if is_own_promotion:
                        self.promotions.append((self.now, record))
                    if self.record is None or record.term > self.record.term:
                        self.record = record
                case PublishLeaving(record):
                    self.leaving_records[record.backend] = record
                case _:
                    self.accept_requests += isinstance(action, AcceptTerm)
                    delay = milliseconds(1 + self.rng.random() * 10)
                    self.schedule(delay, self.serve, (name, action, self.now))

    def serve(self, call):
        name, action, asked_at = call
        backend = action.backend
        resume = self.resumes_at(backend)
        if resume is not None:
            if self.now - asked_at < CALL_TIMEOUT:
                self.schedule(
                    CALL_TIMEOUT, self.answer, (name, action, asked_at, NoAnswer("timeout"))
                )
            # The frozen instance carries the call out after it resumes; nobody reads the answer.
            self.schedule(resume - self.now, self.apply_unanswered, action)
            return
        if not self.can_talk(name, backend):
            answer_delay = CALL_TIMEOUT if backend not in self.down else milliseconds(1)
            self.schedule(
                answer_delay, self.answer, (name, action, asked_at, NoAnswer("unreachable"))
            )
            return
        result = self.call(action)
        if self.rng.random() < 0.03:
            self.schedule(CALL_TIMEOUT, self.answer, (name, action, asked_at, NoAnswer("lost")))
            return
        delay = milliseconds(1 + self.rng.random() * 10)
        self.schedule(delay, self.answer, (name, action, asked_at, result))

    def apply_unanswered(self, action):
        if action.backend not in self.down and self.resumes_at(action.backend) is None:
            self.call(action)

    def call(self, action):
        member = self.members[action.backend]
        try:
            match action:
                case AcceptTerm(_, term, proposer, min_silence):
                    member.accept_term(term, proposer, min_silence / milliseconds(1))
                case PromoteBackend(backend, term, proposer):
                    member.check_promotion(term, proposer)
                    if member.role is not InstanceRole.PRIMARY:
                        member.become_primary()
                        self.record_leader(backend)
        except RefusedError as error:
            return Refusal(str(error))
        return self.status(action.backend)

    def answer(self, item):
        name, action, asked_at, result = item
        resume = self.resumes_at(name)
        if resume is not None:
            self.schedule(resume - self.now, self.answer, item)
            return
        monitor = self.monitors[name]
        backend = action.backend
        match action:
            case PollStatus():
                actions = monitor.handle_status_answer(self.now, backend, asked_at, result)
            case AcceptTerm(_, term):
                actions = monitor.handle_accept_answer(self.now, backend, term, result)
            case PromoteBackend(_, term):
                actions = monitor.handle_promote_answer(self.now, backend, term, result)
        self.perform(name, actions)

    def progress_within(self, duration):
        """Advance by ``duration`` and return whether new entries were acknowledged."""
        before = len(self.acknowledged)
        self.run(duration)
        return len(self.acknowledged) > before


def term_of(group):
    return group.record.term if group.record is not None else Term(0)
