"""Try a statement at one backend server after another, as far as that is safe."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

from hickorywind.admission.dispatch import AtPosition, OnPrimary
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

MAX_ATTEMPTS = 4  # tries inside the proxy of what is proved not to have run, or only reads

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
    """Return the first outcome that is no refusal, or the last refusal.

    ``attempt`` carries out one try, at a server that must hold a log position or, with None, at
    the primary; ``excluded`` names the servers to pass over. A refusal that may not be repeated
    ends the tries.
    """
    result = Result.not_run(ResultCode.NO_PRIMARY, "no attempt was made", RETRY_AFTER_MS)
    attempts = 0
    while attempts < MAX_ATTEMPTS:
        target = choose_target(service, route, needs_primary, context.floor, arrived)
        min_position = target.position if isinstance(target, AtPosition) else None
        refusal = service.primary_work_refusal() if isinstance(target, OnPrimary) else None
        if refusal is not None:
            return refusal
        grant = await service.acquire(route, target, arrived, context, excluded())
        if isinstance(grant, Result):
            return grant
        outcome = await check_primary(service, grant) if min_position is None else None
        if outcome is None:
            outcome = await attempt(grant, min_position)
        if not isinstance(outcome, Result):
            return outcome
        result = outcome
        if not result.retry_allowed:
            break
        # A replica that was behind is passed over next time, so this does not spin.
        attempts += result.code is not ResultCode.REPLICA_BEHIND
    return result
