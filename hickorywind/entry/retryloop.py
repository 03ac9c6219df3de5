"""Retry loop of one request: rounds of attempts at its targets, limited by a retry policy."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from hickorywind.entry.request import FinishedRequest, Request
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.retry import Decision, GiveUp, RetryLater, RetryPolicy, TryNextTarget
from hickorywind.routing.targets import Target

# Failures after which a read uses the fallback staleness limit of its kind of read.
_FALLBACK_CODES = frozenset(
    (
        ResultCode.TOO_STALE,
        ResultCode.NO_PRIMARY,
        ResultCode.POOL_UNREACHABLE,
        ResultCode.BACKEND_UNREACHABLE,
    )
)


class AttemptRunner(Protocol):
    """Provider of the targets of a request, which also runs single attempts."""

    def choose_targets(self, request: Request) -> tuple[Target, ...]:
        """Return the current targets of a request, in order of preference."""
        ...

    def has_deadline_passed(self, request: Request) -> bool:
        """Return whether a request's deadline has passed."""
        ...

    def count_retry(self, request: Request) -> None:
        """Count a retry of a request."""
        ...

    async def run_attempt(
        self, request: Request, target: Target, max_staleness_ms: int | None
    ) -> FinishedRequest:
        """Run one attempt at a target."""
        ...


class RetryLoop:
    """Retry loop of one request and its state between attempts."""

    def __init__(self, runner: AttemptRunner, request: Request, policy: RetryPolicy) -> None:
        self._runner = runner
        self._request = request
        self._policy = policy
        self._max_staleness_ms = request.max_staleness_ms
        self._may_have_executed = False

    async def run(self) -> FinishedRequest:
        """Run attempts until one succeeds or the policy gives up."""
        while True:
            finished, decision = await self._try_targets()
            match decision:
                case RetryLater(wait=wait):
                    self._relax_staleness(finished.result)
                    await asyncio.sleep(wait.total_seconds())
                case _:
                    return self._final_result(finished)

    async def _try_targets(self) -> tuple[FinishedRequest, Decision]:
        """Try the current targets in order; return the last result and the policy's decision."""
        targets = self._runner.choose_targets(self._request)
        reason = "no pool serves the service's primary"
        finished = FinishedRequest(Result.not_run(ResultCode.NO_PRIMARY, reason))
        if not targets:
            return finished, self._decide(finished, targets_left=False)
        decision: Decision = GiveUp()
        for index, target in enumerate(targets):
            finished = await self._try_target(target)
            decision = self._decide(finished, index + 1 < len(targets))
            if not isinstance(decision, TryNextTarget):
                break
        return finished, decision

    async def _try_target(self, target: Target) -> FinishedRequest:
        if self._request.cancel.is_set:
            return FinishedRequest(
                Result.not_run(ResultCode.CANCELLED, "cancelled before it was sent")
            )
        if self._runner.has_deadline_passed(self._request):
            reason = "the deadline passed before a backend server was found"
            return FinishedRequest(Result.not_run(ResultCode.DEADLINE_PASSED, reason))
        return await self._runner.run_attempt(self._request, target, self._max_staleness_ms)

    def _decide(self, finished: FinishedRequest, targets_left: bool) -> Decision:
        result = finished.result
        if result.is_ok:
            return GiveUp()
        if result.outcome is not Outcome.NOT_RUN:
            self._may_have_executed = True
        decision = (
            GiveUp()
            if finished.has_sent_answer_bytes
            else self._policy.decide(result, targets_left)
        )
        if not isinstance(decision, GiveUp):
            self._runner.count_retry(self._request)
        return decision

    def _relax_staleness(self, result: Result) -> None:
        fallback_ms = self._request.fallback_staleness_ms
        if result.code in _FALLBACK_CODES and fallback_ms is not None:
            self._max_staleness_ms = fallback_ms

    def _final_result(self, finished: FinishedRequest) -> FinishedRequest:
        """Return the result, as unknown instead of not run if an earlier attempt may have run."""
        result = finished.result
        if not self._may_have_executed or result.outcome is not Outcome.NOT_RUN:
            return finished
        uncertain = Result.unknown(result.code, f"{result.reason}; an earlier attempt may have run")
        return replace(finished, result=uncertain)
