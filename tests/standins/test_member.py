import random
import unittest
from dataclasses import dataclass, field

from hickorywind.ids import BackendId, InstanceRole, LogPosition, Term
from standins.backend.log import Entry, Journal, Statement
from standins.backend.member import Append, AppendAnswer, Member, RefusedError

NAMES = tuple(BackendId(name) for name in ("a", "b", "c"))
SEEDS = 150
STEPS = 400


class MemoryJournal(Journal):
    def __init__(self):
        super().__init__(None)
        self.records = []

    def write(self, record):
        self.records.append(record)


@dataclass
class Simulation:
    """Simulation of three members over a network that loses, delays and repeats messages."""

    rng: random.Random
    now_s: float = 0.0
    journals: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    network: list = field(default_factory=list)
    acknowledged: dict = field(default_factory=dict)
    promotions: list = field(default_factory=list)
    proposals: int = 0
    written: int = 0

    def __post_init__(self):
        for name in NAMES:
            self.journals[name] = MemoryJournal()
            self.members[name] = self.build(name)
            self.members[name].bootstrap(initial_primary=name == NAMES[0])

    def build(self, name):
        others = tuple(other for other in NAMES if other != name)
        return Member(name, others, lambda: self.now_s, self.journals[name])

    def step(self):
        name = self.rng.choice(NAMES)
        action = self.rng.choices(
            (self.write, self.push, self.deliver, self.propose, self.promote, self.restart),
            weights=(6, 12, 20, 1, 2, 0.3),
        )[0]
        self.now_s += self.rng.random() * 0.05
        action(name)
        self.record_commits()

    def primaries(self):
        return [m for m in self.members.values() if m.role is InstanceRole.PRIMARY]

    def write(self, name):
        member = self.members[name]
        if member.role is InstanceRole.PRIMARY:
            self.written += 1
            member.append(Entry(member.term, (Statement(f"write {self.written}"),)))

    def push(self, name):
        member = self.members[name]
        if member.role is InstanceRole.PRIMARY:
            for other in NAMES:
                if other != name:
                    self.network.append((name, other, member.build_append(other)))

    def deliver(self, _):
        if not self.network:
            return
        index = self.rng.randrange(len(self.network))
        duplicate = self.rng.random() < 0.1
        source, target, message = self.network[index] if duplicate else self.network.pop(index)
        if self.rng.random() < 0.1:
            return
        member = self.members[target]
        match message:
            case Append():
                answer = member.receive_append(message)
                self.network.append((target, source, (message.term, answer)))
            case (term, AppendAnswer() as answer):
                member.receive_answer(source, term, answer)

    def propose(self, _):
        """Propose a new or used term to two members; record one as the promotion target."""
        self.proposals += 1
        proposer = f"p{self.proposals}"
        voters = self.rng.sample(NAMES, 2)
        term = Term(max(m.term for m in self.members.values()) + self.rng.choice((0, 1, 1)))
        try:
            for voter in voters:
                self.members[voter].accept_term(term, proposer, 0)
        except RefusedError:
            return
        target = max(voters, key=lambda voter: self.members[voter].log.last)
        self.promotions.append((target, term, proposer))

    def promote(self, _):
        """Deliver any recorded promotion call, possibly late or more than once."""
        if not self.promotions:
            return
        target, term, proposer = self.rng.choice(self.promotions)
        member = self.members[target]
        try:
            member.check_promotion(term, proposer)
        except RefusedError:
            return
        if member.role is InstanceRole.REPLICA:
            member.become_primary()

    def restart(self, name):
        self.members[name] = self.build(name)
        for record in list(self.journals[name].records):
            self.members[name].restore(record)

    def record_commits(self):
        for member in self.members.values():
            for offset in range(1, member.committed_offset + 1):
                entry = member.log.entry_at(offset)
                known = self.acknowledged.setdefault(offset, entry)
                if known != entry:
                    raise AssertionError(f"offset {offset} committed as {known} and {entry}")

    def check(self):
        terms = [member.term for member in self.primaries()]
        if len(terms) != len(set(terms)):
            raise AssertionError(f"two primaries share a term: {terms}")
        for member in self.primaries():
            if member.term == max(m.term for m in self.members.values()):
                for offset, entry in self.acknowledged.items():
                    if entry.term <= member.term and (
                        member.log.last.offset < offset or member.log.entry_at(offset) != entry
                    ):
                        raise AssertionError(f"newest primary lacks committed offset {offset}")


class MemberTest(unittest.TestCase):
    def test_no_committed_entry_is_lost_on_an_unreliable_network(self):
        committed = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(random.Random(seed))
                for _ in range(STEPS):
                    simulation.step()
                    simulation.check()
                committed += len(simulation.acknowledged)
        self.assertGreater(committed, SEEDS * 5)

    def test_entry_of_an_older_term_commits_only_with_one_of_the_new_term(self):
        member = Member(NAMES[0], NAMES[1:], lambda: 0.0, Journal(None))
        member.bootstrap(initial_primary=True)
        old = member.append(Entry(Term(1)))
        member.accept_term(Term(2), "x", 0)
        member.become_primary()
        answer = AppendAnswer(Term(2), True, old, old.offset, 0, 0.0)
        member.receive_answer(NAMES[1], Term(2), answer)
        self.assertEqual(member.committed_offset, 0)
        both = AppendAnswer(Term(2), True, LogPosition(Term(2), 2), 2, 0, 0.0)
        member.receive_answer(NAMES[1], Term(2), both)
        self.assertEqual(member.committed, LogPosition(Term(2), 2))

    def test_answer_read_late_proves_leadership_only_at_the_time_of_sending(self):
        now_s = [100.0]
        member = Member(NAMES[0], NAMES[1:], lambda: now_s[0], Journal(None))
        member.bootstrap(initial_primary=True)
        member.build_append(NAMES[1])
        now_s[0] += 5.0
        answer = AppendAnswer(Term(1), True, LogPosition(Term(0), 0), 0, 0, 0.0)
        member.receive_answer(NAMES[1], Term(1), answer)
        self.assertGreaterEqual(member.silence_ms, 5_000)
