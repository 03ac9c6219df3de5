"""Retries of a statement on other backend servers, where a retry is safe."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from hickorywind.admission.dispatch import OnPrimary, Target
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.targets import (
    RETRY_AFTER_MS,
    check_primary,
    choose_target,
)
from hickorywind.ids import BackendId, LogPosition
from hickorywind.ports.catalog import Route
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant

MAX_ATTEMPTS = 4  # for reads and for work that is proven not to have run

Outcome = TypeVar("Outcome")


async def run_with_retries(
    service: ServiceRuntime,
    route: Route,
    context: SessionContext,
    arrived: Instant,
    needs_primary: bool,
    attempt: Callable[[Grant, LogPosition | None], Awaitable[Outcome | Result]],
    excluded: Callable[[], frozenset[BackendId]] = frozenset,
) -> Outcome | Result:
    """Run ``attempt`` on suitable servers; return its first success or the last refusal.

    ``attempt`` gets the log position that the server holds at least, or None if it is the primary.
    ``excluded`` returns the servers to skip. A refusal that doesn't allow a retry is returned at
    once.
    """

    def choose() -> Target:
        return choose_target(service, route, needs_primary, context.floor, arrived)

    result = Result.not_run(ResultCode.NO_PRIMARY, "no attempt was made", RETRY_AFTER_MS)
    attempts = 0
    while attempts < MAX_ATTEMPTS:
        target = choose()
        refusal = service.primary_work_refusal() if isinstance(target, OnPrimary) else None
        if refusal is not None:
            return refusal
        retarget = None if needs_primary else choose
        grant = await service.acquire(
            route, target, arrived, context, excluded(), retarget=retarget
        )
        if isinstance(grant, Result):
            return grant
        with service.releasing_on_error(grant):
            outcome = await check_primary(service, grant) if grant.min_position is None else None
            if outcome is None:
                outcome = await attempt(grant, grant.min_position)
        if not isinstance(outcome, Result):
            return outcome
        result = outcome
        if not result.retry_allowed:
            break
        # A lagging replica does not count as an attempt; it is skipped next time, so the loop ends.
        attempts += result.code is not ResultCode.REPLICA_BEHIND
    return result
