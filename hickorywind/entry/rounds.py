"""Take a request through its targets, round after round, as far as its policy allows."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import Protocol

from hickorywind.entry.request import Finished, Request
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.retry import Decision, GiveUp, RetryLater, RetryPolicy, TryNextTarget
from hickorywind.routing.targets import Target

# Failures after which a read may accept the greater age that its kind names.
_FRESHNESS_CODES = frozenset(
    (
        ResultCode.TOO_STALE,
        ResultCode.NO_PRIMARY,
        ResultCode.POOL_UNREACHABLE,
        ResultCode.BACKEND_UNREACHABLE,
    )
)


class Attempter(Protocol):
    """Know the targets of a request and run single attempts."""

    def choose(self, request: Request) -> tuple[Target, ...]:
        """Return the targets of a request as known now."""
        ...

    def is_over(self, request: Request) -> bool:
        """Tell whether a request's deadline has passed."""
        ...

    def count_retry(self, request: Request) -> None:
        """Count a request that goes out again."""
        ...

    async def attempt_at(
        self, request: Request, target: Target, max_staleness_ms: int | None
    ) -> Finished:
        """Run one attempt at a target."""
        ...


class Rounds:
    """Hold the state of one request between its attempts."""

    def __init__(self, attempter: Attempter, request: Request, policy: RetryPolicy) -> None:
        self._attempter = attempter
        self._request = request
        self._policy = policy
        self._max_staleness_ms = request.max_staleness_ms
        self._may_have_run = False

    async def run(self) -> Finished:
        """Run attempts until one succeeds or the policy gives up."""
        while True:
            finished, decision = await self._run_round()
            match decision:
                case RetryLater(wait=wait):
                    self._relax_staleness(finished.result)
                    await asyncio.sleep(wait.total_seconds())
                case _:
                    return self._conclude(finished)

    async def _run_round(self) -> tuple[Finished, Decision]:
        """Try each target known now; return the last result and what follows."""
        targets = self._attempter.choose(self._request)
        reason = "no pool serves the service's primary"
        finished = Finished(Result.not_run(ResultCode.NO_PRIMARY, reason))
        if not targets:
            return finished, self._decide(finished, targets_left=False)
        decision: Decision = GiveUp()
        for index, target in enumerate(targets):
            finished = await self._attempt(target)
            decision = self._decide(finished, index + 1 < len(targets))
            if not isinstance(decision, TryNextTarget):
                break
        return finished, decision

    async def _attempt(self, target: Target) -> Finished:
        if self._request.cancel.is_set:
            return Finished(Result.not_run(ResultCode.CANCELLED, "withdrawn by the caller"))
        if self._attempter.is_over(self._request):
            reason = "the deadline passed before a backend server was found"
            return Finished(Result.not_run(ResultCode.DEADLINE_PASSED, reason))
        return await self._attempter.attempt_at(self._request, target, self._max_staleness_ms)

    def _decide(self, finished: Finished, targets_left: bool) -> Decision:
        result = finished.result
        if result.is_ok:
            return GiveUp()
        if result.outcome is not Outcome.NOT_RUN:
            self._may_have_run = True
        decision = GiveUp() if finished.wrote else self._policy.decide(result, targets_left)
        if not isinstance(decision, GiveUp):
            self._attempter.count_retry(self._request)
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
