"""Whether a backend server accepts connections, probed once for all that ask at about that time.

Answers the load of a suspicion that spreads over a large fleet: each host asks its neighbours,
which suspect the primary as well if they don't reach it. A new connection takes one of the server's
slots for a moment, so that their probes alone would keep it from accepting any in time.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta

from hickorywind.ids import Address
from hickorywind.membership.neighbours import FULL_MESH_SIZE
from hickorywind.util.clock import Clock, Instant
from hickorywind.util.sockets import CONNECT_PROBE_TIMEOUT, accepts_connections

# Beyond a full mesh, for a hundred probes a second by the whole fleet.
REUSE_PER_HOST = timedelta(milliseconds=10)
REUSE_MAX = timedelta(seconds=1)
FAILURE_REUSE_MAX = timedelta(milliseconds=300)  # a server that is back is not replaced


class ReachProbe:
    """Probe of the address of one backend server."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: asyncio.Task[bool] | None = None
        self._result: tuple[Instant, bool] | None = None  # when the last probe ended, and with what

    async def run(self, address: Address, host_count: int) -> bool:
        """Return whether the server accepts connections, or did so a moment ago.

        In a large fleet a result is reused for a time that grows with the number of hosts.
        """
        if self._result is not None:
            ended_at, is_accepted = self._result
            longest = REUSE_MAX if is_accepted else FAILURE_REUSE_MAX
            surplus = max(0, host_count - FULL_MESH_SIZE)
            if self._clock.now() < ended_at + min(REUSE_PER_HOST * surplus, longest):
                return is_accepted
        if self._running is None or self._running.done():
            self._running = asyncio.create_task(self._probe(address))
        return await asyncio.shield(self._running)

    async def _probe(self, address: Address) -> bool:
        is_accepted = await accepts_connections(address, CONNECT_PROBE_TIMEOUT)
        self._result = self._clock.now(), is_accepted
        return is_accepted
