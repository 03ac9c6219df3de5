"""Hold the links to other controllers: few, opened when needed, closed when unused."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.controller.events import Event, MessageArrived
from hickorywind.ids import Address
from hickorywind.membership.actions import ToAddress
from hickorywind.protocol.channel import ChannelKeys, Link
from hickorywind.protocol.messages import Message
from hickorywind.results import HickorywindError
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

LINK_LIMIT = 48
UNUSED_TIMEOUT = timedelta(seconds=30)
WAITING_LIMIT = 64
WAITING_TIMEOUT = timedelta(milliseconds=600)


@dataclass
class _OpenLink:
    link: Link
    receiver: asyncio.Task[None]
    last_used: Instant
    waiting: deque[tuple[Instant, Message]] = field(default_factory=deque)


class LinkPool:
    """Send to controllers by address; what they answer goes to ``events``.

    A message waits a little while its link connects and is then dropped: gossip repairs losses.
    """

    def __init__(
        self, events: asyncio.Queue[Event], clock: Clock, keys: ChannelKeys | None
    ) -> None:
        self._events = events
        self._clock = clock
        self._keys = keys
        self._links: dict[Address, _OpenLink] = {}

    async def send(self, address: Address, message: Message) -> None:
        """Send a message, or keep it until the link stands."""
        entry = self._links.get(address) or self._open(address)
        entry.last_used = self._clock.now()
        if entry.waiting or not await entry.link.send(message):
            if len(entry.waiting) < WAITING_LIMIT:
                entry.waiting.append((self._clock.now(), message))

    async def tick(self) -> None:
        """Send what waited and close links that are unused."""
        now = self._clock.now()
        for address, entry in list(self._links.items()):
            await self._send_waiting(entry, now)
            if now - entry.last_used > UNUSED_TIMEOUT:
                await self._close(address)

    async def _send_waiting(self, entry: _OpenLink, now: Instant) -> None:
        while entry.waiting:
            since, message = entry.waiting[0]
            if now - since <= WAITING_TIMEOUT and not await entry.link.send(message):
                return
            entry.waiting.popleft()

    def _open(self, address: Address) -> _OpenLink:
        if len(self._links) >= LINK_LIMIT:
            oldest = min(self._links, key=lambda known: self._links[known].last_used)
            self._abandon(self._links.pop(oldest))
        link = Link(address, self._keys, with_heartbeats=False)
        receiver = asyncio.create_task(self._receive(address, link))
        entry = _OpenLink(link, receiver, self._clock.now())
        self._links[address] = entry
        return entry

    async def _receive(self, address: Address, link: Link) -> None:
        while True:
            try:
                message = await link.receive()
            except HickorywindError as error:
                logger.warning("peer_message_refused", extra={"reason": error.result.reason})
                continue
            await self._events.put(MessageArrived(ToAddress(address), message))

    @staticmethod
    def _abandon(entry: _OpenLink) -> None:
        entry.receiver.cancel()
        entry.link.close()

    async def _close(self, address: Address) -> None:
        entry = self._links.pop(address)
        entry.receiver.cancel()
        await asyncio.gather(entry.receiver, return_exceptions=True)
        entry.link.close()

    async def close(self) -> None:
        """Close every link."""
        for address in list(self._links):
            await self._close(address)
