"""Link to one pool: heartbeats, failure detection and dispatch of answers to requests."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

import msgspec

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
SILENCE_TIMEOUT = timedelta(seconds=3)
_FIRST_CONNECT_INTERVAL = timedelta(milliseconds=20)
_FIRST_HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
_MAX_TICK_DELAY = timedelta(seconds=1)
_RECONNECT_TIMEOUT = timedelta(milliseconds=300)
_RECONNECT_INTERVAL = timedelta(milliseconds=50)


class PoolLink:
    """Link to one pool.

    ``incarnation`` identifies the pool process at the other end; it is None until the first
    heartbeat arrives and while the pool is lost. A pool that is ``draining`` must get no requests
    but those in open transactions. All pending requests receive ``LinkLost`` when
    the pool is silent for too long, when its connection is lost and when the pool has restarted.
    """

    def __init__(
        self,
        address: Address,
        heartbeat: EntryHeartbeat,
        clock: Clock,
        keys: ChannelKeys | None,
    ) -> None:
        """Create the link, which connects in the background."""
        self.address = address
        self.incarnation: Incarnation | None = None
        self.draining = False
        self._heartbeat = heartbeat
        self._clock = clock
        self._link = Link(address, keys)
        self.last_used_at: Instant = clock.now()
        self._inboxes: dict[RequestId, RequestInbox] = {}
        self._last_heard_at: Instant = clock.now()
        self._disconnected_since: Instant | None = None
        self._incarnation_known = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """Return whether no request waits for an answer."""
        return not self._inboxes

    async def run(self) -> None:
        """Send heartbeats and receive messages until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._receive_all())
                tasks.create_task(self._send_heartbeats())
        finally:
            self._reset("this entry closed the link")
            self._link.close()

    async def wait_ready(self, timeout: timedelta) -> Incarnation | None:
        """Wait for the pool's heartbeat; return its incarnation, or None after the timeout."""
        if self.incarnation is None:
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    await self._incarnation_known.wait()
            except TimeoutError:
                return None
        return self.incarnation

    def open_inbox(self, request_id: RequestId) -> RequestInbox:
        """Create and return the inbox that receives the answer of a request."""
        self.last_used_at = self._clock.now()
        inbox = RequestInbox(request_id)
        self._inboxes[request_id] = inbox
        return inbox

    def close_inbox(self, request_id: RequestId) -> None:
        """Remove the inbox of a request; messages that still arrive for it are dropped."""
        self._inboxes.pop(request_id, None)

    async def send(self, message: Message) -> bool:
        """Send a message; return False if there is no connection."""
        return await self._link.send(message)

    async def _send_heartbeats(self) -> None:
        last_tick = self._clock.now()
        while True:
            connected = await self._link.send(self._heartbeat)
            now = self._clock.now()
            if now - last_tick > HEARTBEAT_INTERVAL + _MAX_TICK_DELAY:
                # This process was paused, so the pool must not count as silent.
                self._last_heard_at = now
            last_tick = now
            if self.incarnation is not None:
                self._check_liveness(connected, now)
            await asyncio.sleep(self._heartbeat_interval(connected).total_seconds())

    def _heartbeat_interval(self, connected: bool) -> timedelta:
        if connected:
            return _FIRST_HEARTBEAT_INTERVAL if self.incarnation is None else HEARTBEAT_INTERVAL
        return _FIRST_CONNECT_INTERVAL if self.incarnation is None else _RECONNECT_INTERVAL

    def _check_liveness(self, connected: bool, now: Instant) -> None:
        if connected:
            self._disconnected_since = None
        elif self._disconnected_since is None:
            self._disconnected_since = now
        if (
            self._disconnected_since is not None
            and now - self._disconnected_since > _RECONNECT_TIMEOUT
        ):
            self._mark_lost("connection to the pool was lost")
        elif now - self._last_heard_at > SILENCE_TIMEOUT:
            self._mark_lost("pool is silent")

    async def _receive_all(self) -> None:
        while True:
            try:
                message = await self._link.receive()
            except HickorywindError as error:
                logger.warning("peer_message_refused", extra={"reason": error.result.reason})
                continue
            self._last_heard_at = self._clock.now()
            self._handle(message)
            await self._confirm_drain_step(message)

    async def _confirm_drain_step(self, message: Message) -> None:
        if isinstance(message, PoolHeartbeat) and message.drain_step:
            await self._link.send(
                msgspec.structs.replace(self._heartbeat, drain_step=message.drain_step)
            )

    def _handle(self, message: Message) -> None:
        match message:
            case PoolHeartbeat(incarnation=incarnation, draining=draining):
                self.draining = draining
                self._update_incarnation(incarnation)
            case AnswerPart() | AnswerEnd() | CancelResult():
                inbox = self._inboxes.get(message.request_id)
                if inbox is not None:
                    inbox.put(message)
            case Refused(result=result):
                logger.error(
                    "pool_refused", extra={"pool": str(self.address), "reason": result.reason}
                )

    def _update_incarnation(self, incarnation: Incarnation) -> None:
        if self.incarnation == incarnation:
            return
        if self.incarnation is not None:
            self._mark_lost("pool was restarted")
        self.incarnation = incarnation
        self._incarnation_known.set()
        logger.info("pool_connected", extra={"pool": str(self.address), "incarnation": incarnation})

    def _mark_lost(self, reason: str) -> None:
        if self.incarnation is None and not self._inboxes:
            return
        logger.warning("pool_lost", extra={"pool": str(self.address), "reason": reason})
        self._reset(reason)

    def _reset(self, reason: str) -> None:
        self.incarnation = None
        self._disconnected_since = None
        self._incarnation_known.clear()
        waiting, self._inboxes = self._inboxes, {}
        for inbox in waiting.values():
            inbox.put(LinkLost(reason))
