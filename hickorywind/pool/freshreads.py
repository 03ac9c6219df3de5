"""Hold a read back until the replica's data is known to be fresh enough, or refuse it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from hickorywind.admission.freshness import (
    ReadConstraints,
    Serve,
    StalenessTracker,
    WaitForFloor,
    WaitForSample,
)
from hickorywind.ids import EMPTY_LOG, LogPosition
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds

_WAIT_LIMIT = timedelta(milliseconds=250)
_POLL_SECONDS = 0.005
_RENEW_AT_SHARE = 0.5
_RENEW_PAUSE = timedelta(milliseconds=50)
_RETRY_AFTER_MS = 100


def max_staleness(message: Execute) -> timedelta | None:
    """Return the greatest age of data that a request accepts."""
    if message.max_staleness_ms is None:
        return None
    return milliseconds(message.max_staleness_ms)


class FreshReads:
    """Decide on reads at one replica; ages count back from the instant a read arrived.

    ``find_primary`` returns the watch of the group's primary, or None where none is known.
    """

    def __init__(
        self,
        watch: GroupWatch,
        find_primary: Callable[[], GroupWatch | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._watch = watch
        self._find_primary = find_primary
        self._clock = clock
        self._rng = rng
        self._freshness = StalenessTracker()
        self._renewal: asyncio.Task | None = None
        self._renewed: Instant | None = None

    def allows(self, message: Execute, arrived: Instant) -> bool:
        """Tell whether the read may run with what is known now."""
        decision = self._decide(message, arrived)
        if message.max_staleness_ms is not None:
            self._renew_early(message, arrived)
        return isinstance(decision, Serve)

    def _decide(self, message: Execute, arrived: Instant):
        needs = ReadConstraints(message.floor, max_staleness(message))
        return self._freshness.decide(needs, self._applied(), arrived)

    def _applied(self) -> LogPosition:
        status = self._watch.status
        return status.applied if status is not None else EMPTY_LOG

    def _renew_early(self, message: Execute, now: Instant) -> None:
        """Sample in the background while bounded reads keep coming, before they have to wait."""
        newest = self._freshness.newest
        limit = max_staleness(message) * _RENEW_AT_SHARE
        if newest is not None and now - newest.taken_at <= limit:
            return
        recently = self._renewed is not None and now - self._renewed < _RENEW_PAUSE
        if recently or (self._renewal is not None and not self._renewal.done()):
            return
        self._renewed = now
        self._renewal = asyncio.create_task(self._renew())

    async def _renew(self) -> None:
        """Sample the primary, then see what the replica has applied."""
        await self._sample()
        await self._watch.refresh()

    async def _sample(self) -> None:
        primary = self._find_primary()
        if primary is None:
            return
        await primary.refresh()
        if primary.sample is not None:
            self._freshness.add(primary.sample)

    async def wait(self, message: Execute, arrived: Instant, deadline: Instant) -> Result | None:
        """Wait briefly until the read may run; return a refusal where it may not."""
        give_up = min(self._clock.now() + _WAIT_LIMIT, deadline)
        while True:
            decision = self._decide(message, arrived)
            if isinstance(decision, Serve):
                return None
            if self._clock.now() >= give_up:
                return self._refusal(decision)
            await self._help(decision, give_up)

    async def _help(self, decision: WaitForFloor | WaitForSample, give_up: Instant) -> None:
        remaining = max((give_up - self._clock.now()).total_seconds(), _POLL_SECONDS)
        try:
            async with asyncio.timeout(remaining):
                if isinstance(decision, WaitForSample):
                    await self._renew()
                else:
                    await self._watch.refresh()
                await asyncio.sleep(_POLL_SECONDS)
        except TimeoutError:
            return

    def _refusal(self, decision: WaitForFloor | WaitForSample) -> Result:
        hint = round(_RETRY_AFTER_MS * self._rng.uniform(1.0, 2.0))
        match decision:
            case WaitForFloor():
                reason = "the replica has not applied what the session has seen"
                return Result.not_run(ResultCode.REPLICA_BEHIND, reason, hint)
            case WaitForSample():
                reason = "the replica's data can't be shown to be young enough"
                return Result.not_run(ResultCode.TOO_STALE, reason, hint)
