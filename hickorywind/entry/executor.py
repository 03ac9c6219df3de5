"""Take a request through its attempts: choose, send, follow, and retry where that is allowed."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from dataclasses import replace
from datetime import timedelta

import msgspec

from hickorywind.entry.attempt import Attempt, AttemptEnd
from hickorywind.entry.links import PoolLinks
from hickorywind.entry.poollink import PoolLink
from hickorywind.entry.request import Finished, OpenTransaction, Request
from hickorywind.ids import AccessMode, BackendId, Incarnation, LogPosition, RequestId, Term
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.messages import EndTransaction, Execute, TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.backoff import spread_ms
from hickorywind.routing.health import BackendHealth
from hickorywind.routing.linkbudget import LinkBudget
from hickorywind.routing.retry import (
    Decision,
    GiveUp,
    RetryBudget,
    RetryPolicy,
    TryAgain,
    TryNext,
    speaks_against_backend,
)
from hickorywind.routing.targets import Distance, NeedsPrimary, NeedsRead, Target, TargetChooser
from hickorywind.util.clock import Clock, Instant, to_milliseconds

logger = logging.getLogger(__name__)

_FIRST_CONTACT_LIMIT = timedelta(milliseconds=300)
_RETRY_AFTER_MS = 200
_MESSAGE_OVERHEAD_BYTES = 200


class Executor:
    """Run the requests of all sessions of one entry."""

    def __init__(
        self,
        links: PoolLinks,
        chooser: TargetChooser,
        health: BackendHealth,
        budget: RetryBudget,
        link_budget: LinkBudget,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics | None,
    ) -> None:
        self._links = links
        self._chooser = chooser
        self._health = health
        self._budget = budget
        self._link_budget = link_budget
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._request_ids = itertools.count(1)

    async def run(self, request: Request) -> Finished:
        """Run a request to its final result; raise ``CallerGoneError``."""
        started = self._clock.now()
        self._budget.count_request()
        if request.transaction is not None:
            finished = await self._run_pinned(request, request.transaction)
        else:
            finished = await _Attempts(self, request).run()
        finished = replace(finished, result=self._complete(finished.result))
        self._report(request, finished, started)
        return finished

    async def end_transaction(self, transaction: OpenTransaction) -> None:
        """Have a transaction rolled back where its pool still holds it."""
        if transaction.link.incarnation == transaction.incarnation:
            await transaction.link.send(EndTransaction(transaction.transaction_id))

    async def _run_pinned(self, request: Request, transaction: OpenTransaction) -> Finished:
        """Run a batch inside a transaction: at its pool, once."""
        if transaction.link.incarnation != transaction.incarnation:
            reason = "the pool that held the transaction is gone"
            return Finished(Result(ResultCode.TRANSACTION_LOST, Outcome.NOT_RUN, reason))
        execute = self.make_execute(
            request,
            transaction.incarnation,
            transaction.backend,
            transaction.term,
            None,
            request.max_staleness_ms,
        )
        execute = msgspec.structs.replace(execute, transaction_id=transaction.transaction_id)
        return await self.attempt(request, transaction.link, execute)

    def make_execute(
        self,
        request: Request,
        incarnation: Incarnation,
        backend: BackendId,
        term: Term | None,
        floor: LogPosition | None,
        max_staleness_ms: int | None,
    ) -> Execute:
        """Build the message of a new attempt, with a request id of its own."""
        remaining = to_milliseconds(request.deadline - self._clock.now())
        return Execute(
            request_id=RequestId(next(self._request_ids)),
            pool_incarnation=incarnation,
            session_id=request.session_id,
            service=request.service.name,
            backend=backend,
            rank=request.rank,
            mode=request.mode,
            remaining_ms=max(1, round(remaining)),
            frames=request.frames,
            expected_term=term,
            floor=floor,
            max_staleness_ms=max_staleness_ms,
            idempotency_key=request.idempotency_key,
            prepared=request.prepared,
        )

    async def attempt(self, request: Request, link: PoolLink, execute: Execute) -> Finished:
        """Run one attempt and report where it ran."""
        shaper = request.make_shaper()
        attempt = Attempt(
            link,
            execute,
            shaper,
            request.write,
            self._clock,
            request.held_limit_bytes,
            request.must_open,
        )
        started = self._clock.now()
        end = await attempt.run(request.deadline, request.cancel)
        self._observe(execute, end, to_milliseconds(self._clock.now() - started))
        answer = end.answer
        transaction_id = answer.transaction_id if answer is not None else None
        if attempt.wrote and not end.result.is_ok:
            end = AttemptEnd(_cannot_repeat(end.result), answer)
        return Finished(
            result=end.result,
            state=answer.transaction_state if answer is not None else TransactionState.IDLE,
            transaction_id=transaction_id or execute.transaction_id or execute.request_id,
            position=answer.position if answer is not None else None,
            link=link,
            incarnation=execute.pool_incarnation,
            backend=execute.backend,
            term=execute.expected_term,
            has_error=shaper.has_error,
            wrote=attempt.wrote,
        )

    async def attempt_at(
        self, request: Request, target: Target, max_staleness_ms: int | None
    ) -> Finished:
        """Run one attempt at a target, where its pool and the link to it allow."""
        size_bytes = len(request.frames) + _MESSAGE_OVERHEAD_BYTES
        remote = target.distance is Distance.OTHER_REGION
        if remote and not self._link_budget.allows(request.rank, size_bytes):
            wait_ms = self._link_budget.wait_ms(request.rank, size_bytes)
            reason = "the volume allowed to other regions is used up"
            return Finished(Result.not_run(ResultCode.LINK_BUDGET_SPENT, reason, wait_ms))
        link = self._links.to(target.pool)
        left = request.deadline - self._clock.now()
        incarnation = await link.wait_ready(min(left, _FIRST_CONTACT_LIMIT))
        if incarnation is None:
            self._health.record_failure(target.backend)
            reason = f"no sign of the pool at {target.pool}"
            return Finished(Result.not_run(ResultCode.POOL_UNREACHABLE, reason))
        execute = self.make_execute(
            request, incarnation, target.backend, target.term, target.floor, max_staleness_ms
        )
        finished = await self.attempt(request, link, execute)
        if remote:
            self._charge_link(target, size_bytes)
        return finished

    def _charge_link(self, target: Target, size_bytes: int) -> None:
        self._link_budget.charge(size_bytes)
        if self._metrics is not None:
            self._metrics.link_bytes.labels(target.distance.name.lower()).inc(size_bytes)

    def _observe(self, execute: Execute, end: AttemptEnd, duration_ms: float) -> None:
        if end.result.is_ok:
            self._health.record_success(execute.backend, duration_ms)
        elif speaks_against_backend(end.result.code):
            self._health.record_failure(execute.backend)

    def _complete(self, result: Result) -> Result:
        """Add when to come back to refusals that may be repeated and don't say so."""
        repeatable = result.outcome is Outcome.NOT_RUN and not result.retry_after_ms
        if not repeatable or result.code in _FINAL_CODES:
            return result
        wait_ms = spread_ms(_RETRY_AFTER_MS, self._rng)
        return msgspec.structs.replace(result, retry_allowed=True, retry_after_ms=wait_ms)

    def _report(self, request: Request, finished: Finished, started: Instant) -> None:
        duration = self._clock.now() - started
        result = finished.result
        level = logging.DEBUG if result.is_ok else logging.INFO
        logger.log(
            level,
            "request_ended",
            extra={
                "session_id": request.session_id,
                "request_id": finished.transaction_id,
                "service": request.service.name,
                "rank": request.rank.value,
                "code": int(result.code),
                "outcome": result.outcome.value,
                "reason": result.reason,
                "duration_ms": round(to_milliseconds(duration), 1),
            },
        )
        if self._metrics is None:
            return
        self._metrics.record_request(request.service.name, request.rank, result, duration)
        self._metrics.retry_budget.set(self._budget.left)
        if result.is_ok and request.mode is AccessMode.READ:
            source = "replica" if finished.term is None else "primary"
            self._metrics.reads.labels(request.service.name, source).inc()

    # What the attempts of one request need ------------------------------------------------------

    def choose(self, request: Request) -> tuple[Target, ...]:
        """Return the targets of a request as known now."""
        need = NeedsPrimary() if request.mode is AccessMode.WRITE else NeedsRead(request.floor)
        return self._chooser.choose(request.service, need)

    def make_policy(self, request: Request) -> RetryPolicy:
        """Start to follow the attempts of a request."""
        return RetryPolicy(
            self._clock, self._rng, self._budget, request.deadline, request.repeatable
        )

    def is_over(self, request: Request) -> bool:
        """Tell whether a request's deadline has passed."""
        return self._clock.now() >= request.deadline

    def count_retry(self, request: Request) -> None:
        """Count a request that goes out again."""
        if self._metrics is not None:
            self._metrics.retries.labels(request.service.name).inc()


_FINAL_CODES = frozenset(
    (ResultCode.CANCELLED, ResultCode.DEADLINE_PASSED, ResultCode.TRANSACTION_LOST)
)


def _cannot_repeat(result: Result) -> Result:
    """Forbid retries once part of an answer has reached the caller."""
    outcome = Outcome.UNKNOWN if result.outcome is Outcome.NOT_RUN else result.outcome
    reason = f"{result.reason} (part of the answer was already sent)"
    return Result(result.code, outcome, reason)


class _Attempts:
    """Hold the state of one request between its attempts."""

    def __init__(self, executor: Executor, request: Request) -> None:
        self._executor = executor
        self._request = request
        self._policy = executor.make_policy(request)
        self._max_staleness_ms = request.max_staleness_ms
        self._may_have_run = False

    async def run(self) -> Finished:
        while True:
            finished, decision = await self._run_round()
            match decision:
                case TryAgain(wait=wait):
                    self._relax_staleness(finished.result)
                    await asyncio.sleep(wait.total_seconds())
                case _:
                    return self._conclude(finished)

    async def _run_round(self) -> tuple[Finished, Decision]:
        """Try each target known now; return the last result and what follows."""
        targets = self._executor.choose(self._request)
        reason = "no pool serves the service's primary"
        finished = Finished(Result.not_run(ResultCode.NO_PRIMARY, reason))
        if not targets:
            return finished, self._decide(finished, targets_left=False)
        decision: Decision = GiveUp()
        for index, target in enumerate(targets):
            finished = await self._attempt(target)
            decision = self._decide(finished, index + 1 < len(targets))
            if not isinstance(decision, TryNext):
                break
        return finished, decision

    async def _attempt(self, target: Target) -> Finished:
        if self._request.cancel.is_set:
            return Finished(Result.not_run(ResultCode.CANCELLED, "withdrawn by the caller"))
        if self._executor.is_over(self._request):
            reason = "the deadline passed before a backend server was found"
            return Finished(Result.not_run(ResultCode.DEADLINE_PASSED, reason))
        return await self._executor.attempt_at(self._request, target, self._max_staleness_ms)

    def _decide(self, finished: Finished, targets_left: bool) -> Decision:
        result = finished.result
        if result.is_ok:
            return GiveUp()
        if result.outcome is not Outcome.NOT_RUN:
            self._may_have_run = True
        decision = GiveUp() if finished.wrote else self._policy.decide(result, targets_left)
        if not isinstance(decision, GiveUp):
            self._executor.count_retry(self._request)
        return decision

    def _relax_staleness(self, result: Result) -> None:
        fallback_ms = self._request.fallback_staleness_ms
        if result.code in _FRESHNESS_CODES and fallback_ms is not None:
            self._max_staleness_ms = fallback_ms

    def _conclude(self, finished: Finished) -> Finished:
        """Never say "not run" of a request of which an earlier attempt may have run."""
        result = finished.result
        if not self._may_have_run or result.outcome is not Outcome.NOT_RUN:
            return finished
        doubted = Result.unknown(result.code, f"{result.reason}; an earlier attempt may have run")
        return replace(finished, result=doubted)


_FRESHNESS_CODES = frozenset(
    (
        ResultCode.TOO_STALE,
        ResultCode.NO_PRIMARY,
        ResultCode.POOL_UNREACHABLE,
        ResultCode.BACKEND_UNREACHABLE,
    )
)
