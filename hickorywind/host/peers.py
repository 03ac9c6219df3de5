"""Connections to the other hosts, with periodic greetings and calls."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial

import zmq

from hickorywind.failover.leadership import HostRecord
from hickorywind.host.identity import HostIdentity
from hickorywind.ids import AvailabilityZone, HostId
from hickorywind.membership.peertable import PeerState, PeerTable
from hickorywind.observability.trafficmeter import Distance, TrafficMeter
from hickorywind.ports.catalog import Topology
from hickorywind.ports.coordination import LeaseId
from hickorywind.protocol.channel import Link, Listener
from hickorywind.protocol.messages import (
    CopyReply,
    Greeting,
    GreetingReply,
    LivenessQuery,
    Message,
)
from hickorywind.results import HickorywindError
from hickorywind.util.clock import Clock, Instant
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

GREETING_INTERVAL = timedelta(seconds=1)  # spreads a new configuration within its time limit
FIRST_CONTACT_LIMIT = timedelta(seconds=1)  # how long a new peer is greeted at the short interval
FIRST_CONTACT_RETRY_DELAY = timedelta(milliseconds=50)  # about the time to connect
CALL_TIMEOUT = timedelta(milliseconds=700)  # several round trips between regions
CONNECT_TIMEOUT = timedelta(milliseconds=500)  # for a host that starts; then it is tried again
REMOVE_AFTER = timedelta(seconds=60)  # after this silence a host is no longer greeted
_MISSED_GREETINGS_UNTIL_RECONNECT = 2  # a stalled connection may hide a reachable peer
# Added to the timeout of a call that first has to connect: four round trips between regions.
_CONNECT_ALLOWANCE = timedelta(milliseconds=300)
_CONNECT_RETRY_DELAY = timedelta(milliseconds=20)  # until a connection opened for a call is up
_UNUSED_LINK_LIFETIME = timedelta(seconds=30)  # several calls of one primary change
_DISTANCES = (Distance.ZONE, Distance.REGION, Distance.OTHER_REGION)  # by ``Topology.distance``


@dataclass
class Peer:
    """Connection to one other host, if one is open, and the tasks that use it."""

    record: HostRecord
    greeted_since: Instant = timedelta(0)
    link: Link | None = None
    last_call: Instant = timedelta(0)
    has_answered: bool = False
    is_connected: bool = False  # whether anything was heard over the connection
    connector: asyncio.Task | None = None
    pending_calls: dict[int, asyncio.Future] = field(default_factory=dict)
    receiver: asyncio.Task | None = None
    greeter: asyncio.Task | None = None

    def close(self) -> None:
        """Close the connection and stop greeting."""
        self.stop_greeting()
        self.close_link()

    def stop_greeting(self) -> None:
        """Stop greeting; the connection stays open."""
        if self.greeter is not None:
            self.greeter.cancel()
            self.greeter = None

    def close_link(self) -> None:
        """Close the connection."""
        if self.link is not None:
            self.receiver.cancel()
            self.link.close()
            self.link = None
            self.is_connected = False


class Peers:
    """Connections to the other hosts, with greetings to neighbours, calls and replies."""

    def __init__(
        self,
        identity: HostIdentity,
        clock: Clock,
        rng: random.Random,
        topology: Topology | None = None,
        traffic: TrafficMeter | None = None,
    ) -> None:
        self._identity = identity
        self._topology = topology or Topology()
        self._traffic = traffic or TrafficMeter()
        self._clock = clock
        self._rng = rng
        self._peers: dict[HostId, Peer] = {}
        self.table = PeerTable(identity.host, identity.zone, clock)
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

    def add(self, *records: HostRecord) -> None:
        """Add hosts, or replace older incarnations of them."""
        new = [record for record in records if self._is_new(record)]
        for record in new:
            self._remove(record.host)
            self._peers[record.host] = Peer(record)
            self.table.add(record)
            logger.info(
                "peer_added",
                extra={"peer": record.host, "address": record.address, "zone": record.zone},
            )
        if new:
            self.update_neighbours()
            self.on_membership_change()

    def _is_new(self, record: HostRecord) -> bool:
        known = self._peers.get(record.host)
        is_newer = known is None or record.follows(known.record)
        return is_newer and record.host != self._identity.host

    def update_neighbours(self) -> None:
        """Greet the hosts that are neighbours now, and no others; close unused connections."""
        chosen = self.table.update_neighbours()
        unused_since = self._clock.now() - _UNUSED_LINK_LIFETIME
        for host, peer in self._peers.items():
            if host in chosen:
                if peer.greeter is None:
                    peer.greeted_since, peer.has_answered = self._clock.now(), False
                    peer.greeter = asyncio.create_task(self._greet(peer))
                continue
            peer.stop_greeting()
            if peer.last_call < unused_since and not peer.pending_calls:
                peer.close_link()

    def add_from_greeting(self, greeting: Greeting) -> None:
        """Add the host that sent a greeting."""
        known = self._peers.get(greeting.host)
        if known is not None and known.record.incarnation == greeting.incarnation:
            return
        self.add(
            HostRecord(
                greeting.host,
                greeting.incarnation,
                AvailabilityZone(greeting.zone),
                greeting.address,
                LeaseId(0),
                registered_at=greeting.registered_at,
            )
        )

    def _remove(self, host: HostId) -> None:
        peer = self._peers.pop(host, None)
        if peer is not None:
            peer.close()
        self.table.remove(host)

    def _open_link(self, peer: Peer) -> Link:
        if peer.link is None:
            peer.link = Link(peer.record.address, with_heartbeats=False)
            peer.link.on_transfer = partial(self._count_transfer, peer.record.zone)
            peer.receiver = asyncio.create_task(self._receive(peer, peer.link))
        return peer.link

    def _count_transfer(self, zone: AvailabilityZone, message: Message, size_bytes: int) -> None:
        distance = _DISTANCES[self._topology.distance(self._identity.zone, zone)]
        self._traffic.record(type(message).__name__, distance, size_bytes)

    def known_hosts(self) -> tuple[HostRecord, ...]:
        """Return all other hosts that have not been removed."""
        return tuple(peer.record for peer in self._peers.values())

    def is_isolated(self) -> bool:
        """Return whether other hosts are known and none of them is alive."""
        return bool(self._peers) and not self.table.alive()

    async def call(
        self,
        host: HostId,
        make_message: Callable[[int], Message],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Message | None:
        """Send a message and return the reply, or None if none arrives in time.

        A call to a host without a connection opens one and waits longer.
        """
        peer = self._peers.get(host)
        if peer is None:
            return None
        call_id = self._next_call
        self._next_call += 1
        future = asyncio.get_running_loop().create_future()
        peer.pending_calls[call_id] = future
        peer.last_call = self._clock.now()
        has_link = peer.link is not None
        if not has_link:
            timeout += _CONNECT_ALLOWANCE
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while not await self._open_link(peer).send(make_message(call_id)):
                    if has_link:
                        return None
                    await asyncio.sleep(_CONNECT_RETRY_DELAY.total_seconds())
                return await future
        except (TimeoutError, zmq.ZMQError):
            if peer.greeter is None and len(peer.pending_calls) == 1:
                # The connection may have gone silent; greeted hosts reconnect in ``_greet``.
                peer.close_link()
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
        return list((await self.ask_each(hosts, make_message, timeout)).values())

    async def ask_each(
        self,
        hosts: tuple[HostId, ...],
        make_message: Callable[[int], Message],
        timeout: timedelta = CALL_TIMEOUT,
    ) -> dict[HostId, Message]:
        """Send a message to several hosts at once; return the replies in time, by host."""
        replies = await asyncio.gather(*(self.call(host, make_message, timeout) for host in hosts))
        pairs = zip(hosts, replies, strict=True)
        return {host: reply for host, reply in pairs if reply is not None}

    async def is_responding(self, host: HostId, timeout: timedelta) -> bool:
        """Return whether a host answers a greeting in time."""
        return await self.call(host, self.make_greeting, timeout) is not None

    def ensure_connected(self, host: HostId) -> bool:
        """Return whether a host was heard over its connection; if not, connect to it.

        It doesn't wait. Answers the load of a fleet that starts at once: work that may run
        elsewhere need not wait for a host that is registered and has not started yet.
        """
        peer = self._peers.get(host)
        if peer is None:
            return False
        if not peer.is_connected and (peer.connector is None or peer.connector.done()):
            peer.connector = self._background.start(self.call(host, LivenessQuery, CONNECT_TIMEOUT))
        return peer.is_connected

    async def answers_first_greeting(self, host: HostId) -> bool:
        """Return whether a host that is not greeted, and was reported silent, answers this one."""
        state = self.table.states.get(host)
        if state is None or state.is_greeted:
            return False
        return await self.is_responding(host, CALL_TIMEOUT)

    async def broadcast(self, message: Message) -> None:
        """Send a message without a reply to all other hosts with an open connection."""
        for peer in list(self._peers.values()):
            if peer.link is not None:
                await peer.link.send(message)

    async def send_to_neighbours(self, message: Message) -> None:
        """Send a message without a reply to the greeted hosts with an open connection."""
        for peer in list(self._peers.values()):
            if peer.link is not None and peer.greeter is not None:
                await peer.link.send(message)

    async def _receive(self, peer: Peer, link: Link) -> None:
        while True:
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
            peer.is_connected = True
            self.table.record_heard(peer.record.host)
            waiter = peer.pending_calls.get(getattr(message, "call", 0))
            if waiter is not None and not waiter.done():
                waiter.set_result(message)
            elif isinstance(message, CopyReply):
                await self.handle_message(message)

    async def _greet(self, peer: Peer) -> None:
        state = self.table.states[peer.record.host]
        self._open_link(peer)
        while True:
            sent = self._clock.now()
            reply = await self.call(peer.record.host, self.make_greeting)
            if isinstance(reply, GreetingReply):
                peer.has_answered = True
                state.is_leaving = reply.is_leaving
                state.holds_permit = reply.holds_permit
                self.table.record_answer(peer.record.host)
                self.table.record_reports(reply.reports)
                self.on_greeting_reply(reply, sent)
            elif self._is_connecting(peer):
                # The connection is not established yet.
                await asyncio.sleep(FIRST_CONTACT_RETRY_DELAY.total_seconds())
                continue
            else:
                self._record_missed_greeting(peer, state)
            jitter = self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(GREETING_INTERVAL.total_seconds() * jitter)

    def _is_connecting(self, peer: Peer) -> bool:
        return (
            not peer.has_answered and self._clock.now() < peer.greeted_since + FIRST_CONTACT_LIMIT
        )

    def _record_missed_greeting(self, peer: Peer, state: PeerState) -> None:
        state.missed_greetings += 1
        if state.missed_greetings % _MISSED_GREETINGS_UNTIL_RECONNECT:
            return
        peer.close_link()
        self._open_link(peer)
        self.on_membership_change()

    def maintain(self) -> tuple[HostId, ...]:
        """Forget hosts that have been silent for long and return them; update the neighbours."""
        oldest = self._clock.now() - REMOVE_AFTER
        removed = tuple(
            record.host
            for record in self.table.silent_hosts()
            if self.table.silent_since(record.host) < oldest
        )
        for host in removed:
            logger.info("peer_removed", extra={"peer": host})
            self._remove(host)
        self.update_neighbours()
        return removed

    def close(self) -> None:
        """Close the connections to all other hosts."""
        self._background.cancel()
        for host in list(self._peers):
            self._remove(host)
