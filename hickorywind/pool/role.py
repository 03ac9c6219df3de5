"""Pool role of a host: serves the backend servers whose home this host is."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from hickorywind.groups.client import GroupClient
from hickorywind.ids import Address, Incarnation
from hickorywind.membership.directory import Directory
from hickorywind.membership.subscriber import DirectorySubscriber
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.dispatch import Dispatcher
from hickorywind.pool.workerregistry import WorkerRegistry
from hickorywind.protocol.channel import ChannelKeys, Listener
from hickorywind.settings.schema import DaemonSettings, PoolSettings
from hickorywind.util.clock import Clock, milliseconds

logger = logging.getLogger(__name__)

_DRAIN_POLL_INTERVAL_SECONDS = 0.02
# For the directory to name other homes.
_DRAIN_ANNOUNCEMENT = timedelta(milliseconds=600)
_LAST_ANSWERS_TIMEOUT = timedelta(seconds=3)
_RECONCILE_INTERVAL_SECONDS = 0.5
_CONTROL_TIMEOUT = timedelta(milliseconds=500)


class PoolRole:
    """Pool of one host, which runs until it is drained or cancelled."""

    def __init__(
        self,
        settings: DaemonSettings,
        subscriber: DirectorySubscriber,
        registry: WorkerRegistry,
        dispatcher: Dispatcher,
        listener: Listener,
    ) -> None:
        self._settings = settings
        self._subscriber = subscriber
        self._registry = registry
        self._dispatcher = dispatcher
        self._listener = listener
        self._drained = asyncio.Event()

    @classmethod
    def from_settings(
        cls,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
        metrics: Metrics | None = None,
    ) -> PoolRole:
        """Build the pool role from settings; raise ``zmq.ZMQError`` if its address is in use."""
        pool = settings.pool or PoolSettings("127.0.0.1:0")
        incarnation = Incarnation(time.time_ns() // 1_000_000)
        addresses = tuple(Address.from_text(text) for text in settings.controllers)
        subscriber = DirectorySubscriber(
            settings.host, settings.role.value, addresses, incarnation, clock, rng, keys
        )
        password = _read_password(pool)
        registry = WorkerRegistry(
            settings.host,
            subscriber.directory,
            lambda service, address: Login(address, pool.backend_user, service, password),
            lambda address: GroupClient(address, _CONTROL_TIMEOUT, password=password),
            clock,
            rng,
            pool.queue_order,
            metrics,
        )
        listener = Listener(Address.from_text(pool.listen), keys)
        dispatcher = Dispatcher(settings.host, incarnation, listener, registry, clock)
        return cls(settings, subscriber, registry, dispatcher, listener)

    @property
    def directory(self) -> Directory:
        """Return the directory of services, hosts and database groups."""
        return self._subscriber.directory

    async def run(self) -> None:
        """Serve requests until drained or cancelled."""
        tasks = [
            asyncio.create_task(self._subscriber.run()),
            asyncio.create_task(self._dispatcher.run()),
            asyncio.create_task(self._reconcile_loop()),
        ]
        stopped = asyncio.create_task(self._drained.wait())
        try:
            await asyncio.wait((*tasks, stopped), return_when=asyncio.FIRST_COMPLETED)
            _raise_first_error(tasks)
        finally:
            await self._close([*tasks, stopped])

    async def _close(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._registry.close()
        self._listener.close()

    async def _reconcile_loop(self) -> None:
        while True:
            await asyncio.sleep(_RECONCILE_INTERVAL_SECONDS)
            self._registry.reconcile()

    async def drain(self) -> None:
        """Refuse new requests, finish the open ones within the drain timeout, and end ``run``."""
        self._dispatcher.advance_drain()
        self._subscriber.draining = True
        pool = self._settings.pool or PoolSettings("")
        timeout = milliseconds(pool.drain_timeout_ms)
        if not await _wait_until(self._is_finished, timeout, _DRAIN_ANNOUNCEMENT):
            logger.warning("drain_timeout", extra={"timeout_ms": pool.drain_timeout_ms})
            await self._registry.end_requests()
        # Answers that were sent may still be under way.
        self._dispatcher.advance_drain()
        await _wait_until(lambda: self._dispatcher.is_drain_confirmed, _LAST_ANSWERS_TIMEOUT)
        self._drained.set()

    def _is_finished(self) -> bool:
        """Return whether no request or transaction is open and no entry may send new ones."""
        return (
            self._registry.all_idle
            and self._dispatcher.is_quiet
            and self._dispatcher.is_drain_confirmed
        )


async def _wait_until(
    condition: Callable[[], bool], timeout: timedelta, delay: timedelta = timedelta(0)
) -> bool:
    """Wait for a condition, first checked after ``delay``; return False after the timeout."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await asyncio.sleep(delay.total_seconds())
            while not condition():
                await asyncio.sleep(_DRAIN_POLL_INTERVAL_SECONDS)
    except TimeoutError:
        return False
    return True


def _raise_first_error(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        if task.done() and task.exception() is not None:
            raise task.exception()


def _read_password(pool: PoolSettings) -> str | None:
    path = pool.backend_password_file
    return Path(path).read_text().strip() if path else None
