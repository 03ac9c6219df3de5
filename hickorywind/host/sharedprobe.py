"""Probe of a backend server, made once for all that ask for it at about that time.

Bounds the load of a suspicion that spreads over a large fleet: each host asks its neighbours, which
suspect the primary as well if they don't reach it. A new connection takes one of the server's slots
for a moment, so that their probes alone would keep it from accepting any in time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from hickorywind.membership.neighbours import FULL_MESH_SIZE
from hickorywind.util.clock import Clock, Instant

# Beyond a full mesh, for a hundred probes a second by the whole fleet.
REUSE_PER_HOST = timedelta(milliseconds=10)
REUSE_MAX = timedelta(seconds=1)
FAILURE_REUSE_MAX = timedelta(milliseconds=300)  # a server that is back is not replaced


class SharedProbe:
    """Probe of one backend server, whose running attempt and last result are shared."""

    def __init__(self, clock: Clock, attempt: Callable[[], Coroutine[Any, Any, bool]]) -> None:
        self._clock = clock
        self._attempt = attempt
        self._running: asyncio.Task[bool] | None = None
        self._result: tuple[Instant, bool] | None = None  # when the last attempt ended, and how

    async def run(self, host_count: int) -> bool:
        """Return the result of an attempt that is running or ended a moment ago, or of a new one.

        In a large fleet a result is reused for a time that grows with the number of hosts.
        """
        if self._result is not None:
            ended_at, is_success = self._result
            longest = REUSE_MAX if is_success else FAILURE_REUSE_MAX
            surplus = max(0, host_count - FULL_MESH_SIZE)
            if self._clock.now() < ended_at + min(REUSE_PER_HOST * surplus, longest):
                return is_success
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._run_attempt())
        return await asyncio.shield(self._running)

    async def _run_attempt(self) -> bool:
        is_success = await self._attempt()
        self._result = self._clock.now(), is_success
        return is_success
