"""Quotas of client accounts, summed over all hosts.

Accounts belong to a few groups. One host is the home of a group and keeps a token bucket for each
of its accounts (``QuotaLedger``). Every host asks the home for tokens before it starts operations,
and remembers refusals (``QuotaAllowance``). A host that may not be the only home, because it became
home a moment ago or stands in for another, grants only the pooled even shares of the hosts that ask
it; a home that sees a minority of the hosts grants their even shares. A host that reaches no home
spends its own even share.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache
from itertools import takewhile

from hickorywind.ids import HostId
from hickorywind.placement.rendezvous import owner_of, rank_members
from hickorywind.ports.catalog import AccountId, AccountQuota, PriorityRank
from hickorywind.util.clock import Instant

QUOTA_GROUP_COUNT = 8  # few enough that hosts keep connections to all homes
# Hosts learn of a new home within it; until then the former home may still grant tokens.
QUOTA_SETTLING_TIME = timedelta(seconds=2)
QUOTA_CALL_TIMEOUT = timedelta(milliseconds=250)  # several round trips between regions
UNREACHABLE_TIME = timedelta(seconds=1)  # after a failed call the home is not asked for this time
_HOMES_KEPT = 4  # if that many die at once, hosts spend their own shares until they know
HOMES_TRIED = 2  # for one operation: a second failure points to this host's own link
# A tenth of the shortest judged window (5 s): tokens granted before a window and used within it
# stay below the tolerance of a tenth.
TOKEN_LIFETIME = timedelta(milliseconds=500)
MAX_WANTED = 64  # operations; limits what one host can hold of a large account
# Of the rate, for hosts that may be cut off: with a home at full rate on the other side, the sum
# stays within the tolerance while a sixth of the hosts is cut off.
SHARED_FRACTION = 0.6
# A home that gave a group to another keeps no quotas for this time, in which hosts learn of it.
YIELD_TIME = timedelta(seconds=4)
# Of the rate, for a home that isn't settled: hosts that ask it no longer ask the former home.
SETTLING_FRACTION = 0.8
TOLERANCE = 0.1  # of the rate; a home with a majority leaves the rest to the hosts it doesn't see
SLACK_IN_BURST = 0.5  # of the deployment's slack; small accounts' arrivals are uneven
SLACK_IN_POOL = 0.25  # of the slack, for a bucket that begins or holds pooled shares
_POOL_BURST_S = 0.1  # of the account's rate, for arrivals at the same time
_MIN_CAPACITY = 2.0  # operations
_POOL_IDLE_REFILL_S = 10.0  # time in which a pool that nobody asks regains its part of the slack
_POOL_MEMBERSHIP = timedelta(seconds=4)  # a question brings the host's share for this time
_RESERVE_PER_RANK_S = 0.1  # of the account's rate, which each less urgent rank leaves
_RESERVE_PER_RANK = 0.5  # operations, at least that for each rank
_MAX_RESERVE = 0.4  # of the capacity, left by the least urgent ranks
# After a refusal, in which no tokens are taken in advance: other hosts may need them now.
_SCARCITY = timedelta(seconds=5)
_ASKS_PER_S = 300.0  # of all hosts for one refused account; bounds the work of its home
_MAX_WAIT = timedelta(seconds=2)  # callers that wait longer are lost when the load ends
_MIN_WAIT = timedelta(milliseconds=50)  # shorter refusals would not spare the home questions
_WAIT_JITTER = 0.5  # hosts refused together ask again at different times
_DEMAND_WINDOW_S = 1.0  # smooths one host's arrivals
_EXPECTED_USE_S = 0.25  # half of a token's lifetime, so that few lapse
# After so long without use the level of the own share is drawn again.
_OWN_SHARE_LIFETIME = timedelta(seconds=5)
_GROUPS = tuple(f"quotas-{number}" for number in range(QUOTA_GROUP_COUNT))


class TokenBucket:
    """Bucket of tokens that refills at a steady rate up to its capacity."""

    def __init__(self, rate_per_s: float, capacity: float, level: float, now: Instant) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._level = min(level, capacity)
        self._refilled_at = now

    def level(self, now: Instant) -> float:
        """Refill the bucket and return its tokens."""
        seconds = max(0.0, (now - self._refilled_at).total_seconds())
        self._level = min(self.capacity, self._level + seconds * self.rate_per_s)
        self._refilled_at = max(now, self._refilled_at)
        return self._level

    def set_limits(self, rate_per_s: float, capacity: float, now: Instant) -> None:
        """Change rate and capacity from now on; tokens beyond the capacity are lost."""
        self._level = min(capacity, self.level(now))
        self.rate_per_s, self.capacity = rate_per_s, capacity

    def take(self, count: float, now: Instant) -> bool:
        """Take ``count`` tokens if the bucket holds them; return whether it did."""
        if self.level(now) < count:
            return False
        self._level -= count
        return True

    def wait_for(self, level: float, now: Instant) -> timedelta:
        """Return the time until the bucket holds ``level`` tokens, at most ``_MAX_WAIT``."""
        missing = level - self.level(now)
        if missing <= 0:
            return timedelta(0)
        if missing >= self.rate_per_s * _MAX_WAIT.total_seconds():
            return _MAX_WAIT
        return timedelta(seconds=missing / self.rate_per_s)


@lru_cache(maxsize=4096)
def group_of(account: AccountId) -> str:
    """Return the group of an account."""
    return owner_of(account, _GROUPS)


@lru_cache(maxsize=8)
def _choose_homes(hosts: frozenset[HostId]) -> dict[str, tuple[HostId, ...]]:
    return {group: tuple(rank_members(group, hosts)[:_HOMES_KEPT]) for group in _GROUPS}


@dataclass(frozen=True, slots=True)
class QuotaHomes:
    """Hosts that keep the quotas, by one host's view of the fleet.

    ``orders`` holds for each group the hosts in the order in which they are asked. ``known_count``
    counts all hosts that have not been removed, ``alive_count`` those that are alive; both include
    the host itself. ``heard_count`` counts those of zones heard a moment ago: it shows a cut before
    the hosts beyond it count as gone.
    """

    own_host: HostId
    orders: Mapping[str, tuple[HostId, ...]]
    known_count: int
    alive_count: int
    heard_count: int

    @classmethod
    def choose(
        cls,
        own_host: HostId,
        alive: Iterable[HostId],
        known_count: int,
        heard_count: int | None = None,
    ) -> QuotaHomes:
        """Choose the homes among a host and the others that are alive."""
        hosts = frozenset((own_host, *alive))
        heard_count = len(hosts) if heard_count is None else min(heard_count, len(hosts))
        known_count = max(known_count, len(hosts))
        return cls(own_host, _choose_homes(hosts), known_count, len(hosts), heard_count)

    def order(self, account: AccountId) -> tuple[HostId, ...]:
        """Return the hosts in the order in which they are asked for an account."""
        return self.orders[group_of(account)]

    def rivals(self, group: str) -> tuple[HostId, ...]:
        """Return the hosts that may have been the home of a group before its first host."""
        return self.orders[group][1:]

    @property
    def alive_share(self) -> float:
        """Part of the known hosts that are alive."""
        return self.alive_count / self.known_count

    @property
    def has_majority(self) -> bool:
        """Whether more than half of the hosts are alive, so that no other part of them has."""
        return self.alive_count * 2 > self.known_count

    @property
    def rate_factor(self) -> float:
        """Part of an account's rate that its only home on this side of a cut grants."""
        heard_share = self.heard_count / self.known_count
        if heard_share <= 0.5:
            return SHARED_FRACTION * heard_share
        return min(1.0, 1.0 + TOLERANCE - SHARED_FRACTION * (1 - heard_share))


class ReachableHomes:
    """Choice of the homes to ask, with memory of failed calls."""

    def __init__(self) -> None:
        self._retry_at: dict[HostId, Instant] = {}
        self._lost: set[HostId] = set()

    def choose(
        self, homes: QuotaHomes, account: AccountId, tried: Collection[HostId], now: Instant
    ) -> HostId | None:
        """Return the next home to ask for an account, or None.

        A home whose call failed some time ago is asked again by one operation at a time.
        """
        if len(tried) >= HOMES_TRIED:
            return None
        for home in homes.order(account):
            retry_at = self._retry_at.get(home, now)
            if home in tried or now < retry_at:
                continue
            if home in self._retry_at:
                self._retry_at[home] = now + UNREACHABLE_TIME
            return home
        return None

    def is_home_lost(self, homes: QuotaHomes, account: AccountId, asked: HostId) -> bool:
        """Return whether the processes of all homes that come before the asked one have ended."""
        earlier = tuple(takewhile(lambda home: home != asked, homes.order(account)))
        return bool(earlier) and self._lost.issuperset(earlier)

    def record_failure(self, home: HostId, now: Instant) -> bool:
        """Record a call without a reply; return whether the home was reachable before."""
        was_reachable = home not in self._retry_at
        self._retry_at[home] = now + UNREACHABLE_TIME
        return was_reachable

    def record_probe(self, home: HostId, is_lost: bool) -> None:
        """Record whether an unreachable home refuses connections of a quorum of the hosts.

        If so, its process has ended and grants nothing.
        """
        if is_lost and home in self._retry_at:
            self._lost.add(home)
        else:
            self._lost.discard(home)

    def record_reply(self, home: HostId) -> bool:
        """Record a reply; return whether the home was unreachable before."""
        self._lost.discard(home)
        return self._retry_at.pop(home, None) is not None

    def retain(self, hosts: Collection[HostId]) -> None:
        """Forget the hosts that are no homes any more."""
        self._retry_at = {home: at for home, at in self._retry_at.items() if home in hosts}
        self._lost &= self._retry_at.keys()

    def unreachable(self) -> tuple[HostId, ...]:
        """Return the homes whose last call failed."""
        return tuple(sorted(self._retry_at))


@dataclass(frozen=True, slots=True)
class Granted:
    """Answer of a home: ``count`` operations may start."""

    count: int


@dataclass(frozen=True, slots=True)
class Exhausted:
    """Answer of a home: no token is left for the rank until ``wait`` is over."""

    wait: timedelta


@dataclass(frozen=True, slots=True)
class NotKept:
    """Answer of a home that knows no quota for the account."""


GrantDecision = Granted | Exhausted | NotKept


@dataclass(slots=True)
class _Group:
    """State of a group at a host: since when it is the home, and when others asked it.

    ``home_since`` is None while another host is the home. ``asked_at`` holds questions of the time
    in which the host was not the settled home. Until ``lost_until`` the process of the home is
    known to have ended; until ``yielded_until`` another host has taken the group over.
    """

    home_since: Instant | None = None
    lost_until: Instant = timedelta(0)
    yielded_until: Instant = timedelta(0)
    asked_at: dict[HostId, Instant] = field(default_factory=dict)

    def is_settled(self, now: Instant) -> bool:
        """Return whether no other host keeps the group's quotas."""
        if now < self.lost_until:
            return True
        if now < self.yielded_until:
            return False
        return self.home_since is not None and now >= self.home_since + QUOTA_SETTLING_TIME

    def count_askers(self, now: Instant) -> int:
        """Return how many hosts asked a short time ago; forget the others."""
        oldest = now - _POOL_MEMBERSHIP
        self.asked_at = {host: at for host, at in self.asked_at.items() if at >= oldest}
        return len(self.asked_at)


class QuotaLedger:
    """Buckets that one host keeps for the accounts of the groups whose home it is.

    ``slack_operations`` is what the deployment accepts beyond an account's limit in one window.
    """

    def __init__(self, slack_operations: float) -> None:
        self._slack = slack_operations
        self._quotas: Mapping[AccountId, AccountQuota] = {}
        self._homes: QuotaHomes | None = None
        self._buckets: dict[AccountId, TokenBucket] = {}
        self._groups = {group: _Group() for group in _GROUPS}

    def apply(
        self, quotas: Mapping[AccountId, AccountQuota], homes: QuotaHomes, now: Instant
    ) -> tuple[str, ...]:
        """Apply a configuration and a view of the homes; a lowered quota binds at once.

        Return the groups whose home this host has become. It settles in time, or when the other
        hosts that may be their home have yielded (``confirm``).
        """
        # The other side of a cut had its own home: after its end this one has to settle again.
        has_regained = (
            self._homes is not None and homes.has_majority and not self._homes.has_majority
        )
        self._quotas, self._homes = quotas, homes
        begun = []
        for name, group in self._groups.items():
            if homes.orders[name][0] != homes.own_host:
                group.home_since = None
            elif group.home_since is None and group.is_settled(now):
                # It has stood in for a home whose process has ended.
                group.home_since = now - QUOTA_SETTLING_TIME
            elif group.home_since is None or has_regained:
                group.home_since, group.asked_at = now, {}
                begun.append(name)
        self._buckets = {key: bucket for key, bucket in self._buckets.items() if key in quotas}
        for account in quotas:
            if account in self._buckets or self._groups[group_of(account)].home_since is not None:
                self._refresh(account, now)
        return tuple(begun)

    def needs_confirmation(self, group: str, now: Instant) -> bool:
        """Return whether this host is the home of a group and has not settled yet."""
        state = self._groups[group]
        return state.home_since is not None and not state.is_settled(now)

    def confirm(self, group: str, now: Instant) -> None:
        """Settle as the home of a group: no other host keeps its quotas."""
        if self._groups[group].home_since is not None:
            self._groups[group].home_since = now - QUOTA_SETTLING_TIME

    def yield_group(self, group: str, now: Instant) -> None:
        """Keep the quotas of a group no longer, as another host has become its home."""
        state = self._groups.get(group)
        if state is not None:
            state.lost_until = now
            state.yielded_until = now + YIELD_TIME

    def _refresh(self, account: AccountId, now: Instant) -> TokenBucket:
        """Set the limits of an account's bucket, which is made if it is missing."""
        quota, group = self._quotas[account], self._groups[group_of(account)]
        credit = SLACK_IN_POOL * self._slack * self._homes.alive_share
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = self._buckets[account] = TokenBucket(0.0, math.inf, credit, now)
        if group.is_settled(now):
            factor = self._homes.rate_factor
            rate_per_s = quota.rate_per_s * factor
            capacity = (quota.burst + SLACK_IN_BURST * self._slack) * factor
            capacity = max(_MIN_CAPACITY, capacity)
        else:
            fraction = SHARED_FRACTION if group.home_since is None else SETTLING_FRACTION
            share = min(1.0, group.count_askers(now) / self._homes.known_count)
            rate_per_s = quota.rate_per_s * fraction * share + credit / _POOL_IDLE_REFILL_S
            capacity = max(_MIN_CAPACITY, credit + _POOL_BURST_S * quota.rate_per_s)
        bucket.set_limits(rate_per_s, capacity, now)
        return bucket

    def grant(
        self,
        asker: HostId,
        account: AccountId,
        rank: PriorityRank,
        wanted: int,
        now: Instant,
        is_home_lost: bool = False,
    ) -> GrantDecision:
        """Grant up to ``wanted`` operations; less urgent ranks leave tokens for the others.

        ``is_home_lost`` says that the asker found the home's process ended, so that this host
        stands in for it at once.
        """
        if self._homes is None or account not in self._quotas:
            return NotKept()
        group = self._groups[group_of(account)]
        if is_home_lost and now >= group.yielded_until:
            group.lost_until = now + UNREACHABLE_TIME
        if not group.is_settled(now):
            group.asked_at[asker] = now
        bucket = self._refresh(account, now)
        reserve = max(0, rank) * max(_RESERVE_PER_RANK, _RESERVE_PER_RANK_S * bucket.rate_per_s)
        reserve = min(reserve, _MAX_RESERVE * bucket.capacity, bucket.capacity - 1)
        available = bucket.level(now) - reserve
        if available < 1:
            return Exhausted(bucket.wait_for(reserve + 1, now))
        count = max(1, min(wanted, MAX_WANTED, int(available)))
        bucket.take(count, now)
        return Granted(count)

    def levels(self, now: Instant) -> dict[AccountId, float]:
        """Return the tokens of the accounts that this host is the settled home of."""
        return {
            account: bucket.level(now)
            for account, bucket in self._buckets.items()
            if self._groups[group_of(account)].is_settled(now)
        }


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision to start the operation."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Decision to refuse the operation; tokens are expected after ``wait``."""

    wait: timedelta


@dataclass(frozen=True, slots=True)
class Ask:
    """Decision to ask the home for ``wanted`` tokens."""

    wanted: int


AllowanceDecision = Admitted | Refused | Ask


class QuotaAllowance:
    """Tokens and refusals of one account at one host."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens: deque[Instant] = deque()  # the time at which each lapses
        self._blocked_until: dict[PriorityRank, Instant] = {}
        self._scarce_until: Instant = timedelta(0)
        self._demand = 0.0  # operations within the demand window, older ones weigh less
        self._demand_at: Instant | None = None
        self._own_share: TokenBucket | None = None
        self._own_share_at: Instant = timedelta(0)

    def record_demand(self, now: Instant) -> None:
        """Count an operation that a caller asks for."""
        self._demand = self._recent_demand(now) + 1.0
        self._demand_at = now

    def _recent_demand(self, now: Instant) -> float:
        if self._demand_at is None:
            return 0.0
        return self._demand * math.exp(-(now - self._demand_at).total_seconds() / _DEMAND_WINDOW_S)

    def decide(self, rank: PriorityRank, waiting_count: int, now: Instant) -> AllowanceDecision:
        """Decide on an operation, the first of ``waiting_count`` that wait for tokens."""
        while self._tokens and self._tokens[0] <= now:
            self._tokens.popleft()
        if self._tokens:
            self._tokens.popleft()
            return Admitted()
        blocked_until = max(
            (until for blocked, until in self._blocked_until.items() if blocked <= rank),
            default=now,
        )
        if blocked_until > now:
            return Refused(blocked_until - now)
        expected = int(self._recent_demand(now) / _DEMAND_WINDOW_S * _EXPECTED_USE_S)
        if now < self._scarce_until:
            expected = 0
        return Ask(min(MAX_WANTED, max(waiting_count, expected)))

    def record_granted(self, count: int, asked_at: Instant) -> None:
        """Record tokens; their lifetime counts from the question, so from before the grant."""
        self._tokens.extend([asked_at + TOKEN_LIFETIME] * count)

    def record_exhausted(
        self, rank: PriorityRank, wait: timedelta, host_count: int, now: Instant
    ) -> None:
        """Record that a home has no tokens for a rank, and for less urgent ones, until later."""
        wait = max(wait, timedelta(seconds=host_count / _ASKS_PER_S), _MIN_WAIT)
        wait = min(wait, _MAX_WAIT) * (1 + self._rng.random() * _WAIT_JITTER)
        self._blocked_until[rank] = now + wait
        self._scarce_until = now + _SCARCITY

    def take_own_share(
        self, quota: AccountQuota, slack_operations: float, host_count: int, now: Instant
    ) -> AllowanceDecision:
        """Decide on an operation by this host's even share of the quota.

        Each host begins with a random part of one operation, so that many hosts which lose their
        home at once don't start one operation each.
        """
        rate_per_s = SHARED_FRACTION * quota.rate_per_s / host_count
        capacity = max(1.0, SHARED_FRACTION * quota.burst / host_count)
        if self._own_share is None or now >= self._own_share_at + _OWN_SHARE_LIFETIME:
            level = self._rng.random() + SLACK_IN_POOL * slack_operations / host_count
            self._own_share = TokenBucket(rate_per_s, capacity, level, now)
        self._own_share_at = now
        self._own_share.set_limits(rate_per_s, capacity, now)
        if self._own_share.take(1.0, now):
            return Admitted()
        wait = min(self._own_share.wait_for(1.0, now), UNREACHABLE_TIME)
        return Refused(max(wait, _MIN_WAIT))
