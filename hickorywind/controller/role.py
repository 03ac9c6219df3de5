"""Controller process: one task owns the state, the other tasks send it events."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Self

from hickorywind.controller.calls import GroupCalls
from hickorywind.controller.config import ConfigRecordBuilder
from hickorywind.controller.events import (
    AcceptAnswered,
    ConfigRead,
    Event,
    MessageArrived,
    PlatformListRead,
    PromoteAnswered,
    StatusAnswered,
    StoreReachability,
    TickDue,
)
from hickorywind.controller.failover import FailoverDriver
from hickorywind.controller.groups import ObservedGroups
from hickorywind.controller.links import LinkPool
from hickorywind.controller.platformlist import PlatformList
from hickorywind.controller.requests import OperatorRequests
from hickorywind.controller.storetask import StoreTask
from hickorywind.controller.subscribers import Subscribers
from hickorywind.failover.policy import FailoverPolicy, FixedTimeout
from hickorywind.groups.client import GroupClient
from hickorywind.ids import Address, Incarnation, Role
from hickorywind.membership.actions import Send, ToAddress, ToPeer
from hickorywind.membership.directory import Directory
from hickorywind.membership.gossip import MAX_TICK_GAP, Gossiper, HostIdentity
from hickorywind.observability.metrics import Metrics
from hickorywind.placement.storewatchers import choose_store_watchers
from hickorywind.protocol.channel import ChannelKeys, Listener, PeerId
from hickorywind.protocol.codec import encode
from hickorywind.protocol.messages import (
    DrainReply,
    DrainRequest,
    Message,
    StatusRequest,
    Subscribe,
)
from hickorywind.protocol.records import ConfigHeadRecord, ConfigRecord, MemberRecord, Record
from hickorywind.settings.schema import ControllerSettings, DaemonSettings
from hickorywind.settings.secrets import load_password
from hickorywind.store.etcd import EtcdStore
from hickorywind.util.clock import Clock, Instant, milliseconds

logger = logging.getLogger(__name__)

TICK_INTERVAL = timedelta(milliseconds=100)
FAST_TICK_INTERVAL = timedelta(milliseconds=25)
JOIN_TIMEOUT = timedelta(milliseconds=1500)
WATCHER_SELECTION_DELAY = timedelta(seconds=2)
DRAIN_PROPAGATION_TIME = timedelta(milliseconds=500)


class ControllerRole:
    """Controller of one host: gossip, configuration, failover and subscriptions."""

    def __init__(
        self,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
        metrics: Metrics,
        incarnation: Incarnation,
    ) -> None:
        self._settings = settings
        self._controller_settings: ControllerSettings = settings.controller
        self._clock = clock
        self._rng = rng
        self._keys = keys
        self._metrics = metrics
        self._events: asyncio.Queue[Event] = asyncio.Queue()
        self._directory = Directory()
        self._started_at = clock.now()
        self._last_tick = clock.now()
        self._is_store_watcher = False
        self._is_watcher_selection_due = True
        self._has_joined = False
        address = Address.from_text(self._controller_settings.listen)
        identity = HostIdentity(settings.host, settings.availability_zone, address)
        seeds = [Address.from_text(seed) for seed in self._controller_settings.seeds]
        self._gossip = Gossiper(identity, incarnation, self._directory, rng, seeds)
        self._subscribers = Subscribers(settings.host)
        self._config_records = ConfigRecordBuilder()
        self._platform_list = PlatformList()
        self._operator_requests = OperatorRequests(settings.host)
        proposer = f"{settings.host}/{incarnation}-{rng.getrandbits(32):08x}"
        policy = failover_policy(self._controller_settings)
        self._failover = FailoverDriver(
            ObservedGroups(settings.host, proposer, policy, rng),
            GroupCalls(self._make_client, self._events),
            self._gossip,
            metrics,
        )
        self._links = LinkPool(self._events, clock, keys)
        self._listener = Listener(address, keys, with_heartbeats=False)

    @classmethod
    def from_settings(
        cls,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
        metrics: Metrics,
    ) -> Self:
        """Build the role and bind its address; raise ``zmq.ZMQError`` if it is in use."""
        # Wall-clock time makes incarnations increase over restarts of a host without stored state.
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        return cls(settings, clock, rng, keys, metrics, incarnation)

    def _make_client(self, address: Address, timeout: timedelta) -> GroupClient:
        path = self._controller_settings.backend_password_file
        password = load_password(path) if path is not None else None
        return GroupClient(address, timeout, self._controller_settings.backend_user, password)

    async def run(self) -> None:
        """Run the controller until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._receive())
                tasks.create_task(self._handle_events())
                tasks.create_task(self._schedule_ticks())
                if self._controller_settings.store:
                    store_task = self._make_store_task()
                    self._failover.on_promoted = store_task.record_group
                    tasks.create_task(store_task.run())
        finally:
            await self._failover.close()
            await self._links.close()
            self._listener.close()

    def _make_store_task(self) -> StoreTask:
        address = Address.from_text(self._controller_settings.store)
        timeout = milliseconds(self._controller_settings.store_timeout_ms)
        return StoreTask(
            EtcdStore.from_address(address, timeout),
            self._controller_settings,
            lambda: self._is_store_watcher,
            self._events,
            self._rng,
            self._metrics,
        )

    async def drain(self) -> None:
        """Publish that this host is leaving and give gossip time to propagate it."""
        self._gossip.leave(self._clock.now())
        await asyncio.sleep(DRAIN_PROPAGATION_TIME.total_seconds())

    async def _receive(self) -> None:
        while True:
            received = await self._listener.receive()
            await self._events.put(MessageArrived(ToPeer(received.peer), received.message))

    async def _schedule_ticks(self) -> None:
        while True:
            await self._events.put(TickDue())
            needs_fast_ticks = self._failover.needs_fast_ticks(self._clock.now())
            interval = FAST_TICK_INTERVAL if needs_fast_ticks else TICK_INTERVAL
            await asyncio.sleep(interval.total_seconds())

    async def _tick(self, now: Instant) -> None:
        if now - self._last_tick > MAX_TICK_GAP:
            self._subscribers.extend_deadlines(now - self._last_tick)
        self._last_tick = now
        self._subscribers.remove_silent(now)
        if self._has_joined or self._is_ready_to_join(now):
            self._has_joined = True
            self._announce_own_processes(now)
            await self._send_gossip(self._gossip.tick(now))
        self._select_store_watchers(now)
        self._failover.tick(now)
        await self._links.tick()

    def _is_serving(self, role: Role) -> bool:
        return getattr(self._settings, role.value) is not None and self._subscribers.is_serving(
            role
        )

    def _is_ready_to_join(self, now: Instant) -> bool:
        """Return whether to join gossip: all own processes serve, or ``JOIN_TIMEOUT`` has passed.

        Joining without the pool would move homes away at each restart of the controller.
        """
        configured = [
            role for role in (Role.POOL, Role.ENTRY) if getattr(self._settings, role.value)
        ]
        has_timed_out = now - self._started_at > JOIN_TIMEOUT
        return has_timed_out or all(self._is_serving(role) for role in configured)

    def _announce_own_processes(self, now: Instant) -> None:
        pool, entry = self._settings.pool, self._settings.entry
        serves_pool, serves_entry = self._is_serving(Role.POOL), self._is_serving(Role.ENTRY)
        self._gossip.announce(
            now,
            Address.from_text(pool.listen) if serves_pool else None,
            Address.from_text(entry.listen) if serves_entry else None,
        )

    def _select_store_watchers(self, now: Instant) -> None:
        # After a start, wait until gossip shows which hosts watch the store already.
        if self._is_watcher_selection_due and now - self._started_at > WATCHER_SELECTION_DELAY:
            self._is_watcher_selection_due = False
            watchers = choose_store_watchers(self._settings.availability_zone, self._directory)
            self._is_store_watcher = self._settings.host in watchers

    async def _handle_events(self) -> None:
        while True:
            event = await self._events.get()
            now = self._clock.now()
            await self._handle(now, event)
            await self._distribute_changes(now)

    async def _handle(self, now: Instant, event: Event) -> None:
        match event:
            case TickDue():
                await self._tick(now)
            case MessageArrived():
                await self._handle_message(now, event)
            case StatusAnswered() | AcceptAnswered() | PromoteAnswered():
                self._failover.handle_answer(now, event)
            case ConfigRead(stored):
                self._gossip.publish(
                    now, self._config_records.build_records(stored, self._directory.table)
                )
            case PlatformListRead(entries):
                addresses, records = self._platform_list.extract_addresses_and_leaving(
                    entries, self._directory
                )
                self._gossip.add_seeds(addresses)
                self._gossip.publish(now, records)
            case StoreReachability(is_reachable):
                self._operator_requests.is_store_reachable = is_reachable

    async def _handle_message(self, now: Instant, event: MessageArrived) -> None:
        match event.source, event.message:
            case ToPeer(peer), Subscribe() as message:
                answer = self._subscribers.handle_subscribe(
                    now, peer, message, self._directory.table
                )
                await self._send_all((answer,))
            case ToPeer(), StatusRequest():
                await self._send_all(
                    (self._operator_requests.answer_status(event.source, self._directory),)
                )
            case ToPeer(), DrainRequest(host):
                if host == self._settings.host:
                    self._gossip.leave(now)
                answer = self._operator_requests.handle_drain(event.source, host, self._directory)
                await self._send_all((answer,))
            case ToAddress(address), DrainReply() as message:
                await self._send_all(self._operator_requests.relay_drain_reply(address, message))
            case source, message:
                self._count_bytes("received", message)
                await self._send_gossip(self._gossip.receive(now, source, message))

    async def _distribute_changes(self, now: Instant) -> None:
        changed_records = self._gossip.take_changed_records()
        if not changed_records:
            return
        if any(isinstance(record, (ConfigRecord, ConfigHeadRecord)) for record in changed_records):
            self._gossip.publish(
                now, self._config_records.build_section_repairs(self._directory.table)
            )
            changed_records += self._gossip.take_changed_records()
        await self._send_all(self._subscribers.send_changes(now, changed_records))
        if any(_is_member_or_config_record(record) for record in changed_records):
            self._is_watcher_selection_due = True
            self._failover.refresh()
            self._update_gauges()

    def _update_gauges(self) -> None:
        self._metrics.revision_in_force.set(self._directory.revision)
        states = Counter(member.state.value for member in self._directory.members)
        self._metrics.members.clear()
        for state, count in states.items():
            self._metrics.members.labels(state).set(count)

    async def _send_gossip(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._count_bytes("sent", send.message)
            await self._send_all((send,))

    def _count_bytes(self, direction: str, message: Message) -> None:
        self._metrics.gossip_bytes.labels(direction).inc(len(encode(message)))

    async def _send_all(self, sends: Iterable[Send]) -> None:
        for send in tuple(sends):
            match send.target:
                case ToPeer(peer):
                    await self._listener.send(PeerId(peer), send.message)
                case ToAddress(address):
                    await self._links.send(address, send.message)


def _is_member_or_config_record(record: Record) -> bool:
    return isinstance(record, (MemberRecord, ConfigRecord, ConfigHeadRecord))


def failover_policy(settings: ControllerSettings) -> FailoverPolicy:
    """Return the failover policy for the settings, with a fixed timeout if they name one."""
    if settings.fixed_failover_timeout_ms is None:
        return FailoverPolicy()
    timeout = milliseconds(settings.fixed_failover_timeout_ms)
    return FailoverPolicy(trigger=FixedTimeout(timeout))
