"""Hosts that share quotas, played without a network on a hand-moved clock."""

import heapq
import itertools
import random
from collections import defaultdict
from datetime import timedelta

from hickorywind.admission.quotas import (
    QUOTA_CALL_TIMEOUT,
    Admitted,
    Ask,
    Exhausted,
    Granted,
    NotKept,
    QuotaAllowance,
    QuotaHomes,
    QuotaLedger,
    ReachableHomes,
)
from hickorywind.ports.catalog import AccountQuota
from hickorywind.util.clock import ManualClock

SLACK = 20.0
WINDOW_S = 5.0
OVERAGE = 0.1
QUOTA_FACTOR = 1.6  # quota in terms of the usual rate
LIKELY_RANKS = (0, 1, 1, 2, 2, 2, 2)
ZONE_COUNT = 6
DETECTION_S = 3.5  # until the others see that a host has gone
HEARING_S = 1.7  # until a host misses the messages of a zone


class Host:
    """One host's allowances and its ledger."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.ledger = QuotaLedger(SLACK)
        self.reachable = ReachableHomes()
        self.allowances = defaultdict(lambda: QuotaAllowance(fleet.rng))
        self.waiting = {}

    def see(self, alive, heard_count=None):
        """Change this host's view of who is alive."""
        known_count = len(self.fleet.hosts) or len(alive)
        self.homes = QuotaHomes.choose(self.name, alive, known_count, heard_count)
        self.apply()

    def apply(self):
        for group in self.ledger.apply(self.fleet.quotas, self.homes, self.fleet.clock.now()):
            self.fleet.after(0.03, self.take_over, group)

    def take_over(self, group):
        """Let the other hosts yield, and settle one way later if none is beyond a cut."""
        rivals = [name for name in self.homes.rivals(group) if name not in self.fleet.down]
        for name in rivals:
            if not self.fleet.is_cut(self.name, name):
                self.fleet.hosts[name].ledger.yield_group(group, self.fleet.clock.now())
        if not any(self.fleet.is_cut(self.name, name) for name in rivals):
            self.fleet.after(0.03, self.confirm, group)

    def confirm(self, group):
        self.ledger.confirm(group, self.fleet.clock.now())


class QuotaFleet:
    """Fleet under load; ``ran`` and ``refused`` hold (seconds, rank) by account."""

    def __init__(self, host_count, seed=1, account_count=85, largest=98.0):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.usual = {f"a{n}": largest * (n + 1) ** -1.188 for n in range(account_count)}
        self.quotas = {
            account: AccountQuota(usual * QUOTA_FACTOR, max(1.0, usual * QUOTA_FACTOR))
            for account, usual in self.usual.items()
        }
        self.ran, self.refused = defaultdict(list), defaultdict(list)
        self.lowered = set()  # accounts whose quota was lowered while the load ran
        self.down = set()
        self.cut = frozenset()
        self.asks = 0
        self._events, self._numbers = [], itertools.count()
        names = [f"h{n}" for n in range(host_count)]
        self.hosts = {}
        self.hosts = {name: Host(self, name) for name in names}
        self.see(names, names)

    # Time ------------------------------------------------------------------------------------

    def at(self, seconds, action, *arguments):
        heapq.heappush(self._events, (seconds, next(self._numbers), action, arguments))

    def now_s(self):
        return self.clock.now().total_seconds()

    def after(self, seconds, action, *arguments):
        self.at(self.now_s() + seconds, action, *arguments)

    def run(self):
        while self._events:
            seconds, _, action, arguments = heapq.heappop(self._events)
            self.clock.advance(timedelta(seconds=seconds) - self.clock.now())
            action(*arguments)

    def load(self, begin_s, end_s, factors=None):
        """Add Poisson arrivals; ``factors`` multiply the usual rate of some accounts."""
        names = list(self.hosts)
        for account, usual in self.usual.items():
            rate, seconds = usual * (factors or {}).get(account, 1.0), begin_s
            while rate and (seconds := seconds + self.rng.expovariate(rate)) < end_s:
                self.at(seconds, self.arrive, self.rng.choice(names), account)

    # Operations ------------------------------------------------------------------------------

    def arrive(self, name, account):
        while name in self.down:  # callers go to another host
            name = self.rng.choice(list(self.hosts))
        host, rank = self.hosts[name], self.rng.choice(LIKELY_RANKS)
        host.allowances[account].record_demand(self.clock.now())
        self.attempt(host, account, rank)

    def attempt(self, host, account, rank, rounds=0):
        waiting = host.waiting.get((account, rank))
        if waiting is not None:
            waiting.append(rounds)
            return
        decision = host.allowances[account].decide(rank, 1, self.clock.now())
        match decision:
            case Ask(wanted) if rounds < 3:
                host.waiting[account, rank] = [rounds]
                self.ask(host, account, rank, wanted, [])
            case _:
                self.end(account, rank, decision)

    def end(self, account, rank, decision):
        log = self.ran if isinstance(decision, Admitted) else self.refused
        log[account].append((self.now_s(), rank))

    def ask(self, host, account, rank, wanted, tried):
        now = self.clock.now()
        home = host.reachable.choose(host.homes, account, tried, now)
        tried.append(home)
        if home is None:
            self.use_own_share(host, account, rank)
        elif home == host.name:
            is_lost = host.reachable.is_home_lost(host.homes, account, home)
            decision = host.ledger.grant(host.name, account, rank, wanted, now, is_lost)
            self.reply(host, account, rank, wanted, tried, now, decision)
        else:
            self.asks += 1
            delay = 0.03 if (int(home[1:]) + int(host.name[1:])) % 2 else 0.002
            is_lost = host.reachable.is_home_lost(host.homes, account, home)
            question = (host.name, account, rank, wanted)
            self.after(delay, self.serve, host, home, question, is_lost, tried, now, delay)

    def is_cut(self, first, second):
        return (
            first in self.down or second in self.down or (first in self.cut) != (second in self.cut)
        )

    def serve(self, host, home, question, is_lost, tried, asked_at, delay):
        _, account, rank, wanted = question
        if self.is_cut(host.name, home):
            timeout = QUOTA_CALL_TIMEOUT.total_seconds() - delay
            self.after(timeout, self.fail, host, home, account, rank, wanted, tried)
            return
        decision = self.hosts[home].ledger.grant(*question, self.clock.now(), is_lost)
        self.after(delay, self.reply, host, account, rank, wanted, tried, asked_at, decision)

    def fail(self, host, home, account, rank, wanted, tried):
        host.reachable.record_failure(home, self.clock.now())
        host.reachable.record_probe(home, home in self.down)
        self.ask(host, account, rank, wanted, tried)

    def reply(self, host, account, rank, wanted, tried, asked_at, decision):
        host.reachable.record_reply(tried[-1])
        allowance, now = host.allowances[account], self.clock.now()
        match decision:
            case Granted(count):
                allowance.record_granted(count, asked_at)
            case Exhausted(wait):
                allowance.record_exhausted(rank, wait, len(self.hosts), now)
            case NotKept():
                self.ask(host, account, rank, wanted, tried)
                return
        for rounds in host.waiting.pop((account, rank)):
            self.attempt(host, account, rank, rounds + 1)

    def use_own_share(self, host, account, rank):
        allowance, now = host.allowances[account], self.clock.now()
        for _ in host.waiting.pop((account, rank)):
            quota, count = self.quotas[account], len(self.hosts)
            self.end(account, rank, allowance.take_own_share(quota, SLACK, count, now))

    # Faults ----------------------------------------------------------------------------------

    def see(self, observers, alive, heard_count=None):
        for name in observers:
            if name not in self.down:
                self.hosts[name].see(alive, heard_count)

    def see_later(self, observers, alive):
        """Change the views of hosts after the detection time, each a little later."""
        everyone = list(self.hosts)
        for name in observers:
            self.after(HEARING_S + 0.5 * self.rng.random(), self.see, [name], everyone, len(alive))
            self.after(DETECTION_S + self.rng.random(), self.see, [name], alive)

    def kill(self, names, restart_s):
        """Kill hosts, which start again with empty memory; the others don't notice in time."""
        self.down |= set(names)
        self.after(restart_s, self.restart, names)

    def restart(self, names):
        self.down -= set(names)
        for name in names:
            self.hosts[name] = Host(self, name)
            self.hosts[name].see(list(self.hosts))

    def separate(self, names, heal_s):
        """Cut hosts off from the others for a time."""
        self.cut = frozenset(names)
        others = [name for name in self.hosts if name not in self.cut]
        self.see_later(names, names)
        self.see_later(others, others)
        self.after(heal_s, self.heal)

    def heal(self):
        self.cut = frozenset()
        for name in self.hosts:
            self.after(1.5 * self.rng.random(), self.see, [name], list(self.hosts))

    def limit(self, account, quota):
        """Lower a limit; hosts learn of it within a second."""
        self.quotas = self.quotas | {account: quota}
        self.lowered.add(account)
        for host in self.hosts.values():
            self.after(self.rng.random(), host.apply)

    # Results ---------------------------------------------------------------------------------

    def worst_excess(self, account, begin_s=0.0):
        """Return the most operations of a window that begins later, less those allowed."""
        quota = self.quotas[account]
        allowed = (quota.rate_per_s * WINDOW_S + quota.burst) * (1 + OVERAGE) + SLACK
        times = [seconds for seconds, _ in self.ran[account] if seconds >= begin_s]
        most, first = 0, 0
        for last, seconds in enumerate(times):
            while times[first] < seconds - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most - allowed

    def count(self, log, account, begin_s, end_s, ranks=(0, 1, 2)):
        return sum(begin_s <= at < end_s and rank in ranks for at, rank in log[account])

    def refused_share(self, begin_s, end_s, accounts):
        refused, ran = (
            sum(self.count(log, account, begin_s, end_s) for account in accounts)
            for log in (self.refused, self.ran)
        )
        return refused / (refused + ran)
