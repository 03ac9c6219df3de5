"""Connections to the other hosts, with periodic greetings and calls."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import zmq

from hickorywind.failover.leadership import PERMIT_DURATION, HostRecord
from hickorywind.host.identity import HostIdentity
from hickorywind.ids import AvailabilityZone, HostId
from hickorywind.ports.coordination import LeaseId
from hickorywind.protocol.channel import Link, Listener
from hickorywind.protocol.hoststatus import PeerStatus
from hickorywind.protocol.messages import CopyReply, Greeting, GreetingReply, Message
from hickorywind.results import HickorywindError
from hickorywind.util.clock import Clock, Instant, to_milliseconds
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

GREETING_INTERVAL = timedelta(seconds=1)  # spreads a new configuration within its time limit
FIRST_CONTACT_LIMIT = timedelta(seconds=1)  # how long a new peer is greeted at the short interval
FIRST_CONTACT_RETRY_DELAY = timedelta(milliseconds=50)  # about the time to connect
CALL_TIMEOUT = timedelta(milliseconds=700)  # several round trips between regions
ALIVE_WINDOW = timedelta(milliseconds=3500)  # longer than three lost greetings in a row
SILENT_AFTER = timedelta(milliseconds=2500)  # longer than a process takes to restart
# A silent host counts towards the quorum until its permit has expired: until then this host itself
# may be the isolated one.
EXPECTED_WINDOW = SILENT_AFTER + PERMIT_DURATION + timedelta(seconds=2)
REMOVE_AFTER = timedelta(seconds=60)  # after this silence a host is no longer greeted
_MISSED_GREETINGS_UNTIL_RECONNECT = 2  # a stalled connection may hide a reachable peer


@dataclass
class Peer:
    """Connection to one other host and what its replies said."""

    record: HostRecord
    link: Link
    last_heard: Instant
    added_at: Instant
    missed_greetings: int = 0
    has_answered: bool = False
    is_leaving: bool = False
    holds_permit: bool = False
    pending_calls: dict[int, asyncio.Future] = field(default_factory=dict)
    tasks: list[asyncio.Task] = field(default_factory=list)


class Peers:
    """Membership of the other hosts, with periodic greetings, calls and replies."""

    def __init__(self, identity: HostIdentity, clock: Clock, rng: random.Random) -> None:
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._peers: dict[HostId, Peer] = {}
        self._next_call = 1
        self._background = BackgroundTasks()
        self._listener: Listener | None = None
        self.handle_message: Callable[[Message], Awaitable[Message | None]] | None = None
        self.make_greeting: Callable[[int], Greeting] | None = None
        self.on_greeting_reply: Callable[[GreetingReply, Instant], None] | None = None
        self.on_membership_change: Callable[[], None] = lambda: None

    async def serve(self) -> None:
        """Answer the messages of other hosts until cancelled."""
        self._listener = Listener(self._identity.address, with_heartbeats=False)
        try:
            while True:
                received = await self._listener.receive()
                self._background.start(self._respond(received.peer, received.message))
        finally:
            self._listener.close()

    async def _respond(self, sender: bytes, message: Message) -> None:
        reply = await self.handle_message(message)
        if reply is not None:
            await self._listener.send(sender, reply)

    def add(self, record: HostRecord) -> None:
        """Add a host, or replace an older incarnation of it."""
        if record.host == self._identity.host:
            return
        known = self._peers.get(record.host)
        if known is not None:
            if known.record.incarnation >= record.incarnation:
                return
            self._remove(record.host)
        link = Link(record.address, with_heartbeats=False)
        now = self._clock.now()
        peer = Peer(record, link, last_heard=now, added_at=now)
        self._peers[record.host] = peer
        peer.tasks = [
            asyncio.create_task(self._receive(peer)),
            asyncio.create_task(self._greet(peer)),
        ]
        logger.info(
            "peer_added",
            extra={"peer": record.host, "address": record.address, "zone": record.zone},
        )
        self.on_membership_change()

    def add_from_greeting(self, greeting: Greeting) -> None:
        """Add the host that sent a greeting."""
        known = self._peers.get(greeting.host)
        if known is not None and known.record.incarnation >= greeting.incarnation:
            return
        self.add(
            HostRecord(
                greeting.host,
                greeting.incarnation,
                AvailabilityZone(greeting.zone),
                greeting.address,
                LeaseId(0),
            )
        )

    def _remove(self, host: HostId) -> None:
        peer = self._peers.pop(host)
        for task in peer.tasks:
            task.cancel()
        peer.link.close()

    def known_hosts(self) -> tuple[HostRecord, ...]:
        """Return all other hosts that have not been removed."""
        return tuple(peer.record for peer in self._peers.values())

    def alive(self) -> tuple[HostId, ...]:
        """Return the other hosts heard from within ``ALIVE_WINDOW``."""
        oldest = self._clock.now() - ALIVE_WINDOW
        return tuple(host for host, peer in self._peers.items() if peer.last_heard >= oldest)

    def expected_count(self) -> int:
        """Return how many other hosts count towards the quorum."""
        oldest = self._clock.now() - EXPECTED_WINDOW
        return sum(peer.last_heard >= oldest for peer in self._peers.values())

    def silent_hosts(self) -> tuple[HostRecord, ...]:
        """Return the hosts not heard from for ``SILENT_AFTER``."""
        oldest = self._clock.now() - SILENT_AFTER
        return tuple(peer.record for peer in self._peers.values() if peer.last_heard < oldest)

    def active(self) -> tuple[HostId, ...]:
        """Return the alive other hosts that are not stopping."""
        return tuple(host for host in self.alive() if not self._peers[host].is_leaving)

    def describe(self) -> tuple[PeerStatus, ...]:
        """Return the status of each other host."""
        now = self._clock.now()
        return tuple(
            PeerStatus(
                host,
                peer.record.zone,
                int(to_milliseconds(now - peer.last_heard)),
                peer.is_leaving,
                peer.holds_permit,
            )
            for host, peer in sorted(self._peers.items())
        )

    def sees_majority(self) -> bool:
        """Return whether this host and the alive others are a majority of the expected hosts."""
        return self.is_quorum(len(self.alive()))

    def is_quorum(self, count: int) -> bool:
        """Return whether this host and ``count`` others are a majority of the expected hosts.

        Otherwise this host itself may be isolated.
        """
        return count * 2 >= self.expected_count()

    def any_peer_holds_permit(self) -> bool:
        """Return whether an active other host holds a permit to use primaries."""
        return any(self._peers[host].holds_permit for host in self.active())

    def is_isolated(self) -> bool:
        """Return whether other hosts are known and none of them is alive."""
        return bool(self._peers) and not self.alive()

    async def call(
        self,
        host: HostId,
        make_message: Callable[[int], Message],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Message | None:
        """Send a message and return the reply, or None if none arrives in time."""
        peer = self._peers.get(host)
        if peer is None:
            return None
        call_id = self._next_call
        self._next_call += 1
        future = asyncio.get_running_loop().create_future()
        peer.pending_calls[call_id] = future
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                if not await peer.link.send(make_message(call_id)):
                    return None
                return await future
        except (TimeoutError, zmq.ZMQError):
            return None
        finally:
            peer.pending_calls.pop(call_id, None)

    async def call_each(
        self,
        hosts: tuple[HostId, ...],
        make_message: Callable[[int], Message],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> list[Message]:
        """Send a message to several hosts at once and return the replies that arrive in time."""
        replies = await asyncio.gather(*(self.call(host, make_message, timeout) for host in hosts))
        return [reply for reply in replies if reply is not None]

    async def is_responding(self, host: HostId, timeout: timedelta) -> bool:
        """Return whether a host answers a greeting in time."""
        return await self.call(host, self.make_greeting, timeout) is not None

    async def broadcast(self, message: Message) -> None:
        """Send a message without a reply to all other hosts."""
        for peer in list(self._peers.values()):
            await peer.link.send(message)

    async def _receive(self, peer: Peer) -> None:
        while True:
            link = peer.link
            try:
                message = await link.receive()
            except HickorywindError as error:
                logger.warning(
                    "peer_message_refused", extra={"peer": peer.record.host, "reason": str(error)}
                )
                continue
            except zmq.ZMQError:
                # The socket was closed because a new connection replaced it.
                await asyncio.sleep(0)
                continue
            peer.last_heard = self._clock.now()
            peer.missed_greetings = 0
            waiter = peer.pending_calls.get(getattr(message, "call", 0))
            if waiter is not None and not waiter.done():
                waiter.set_result(message)
            elif isinstance(message, CopyReply):
                await self.handle_message(message)

    async def _greet(self, peer: Peer) -> None:
        while True:
            sent = self._clock.now()
            reply = await self.call(peer.record.host, self.make_greeting)
            if isinstance(reply, GreetingReply):
                peer.has_answered = True
                peer.is_leaving = reply.is_leaving
                peer.holds_permit = reply.holds_permit
                self.on_greeting_reply(reply, sent)
            elif self._is_connecting(peer):
                # The connection is not established yet.
                await asyncio.sleep(FIRST_CONTACT_RETRY_DELAY.total_seconds())
                continue
            else:
                self._record_missed_greeting(peer)
                if self._clock.now() > peer.last_heard + REMOVE_AFTER:
                    self._remove_unresponsive(peer)
                    return
            jitter = self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(GREETING_INTERVAL.total_seconds() * jitter)

    def _is_connecting(self, peer: Peer) -> bool:
        return not peer.has_answered and self._clock.now() < peer.added_at + FIRST_CONTACT_LIMIT

    def _remove_unresponsive(self, peer: Peer) -> None:
        logger.info("peer_removed", extra={"peer": peer.record.host})
        self._peers.pop(peer.record.host, None)
        peer.link.close()
        peer.tasks[0].cancel()

    def _record_missed_greeting(self, peer: Peer) -> None:
        peer.missed_greetings += 1
        if peer.missed_greetings % _MISSED_GREETINGS_UNTIL_RECONNECT:
            return
        old, peer.link = peer.link, Link(peer.record.address, with_heartbeats=False)
        old.close()
        peer.tasks[0].cancel()
        peer.tasks[0] = asyncio.create_task(self._receive(peer))
        self.on_membership_change()

    def close(self) -> None:
        """Close the connections to all other hosts."""
        self._background.cancel()
        for host in list(self._peers):
            self._remove(host)
