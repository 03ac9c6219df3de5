"""Keep one connection to a pool, watch that it lives, and hand answers to their requests."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

from hickorywind.entry.inbox import LinkLost, RequestInbox
from hickorywind.ids import Address, Incarnation, RequestId
from hickorywind.protocol.channel import ChannelKeys, Link
from hickorywind.protocol.messages import (
    AnswerEnd,
    AnswerPart,
    CancelResult,
    EntryHeartbeat,
    Message,
    PoolHeartbeat,
    Refused,
)
from hickorywind.results import HickorywindError
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
SILENCE_LIMIT = timedelta(seconds=3)
_FIRST_CONTACT_INTERVAL = timedelta(milliseconds=20)
_FIRST_ANSWER_INTERVAL = timedelta(milliseconds=100)
_PAUSE_LIMIT = timedelta(seconds=1)
_RECONNECT_LIMIT = timedelta(milliseconds=300)
_RECONNECT_INTERVAL = timedelta(milliseconds=50)


class PoolLink:
    """Own the link to one pool.

    ``incarnation`` is that of the pool process at the other end, None until it is heard and while
    it is lost. All requests that wait are told when the pool falls silent, when its connection
    breaks and when another incarnation answers.
    """

    def __init__(
        self,
        address: Address,
        heartbeat: EntryHeartbeat,
        clock: Clock,
        keys: ChannelKeys | None,
    ) -> None:
        """Start connecting in the background."""
        self.address = address
        self.incarnation: Incarnation | None = None
        self.draining = False
        self._heartbeat = heartbeat
        self._clock = clock
        self._link = Link(address, keys)
        self.last_used: Instant = clock.now()
        self._inboxes: dict[RequestId, RequestInbox] = {}
        self._heard: Instant = clock.now()
        self._broken_since: Instant | None = None
        self._ready = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """Tell whether no request waits for an answer."""
        return not self._inboxes

    async def run(self) -> None:
        """Exchange heartbeats and receive answers until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._receive_all())
                tasks.create_task(self._watch())
        finally:
            self._forget_all("this entry closed the link")
            self._link.close()

    async def wait_ready(self, timeout: timedelta) -> Incarnation | None:
        """Return the pool's incarnation, waiting for its first sign; None where none came."""
        if self.incarnation is None:
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    await self._ready.wait()
            except TimeoutError:
                return None
        return self.incarnation

    def open_inbox(self, request_id: RequestId) -> RequestInbox:
        """Start to collect the answer of a request."""
        self.last_used = self._clock.now()
        inbox = RequestInbox(request_id)
        self._inboxes[request_id] = inbox
        return inbox

    def close_inbox(self, request_id: RequestId) -> None:
        """Drop whatever still comes for a request."""
        self._inboxes.pop(request_id, None)

    async def send(self, message: Message) -> bool:
        """Send a message; return False where no connection stands."""
        return await self._link.send(message)

    async def _watch(self) -> None:
        last_tick = self._clock.now()
        while True:
            connected = await self._link.send(self._heartbeat)
            now = self._clock.now()
            if now - last_tick > HEARTBEAT_INTERVAL + _PAUSE_LIMIT:
                # This process was paused: the silence was its own.
                self._heard = now
            last_tick = now
            if self.incarnation is not None:
                self._check_alive(connected, now)
            await asyncio.sleep(self._next_pause(connected).total_seconds())

    def _next_pause(self, connected: bool) -> timedelta:
        if connected:
            return _FIRST_ANSWER_INTERVAL if self.incarnation is None else HEARTBEAT_INTERVAL
        return _FIRST_CONTACT_INTERVAL if self.incarnation is None else _RECONNECT_INTERVAL

    def _check_alive(self, connected: bool, now: Instant) -> None:
        if connected:
            self._broken_since = None
        elif self._broken_since is None:
            self._broken_since = now
        if self._broken_since is not None and now - self._broken_since > _RECONNECT_LIMIT:
            self._lose("connection to the pool broke")
        elif now - self._heard > SILENCE_LIMIT:
            self._lose("pool is silent")

    async def _receive_all(self) -> None:
        while True:
            try:
                message = await self._link.receive()
            except HickorywindError as error:
                logger.warning("peer_message_refused", extra={"reason": error.result.reason})
                continue
            self._heard = self._clock.now()
            self._handle(message)

    def _handle(self, message: Message) -> None:
        match message:
            case PoolHeartbeat(incarnation=incarnation, draining=draining):
                self.draining = draining
                self._meet(incarnation)
            case AnswerPart() | AnswerEnd() | CancelResult():
                inbox = self._inboxes.get(message.request_id)
                if inbox is not None:
                    inbox.put(message)
            case Refused(result=result):
                logger.error(
                    "pool_refused", extra={"pool": str(self.address), "reason": result.reason}
                )

    def _meet(self, incarnation: Incarnation) -> None:
        if self.incarnation == incarnation:
            return
        if self.incarnation is not None:
            self._lose("pool was restarted")
        self.incarnation = incarnation
        self._ready.set()
        logger.info("pool_met", extra={"pool": str(self.address), "incarnation": incarnation})

    def _lose(self, reason: str) -> None:
        if self.incarnation is None and not self._inboxes:
            return
        logger.warning("pool_lost", extra={"pool": str(self.address), "reason": reason})
        self._forget_all(reason)

    def _forget_all(self, reason: str) -> None:
        self.incarnation = None
        self._broken_since = None
        self._ready.clear()
        waiting, self._inboxes = self._inboxes, {}
        for inbox in waiting.values():
            inbox.put(LinkLost(reason))
