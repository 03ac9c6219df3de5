"""Replace the primary of a service: confirm that it failed, fence it, promote a successor."""

from __future__ import annotations

import asyncio
import logging
import random
from datetime import timedelta
from enum import Enum

from hickorywind.failover.leadership import (
    Fencing,
    HostRecord,
    HostStanding,
    LeadershipPhase,
    LeadershipRecord,
    VersionedLeadership,
    decode_host,
    encode_record,
)
from hickorywind.host.backendlink import LinkLostError, LinkRefusedError
from hickorywind.host.fleet import HOSTS_PREFIX, LEADERSHIP_PREFIX, Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.host.service import Backend, PrimaryState, ServiceRuntime
from hickorywind.host.storesync import parse_hosts
from hickorywind.ids import BackendId, HostId, InstanceRole, Revision, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.placement.rendezvous import rank_members
from hickorywind.ports.catalog import BackendState
from hickorywind.ports.coordination import (
    Committed,
    Condition,
    Coordinator,
    FencingToken,
    Promoter,
    PromotionOutcome,
    Put,
    Snapshot,
)
from hickorywind.ports.replies import BackendErrorKind, ServerStatus
from hickorywind.protocol.messages import CloseService, ReachQuery, ReachReply, ServiceClosed
from hickorywind.store.interface import StoredValue, StoreUnavailableError
from hickorywind.util.sockets import REACH_TIMEOUT, accepts_connections, is_process_gone

logger = logging.getLogger(__name__)

RANK_DELAY = timedelta(milliseconds=300)  # a host that is slower than the first choice waits
CLOSE_TIMEOUT = timedelta(milliseconds=500)  # for a host's word that it stopped
PLANNED_CLOSE_TIMEOUT = timedelta(milliseconds=2300)  # open transactions may end first
FENCE_POLL = timedelta(milliseconds=300)  # how often silent hosts are looked at again
CATCH_UP_LIMIT = timedelta(milliseconds=1500)  # for the successor of a planned change
PROMOTION_LIMIT = timedelta(seconds=4)  # for one promotion to take effect
PROMOTION_POLL = timedelta(milliseconds=60)  # how often the successor is asked whether it leads
PROMOTION_RESEND = timedelta(milliseconds=1500)  # an order whose answer was lost is repeated
RECHECK_INTERVAL = timedelta(milliseconds=400)  # between looks at an unreachable primary
TAKEOVER_AFTER = timedelta(seconds=4)  # a change of primary that makes no progress
SILENT_AGAIN = timedelta(seconds=15)  # a host that came back and fell silent again
SILENT_HOSTS_KEY = ServiceName("")  # ranks the hosts for what concerns no service
STUCK_AFTER = timedelta(seconds=20)  # longer than any change whose promoter makes progress
STORE_ATTEMPTS = 6  # tries of one write with conditions


class PrimaryVerdict(Enum):
    """Say what the other hosts know of a primary."""

    FAILED = "failed"
    REACHED_BY_OTHERS = "reached_by_others"
    UNKNOWN = "unknown"


class LeadCheck(Enum):
    """Say whether a server that accepts connections still leads."""

    LEADS = "leads"
    LOST = "lost"
    UNANSWERED = "unanswered"


class ChangeCancelledError(Exception):
    """Report that a change of primary ended early; the message says why."""


class Succession:
    """Watch the primaries of all services from this host and replace those that failed."""

    def __init__(
        self,
        fleet: Fleet,
        services: dict[ServiceName, ServiceRuntime],
        peers: Peers,
        coordinator: Coordinator,
        promoter: Promoter,
        identity: HostIdentity,
        metrics: HostMetrics,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._services = services
        self._peers = peers
        self._coordinator = coordinator
        self._promoter = promoter
        self._identity = identity
        self._metrics = metrics
        self._rng = rng
        self._tasks: dict[ServiceName, asyncio.Task] = {}
        self._closed_since: dict[ServiceName, tuple[Revision, timedelta]] = {}
        self._silent_task: asyncio.Task | None = None
        self._fenced: dict[tuple[HostId, int], timedelta] = {}
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

    def _start(self, service: ServiceName, work) -> None:
        self._tasks[service] = asyncio.create_task(self._guard(service, work))

    async def _guard(self, service: ServiceName, work) -> None:
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
            await asyncio.sleep(RECHECK_INTERVAL.total_seconds())
            if self.is_stopping:
                continue
            self._fence_silent_hosts()
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
            self._start(service, self._replace_leaving(service, leadership))
        elif not self._services[service].is_primary_in_use():
            self._start(service, self._investigate(service, "the primary was unreachable"))
        elif self._rank(service) == 0:
            self._services[service].check_idle_primary()

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
        if is_own or (is_silent and now > since + patience / 2) or now > since + STUCK_AFTER:
            self._start(service, self._take_over(service, leadership))

    def _rank(self, service: ServiceName) -> int:
        hosts = [self._identity.host, *self._peers.staying()]
        return list(rank_members(service, hosts)).index(self._identity.host)

    # Silent hosts -------------------------------------------------------------------------------

    def _fence_silent_hosts(self) -> None:
        """Begin to end the permits of silent hosts before a primary fails too."""
        task = self._silent_task
        if task is not None and not task.done():
            return
        now = self._fleet.now()
        silent = {
            record.host: record.incarnation
            for record in self._peers.silent()
            if self._fenced.get((record.host, record.incarnation), timedelta(0)) < now
        }
        if len(silent) * 2 > self._peers.expected():
            return
        if silent and self._rank(SILENT_HOSTS_KEY) == 0:
            self._silent_task = asyncio.create_task(self._end_silent(silent))

    async def _end_silent(self, silent: dict[HostId, int]) -> None:
        try:
            snapshot = await self._coordinator.read_range(HOSTS_PREFIX)
        except StoreUnavailableError as error:
            logger.info("hosts_unread", extra={"reason": str(error)})
            return
        await asyncio.gather(
            *(
                self._end_silent_host(item)
                for item in snapshot.items
                if self._is_silent(item, silent)
            )
        )
        again = self._fleet.now() + SILENT_AGAIN
        self._fenced |= {key: again for key in silent.items()}

    @staticmethod
    def _is_silent(item: StoredValue, silent: dict[HostId, int]) -> bool:
        record = decode_host(item.value)
        return record is not None and silent.get(record.host) == record.incarnation

    async def _end_silent_host(self, item: StoredValue) -> None:
        """End a host's lease and, once its permit has run out, its registration."""
        record = decode_host(item.value)
        fencing = Fencing.from_hosts({record.host})
        if await is_process_gone(record.address, REACH_TIMEOUT):
            fencing.settle(record.host, HostStanding.ENDED)
        else:
            await self._end_lease(record, fencing)
        while not fencing.is_complete(self._fleet.now()):
            await asyncio.sleep(FENCE_POLL.total_seconds())
        try:
            await self._coordinator.transact([Condition(item.key, item.revision)], [], [item.key])
        except StoreUnavailableError as error:
            logger.info("registration_kept", extra={"peer": record.host, "reason": str(error)})
            return
        logger.info("silent_host_removed", extra={"peer": record.host})

    # First record ------------------------------------------------------------------------------

    async def _initialise(self, service: ServiceName) -> None:
        """Record the primary that the backend servers themselves name."""
        primaries = [
            server.backend
            for server in self._fleet.backends.values()
            if server.service == service and server.role is InstanceRole.PRIMARY
        ]
        if len(primaries) != 1 or not self._fleet.permits.is_valid(self._fleet.now()):
            return
        await asyncio.sleep((RANK_DELAY * self._rank(service)).total_seconds())
        if self._fleet.permits.leadership(service) is not None:
            return
        record = LeadershipRecord(primaries[0], LeadershipPhase.OPEN, 0)
        await self._write(service, record, Revision(0))

    # Detection ---------------------------------------------------------------------------------

    async def _investigate(self, service: ServiceName, reason: str) -> None:
        runtime = self._services[service]
        leadership = self._fleet.permits.leadership(service)
        if leadership is None or leadership.record.phase is LeadershipPhase.CLOSED:
            return
        primary = leadership.record.primary
        backend = runtime.backends.get(primary)
        is_reached, verdict = await asyncio.gather(
            self._reaches(backend), self._peers_agree(runtime, primary)
        )
        if is_reached:
            check = await self._check_lead(runtime, backend)
            if check is not LeadCheck.LOST:
                runtime.set_primary_state(PrimaryState.USABLE)
                if check is LeadCheck.LEADS:
                    runtime.make_available(primary)
                return
            logger.warning("primary_lost_lead", extra={"service": service, "backend": primary})
        else:
            logger.warning(
                "primary_unreachable",
                extra={"service": service, "backend": primary, "reason": reason},
            )
            if backend is not None:
                runtime.drop_links(backend, reason)
            if verdict is not PrimaryVerdict.FAILED:
                if verdict is PrimaryVerdict.REACHED_BY_OTHERS:
                    runtime.set_primary_state(PrimaryState.UNREACHABLE)
                return
        rank = self._rank(service)
        if rank:
            await asyncio.sleep((RANK_DELAY * rank).total_seconds())
            if self._fleet.permits.leadership(service).revision != leadership.revision:
                return
        runtime.set_primary_state(PrimaryState.CHANGING)
        await self._replace_failed(runtime, leadership)

    async def _check_lead(self, runtime: ServiceRuntime, backend: Backend) -> LeadCheck:
        try:
            answer = await runtime.query_status(backend)
        except LinkRefusedError as error:
            # Another server at its address means that this one is gone.
            is_other = error.kind is BackendErrorKind.WRONG_SERVER
            return LeadCheck.LOST if is_other else LeadCheck.UNANSWERED
        except LinkLostError as error:
            # It accepted a connection, so it runs; its slots may all be busy.
            logger.info(
                "primary_status_missing",
                extra={"backend": backend.server.backend, "reason": str(error)},
            )
            return LeadCheck.UNANSWERED
        status = self._decode(backend, answer)
        if status is None:
            return LeadCheck.UNANSWERED
        return LeadCheck.LEADS if status.role is InstanceRole.PRIMARY else LeadCheck.LOST

    @staticmethod
    def _decode(backend: Backend, answer) -> ServerStatus | None:
        return backend.links.decode_status(answer)

    @staticmethod
    async def _reaches(backend: Backend | None) -> bool:
        if backend is None:
            return False
        return await accepts_connections(backend.server.address, REACH_TIMEOUT)

    async def _peers_agree(self, runtime: ServiceRuntime, primary: BackendId) -> PrimaryVerdict:
        """Ask the other hosts; a primary has failed only where none reaches it."""
        alive = self._peers.alive()
        calls = [self._peers.call(host, lambda call: ReachQuery(call, primary)) for host in alive]
        replies = [reply for reply in await asyncio.gather(*calls) if isinstance(reply, ReachReply)]
        reached = sum(reply.is_reachable for reply in replies)
        logger.info(
            "primary_checked",
            extra={
                "service": runtime.name,
                "backend": primary,
                "peers": len(alive),
                "replies": len(replies),
                "reached": reached,
            },
        )
        if reached:
            return PrimaryVerdict.REACHED_BY_OTHERS
        # Hosts that see less than half of the others may be the ones that are cut off.
        expected = self._peers.expected()
        if len(replies) * 2 < expected or (expected and not replies):
            return PrimaryVerdict.UNKNOWN
        return PrimaryVerdict.FAILED

    # Replacement -------------------------------------------------------------------------------

    async def _replace_failed(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership
    ) -> None:
        candidate = await self._choose_candidate(runtime, leadership.record.primary)
        if candidate is None:
            raise ChangeCancelledError("no backend server can be promoted")
        record = replace_record(
            leadership.record, LeadershipPhase.CLOSED, self._identity.host, candidate, False
        )
        closed = await self._write(runtime.name, record, leadership.revision)
        fencing = await self._fence(runtime, closed, may_return=True)
        await self._promote_and_open(runtime, closed, fencing)

    async def _replace_leaving(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        runtime = self._services[service]
        rank = self._rank(service)
        if rank:
            await asyncio.sleep((RANK_DELAY * rank).total_seconds())
            if self._fleet.permits.leadership(service).revision != leadership.revision:
                return
        candidate = await self._choose_candidate(runtime, leadership.record.primary)
        if candidate is None:
            raise ChangeCancelledError("the leaving primary has no successor yet")
        runtime.set_primary_state(PrimaryState.CHANGING)
        record = replace_record(
            leadership.record, LeadershipPhase.CLOSED, self._identity.host, candidate, True
        )
        closed = await self._write(service, record, leadership.revision)
        fencing = await self._fence(runtime, closed, may_return=False)
        await self._await_catch_up(runtime, closed.record)
        await self._promote_and_open(runtime, closed, fencing)

    async def _take_over(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Finish what another promoter began, with the same candidate while it runs."""
        runtime = self._services[service]
        runtime.set_primary_state(PrimaryState.CHANGING)
        record = replace_record(
            leadership.record,
            LeadershipPhase.CLOSED,
            self._identity.host,
            leadership.record.candidate,
            leadership.record.is_planned,
        )
        closed = await self._write(service, record, leadership.revision)
        fencing = await self._fence(runtime, closed, may_return=False)
        await self._promote_and_open(runtime, closed, fencing)

    async def _choose_candidate(
        self, runtime: ServiceRuntime, old_primary: BackendId
    ) -> BackendId | None:
        """Choose the replica whose log is furthest."""
        candidates = [
            backend
            for backend in runtime.backends.values()
            if backend.server.backend != old_primary and backend.server.state is BackendState.READY
        ]
        statuses = await asyncio.gather(*(self._status(runtime, each) for each in candidates))
        best: tuple | None = None
        for backend, status in zip(candidates, statuses, strict=True):
            if status is None:
                continue
            key = (status.received, -backend.load.distance, backend.server.backend)
            if best is None or key > best[0]:
                best = (key, backend.server.backend)
        return None if best is None else best[1]

    async def _status(self, runtime: ServiceRuntime, backend: Backend) -> ServerStatus | None:
        for _ in range(2):
            try:
                answer = await runtime.query_status(backend)
            except (LinkLostError, LinkRefusedError) as error:
                logger.info(
                    "status_missing",
                    extra={"backend": backend.server.backend, "reason": str(error)},
                )
                return None
            status = self._decode(backend, answer)
            if status is not None:
                return status
            await asyncio.sleep(0.05)
        return None

    async def _write(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        """Write a record that follows ``revision``; raise ``ChangeCancelledError`` after a race."""
        key = LEADERSHIP_PREFIX + service
        value = encode_record(record)
        for attempt in range(STORE_ATTEMPTS):
            try:
                result = await self._coordinator.transact(
                    [Condition(key, revision)], [Put(key, value)]
                )
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership_write_unanswered",
                    extra={"service": service, "attempt": attempt, "reason": str(error)},
                )
                await asyncio.sleep(0.2)
                continue
            if isinstance(result, Committed):
                return await self._spread(service, record, result.revision)
            written = await self._own_write(key, value)
            if written is not None:
                return await self._spread(service, record, written)
            raise ChangeCancelledError("another host changed the record first")
        raise StoreUnavailableError("the leadership record could not be written")

    async def _own_write(self, key: str, value: bytes) -> Revision | None:
        """Find out whether a write whose answer was lost took effect."""
        snapshot = await self._coordinator.read_range(LEADERSHIP_PREFIX)
        self._fleet.take_snapshot(LEADERSHIP_PREFIX, snapshot, "store")
        for item in snapshot.items:
            if item.key == key and item.value == value:
                return item.revision
        return None

    async def _spread(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        key = LEADERSHIP_PREFIX + service
        copy = self._fleet.copies[LEADERSHIP_PREFIX]
        kept = tuple(item for item in copy.items.values() if item.key != key)
        items = (*kept, StoredValue(key, encode_record(record), revision))
        self._fleet.take_snapshot(
            LEADERSHIP_PREFIX, Snapshot(items, max(copy.as_of, revision)), "own write"
        )
        await self._peers.tell_all(copy.to_message(0))
        return VersionedLeadership(record, revision)

    # Fencing -----------------------------------------------------------------------------------

    async def _fence(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, may_return: bool
    ) -> Fencing:
        """Return once no host can use the old primary, or its process is known to be gone."""
        await self.end_own_use(runtime, closed.revision, closed.record.is_planned)
        hosts = await self._registered_hosts()
        hosts.pop(self._identity.host, None)
        fencing = Fencing.from_hosts(set(hosts))
        await asyncio.gather(
            *(self._ask_to_close(runtime, closed, record, fencing) for record in hosts.values())
        )
        for host in list(fencing.waiting):
            await self._end_lease(hosts[host], fencing)
        if may_return and fencing.waiting:
            fencing.is_primary_gone = await self._is_primary_gone(runtime, closed.record.primary)
        while not fencing.is_complete(self._fleet.now()):
            logger.info(
                "fencing_waits",
                extra={"service": runtime.name, "hosts": ",".join(sorted(fencing.waiting))},
            )
            if may_return and await self._reopen_if_back(runtime, closed):
                raise ChangeCancelledError("the primary came back before it was replaced")
            await asyncio.sleep(FENCE_POLL.total_seconds())
            registered = await self._registered_hosts()
            for host in list(fencing.waiting):
                if host not in registered:
                    # Another host has waited its permit out already.
                    fencing.settle(host, HostStanding.ENDED)
            if may_return:
                fencing.is_primary_gone = await self._is_primary_gone(
                    runtime, closed.record.primary
                )
            await asyncio.gather(
                *(
                    self._ask_to_close(runtime, closed, hosts[host], fencing)
                    for host in list(fencing.waiting)
                )
            )
        return fencing

    async def end_own_use(
        self, runtime: ServiceRuntime, revision: Revision, is_planned: bool
    ) -> None:
        """Stop using the primary; where the change is planned, open work may end first."""
        if is_planned:
            runtime.refresh()
            await runtime.end_primary_transactions()
        self._fleet.permits.veto(runtime.name, revision)
        runtime.refresh()

    async def _registered_hosts(self) -> dict[HostId, HostRecord]:
        for _ in range(STORE_ATTEMPTS):
            try:
                return parse_hosts(await self._coordinator.read_range(HOSTS_PREFIX))
            except StoreUnavailableError as error:
                logger.warning("hosts_unread", extra={"reason": str(error)})
                await asyncio.sleep(0.2)
        raise StoreUnavailableError("the registered hosts could not be read")

    async def _ask_to_close(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        record: HostRecord,
        fencing: Fencing,
    ) -> None:
        planned = closed.record.is_planned
        self._peers.add(record)
        reply = await self._peers.call(
            record.host,
            lambda call: CloseService(call, runtime.name, closed.revision, planned),
            PLANNED_CLOSE_TIMEOUT if planned else CLOSE_TIMEOUT,
        )
        if isinstance(reply, ServiceClosed):
            fencing.settle(record.host, HostStanding.STOPPED_USING)
        elif await is_process_gone(record.address, REACH_TIMEOUT):
            fencing.settle(record.host, HostStanding.ENDED)

    async def _end_lease(self, record: HostRecord, fencing: Fencing) -> None:
        for _ in range(STORE_ATTEMPTS):
            try:
                await self._coordinator.end_lease(record.lease)
            except StoreUnavailableError as error:
                logger.warning(
                    "lease_end_failed", extra={"peer": record.host, "reason": str(error)}
                )
                await asyncio.sleep(0.2)
                continue
            fencing.lease_ended(record.host, self._fleet.now())
            logger.info("lease_ended_for_peer", extra={"peer": record.host})
            return
        raise StoreUnavailableError("a silent host's lease could not be ended")

    async def _is_primary_gone(self, runtime: ServiceRuntime, primary: BackendId) -> bool:
        """Tell whether the primary's process is proved to have ended."""
        backend = runtime.backends.get(primary)
        if backend is None:
            return False
        return await is_process_gone(backend.server.address, REACH_TIMEOUT)

    async def _reopen_if_back(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> bool:
        backend = runtime.backends.get(closed.record.primary)
        if backend is None or not await accepts_connections(backend.server.address, REACH_TIMEOUT):
            return False
        status = await self._status(runtime, backend)
        if status is None or status.role is not InstanceRole.PRIMARY:
            return False
        await self._open(runtime, closed, closed.record.primary)
        return True

    # Promotion ---------------------------------------------------------------------------------

    async def _await_catch_up(self, runtime: ServiceRuntime, record: LeadershipRecord) -> None:
        """Wait until the successor has received all that the leaving primary committed."""
        until = self._fleet.now() + CATCH_UP_LIMIT
        old = runtime.backends.get(record.primary)
        new = runtime.backends.get(record.candidate)
        while old is not None and new is not None and self._fleet.now() < until:
            end = await self._status(runtime, old)
            held = await self._status(runtime, new)
            if end is None or (held is not None and held.received >= end.received):
                return
            await asyncio.sleep(PROMOTION_POLL.total_seconds())

    async def _promote_and_open(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> None:
        tried = closed
        while True:
            outcome = await self._promote(runtime, tried, fencing)
            if outcome:
                await self._await_silent_hosts(runtime, fencing)
                await self._open(runtime, tried, tried.record.candidate)
                self._metrics.failovers.inc()
                return
            candidate = await self._choose_candidate(runtime, tried.record.primary)
            if candidate is None:
                raise ChangeCancelledError("no backend server can be promoted")
            record = replace_record(
                tried.record, LeadershipPhase.CLOSED, self._identity.host, candidate, False
            )
            tried = await self._write(runtime.name, record, tried.revision)

    async def _await_silent_hosts(self, runtime: ServiceRuntime, fencing: Fencing) -> None:
        """Wait for silent hosts after all where the old primary was seen during the promotion."""
        while not fencing.is_complete(self._fleet.now()):
            logger.info(
                "fencing_waits",
                extra={"service": runtime.name, "hosts": ",".join(sorted(fencing.waiting))},
            )
            await asyncio.sleep(FENCE_POLL.total_seconds())

    async def _promote(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> bool:
        """Order one promotion and wait until it has taken effect; return False where it can't."""
        record = closed.record
        until = self._fleet.now() + PROMOTION_LIMIT
        resend_at = self._fleet.now()
        token = FencingToken(closed.revision)
        while self._fleet.now() < until:
            if self._fleet.now() >= resend_at:
                outcome = await self._promoter.promote(
                    runtime.name, record.candidate, self._identity.host, token
                )
                logger.info(
                    "promotion_ordered",
                    extra={
                        "service": runtime.name,
                        "backend": record.candidate,
                        "fence": token,
                        "outcome": outcome,
                    },
                )
                if outcome is PromotionOutcome.NOT_RUNNING:
                    return False
                resend_at = self._fleet.now() + PROMOTION_RESEND
            backend = runtime.backends.get(record.candidate)
            if backend is None:
                return False
            status = await self._status(runtime, backend)
            if fencing.is_primary_gone:
                fencing.is_primary_gone = await self._is_primary_gone(runtime, record.primary)
            if status is not None and status.role is InstanceRole.PRIMARY:
                return True
            await asyncio.sleep(PROMOTION_POLL.total_seconds())
        return False

    async def _open(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, primary: BackendId
    ) -> None:
        record = LeadershipRecord(primary, LeadershipPhase.OPEN, closed.record.change + 1)
        while True:
            try:
                await self._write(runtime.name, record, closed.revision)
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


def replace_record(
    record: LeadershipRecord,
    phase: LeadershipPhase,
    promoter: HostId,
    candidate: BackendId,
    is_planned: bool,
) -> LeadershipRecord:
    """Return the record that begins or continues a change of primary."""
    return LeadershipRecord(record.primary, phase, record.change, promoter, candidate, is_planned)
