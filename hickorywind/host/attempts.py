"""Try a statement at one backend server after another, as far as that is safe."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from typing import TypeVar

from hickorywind.admission.dispatch import OnPrimary, Target
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Grant
from hickorywind.host.targets import RETRY_HINT_MS
from hickorywind.ids import BackendId
from hickorywind.ports.catalog import Route
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant

ATTEMPTS = 4  # tries inside the proxy of what is proved not to have run, or only reads

Outcome = TypeVar("Outcome")


async def try_servers(
    service: ServiceRuntime,
    route: Route,
    arrived: Instant,
    values: Mapping[str, str],
    choose: Callable[[], Target],
    attempt: Callable[[Grant, Target], Awaitable[Outcome | Result]],
    excluded: Callable[[], frozenset[BackendId]] = frozenset,
) -> Outcome | Result:
    """Return the first outcome that is no refusal, or the last refusal.

    ``choose`` names the target of each try, ``attempt`` carries it out, and ``excluded`` names the
    servers to pass over. A refusal that may not be repeated ends the tries.
    """
    result = Result.not_run(ResultCode.NO_PRIMARY, "no attempt was made", RETRY_HINT_MS)
    attempts = 0
    while attempts < ATTEMPTS:
        target = choose()
        refusal = service.refuse_primary_work() if isinstance(target, OnPrimary) else None
        if refusal is not None:
            return refusal
        grant = await service.acquire(route, target, arrived, values, excluded())
        if isinstance(grant, Result):
            return grant
        outcome = await attempt(grant, target)
        if not isinstance(outcome, Result):
            return outcome
        result = outcome
        if not result.retry_allowed:
            break
        # A replica that was behind is passed over next time, so this does not spin.
        attempts += result.code is not ResultCode.REPLICA_BEHIND
    return result
