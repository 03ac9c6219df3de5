"""The entry role: construction of an entry from its settings, and its lifecycle."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Mapping
from datetime import timedelta

from hickorywind.configuration.model import Limits
from hickorywind.entry.acceptrate import AcceptRateLimiter
from hickorywind.entry.accounts import EntryAccounts
from hickorywind.entry.context import SessionContext
from hickorywind.entry.executor import Executor
from hickorywind.entry.linkregistry import PoolLinkRegistry
from hickorywind.entry.reporting import RequestReporter
from hickorywind.entry.server import CallerServer
from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation, Role
from hickorywind.membership.directory import Directory
from hickorywind.membership.subscriber import DirectorySubscriber
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.protocol.messages import EntryHeartbeat
from hickorywind.results import ResultCode, UserError
from hickorywind.routing.health import BackendHealth
from hickorywind.routing.linkbudget import LinkBudget
from hickorywind.routing.retry import RetryBudget
from hickorywind.routing.targets import TargetChooser
from hickorywind.settings.schema import DaemonSettings, ReadRouting
from hickorywind.settings.secrets import load_users
from hickorywind.util.clock import Clock, milliseconds

logger = logging.getLogger(__name__)

_DEFAULT_LIMITS = Limits()
_INCARNATION_BITS = 63
_CONFIGURATION_CHECK_INTERVAL = timedelta(seconds=1)


class EntryComponents:
    """Components of an entry, independent of what keeps its directory up to date."""

    def __init__(
        self,
        host: HostId,
        zone: AvailabilityZone,
        directory: Directory,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
        metrics: Metrics | None,
        users: Mapping[str, str] | None = None,
        read_routing: ReadRouting = ReadRouting.REPLICAS,
    ) -> None:
        incarnation = Incarnation(rng.getrandbits(_INCARNATION_BITS))
        health = BackendHealth(clock)
        self.directory = directory
        self.retry_budget = RetryBudget(_DEFAULT_LIMITS.retry_budget_percent)
        self.link_budget = LinkBudget(clock, _DEFAULT_LIMITS.link_bytes_per_second)
        self.links = PoolLinkRegistry(EntryHeartbeat(host, incarnation), clock, keys)
        self.accounts = EntryAccounts(directory, clock, rng, checks_passwords=users is not None)
        self._reporter = RequestReporter(metrics, self.accounts)
        replica_reads = read_routing is ReadRouting.REPLICAS
        chooser = TargetChooser(directory, zone, health, rng, replica_reads)
        executor = Executor(
            self.links,
            chooser,
            health,
            self.retry_budget,
            self.link_budget,
            self.accounts,
            clock,
            rng,
            self._reporter,
        )
        context = SessionContext(executor, directory, self.accounts, clock)
        self.server = CallerServer(context, users, rng, metrics, AcceptRateLimiter(clock))

    def apply_configuration(self) -> None:
        """Apply the limits and accounts in force and open links to the home pools."""
        in_force = self.directory.in_force
        if in_force is None:
            return
        self.accounts.apply()
        self._reporter.drop_unnamed_accounts()
        limits = in_force.configuration.limits
        self.retry_budget.set_share(limits.retry_budget_percent)
        self.link_budget.set_rate(limits.link_bytes_per_second)
        homes = [self.directory.home_of(backend) for backend in self.directory.backends]
        pools = [home.pool for home in homes if home is not None]
        self.links.retain(frozenset(pool for pool in pools if pool is not None))


class EntryRole:
    """Entry role of one host."""

    def __init__(
        self,
        components: EntryComponents,
        subscriber: DirectorySubscriber,
        listen: Address,
        drain_timeout: timedelta,
    ) -> None:
        self._components = components
        self._subscriber = subscriber
        self._listen = listen
        self._drain_timeout = drain_timeout
        self._drained = asyncio.Event()
        self.address: Address | None = None

    @classmethod
    def from_settings(
        cls,
        settings: DaemonSettings,
        clock: Clock,
        rng: random.Random,
        keys: ChannelKeys | None,
        metrics: Metrics | None,
    ) -> EntryRole:
        """Build the role; raise ``UserError`` if its settings are incomplete."""
        entry = settings.entry
        if entry is None:
            raise UserError(ResultCode.SETTINGS_INVALID, "the settings have no section 'entry'")
        users = load_users(entry.users_file) if entry.users_file is not None else None
        subscriber = DirectorySubscriber(
            settings.host,
            Role.ENTRY.value,
            tuple(Address.from_text(text) for text in settings.controllers),
            Incarnation(rng.getrandbits(_INCARNATION_BITS)),
            clock,
            rng,
            keys,
        )
        components = EntryComponents(
            settings.host,
            settings.availability_zone,
            subscriber.directory,
            clock,
            rng,
            keys,
            metrics,
            users,
            entry.read_routing,
        )
        listen = Address.from_text(entry.listen)
        return cls(components, subscriber, listen, milliseconds(entry.drain_timeout_ms))

    async def run(self) -> None:
        """Serve callers until ``drain`` completes or the task is cancelled."""
        tasks = [
            asyncio.create_task(self._subscriber.run()),
            asyncio.create_task(self._apply_directory_changes()),
        ]
        try:
            self.address = await self._components.server.start(self._listen)
            logger.info("entry_ready", extra={"listen": str(self.address)})
            await self._wait_until_drained(tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._components.server.close()
            await self._components.links.close()

    async def _wait_until_drained(self, tasks: list[asyncio.Task[None]]) -> None:
        """Wait for the drain; raise the exception of a background task that fails before."""
        drained = asyncio.create_task(self._drained.wait())
        try:
            done, _ = await asyncio.wait([*tasks, drained], return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            drained.cancel()

    async def _apply_directory_changes(self) -> None:
        changed = self._subscriber.changed
        while True:
            self._components.apply_configuration()
            try:
                async with asyncio.timeout(_CONFIGURATION_CHECK_INTERVAL.total_seconds()):
                    await changed.wait()
            except TimeoutError:
                continue
            changed.clear()

    async def drain(self) -> None:
        """Let running requests finish, close all sessions and make ``run`` return."""
        logger.info("entry_draining")
        self._subscriber.draining = True
        await self._components.server.drain(self._drain_timeout)
        self._drained.set()
        logger.info("entry_drained")
