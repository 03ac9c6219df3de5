"""Admission of operations by the quotas of client accounts, with the hosts that keep them."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter, defaultdict
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.quotas import (
    QUOTA_CALL_TIMEOUT,
    Admitted,
    AllowanceDecision,
    Ask,
    Exhausted,
    GrantDecision,
    Granted,
    NotKept,
    QuotaAllowance,
    QuotaHomes,
    QuotaLedger,
    ReachableHomes,
    Refused,
)
from hickorywind.host.fleet import Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.ids import AvailabilityZone, HostId
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.ports.catalog import AccountId, AccountQuota, ClientAccounts, PriorityRank
from hickorywind.protocol.hoststatus import AccountQuotaStatus, QuotaStatus
from hickorywind.protocol.messages import (
    QuotaQuery,
    QuotaReply,
    QuotaTakeover,
    QuotaYielded,
    RefusalQuery,
    RefusalReply,
)
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds, to_milliseconds
from hickorywind.util.sockets import CONNECT_PROBE_TIMEOUT, refuses_connections
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

REFRESH_INTERVAL = timedelta(milliseconds=250)  # bounds the cost of looking at all hosts
# A zone from which nothing came for longer may be cut off; greetings are answered each second. It
# has to be shorter than the time after which hosts choose another home (``ALIVE_WINDOW``).
HEARING_WINDOW = timedelta(milliseconds=1700)
TAKEOVER_RETRY_DELAY = timedelta(milliseconds=300)  # connections open within it
QUESTIONS_PER_OPERATION = 3  # others may take the tokens that one has waited for
REFUSALS_OVER_AFTER = timedelta(seconds=5)  # without a refusal, for the log
RETRY_JITTER = 1.0  # callers refused together come back within twice the wait
_MIN_RETRY_DELAY_MS = 50  # with shorter ones callers would retry before tokens are back


@dataclass(slots=True)
class _Refusals:
    """Refusals of one account since they began at this host."""

    last: Instant
    count: int = 0


class AccountQuotas:
    """Quotas of client accounts at one host: its own operations and the accounts that it keeps.

    Nothing is kept or asked while the configuration has no client accounts.
    """

    def __init__(
        self,
        identity: HostIdentity,
        fleet: Fleet,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        slack_operations: float,
        metrics: HostMetrics | None = None,
    ) -> None:
        """Create the quotas; ``slack_operations`` is what is accepted beyond a limit."""
        self._identity = identity
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._slack = slack_operations
        self._metrics = metrics
        self._ledger = QuotaLedger(slack_operations)
        self._reachable = ReachableHomes()
        self._probed_homes: set[HostId] = set()
        self._allowances: dict[AccountId, QuotaAllowance] = {}
        self._questions: dict[tuple[AccountId, PriorityRank], asyncio.Task[bool]] = {}
        self._waiting: Counter[tuple[AccountId, PriorityRank]] = Counter()
        self._refusals: dict[AccountId, _Refusals] = {}
        self._zones_asking: dict[AvailabilityZone, Instant] = defaultdict(timedelta)
        self._homes: QuotaHomes | None = None
        self._accounts: ClientAccounts | None = None
        self._refreshed_at: Instant | None = None
        self._background = BackgroundTasks()

    # Views -------------------------------------------------------------------------------------

    def refresh(self) -> None:
        """Apply the configuration and the view of the other hosts.

        To be called when either changes, and periodically. A new configuration is applied at once,
        the rest at most once in ``REFRESH_INTERVAL``.
        """
        configuration = self._fleet.configuration
        accounts = None if configuration is None else configuration.accounts
        now = self._clock.now()
        if accounts is None:
            if self._accounts is not None:
                self._accounts, self._homes, self._refreshed_at = None, None, None
                self._ledger = QuotaLedger(self._slack)
                self._allowances.clear()
            return
        is_due = self._refreshed_at is None or now >= self._refreshed_at + REFRESH_INTERVAL
        if accounts is self._accounts and not is_due:
            return
        self._accounts, self._refreshed_at = accounts, now
        self._homes = self._view_homes(now)
        for group in self._ledger.apply(accounts.quotas, self._homes, now):
            self._background.start(self._take_over(group))
        self._reachable.retain({host for order in self._homes.orders.values() for host in order})
        self._allowances = {
            account: allowance
            for account, allowance in self._allowances.items()
            if account in accounts.quotas
        }
        self._log_ended_refusals(now)

    def _view_homes(self, now: Instant) -> QuotaHomes:
        table = self._peers.table
        alive = table.alive()
        heard = set(table.alive(HEARING_WINDOW))
        oldest = now - HEARING_WINDOW
        heard_count = 1 + sum(
            host in heard or self._zones_asking[table.states[host].record.zone] >= oldest
            for host in alive
        )
        known_count = 1 + len(table.states)
        return QuotaHomes.choose(self._identity.host, alive, known_count, heard_count)

    def _quota(self, account: AccountId) -> AccountQuota | None:
        configuration = self._fleet.configuration
        if configuration is None or configuration.accounts is None:
            return None
        return configuration.accounts.quotas.get(account)

    # Change of home ----------------------------------------------------------------------------

    async def _take_over(self, group: str) -> None:
        """Ask the hosts that may have been a group's home to yield it; settle when all have."""
        while self._homes is not None and self._ledger.needs_confirmation(group, self._clock.now()):
            rivals = self._homes.rivals(group)
            if all(await asyncio.gather(*(self._has_yielded(rival, group) for rival in rivals))):
                if self._homes is not None and self._homes.rivals(group) == rivals:
                    self._ledger.confirm(group, self._clock.now())
                return
            await asyncio.sleep(TAKEOVER_RETRY_DELAY.total_seconds())

    async def _has_yielded(self, rival: HostId, group: str) -> bool:
        reply = await self._peers.call(
            rival, lambda call: QuotaTakeover(call, group), QUOTA_CALL_TIMEOUT
        )
        return isinstance(reply, QuotaYielded) or await self._has_ended(rival)

    async def _has_ended(self, host: HostId) -> bool:
        """Return whether a host refuses the connections of this one and of a quorum of its peers.

        A cut or a firewall may refuse those of some hosts while the process serves others.
        """
        if not await self._is_refused_by(host):
            return False
        table = self._peers.table
        voters = tuple(voter for voter in table.voters() if voter != host)
        replies = await self._peers.call_each(
            voters, lambda call: RefusalQuery(call, host), QUOTA_CALL_TIMEOUT
        )
        votes = [reply.is_refused for reply in replies if isinstance(reply, RefusalReply)]
        return bool(votes) and all(votes) and table.is_quorum(len(votes))

    async def handle_refusal_query(self, query: RefusalQuery) -> RefusalReply:
        """Answer a peer that is refused by another host."""
        return RefusalReply(query.call, await self._is_refused_by(query.host))

    async def _is_refused_by(self, host: HostId) -> bool:
        state = self._peers.table.states.get(host)
        if state is None:
            return False
        return await refuses_connections(state.record.address, CONNECT_PROBE_TIMEOUT)

    def handle_takeover(self, takeover: QuotaTakeover) -> QuotaYielded:
        """Yield a group to another host that has become its home."""
        self._ledger.yield_group(takeover.group, self._clock.now())
        return QuotaYielded(takeover.call)

    # Operations of this host -------------------------------------------------------------------

    async def admit(self, account: AccountId, rank: PriorityRank) -> Result | None:
        """Return None if an operation of an account may start now, or else its refusal."""
        quota = self._quota(account)
        if quota is None:
            return None
        self.refresh()
        allowance = self._allowances.get(account)
        if allowance is None:
            allowance = self._allowances[account] = QuotaAllowance(self._rng)
        allowance.record_demand(self._clock.now())
        key = account, rank
        self._waiting[key] += 1
        try:
            return await self._decide(account, rank, quota, allowance)
        finally:
            self._waiting[key] -= 1
            if not self._waiting[key]:
                del self._waiting[key]

    async def _decide(
        self,
        account: AccountId,
        rank: PriorityRank,
        quota: AccountQuota,
        allowance: QuotaAllowance,
    ) -> Result | None:
        key = account, rank
        for _ in range(QUESTIONS_PER_OPERATION):
            decision = allowance.decide(rank, self._waiting[key], self._clock.now())
            match decision:
                case Ask(wanted):
                    question = self._questions.get(key)
                    if question is None:
                        question = self._start_question(allowance, account, rank, wanted)
                    # A caller that goes away must not end the question of the others.
                    if not await asyncio.shield(question):
                        return self._admit_by_own_share(account, quota, allowance)
                case _:
                    return self._conclude(account, decision, "limit")
        return self._conclude(account, Refused(milliseconds(_MIN_RETRY_DELAY_MS)), "limit")

    def _conclude(
        self, account: AccountId, decision: AllowanceDecision, cause: str
    ) -> Result | None:
        match decision:
            case Refused(wait):
                return self._refuse(account, wait, cause)
        return None

    def _start_question(
        self, allowance: QuotaAllowance, account: AccountId, rank: PriorityRank, wanted: int
    ) -> asyncio.Task[bool]:
        key = account, rank
        question = self._background.start(self._ask(allowance, account, rank, wanted))
        self._questions[key] = question
        question.add_done_callback(lambda task: self._questions.pop(key, None))
        return question

    async def _ask(
        self, allowance: QuotaAllowance, account: AccountId, rank: PriorityRank, wanted: int
    ) -> bool:
        """Ask for tokens and record the answer; return False if no home answered."""
        tried: list[HostId] = []
        while self._homes is not None:
            homes, asked_at = self._homes, self._clock.now()
            home = self._reachable.choose(homes, account, tried, asked_at)
            if home is None:
                return False
            tried.append(home)
            is_lost = self._reachable.is_home_lost(homes, account, home)
            decision = await self._ask_home(home, account, rank, wanted, is_lost)
            now = self._clock.now()
            match decision:
                case Granted(count):
                    allowance.record_granted(count, asked_at)
                    return True
                case Exhausted(wait):
                    allowance.record_exhausted(rank, wait, homes.alive_count, now)
                    return True
        return False

    async def _ask_home(
        self, home: HostId, account: AccountId, rank: PriorityRank, wanted: int, is_lost: bool
    ) -> GrantDecision | None:
        own = self._identity.host
        if home == own:
            return self._ledger.grant(own, account, rank, wanted, self._clock.now(), is_lost)
        reply = await self._peers.call(
            home,
            lambda call: QuotaQuery(call, own, account, rank, wanted, is_lost),
            QUOTA_CALL_TIMEOUT,
        )
        if not isinstance(reply, QuotaReply):
            self._record_failure(home)
            return None
        if self._reachable.record_reply(home):
            logger.info("quota_home_reachable", extra={"peer": home})
        if reply.granted > 0:
            return Granted(reply.granted)
        return NotKept() if reply.wait_ms is None else Exhausted(milliseconds(reply.wait_ms))

    def _record_failure(self, home: HostId) -> None:
        if self._reachable.record_failure(home, self._clock.now()):
            logger.warning("quota_home_unreachable", extra={"peer": home})
        self._background.start(self._probe(home))

    async def _probe(self, home: HostId) -> None:
        """Find out why a home does not answer, once for all questions that it left unanswered."""
        if home in self._probed_homes:
            return
        self._probed_homes.add(home)
        try:
            self._reachable.record_probe(home, await self._has_ended(home))
        finally:
            self._probed_homes.discard(home)

    def _admit_by_own_share(
        self, account: AccountId, quota: AccountQuota, allowance: QuotaAllowance
    ) -> Result | None:
        host_count = 1 + len(self._peers.table.states)
        decision = allowance.take_own_share(quota, self._slack, host_count, self._clock.now())
        if self._metrics is not None and isinstance(decision, Admitted):
            self._metrics.quota_own_share.inc()
        return self._conclude(account, decision, "no_home")

    def _refuse(self, account: AccountId, wait: timedelta, cause: str) -> Result:
        now = self._clock.now()
        refusals = self._refusals.get(account)
        if refusals is None:
            refusals = self._refusals[account] = _Refusals(now)
            logger.info("quota_refusals_started", extra={"account": account, "cause": cause})
        refusals.last = now
        refusals.count += 1
        if self._metrics is not None:
            self._metrics.quota_refusals.labels(cause).inc()
        wait_ms = max(_MIN_RETRY_DELAY_MS, to_milliseconds(wait))
        return Result.not_run(
            ResultCode.QUOTA_EXCEEDED,
            f"client account {account} has used up its quota for now",
            round(wait_ms * (1 + self._rng.random() * RETRY_JITTER)),
        )

    def _log_ended_refusals(self, now: Instant) -> None:
        for account, refusals in list(self._refusals.items()):
            if now >= refusals.last + REFUSALS_OVER_AFTER:
                del self._refusals[account]
                extra = {"account": account, "refused": refusals.count}
                logger.info("quota_refusals_ended", extra=extra)

    # Accounts that this host keeps ---------------------------------------------------------------

    def handle_query(self, query: QuotaQuery) -> QuotaReply:
        """Answer another host that asks for operations of an account."""
        self.refresh()
        now = self._clock.now()
        state = self._peers.table.states.get(query.host)
        if state is not None:
            self._zones_asking[state.record.zone] = now
        decision = self._ledger.grant(
            query.host, query.account, query.rank, query.wanted, now, query.is_home_lost
        )
        match decision:
            case Granted(count):
                return QuotaReply(query.call, count)
            case Exhausted(wait):
                return QuotaReply(query.call, 0, int(to_milliseconds(wait)) + 1)
            case NotKept():
                return QuotaReply(query.call, 0)

    def describe(self) -> QuotaStatus:
        """Return the accounts that this host keeps or refuses, and the homes without a reply."""
        levels = self._ledger.levels(self._clock.now())
        statuses = []
        for account in sorted(levels.keys() | self._refusals.keys()):
            refusals = self._refusals.get(account)
            level = levels.get(account)
            statuses.append(
                AccountQuotaStatus(
                    account,
                    None if level is None else round(level, 1),
                    refusals is not None,
                    0 if refusals is None else refusals.count,
                )
            )
        return QuotaStatus(tuple(statuses), self._reachable.unreachable())

    def close(self) -> None:
        """End the questions under way."""
        self._background.cancel()
