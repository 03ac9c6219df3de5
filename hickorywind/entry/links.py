"""Open a link to each pool when it is first needed and close those of pools that have gone."""

from __future__ import annotations

import asyncio

from hickorywind.entry.poollink import PoolLink
from hickorywind.ids import Address
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.protocol.messages import EntryHeartbeat
from hickorywind.util.clock import Clock


class PoolLinks:
    """Own the links of one entry and the tasks that run them."""

    def __init__(self, heartbeat: EntryHeartbeat, clock: Clock, keys: ChannelKeys | None) -> None:
        self._heartbeat = heartbeat
        self._clock = clock
        self._keys = keys
        self._links: dict[Address, tuple[PoolLink, asyncio.Task[None]]] = {}

    def to(self, address: Address) -> PoolLink:
        """Return the link to a pool; must be called from a running event loop."""
        if address not in self._links:
            link = PoolLink(address, self._heartbeat, self._clock, self._keys)
            self._links[address] = (link, asyncio.create_task(link.run()))
        return self._links[address][0]

    def retain(self, wanted: frozenset[Address]) -> None:
        """Open links to the wanted pools ahead of need and close idle ones to others."""
        for address in wanted:
            self.to(address)
        for address in set(self._links) - wanted:
            link, task = self._links[address]
            if link.is_idle and link.incarnation is None:
                del self._links[address]
                task.cancel()

    async def close(self) -> None:
        """Close all links."""
        tasks = [task for _, task in self._links.values()]
        self._links.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
