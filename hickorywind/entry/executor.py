"""Execution of requests at pools: with retries, or once inside an open transaction."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from datetime import timedelta

import msgspec

from hickorywind.entry.accounts import EntryAccounts
from hickorywind.entry.attempt import Attempt, AttemptEnd
from hickorywind.entry.linkregistry import PoolLinkRegistry
from hickorywind.entry.poollink import PoolLink
from hickorywind.entry.reporting import RequestReporter
from hickorywind.entry.request import FinishedRequest, OpenTransaction, Request
from hickorywind.entry.retryloop import RetryLoop
from hickorywind.ids import AccessMode, Incarnation, LogPosition, RequestId
from hickorywind.protocol.messages import EndTransaction, Execute, TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.backoff import jittered_ms
from hickorywind.routing.health import BackendHealth, FreshnessRequirement
from hickorywind.routing.linkbudget import LinkBudget
from hickorywind.routing.retry import RetryBudget, RetryPolicy, counts_as_backend_failure
from hickorywind.routing.session import KnownFloor, UnknownFloor
from hickorywind.routing.targets import Distance, NeedsPrimary, NeedsRead, Target, TargetChooser
from hickorywind.routing.throttle import Throttle
from hickorywind.util.clock import Clock, to_milliseconds

_FIRST_HEARTBEAT_TIMEOUT = timedelta(milliseconds=300)
_DEFAULT_RETRY_AFTER_MS = 200
_MESSAGE_OVERHEAD_BYTES = 200
# Refusals for which a later retry does not help.
_NON_RETRYABLE_CODES = frozenset(
    (ResultCode.CANCELLED, ResultCode.DEADLINE_PASSED, ResultCode.TRANSACTION_LOST)
)


class Executor:
    """Executor of the requests of all sessions of one entry."""

    def __init__(
        self,
        links: PoolLinkRegistry,
        chooser: TargetChooser,
        health: BackendHealth,
        retry_budget: RetryBudget,
        link_budget: LinkBudget,
        accounts: EntryAccounts,
        clock: Clock,
        rng: random.Random,
        reporter: RequestReporter,
    ) -> None:
        self._links = links
        self._chooser = chooser
        self._health = health
        self._retry_budget = retry_budget
        self._link_budget = link_budget
        self._accounts = accounts
        self._clock = clock
        self._rng = rng
        self._reporter = reporter
        self._throttle = Throttle(clock, rng)
        self._request_ids = itertools.count(1)

    async def run(self, request: Request) -> FinishedRequest:
        """Run a request and return its final result; raise ``CallerDisconnectedError``."""
        started = self._clock.now()
        finished = await self._run_if_admitted(request)
        finished = replace(finished, result=self._add_retry_delay(finished.result))
        duration = self._clock.now() - started
        self._reporter.report_end(request, finished, duration, self._retry_budget.available)
        return finished

    async def _run_if_admitted(self, request: Request) -> FinishedRequest:
        if request.transaction is not None:
            # A transaction counted against the quota of its account as it began.
            self._retry_budget.count_request()
            return await self._run_in_transaction(request, request.transaction)
        refusal = self._accounts.admit(request.account) if request.account is not None else None
        if refusal is not None:
            return FinishedRequest(refusal)
        self._retry_budget.count_request()
        return await RetryLoop(self, request, self._make_retry_policy(request)).run()

    async def end_transaction(self, transaction: OpenTransaction) -> None:
        """Ask the pool to roll back a transaction, unless the pool process was replaced."""
        if transaction.link.incarnation == transaction.incarnation:
            await transaction.link.send(EndTransaction(transaction.transaction_id))

    def _make_retry_policy(self, request: Request) -> RetryPolicy:
        return RetryPolicy(
            self._clock, self._rng, self._retry_budget, request.deadline, request.repeatable
        )

    def _add_retry_delay(self, result: Result) -> Result:
        """Add a retry delay if the request did not run, may be retried and has no delay yet."""
        lacks_retry_delay = result.outcome is Outcome.NOT_RUN and not result.retry_after_ms
        if not lacks_retry_delay or result.code in _NON_RETRYABLE_CODES:
            return result
        wait_ms = jittered_ms(_DEFAULT_RETRY_AFTER_MS, self._rng)
        return msgspec.structs.replace(result, retry_allowed=True, retry_after_ms=wait_ms)

    # AttemptRunner protocol, used by RetryLoop --------------------------------------------------

    def choose_targets(self, request: Request) -> tuple[Target, ...]:
        """Return the current targets of a request, best first."""
        if request.mode is AccessMode.WRITE:
            return self._chooser.choose(request.service, NeedsPrimary())
        need = NeedsRead(request.floor, request.max_staleness_ms)
        return self._chooser.choose(request.service, need)

    def has_deadline_passed(self, request: Request) -> bool:
        """Return whether a request's deadline has passed."""
        return self._clock.now() >= request.deadline

    def count_retry(self, request: Request) -> None:
        """Count a retry of a request."""
        self._reporter.count_retry(request)

    async def run_attempt(
        self, request: Request, target: Target, max_staleness_ms: int | None
    ) -> FinishedRequest:
        """Run one attempt if link budget and throttle allow it and the pool is reachable."""
        refusal = self._check_link_budget(request, target)
        refusal = refusal or self._throttle.check(target.backend, request.rank)
        if refusal is not None:
            return FinishedRequest(refusal)
        link = self._links.get(target.pool)
        remaining = request.deadline - self._clock.now()
        incarnation = await link.wait_ready(min(remaining, _FIRST_HEARTBEAT_TIMEOUT))
        if incarnation is None:
            self._health.record_failure(target.backend)
            reason = f"no heartbeat from the pool at {target.pool}"
            return FinishedRequest(Result.not_run(ResultCode.POOL_UNREACHABLE, reason))
        if link.draining:
            self._health.record_failure(target.backend)
            reason = f"the pool at {target.pool} is draining"
            return FinishedRequest(Result.not_run(ResultCode.DRAINING, reason, 0))
        execute = self._make_execute(request, incarnation, target)
        execute = msgspec.structs.replace(
            execute,
            floor=target.floor,
            max_staleness_ms=_effective_max_staleness_ms(request, max_staleness_ms),
        )
        finished = await self._execute_at_pool(request, link, execute, target)
        self._throttle.record_result(target.backend, request.rank, finished.result)
        return finished

    def _check_link_budget(self, request: Request, target: Target) -> Result | None:
        size_bytes = len(request.frames) + _MESSAGE_OVERHEAD_BYTES
        if target.distance is not Distance.OTHER_REGION:
            return None
        if self._link_budget.allows(request.rank, size_bytes):
            return None
        wait_ms = self._link_budget.wait_ms(request.rank, size_bytes)
        reason = "the budget for traffic to other regions is used up"
        return Result.not_run(ResultCode.LINK_BUDGET_SPENT, reason, wait_ms)

    # Single attempts ----------------------------------------------------------------------------

    async def _run_in_transaction(
        self, request: Request, transaction: OpenTransaction
    ) -> FinishedRequest:
        """Run a batch inside an open transaction: at the transaction's pool, without retries."""
        if transaction.link.incarnation != transaction.incarnation:
            reason = "the pool process that held the transaction no longer exists"
            return FinishedRequest(Result(ResultCode.TRANSACTION_LOST, Outcome.NOT_RUN, reason))
        execute = self._make_execute(request, transaction.incarnation, transaction.target)
        execute = msgspec.structs.replace(
            execute,
            transaction_id=transaction.transaction_id,
            floor=_floor_in_transaction(request),
            max_staleness_ms=_effective_max_staleness_ms(request, None),
        )
        return await self._execute_at_pool(request, transaction.link, execute, transaction.target)

    def _make_execute(self, request: Request, incarnation: Incarnation, target: Target) -> Execute:
        """Build the message of a new attempt, with a new request id."""
        remaining = to_milliseconds(request.deadline - self._clock.now())
        return Execute(
            request_id=RequestId(next(self._request_ids)),
            pool_incarnation=incarnation,
            session_id=request.session_id,
            service=request.service.name,
            backend=target.backend,
            rank=request.rank,
            mode=request.mode,
            remaining_ms=max(1, round(remaining)),
            frames=request.frames,
            expected_term=target.term,
            idempotency_key=request.idempotency_key,
            prepared=request.prepared,
        )

    async def _execute_at_pool(
        self, request: Request, link: PoolLink, execute: Execute, target: Target
    ) -> FinishedRequest:
        rewriter = request.make_answer_rewriter()
        attempt = Attempt(
            link,
            execute,
            rewriter,
            request.send_to_caller,
            self._clock,
            request.buffer_limit_bytes,
            request.must_leave_transaction_open,
        )
        started = self._clock.now()
        end = await attempt.run(request.deadline, request.cancel)
        self._record_health(execute, end, to_milliseconds(self._clock.now() - started))
        self._charge_link_budget(target, len(request.frames) + attempt.answer_bytes)
        answer_end = end.answer_end
        # A pool identifies a transaction by the id of the request that opened it.
        default_transaction_id = execute.transaction_id or execute.request_id
        return FinishedRequest(
            result=_forbid_retry(end.result) if attempt.has_sent_answer_bytes else end.result,
            state=answer_end.transaction_state if answer_end is not None else TransactionState.IDLE,
            request_id=execute.request_id,
            transaction_id=(answer_end.transaction_id if answer_end is not None else None)
            or default_transaction_id,
            position=answer_end.position if answer_end is not None else None,
            link=link,
            incarnation=execute.pool_incarnation,
            target=target,
            has_error=rewriter.has_error,
            reply_count=rewriter.reply_count,
            has_sent_answer_bytes=attempt.has_sent_answer_bytes,
        )

    def _record_health(self, execute: Execute, end: AttemptEnd, duration_ms: float) -> None:
        backend = execute.backend
        requirement = FreshnessRequirement(execute.floor is not None, execute.max_staleness_ms)
        match end.result.code:
            case _ if end.result.is_ok:
                self._health.record_success(backend, duration_ms, requirement)
            case ResultCode.REPLICA_BEHIND:
                self._health.record_behind(backend)
            case ResultCode.TOO_STALE:
                self._health.record_too_stale(backend, execute.max_staleness_ms or 0)
            case code if counts_as_backend_failure(code):
                self._health.record_failure(backend)

    def _charge_link_budget(self, target: Target, payload_bytes: int) -> None:
        """Charge a request and its answer to the link budget if the target is in another region."""
        if target.distance is Distance.OTHER_REGION:
            size_bytes = payload_bytes + _MESSAGE_OVERHEAD_BYTES
            self._link_budget.charge(size_bytes)
            self._reporter.count_link_bytes(target.region or "", size_bytes)


def _effective_max_staleness_ms(request: Request, max_staleness_ms: int | None) -> int | None:
    """Return the staleness limit: 0 for a read whose floor is unknown.

    With a limit of 0 the pool answers only after the primary has confirmed, since the request
    arrived, that it still leads; so a replaced primary cannot answer such a read.
    """
    has_unknown_floor = request.mode is AccessMode.READ and isinstance(request.floor, UnknownFloor)
    return 0 if has_unknown_floor else max_staleness_ms


def _floor_in_transaction(request: Request) -> LogPosition | None:
    """Return the log position that a read must see; other statements need none."""
    match request.floor:
        case KnownFloor(position=position) if request.mode is AccessMode.READ:
            return position
        case _:
            return None


def _forbid_retry(result: Result) -> Result:
    """Return a failure without retry permission: part of the answer has reached the caller."""
    if result.is_ok:
        return result
    outcome = Outcome.UNKNOWN if result.outcome is Outcome.NOT_RUN else result.outcome
    reason = f"{result.reason} (part of the answer was already sent)"
    return Result(result.code, outcome, reason)
