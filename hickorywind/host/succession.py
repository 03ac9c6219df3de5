"""Replace the primary of a service: confirm that it failed, fence it, promote a successor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta

from hickorywind.failover.leadership import (
    Fencing,
    LeadershipPhase,
    LeadershipRecord,
    VersionedLeadership,
)
from hickorywind.host.detection import PrimaryVerdict, examine_primary
from hickorywind.host.fencer import Fencer
from hickorywind.host.fleet import Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.leadershipstore import (
    TAKEOVER_AFTER,
    ChangeCancelledError,
    LeadershipStore,
)
from hickorywind.host.peers import Peers
from hickorywind.host.promotion import (
    Promotion,
    await_catch_up,
    choose_successor,
    query_server,
)
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import PrimaryState
from hickorywind.host.silenthosts import SilentHosts
from hickorywind.host.storerelay import StoreRelay
from hickorywind.ids import BackendId, InstanceRole, Revision, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.placement.rendezvous import rank_members
from hickorywind.ports.catalog import BackendState
from hickorywind.ports.coordination import CoordinationStore, Promoter
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Clock
from hickorywind.util.sockets import REACH_TIMEOUT, accepts_connections

logger = logging.getLogger(__name__)

RANK_DELAY = timedelta(milliseconds=300)  # a host that is slower than the first choice waits
PATROL_INTERVAL = timedelta(milliseconds=400)  # between looks at what no statement shows
PLANNED_RANK_DELAY = timedelta(milliseconds=1200)  # greetings tell of ended leases within
MINORITY_DELAY = timedelta(seconds=3)  # who hears few may be cut off; others go first
STUCK_AFTER = timedelta(seconds=20)  # longer than any change whose promoter makes progress
SILENT_HOSTS_KEY = ServiceName("")  # ranks the hosts for what concerns no service


class Succession:
    """Watch the primaries of all services from this host and replace those that failed."""

    def __init__(
        self,
        fleet: Fleet,
        services: dict[ServiceName, ServiceRuntime],
        peers: Peers,
        coordinator: CoordinationStore,
        promoter: Promoter,
        identity: HostIdentity,
        metrics: HostMetrics,
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._services = services
        self._peers = peers
        self._identity = identity
        self._metrics = metrics
        self._clock = clock
        self.relay = StoreRelay(coordinator, peers)
        self.store = LeadershipStore(fleet, self.relay, peers)
        self._fencer = Fencer(fleet, self.store, peers, identity.host)
        self._promotion = Promotion(promoter, self._fencer, self.store, identity.host, clock)
        self._silent_hosts = SilentHosts(fleet, coordinator, self.store, peers)
        self._tasks: dict[ServiceName, asyncio.Task] = {}
        self._closed_since: dict[ServiceName, tuple[Revision, timedelta]] = {}
        self.is_stopping = False

    # Triggers ----------------------------------------------------------------------------------

    def suspect(self, service: ServiceName, reason: str) -> None:
        """Look into a primary that failed a statement or a connection."""
        if service not in self._services or self._is_working(service) or self.is_stopping:
            return
        self._start(service, self._investigate(service, reason))

    def _is_working(self, service: ServiceName) -> bool:
        task = self._tasks.get(service)
        return task is not None and not task.done()

    def _start(self, service: ServiceName, work: Coroutine[None, None, None]) -> None:
        self._tasks[service] = asyncio.create_task(self._guard(service, work))

    async def _guard(self, service: ServiceName, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except ChangeCancelledError as error:
            logger.info("primary_change_ended", extra={"service": service, "reason": str(error)})
        except StoreUnavailableError as error:
            logger.warning(
                "primary_change_failed", extra={"service": service, "reason": str(error)}
            )
        except Exception:
            logger.exception("primary_change_crashed", extra={"service": service})
        finally:
            runtime = self._services.get(service)
            if runtime is not None:
                runtime.refresh()

    async def patrol(self) -> None:
        """Look regularly at what no failed statement shows, until cancelled."""
        while True:
            await asyncio.sleep(PATROL_INTERVAL.total_seconds())
            if self.is_stopping:
                continue
            self._silent_hosts.look(self._rank(SILENT_HOSTS_KEY) == 0)
            for service in list(self._services):
                if not self._is_working(service):
                    self._look_at(service)

    def _look_at(self, service: ServiceName) -> None:
        leadership = self._fleet.permits.leadership(service)
        if leadership is None:
            self._start(service, self._initialise(service))
            return
        if leadership.record.phase is LeadershipPhase.CLOSED:
            self._watch_closed(service, leadership)
            return
        self._closed_since.pop(service, None)
        primary = self._fleet.backends.get(leadership.record.primary)
        if primary is None:
            self._start(service, self._investigate(service, "the primary is not registered"))
        elif primary.state is BackendState.LEAVING:
            self._consider_leaving(service, leadership)
        elif not self._services[service].is_primary_healthy():
            self._start(service, self._investigate(service, "the primary was unreachable"))
        elif self._rank(service) == 0:
            self._services[service].check_idle_primary()

    def _consider_leaving(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Replace a leaving primary, or leave that to those who hear more of the other hosts."""
        if self._peers.sees_majority() or self._is_late(service, leadership):
            self._start(service, self._replace_leaving(service, leadership))

    def _is_late(self, service: ServiceName, leadership: VersionedLeadership) -> bool:
        """Tell whether a leaving primary should have been replaced by now."""
        runtime = self._services[service]
        backend = runtime.backends.get(leadership.record.primary)
        return (
            backend is None
            or self._fleet.now() > runtime.leaving_deadline(backend) + MINORITY_DELAY
        )

    def _watch_closed(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Take a change over whose promoter makes no progress."""
        now = self._fleet.now()
        revision, since = self._closed_since.get(service, (Revision(0), now))
        if revision != leadership.revision:
            self._closed_since[service] = (leadership.revision, now)
            return
        promoter = leadership.record.promoter
        is_own = promoter == self._identity.host
        is_silent = not is_own and promoter not in self._peers.alive()
        patience = TAKEOVER_AFTER + RANK_DELAY * self._rank(service)
        if not self._peers.sees_majority():
            patience += MINORITY_DELAY
        if is_own or (is_silent and now > since + patience) or now > since + STUCK_AFTER:
            self._start(service, self._take_over(service, leadership))

    def _rank(self, service: ServiceName) -> int:
        hosts = [self._identity.host, *self._peers.staying()]
        return list(rank_members(service, hosts)).index(self._identity.host)

    async def _wait_for_turn(
        self,
        known: VersionedLeadership | None,
        service: ServiceName,
        delay: timedelta = RANK_DELAY,
    ) -> bool:
        """Let hosts of higher rank go first; return whether nothing has changed since."""
        await asyncio.sleep((delay * self._rank(service)).total_seconds())
        return self._fleet.permits.leadership(service) == known

    async def end_own_use(
        self, runtime: ServiceRuntime, revision: Revision, is_planned: bool
    ) -> None:
        """Stop using a primary because another host replaces it."""
        await self._fencer.end_own_use(runtime, revision, is_planned)

    async def _initialise(self, service: ServiceName) -> None:
        """Record the primary that the backend servers themselves name."""
        primaries = [
            server.backend
            for server in self._fleet.backends.values()
            if server.service == service and server.role is InstanceRole.PRIMARY
        ]
        if len(primaries) != 1 or not self._fleet.permits.is_valid(self._fleet.now()):
            return
        if not await self._wait_for_turn(None, service):
            return
        record = LeadershipRecord(primaries[0], LeadershipPhase.OPEN, 0)
        await self.store.write(service, record, Revision(0))

    # Failed primaries --------------------------------------------------------------------------

    async def _investigate(self, service: ServiceName, reason: str) -> None:
        runtime = self._services[service]
        leadership = self._fleet.permits.leadership(service)
        if leadership is None or leadership.record.phase is LeadershipPhase.CLOSED:
            return
        primary = leadership.record.primary
        verdict = await examine_primary(runtime, self._peers, primary)
        self._act_on(runtime, primary, verdict, reason)
        if verdict not in (PrimaryVerdict.FAILED, PrimaryVerdict.LOST_LEAD):
            return
        if await self._wait_for_turn(leadership, service):
            await self._replace_failed(runtime, leadership)

    def _act_on(
        self, runtime: ServiceRuntime, primary: BackendId, verdict: PrimaryVerdict, reason: str
    ) -> None:
        """Tell the service what its primary is good for."""
        match verdict:
            case PrimaryVerdict.LEADS:
                runtime.set_primary_state(PrimaryState.USABLE)
                runtime.mark_available(primary)
                return
            case PrimaryVerdict.RUNNING:
                runtime.set_primary_state(PrimaryState.USABLE)
                return
            case PrimaryVerdict.LOST_LEAD:
                logger.warning(
                    "primary_lost_lead", extra={"service": runtime.name, "backend": primary}
                )
                return
            case PrimaryVerdict.REACHED_BY_OTHERS:
                runtime.set_primary_state(PrimaryState.UNREACHABLE)
            case PrimaryVerdict.FAILED | PrimaryVerdict.UNKNOWN:
                pass
        logger.warning(
            "primary_unreachable",
            extra={"service": runtime.name, "backend": primary, "reason": reason},
        )
        backend = runtime.backends.get(primary)
        if backend is not None:
            runtime.close_connections(backend, reason)

    async def _replace_failed(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership
    ) -> None:
        runtime.set_primary_state(PrimaryState.CHANGING)
        closed = await self._close(runtime, leadership, is_planned=False)
        fencing = await self._fencer.begin(runtime, closed)
        while not fencing.is_complete(self._clock.now()):
            if await self._reopen_if_back(runtime, closed):
                raise ChangeCancelledError("the primary came back before it was replaced")
            await self._fencer.wait_a_while(runtime, closed, fencing)
        await self._promote_and_open(runtime, closed, fencing)

    async def _reopen_if_back(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> bool:
        backend = runtime.backends.get(closed.record.primary)
        if backend is None or not await accepts_connections(backend.server.address, REACH_TIMEOUT):
            return False
        status = await query_server(runtime, backend)
        if status is None or status.role is not InstanceRole.PRIMARY:
            return False
        await self._open(runtime, closed, closed.record.primary)
        return True

    # Planned changes and changes begun elsewhere -----------------------------------------------

    async def _replace_leaving(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        runtime = self._services[service]
        if not await self._wait_for_turn(leadership, service, PLANNED_RANK_DELAY):
            return
        backend = runtime.backends.get(leadership.record.primary)
        if backend is not None:
            # The primary serves on while permits run out for which the change would wait.
            is_heard = await self._fencer.prepare(runtime.leaving_deadline(backend))
            if not is_heard and not self._is_late(service, leadership):
                return
        if self._fleet.permits.leadership(service) != leadership:
            return
        closed = await self._close(runtime, leadership, is_planned=True)
        runtime.set_primary_state(PrimaryState.CHANGING)
        fencing = await self._fence_wholly(runtime, closed)
        await await_catch_up(runtime, closed.record, self._clock)
        await self._promote_and_open(runtime, closed, fencing)

    async def _take_over(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Finish what another promoter began, with the same candidate while it runs."""
        runtime = self._services[service]
        runtime.set_primary_state(PrimaryState.CHANGING)
        begun = leadership.record
        record = self._closed_record(begun, begun.candidate, begun.is_planned)
        closed = await self.store.write(service, record, leadership.revision)
        fencing = await self._fence_wholly(runtime, closed)
        await self._promote_and_open(runtime, closed, fencing)

    # Steps -------------------------------------------------------------------------------------

    async def _close(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership, is_planned: bool
    ) -> VersionedLeadership:
        successor = await choose_successor(runtime, leadership.record.primary)
        if successor is None:
            raise ChangeCancelledError("no backend server can be promoted")
        record = self._closed_record(leadership.record, successor, is_planned)
        return await self.store.write(runtime.name, record, leadership.revision)

    def _closed_record(
        self, record: LeadershipRecord, successor: BackendId, is_planned: bool
    ) -> LeadershipRecord:
        return LeadershipRecord(
            record.primary,
            LeadershipPhase.CLOSED,
            record.change,
            self._identity.host,
            successor,
            is_planned,
        )

    async def _fence_wholly(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> Fencing:
        fencing = await self._fencer.begin(runtime, closed)
        while not fencing.is_complete(self._clock.now()):
            await self._fencer.wait_a_while(runtime, closed, fencing)
        return fencing

    async def _promote_and_open(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> None:
        while not await self._promotion.run(runtime, closed, fencing):
            closed = await self._close(runtime, closed, is_planned=False)
        while not fencing.is_complete(self._clock.now()):
            # The old primary was seen before the promotion took effect: no shortcut after all.
            await self._fencer.wait_a_while(runtime, closed, fencing)
        await self._open(runtime, closed, closed.record.candidate)
        self._metrics.failovers.inc()

    async def _open(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, primary: BackendId
    ) -> None:
        record = LeadershipRecord(primary, LeadershipPhase.OPEN, closed.record.change + 1)
        while True:
            try:
                await self.store.write(runtime.name, record, closed.revision)
                break
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership_not_opened", extra={"service": runtime.name, "reason": str(error)}
                )
        runtime.set_primary_state(PrimaryState.USABLE)
        logger.info("primary_changed", extra={"service": runtime.name, "backend": primary})

    def close(self) -> None:
        """Stop all work."""
        self.is_stopping = True
        for task in self._tasks.values():
            task.cancel()
