"""Bounded pool of links to other controllers, opened on demand and closed when idle."""

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
IDLE_TIMEOUT = timedelta(seconds=30)
PENDING_MESSAGES_LIMIT = 64
PENDING_MESSAGE_TIMEOUT = timedelta(milliseconds=600)


@dataclass
class _OpenLink:
    link: Link
    receiver: asyncio.Task[None]
    last_used: Instant
    pending: deque[tuple[Instant, Message]] = field(default_factory=deque)


class LinkPool:
    """Links to other controllers by address; messages received on them go to ``events``.

    A message is queued while its link connects, for at most ``PENDING_MESSAGE_TIMEOUT``, and then
    dropped: gossip makes up for lost messages.
    """

    def __init__(
        self, events: asyncio.Queue[Event], clock: Clock, keys: ChannelKeys | None
    ) -> None:
        self._events = events
        self._clock = clock
        self._keys = keys
        self._links: dict[Address, _OpenLink] = {}

    async def send(self, address: Address, message: Message) -> None:
        """Send a message, or queue it until the link is connected."""
        open_link = self._links.get(address) or self._open(address)
        open_link.last_used = self._clock.now()
        if open_link.pending or not await open_link.link.send(message):
            if len(open_link.pending) < PENDING_MESSAGES_LIMIT:
                open_link.pending.append((self._clock.now(), message))

    async def tick(self) -> None:
        """Send the queued messages and close the links that are idle."""
        now = self._clock.now()
        for address, open_link in list(self._links.items()):
            await self._send_pending(open_link, now)
            if now - open_link.last_used > IDLE_TIMEOUT:
                await self._close(address)

    async def _send_pending(self, open_link: _OpenLink, now: Instant) -> None:
        while open_link.pending:
            queued_at, message = open_link.pending[0]
            if now - queued_at <= PENDING_MESSAGE_TIMEOUT and not await open_link.link.send(
                message
            ):
                return
            open_link.pending.popleft()

    def _open(self, address: Address) -> _OpenLink:
        if len(self._links) >= LINK_LIMIT:
            least_recently_used = min(
                self._links, key=lambda candidate: self._links[candidate].last_used
            )
            self._close_without_waiting(self._links.pop(least_recently_used))
        link = Link(address, self._keys, with_heartbeats=False)
        receiver = asyncio.create_task(self._receive(address, link))
        open_link = _OpenLink(link, receiver, self._clock.now())
        self._links[address] = open_link
        return open_link

    async def _receive(self, address: Address, link: Link) -> None:
        while True:
            try:
                message = await link.receive()
            except HickorywindError as error:
                logger.warning("peer_message_refused", extra={"reason": error.result.reason})
                continue
            await self._events.put(MessageArrived(ToAddress(address), message))

    @staticmethod
    def _close_without_waiting(open_link: _OpenLink) -> None:
        open_link.receiver.cancel()
        open_link.link.close()

    async def _close(self, address: Address) -> None:
        open_link = self._links.pop(address)
        open_link.receiver.cancel()
        await asyncio.gather(open_link.receiver, return_exceptions=True)
        open_link.link.close()

    async def close(self) -> None:
        """Close every link."""
        for address in list(self._links):
            await self._close(address)
