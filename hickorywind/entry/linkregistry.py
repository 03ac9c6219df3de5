"""Registry of the links from one entry to the pools."""

from __future__ import annotations

import asyncio
from datetime import timedelta

from hickorywind.entry.poollink import PoolLink
from hickorywind.ids import Address
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.protocol.messages import EntryHeartbeat
from hickorywind.util.clock import Clock

_MAX_EAGER_LINKS = 16
# Must exceed the idle limit of transactions: closing a link rolls back its open transactions.
MAX_UNUSED_TIME = timedelta(minutes=10)


class PoolLinkRegistry:
    """Links of one entry by pool address, with the tasks that run them."""

    def __init__(self, heartbeat: EntryHeartbeat, clock: Clock, keys: ChannelKeys | None) -> None:
        self._heartbeat = heartbeat
        self._clock = clock
        self._keys = keys
        self._links: dict[Address, tuple[PoolLink, asyncio.Task[None]]] = {}

    def get(self, address: Address) -> PoolLink:
        """Return the link to a pool, opening it if needed; requires a running event loop."""
        if address not in self._links:
            link = PoolLink(address, self._heartbeat, self._clock, self._keys)
            self._links[address] = (link, asyncio.create_task(link.run()))
        return self._links[address][0]

    @property
    def count(self) -> int:
        """Return the number of open links."""
        return len(self._links)

    def retain(self, wanted: frozenset[Address]) -> None:
        """Open links to the wanted pools in advance and close unused links.

        With many pools, links are opened by the first request only: the heartbeats of all links
        would cost more than the first request gains from an open one.
        """
        is_eager = len(wanted) <= _MAX_EAGER_LINKS
        if is_eager:
            for address in wanted:
                self.get(address)
        for address, (link, task) in tuple(self._links.items()):
            if not (is_eager and address in wanted) and self._is_unused(link, address in wanted):
                del self._links[address]
                task.cancel()

    def _is_unused(self, link: PoolLink, wanted: bool) -> bool:
        if not link.is_idle:
            return False
        has_left = not wanted and link.incarnation is None
        return has_left or self._clock.now() - link.last_used_at > MAX_UNUSED_TIME

    async def close(self) -> None:
        """Close all links and wait for their tasks."""
        tasks = [task for _, task in self._links.values()]
        self._links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
