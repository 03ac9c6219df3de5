"""Reads and watches of the store for the controller.

Only the hosts selected as store watchers of their availability zone call the store regularly, so
that the number of calls does not grow with the number of hosts.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Callable
from datetime import timedelta

from hickorywind.configuration.acceptance import config_key
from hickorywind.controller.events import (
    ConfigRead,
    Event,
    PlatformListRead,
    StoreReachability,
)
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.records import GroupRecord
from hickorywind.settings.schema import ControllerSettings
from hickorywind.store.interface import NEVER_WRITTEN, Store, StoredValue, StoreUnavailableError

logger = logging.getLogger(__name__)

WATCHER_CHECK_INTERVAL = timedelta(milliseconds=500)
# Leaves most of the time in which a new configuration has to be in force everywhere.
CONFIG_CHECK_INTERVAL = timedelta(seconds=4)
PLATFORM_LIST_INTERVAL = timedelta(seconds=10)
RETRY_DELAY_MIN = timedelta(milliseconds=500)
RETRY_DELAY_MAX = timedelta(seconds=2)


class StoreTask:
    """Owner of the store connection, which puts the values read in ``events``."""

    def __init__(
        self,
        store: Store,
        settings: ControllerSettings,
        is_watcher: Callable[[], bool],
        events: asyncio.Queue[Event],
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._config_key = config_key(settings.store_prefix)
        self._groups_prefix = f"{settings.store_prefix}/groups/"
        self._platform_hosts_prefix = f"{settings.platform_prefix}/hosts/"
        self._is_watcher = is_watcher
        self._events = events
        self._rng = rng
        self._metrics = metrics
        self._newest_config = NEVER_WRITTEN  # revision of the newest one that was read
        self._writes: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Read the configuration and the platform's list until cancelled, then close the store."""
        try:
            await asyncio.gather(self._watch_config(), self._read_platform_list())
        finally:
            for task in self._writes:
                task.cancel()
            await self._store.close()

    async def _watch_config(self) -> None:
        while True:
            if not self._is_watcher():
                await asyncio.sleep(WATCHER_CHECK_INTERVAL.total_seconds())
                continue
            try:
                await self._read_and_watch()
            except StoreUnavailableError as error:
                logger.warning("store_unavailable", extra={"reason": str(error)})
                await self._report_reachability(False, "watch")
                await self._wait_before_retry()

    async def _read_and_watch(self) -> None:
        stored = await self._store.get(self._config_key)
        await self._report_reachability(True, "get")
        if stored is not None:
            await self._forward_config(stored)
        after = stored.revision if stored is not None else NEVER_WRITTEN
        watch = self._store.watch_prefix(self._config_key, after)
        async with contextlib.aclosing(watch) as changes:
            forwarding = asyncio.create_task(self._forward_changes(changes))
            try:
                await self._check_until_outdated(forwarding)
            finally:
                forwarding.cancel()
                await asyncio.wait((forwarding,))

    async def _forward_changes(self, changes: AsyncIterator[StoredValue]) -> None:
        async for change in changes:
            if change.key == self._config_key:
                await self._forward_config(change)

    async def _forward_config(self, stored: StoredValue) -> None:
        self._newest_config = max(self._newest_config, stored.revision)
        await self._events.put(ConfigRead(stored))

    async def _check_until_outdated(self, forwarding: asyncio.Task[None]) -> None:
        """Return once the store has a configuration that the watch did not bring.

        While a watch waits, nothing shows that the store still serves it. Raise
        ``StoreUnavailableError`` if the watch or a check ends so.
        """
        while True:
            await asyncio.wait((forwarding,), timeout=CONFIG_CHECK_INTERVAL.total_seconds())
            if forwarding.done():
                return await forwarding
            revision = await self._store.get_revision(self._config_key)
            self._count_call("get_revision", True)
            if revision > self._newest_config:
                logger.warning("config_watch_deaf", extra={"revision": revision})
                return None

    async def _read_platform_list(self) -> None:
        while True:
            if self._is_watcher():
                try:
                    entries = await self._store.get_prefix(self._platform_hosts_prefix)
                    await self._events.put(PlatformListRead(entries))
                    self._count_call("get_prefix", True)
                except StoreUnavailableError:
                    self._count_call("get_prefix", False)
            jitter = 0.5 + self._rng.random()
            await asyncio.sleep(PLATFORM_LIST_INTERVAL.total_seconds() * jitter)

    async def _wait_before_retry(self) -> None:
        jitter = (RETRY_DELAY_MAX - RETRY_DELAY_MIN) * self._rng.random()
        await asyncio.sleep((RETRY_DELAY_MIN + jitter).total_seconds())

    async def _report_reachability(self, is_reachable: bool, call: str) -> None:
        self._count_call(call, is_reachable)
        await self._events.put(StoreReachability(is_reachable))

    def _count_call(self, call: str, is_answered: bool) -> None:
        outcome = "answered" if is_answered else "failed"
        self._metrics.store_calls.labels(call, outcome).inc()

    def record_group(self, record: GroupRecord) -> None:
        """Start to write a group's term and primary to the store.

        It is for operators only: no process reads it, and a failed write is not repeated.
        """
        task = asyncio.create_task(self._write_group(record))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write_group(self, record: GroupRecord) -> None:
        key = self._groups_prefix + record.service
        value = f'{{"term":{record.term},"primary":"{record.primary}"}}'.encode()
        try:
            stored = await self._store.get(key)
            revision = stored.revision if stored is not None else NEVER_WRITTEN
            result = await self._store.compare_and_swap(key, revision, value)
            logger.info("group_recorded", extra={"key": key, "outcome": result.outcome.value})
        except StoreUnavailableError as error:
            logger.warning("group_not_recorded", extra={"key": key, "reason": str(error)})
