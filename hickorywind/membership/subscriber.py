"""Subscription that keeps the directory of an entry or pool process up to date.

The controller of the process's own host is preferred; another one is used while that one does not
answer. The directory is kept when the controller changes, and records that either side lacks are
exchanged.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import Sequence
from datetime import timedelta

from hickorywind.ids import Address, HostId, Incarnation
from hickorywind.membership.directory import Directory
from hickorywind.membership.reconcile import answer_digests, answer_stamps
from hickorywind.membership.tombstones import Tombstones
from hickorywind.protocol.channel import ChannelKeys, Link
from hickorywind.protocol.messages import (
    BucketDigests,
    BucketStamps,
    Message,
    RecordBatch,
    Subscribe,
)
from hickorywind.protocol.records import MemberState
from hickorywind.results import HickorywindError
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

SUBSCRIBE_INTERVAL = timedelta(milliseconds=500)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
SILENCE_LIMIT = timedelta(milliseconds=1500)
_CONNECT_RETRY_INTERVAL = timedelta(milliseconds=20)


class DirectorySubscriber:
    """Subscriber that exchanges the directory's records with one controller at a time.

    ``directory`` is always usable, even while no controller answers. ``changed`` is set whenever a
    new or newer record arrives; its only reader clears it. Set ``draining`` before the process
    stops: the controller is told at once and no longer announces the process.
    """

    def __init__(
        self,
        host: HostId,
        role: str,
        addresses: Sequence[Address],
        incarnation: Incarnation,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
    ) -> None:
        self.directory = Directory()
        self.changed = asyncio.Event()
        self._is_draining = False
        self._wake = asyncio.Event()
        self._host = host
        self._role = role
        self._addresses = tuple(addresses)
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._keys = keys
        self._tombstones = Tombstones(self.directory)
        self._last_heard: Instant | None = None
        self._preferred_answered = asyncio.Event()

    @property
    def draining(self) -> bool:
        """Return whether the process is about to stop."""
        return self._is_draining

    @draining.setter
    def draining(self, value: bool) -> None:
        self._is_draining = value
        self._wake.set()

    async def run(self) -> None:
        """Keep a subscription open until cancelled."""
        while True:
            for index, address in enumerate(self._candidates()):
                if await self._use_controller(address, is_preferred=index == 0):
                    break
            else:
                await asyncio.sleep(_CONNECT_RETRY_INTERVAL.total_seconds())

    def _candidates(self) -> list[Address]:
        learned_addresses = [
            member.controller
            for member in self.directory.members
            if member.state is not MemberState.DEAD and member.controller not in self._addresses
        ]
        self._rng.shuffle(learned_addresses)
        return [*self._addresses, *learned_addresses]

    async def _use_controller(self, address: Address, is_preferred: bool) -> bool:
        """Subscribe to one controller until it is silent; return whether it ever answered."""
        link = Link(address, self._keys)
        self._last_heard = None
        self._preferred_answered.clear()
        tasks = [asyncio.create_task(self._receive_all(link))]
        if not is_preferred:
            tasks.append(asyncio.create_task(self._probe_preferred()))
        try:
            if await self._connect(link):
                await self._keep_subscribing(link)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            link.close()
        return self._last_heard is not None

    async def _connect(self, link: Link) -> bool:
        deadline = self._clock.now() + CONNECT_TIMEOUT
        while not await link.send(self._subscribe_message()):
            if self._clock.now() >= deadline:
                return False
            await asyncio.sleep(_CONNECT_RETRY_INTERVAL.total_seconds())
        return True

    async def _probe_preferred(self) -> None:
        """Set ``_preferred_answered`` once the host's own controller answers again."""
        link = Link(self._addresses[0], self._keys)
        receiver = asyncio.create_task(link.receive())
        try:
            while not receiver.done():
                await link.send(self._subscribe_message())
                await asyncio.wait((receiver,), timeout=SUBSCRIBE_INTERVAL.total_seconds())
            self._preferred_answered.set()
            self._wake.set()
        finally:
            receiver.cancel()
            await asyncio.gather(receiver, return_exceptions=True)
            link.close()

    async def _wait_until_due(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SUBSCRIBE_INTERVAL.total_seconds()):
                await self._wake.wait()
        self._wake.clear()

    async def _keep_subscribing(self, link: Link) -> None:
        started = self._clock.now()
        last_tick = started
        while not self._preferred_answered.is_set():
            await self._wait_until_due()
            now = self._clock.now()
            if now - last_tick > SILENCE_LIMIT:
                # This process was paused, so it may have missed answers of the controller.
                started = now
                self._last_heard = now if self._last_heard is not None else None
            last_tick = now
            if now - (self._last_heard or started) > SILENCE_LIMIT:
                logger.warning("controller_silent", extra={"subscriber": self._role})
                return
            self._tombstones.sweep(now)
            await link.send(self._subscribe_message())

    def _subscribe_message(self) -> Subscribe:
        return Subscribe(
            self._host,
            self._role,
            self._incarnation,
            self.directory.table.digest,
            self._is_draining,
        )

    async def _receive_all(self, link: Link) -> None:
        while True:
            try:
                message = await link.receive()
            except HickorywindError as error:
                logger.warning("peer_message_refused", extra={"reason": error.result.reason})
                continue
            for answer in self._handle(message):
                await link.send(answer)

    def _handle(self, message: Message) -> tuple[Message, ...]:
        self._last_heard = self._clock.now()
        match message:
            case RecordBatch(records):
                if self.directory.merge(records):
                    self.changed.set()
            case BucketDigests():
                answer = answer_digests(self.directory.table, message)
                return (answer,) if answer else ()
            case BucketStamps():
                return answer_stamps(self.directory.table, message)
        return ()
