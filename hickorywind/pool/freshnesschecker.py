"""Freshness checks that delay or refuse reads at a replica."""

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
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds

_WAIT_LIMIT = timedelta(milliseconds=250)
_POLL_INTERVAL_SECONDS = 0.005
_SAMPLE_AHEAD_AGE_SHARE = 0.5
_MIN_SAMPLING_INTERVAL = timedelta(milliseconds=50)
_RETRY_AFTER_MS = 100


def max_staleness(message: Execute) -> timedelta | None:
    """Return the maximum age of data that a request accepts; None if it is unbounded."""
    if message.max_staleness_ms is None:
        return None
    return milliseconds(message.max_staleness_ms)


class FreshnessChecker:
    """Freshness check of the reads at one replica.

    The age of data is measured back from the arrival of the read. It is derived from samples of the
    primary: a replica that has applied a sample's position holds all data committed before the
    instant of the sample. ``find_primary_monitor`` returns the monitor of the group's primary, or
    None if no primary is known.
    """

    def __init__(
        self,
        monitor: BackendMonitor,
        find_primary_monitor: Callable[[], BackendMonitor | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._monitor = monitor
        self._find_primary_monitor = find_primary_monitor
        self._clock = clock
        self._rng = rng
        self._freshness = StalenessTracker()
        self._sampling_task: asyncio.Task | None = None
        self._last_sampled_at: Instant | None = None

    def may_run_now(self, message: Execute, arrived_at: Instant) -> bool:
        """Return whether the replica is known to be fresh enough for the read.

        A read with a bounded staleness may also start a new sample in the background.
        """
        decision = self._decide(message, arrived_at)
        if message.max_staleness_ms is not None:
            self._sample_ahead(message, arrived_at)
        return isinstance(decision, Serve)

    def _decide(self, message: Execute, arrived_at: Instant):
        constraints = ReadConstraints(message.floor, max_staleness(message))
        return self._freshness.decide(constraints, self._applied_position(), arrived_at)

    def _applied_position(self) -> LogPosition:
        status = self._monitor.status
        return status.applied if status is not None else EMPTY_LOG

    def _sample_ahead(self, message: Execute, now: Instant) -> None:
        """Start sampling in the background before the newest sample is too old for such reads."""
        newest = self._freshness.newest
        limit = max_staleness(message) * _SAMPLE_AHEAD_AGE_SHARE
        if newest is not None and now - newest.taken_at <= limit:
            return
        is_too_soon = (
            self._last_sampled_at is not None
            and now - self._last_sampled_at < _MIN_SAMPLING_INTERVAL
        )
        if is_too_soon or (self._sampling_task is not None and not self._sampling_task.done()):
            return
        self._last_sampled_at = now
        self._sampling_task = asyncio.create_task(self._sample_and_refresh())

    async def _sample_and_refresh(self) -> None:
        """Sample the primary, then refresh the position that the replica has applied."""
        await self._sample_primary()
        await self._monitor.refresh()

    async def _sample_primary(self) -> None:
        primary = self._find_primary_monitor()
        if primary is None:
            return
        await primary.refresh()
        if primary.sample is not None:
            self._freshness.add(primary.sample)

    async def wait_until_fresh(
        self, message: Execute, arrived_at: Instant, deadline: Instant
    ) -> Result | None:
        """Wait briefly until the replica is fresh enough; return a refusal if it is not in time."""
        give_up_at = min(self._clock.now() + _WAIT_LIMIT, deadline)
        while True:
            decision = self._decide(message, arrived_at)
            if isinstance(decision, Serve):
                return None
            if self._clock.now() >= give_up_at:
                return self._refusal(decision)
            await self._refresh_once(decision, give_up_at)

    async def _refresh_once(
        self, decision: WaitForFloor | WaitForSample, give_up_at: Instant
    ) -> None:
        remaining = max((give_up_at - self._clock.now()).total_seconds(), _POLL_INTERVAL_SECONDS)
        try:
            async with asyncio.timeout(remaining):
                if isinstance(decision, WaitForSample):
                    await self._sample_and_refresh()
                else:
                    await self._monitor.refresh()
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        except TimeoutError:
            return

    def _refusal(self, decision: WaitForFloor | WaitForSample) -> Result:
        retry_after_ms = round(_RETRY_AFTER_MS * self._rng.uniform(1.0, 2.0))
        match decision:
            case WaitForFloor():
                reason = "the replica has not applied the log up to the session's position"
                return Result.not_run(ResultCode.REPLICA_BEHIND, reason, retry_after_ms)
            case WaitForSample():
                reason = "the replica's data is not known to be within the maximum staleness"
                return Result.not_run(ResultCode.TOO_STALE, reason, retry_after_ms)
