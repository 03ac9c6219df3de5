"""Composition of a host process: sessions, services, peers, store access and failover."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.host.accountquotas import AccountQuotas
from hickorywind.host.connectionsharing import ConnectionSharing
from hickorywind.host.copychecker import CopyChecker
from hickorywind.host.detection import is_responsive
from hickorywind.host.failovermanager import FailoverManager
from hickorywind.host.fleet import (
    HOSTS_PREFIX,
    LEADERSHIP_DIGEST,
    LEADERSHIP_PREFIX,
    Fleet,
)
from hickorywind.host.hoststatus import describe_host, serve_status
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import CALL_TIMEOUT, Peers
from hickorywind.host.requestlog import ConfigurationEvidence, RequestLog
from hickorywind.host.service import DISPATCH_INTERVAL, IDLE_DISPATCH_INTERVAL, ServiceRuntime
from hickorywind.host.session import Session
from hickorywind.host.sessiondrain import NEW_WORK_FRACTION, SessionDrain
from hickorywind.host.sharedreads import SharedReads
from hickorywind.host.storeacknowledger import StoreAcknowledger
from hickorywind.host.storesync import StoreSync
from hickorywind.ids import BackendId, HostId, Incarnation, Revision, ServiceName
from hickorywind.membership.neighbours import FULL_MESH_SIZE
from hickorywind.membership.storewatch import StoreWatchDuty
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.ports.catalog import Topology
from hickorywind.ports.codecs import BackendCodec, CallerCodec
from hickorywind.ports.coordination import (
    CoordinationStore,
    DocumentSchema,
    Lease,
    LeaseId,
    Promoter,
    Snapshot,
)
from hickorywind.protocol.hoststatus import HostStatus
from hickorywind.protocol.messages import (
    ConnectionYieldQuery,
    CopyQuery,
    CopyReply,
    EndedLease,
    EndLease,
    Greeting,
    GreetingReply,
    LeaseEndsRecorded,
    LeaseRenewalQuery,
    LeaseRenewalReply,
    LeavingServer,
    LivenessQuery,
    LivenessReply,
    Message,
    PositionQuery,
    PositionSample,
    PrimaryUseStopped,
    QuotaQuery,
    QuotaTakeover,
    ReachQuery,
    ReachReply,
    RecordLeaseEnds,
    RefusalQuery,
    ResponsivenessQuery,
    ResponsivenessReply,
    SharedRead,
    StopPrimaryUse,
    StoreReadRequest,
    StoreWriteRequest,
)
from hickorywind.settings.host import HostSettings
from hickorywind.util.clock import Clock, Instant, milliseconds, to_milliseconds
from hickorywind.util.deflate import DeflatedDataError
from hickorywind.util.listening import BACKLOG
from hickorywind.util.sockets import accept_waiting
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

# For closing idle connections and dropping backend servers that are no longer registered.
HOUSEKEEPING_INTERVAL = timedelta(milliseconds=500)
# After SIGTERM the load balancer sends callers until it has missed two probes, a second apart.
BALANCER_WAIT = timedelta(milliseconds=2300)
# A permit that ends sooner may be over before a redirected request arrives here.
MIN_PERMIT_REMAINING = timedelta(seconds=2)
# A copy of a large configuration takes a second on the slowest links; a second request sooner would
# slow both down.
CONFIGURATION_COPY_TIMEOUT = timedelta(seconds=3)
# After this time without a copy another host is asked as well.
COPY_HEDGE_DELAY = timedelta(seconds=1)
# For which the control traffic of this host is compared with its limit.
TRAFFIC_PERIOD = timedelta(seconds=2)
LOGGED_TRAFFIC_KINDS = 8  # of a period, the largest ones
UNREGISTER_GRACE_FRACTION = 0.9  # of the grace time, after which the store isn't waited for


@dataclass(frozen=True)
class Adapters:
    """Implementations of the interfaces in ``hickorywind.ports`` for one platform."""

    make_caller_codec: Callable[[], CallerCodec]
    make_backend_codec: Callable[[], BackendCodec]
    coordination_store: CoordinationStore
    promoter: Promoter
    schema: DocumentSchema


class HostRuntime:
    """All parts of one host process and the callbacks that connect them."""

    def __init__(
        self,
        settings: HostSettings,
        adapters: Adapters,
        listener: socket.socket,
        clock: Clock,
        incarnation: Incarnation,
        metrics: HostMetrics,
        rng: random.Random,
    ) -> None:
        """Create the host's parts; ``listener`` is a socket that already accepts callers."""
        self._settings = settings
        self._adapters = adapters
        self._listener = listener
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._identity = HostIdentity(
            settings.host,
            incarnation,
            settings.availability_zone,
            settings.address("peers_listen"),
        )
        self._fleet = Fleet(adapters.schema, clock)
        self._services: dict[ServiceName, ServiceRuntime] = {}
        self._sessions: set[Session] = set()
        self._topology = Topology(settings.zones)
        self._peers = Peers(self._identity, clock, rng, self._topology, metrics.traffic)
        self._watch_duty = StoreWatchDuty(
            settings.host,
            settings.store_watchers_per_zone,
            self._fleet.copies,
            self._fleet.behind,
        )
        self._sync = StoreSync(
            self._fleet,
            adapters.coordination_store,
            self._identity,
            self._peers,
            metrics,
            rng,
            self._watch_duty,
        )
        self._copy_checker = CopyChecker(
            self._fleet, adapters.coordination_store, self._sync, self._watch_duty, rng
        )
        self._failover_manager = FailoverManager(
            self._fleet,
            self._services,
            self._peers,
            adapters.coordination_store,
            adapters.promoter,
            self._identity,
            metrics,
            clock,
        )
        self._store_acknowledger = StoreAcknowledger(
            self._fleet, settings.host, self._stop_using_primary, self._sync.record_stopped
        )
        self._quotas = AccountQuotas(
            self._identity,
            self._fleet,
            self._peers,
            clock,
            rng,
            settings.quota_slack_operations,
            metrics,
        )
        self._reads = SharedReads(
            self._identity, self._peers, self._services.get, clock, rng, metrics
        )
        self._connection_sharing = ConnectionSharing(self._peers, self._services.get, rng, clock)
        self._request_log = RequestLog(metrics, self._configuration_evidence)
        self._server: asyncio.Server | None = None
        self._is_stopping = False
        self._grace = timedelta(seconds=settings.stop_grace_seconds)
        self._drain = SessionDrain(self._sessions, self._services, clock, self._grace)
        self._created_at = clock.now()
        self._configured_after: timedelta | None = None
        self._background = BackgroundTasks()
        # By prefix and host, when it was asked for its copy.
        self._copies_in_progress: dict[str, dict[HostId, Instant]] = {}
        self._leadership_to_pass: set[str] = set()
        self._register_callbacks()

    def _register_callbacks(self) -> None:
        self._sync.on_loaded = self._update_watch_duty
        self._copy_checker.on_changes_found = self._announce_copies
        self._peers.handle_message = self._handle_peer_message
        self._peers.make_greeting = self._make_greeting
        self._peers.on_greeting_reply = self._handle_greeting_reply
        self._peers.on_membership_change = self._refresh_services
        self._fleet.backend_listeners.append(self._refresh_services)
        self._fleet.configuration_listeners.append(self._refresh_services)
        self._fleet.configuration_listeners.append(self._quotas.refresh)
        self._fleet.configuration_listeners.append(self._announce_configuration)
        self._fleet.leadership_listeners.append(lambda service: self._refresh_services())
        self._fleet.leadership_listeners.append(self._failover_manager.record_closing)
        self._fleet.leadership_listeners.append(self._store_acknowledger.schedule)
        self._fleet.leadership_listeners.append(self._pass_leadership_on)

    # Lifecycle ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Run all parts of the host until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._peers.serve())
            group.create_task(self._sync.run())
            group.create_task(self._copy_checker.run())
            group.create_task(self._failover_manager.monitor())
            group.create_task(self._run_dispatch_loop())
            group.create_task(self._run_housekeeping())
            group.create_task(self._report_traffic())
            if self._settings.status_listen:
                address = self._settings.address("status_listen")
                group.create_task(serve_status(address, self.describe))
            await self._accept()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_session, sock=self._listener, backlog=BACKLOG
        )

    def _make_session(self) -> Session:
        session = Session(
            self._fleet,
            self._services.get,
            self._quotas.admit,
            self._adapters.make_caller_codec(),
            self._clock,
            self._request_log,
            self._sessions.discard,
        )
        session.advance_stop(self._drain.stage)
        self._sessions.add(session)
        self._metrics.sessions.set(len(self._sessions))
        return session

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new callers to this host."""
        if self._is_stopping or self._fleet.configuration is None:
            return False
        return self._fleet.permits.is_valid(self._fleet.now())

    def _configuration_evidence(self) -> ConfigurationEvidence:
        now, key = self._fleet.now(), self._fleet.configuration_key
        return ConfigurationEvidence(
            self._fleet.configuration_state(),
            self._watch_duty.contact_age(now),
            self._watch_duty.should_watch(key, now, self._fleet.behind(key)),
        )

    def describe(self) -> HostStatus:
        """Return the host's current status."""
        return describe_host(
            self._identity,
            self._fleet,
            self._peers,
            self._services.values(),
            len(self._sessions),
            self.is_ready,
            self._is_stopping,
            self._quotas.describe(),
        )

    async def _run_dispatch_loop(self) -> None:
        while True:
            is_busy = any(service.is_busy for service in self._services.values())
            interval = DISPATCH_INTERVAL if is_busy else IDLE_DISPATCH_INTERVAL
            await asyncio.sleep(interval.total_seconds())
            now = self._fleet.now()
            is_permitted = self._fleet.permits.is_valid(now)
            # Checking all peers is only needed while this host has no permit.
            others_may_serve = not is_permitted and self._others_may_serve()
            self._fleet.missing_permit_timer.update(now, is_permitted, others_may_serve)
            for service in self._services.values():
                service.check_stalled_backends()
                service.close_scarce_connections()
                service.dispatch_waiting()

    def _others_may_serve(self) -> bool:
        return self._peers.table.any_holds_permit() or self._peers.is_isolated()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL.total_seconds())
            self._fleet.remove_missing_backends()
            for host in self._peers.maintain():
                self._fleet.forget_host(host)
            self._quotas.refresh()
            self._update_watch_duty()
            self._sync.end_deaf_watches()
            self._reads.refresh()
            for name, service in self._services.items():
                service.update_connection_limits()
                service.close_idle_connections()
                self._metrics.waiting.labels(name).set(service.waiting_count)
            contact_age = self._watch_duty.contact_age(self._fleet.now())
            if contact_age is not None:
                self._metrics.store_contact_seconds.set(contact_age.total_seconds())
            permit_remaining = self._fleet.permits.valid_until - self._fleet.now()
            self._metrics.permit_seconds.set(permit_remaining.total_seconds())
            self._metrics.sessions.set(len(self._sessions))

    async def _report_traffic(self) -> None:
        """Log periods in which the control traffic of this host exceeded its limit."""
        while True:
            await asyncio.sleep(TRAFFIC_PERIOD.total_seconds())
            summary = self._metrics.traffic.take_summary()
            if not summary.exceeds_limit(TRAFFIC_PERIOD):
                continue
            largest = summary.by_kind[:LOGGED_TRAFFIC_KINDS]
            logger.info(
                "control_traffic_high",
                extra={
                    "bytes": summary.total_bytes,
                    "other_region_bytes": summary.other_region_bytes,
                    "store_bytes": summary.store_bytes,
                    "by_kind": ",".join(f"{kind}:{count}/{size}" for kind, count, size in largest),
                },
            )

    async def drain(self) -> None:
        """Stop accepting callers and end all sessions within the grace time."""
        started = self._clock.now()
        self._is_stopping = True
        await asyncio.sleep(min(BALANCER_WAIT, self._grace * NEW_WORK_FRACTION).total_seconds())
        await self._accept_waiting()
        self._stop_accepting()
        await self._drain.end_sessions(started)
        self._failover_manager.close()
        self._store_acknowledger.close()
        self._reads.close()
        self._connection_sharing.close()
        # Closing the backend connections fails the running statements, so that their sessions
        # can still reply.
        for service in self._services.values():
            service.close()
        await self._drain.close_sessions(started)
        # Sessions wait for the answers of quota homes, which come or time out before.
        self._quotas.close()
        await self._unregister(started + self._grace * UNREGISTER_GRACE_FRACTION)
        self._peers.close()
        await self._adapters.coordination_store.close()

    async def _unregister(self, deadline: Instant) -> None:
        left = max(timedelta(0), deadline - self._clock.now())
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self._sync.unregister()
        except TimeoutError:
            # Its permit is revoked all the same; others take the entry for a host that has ended.
            logger.info("unregister_failed", extra={"error": "the grace time is nearly over"})

    async def _accept_waiting(self) -> None:
        if self._server is not None:
            await accept_waiting(self._listener, self._make_session)

    def _stop_accepting(self) -> None:
        if self._server is None:
            self._listener.close()
        else:
            self._server.close()

    def abort(self) -> None:
        """Close everything at once, as if the process were killed."""
        self._failover_manager.close()
        self._store_acknowledger.close()
        self._quotas.close()
        self._reads.close()
        self._connection_sharing.close()
        self._stop_accepting()
        for service in self._services.values():
            service.close()
        for session in list(self._sessions):
            session.abort()
        self._peers.close()

    # Services ----------------------------------------------------------------------------------

    def _refresh_services(self) -> None:
        service_names = {server.service for server in self._fleet.backends.values()}
        if self._fleet.configuration is not None:
            service_names |= self._fleet.configuration.connection_limits.keys()
        for name in service_names - self._services.keys():
            self._add_service(name)
        self._reads.refresh()
        for service in self._services.values():
            service.host_count = 1 + len(self._peers.table.alive())
            service.refresh()
        self._failover_manager.check_reported_primaries()
        if self._fleet.configuration is not None:
            self._metrics.configuration_version.set(self._fleet.configuration.version)
            if self._configured_after is None:
                self._configured_after = self._clock.now() - self._created_at
                self._metrics.configured_after_seconds.set(self._configured_after.total_seconds())

    def _add_service(self, name: ServiceName) -> None:
        service = ServiceRuntime(
            name,
            self._fleet,
            self._topology,
            self._settings.availability_zone,
            self._adapters.make_backend_codec,
            self._clock,
            self._rng,
            milliseconds(self._settings.backend_leaving_ms),
        )
        service.on_primary_suspected = self._failover_manager.report_suspect
        service.on_connection_limit = self._connection_sharing.ask
        service.homes = self._reads if self._settings.share_reads else None
        self._services[name] = service

    # Peers -------------------------------------------------------------------------------------

    def _make_greeting(self, call: int) -> Greeting:
        identity = self._identity
        return Greeting(
            call,
            identity.host,
            identity.incarnation,
            identity.zone,
            identity.address,
            self._fleet.copy_revisions(),
            tuple((lease.id, lease.era) for lease in self._sync.own_leases),
            self._sync.registered_at,
        )

    def _handle_greeting_reply(self, reply: GreetingReply, sent: Instant) -> None:
        for sample in reply.samples:
            service = self._services.get(sample.service)
            if service is not None:
                # The peer computed the age after the greeting was sent, so counting it back
                # from ``sent`` never makes the sample too recent.
                service.add_sample(sent - milliseconds(sample.age_ms), sample.position)
        self._record_leaving(reply.leaving, sent)
        self._record_lease_ends(reply.ended_leases)
        if reply.confirms_leases:
            self._sync.record_confirmation(reply.host, reply.ended_leases, sent)
        is_up_to_date = self._fetch_newer_copies(reply.host, reply.revisions)
        if is_up_to_date and reply.store_contact_ms is not None:
            self._watch_duty.record_reported_contact(sent - milliseconds(reply.store_contact_ms))

    def _record_leaving(self, leaving: tuple[LeavingServer, ...], sent: Instant) -> None:
        """Record since when other hosts have known servers to leave; this one may be new."""
        for each in leaving:
            server = self._fleet.backends.get(each.backend)
            service = None if server is None else self._services.get(server.service)
            if service is not None and server.started_at_ms == each.started_at_ms:
                service.record_leaving(each.backend, sent - milliseconds(each.age_ms))

    def _list_leaving(self) -> tuple[LeavingServer, ...]:
        now = self._clock.now()
        return tuple(
            LeavingServer(
                backend.server.backend,
                backend.server.started_at_ms,
                int(to_milliseconds(now - backend.leaving_since)),
            )
            for service in self._services.values()
            for backend in service.backends.values()
            if backend.leaving_since is not None
        )

    def _record_lease_ends(self, ended_leases: tuple[EndedLease, ...]) -> None:
        now, store = self._clock.now(), self._failover_manager.store
        for ended in ended_leases:
            # The message was sent before now, so the end was confirmed at least that long ago.
            lease = Lease(LeaseId(ended.lease), ended.era)
            store.record_lease_end(lease, now - milliseconds(ended.age_ms))
            if ended.without_contact_ms is not None:
                store.record_contact_end(lease, now - milliseconds(ended.without_contact_ms))

    def _update_watch_duty(self) -> None:
        if not self._sync.is_loaded:
            return
        table = self._peers.table
        active = table.active()
        own_zone = [
            host for host in active if table.states[host].record.zone == self._identity.zone
        ]
        was_watcher = self._watch_duty.is_watcher
        self._watch_duty.update(active, own_zone, 1 + len(table.states))
        if was_watcher and not self._watch_duty.is_watcher:
            self._sync.end_watches()

    @property
    def _shares_watches(self) -> bool:
        """Whether only some of the hosts watch the store."""
        is_large = len(self._peers.table.states) >= FULL_MESH_SIZE
        return is_large and self._settings.store_watchers_per_zone > 0

    def _pass_leadership_on(self, service: ServiceName) -> None:
        """Send changed leadership records to the hosts that don't watch the store themselves.

        Records that change at once go out together.
        """
        if not self._shares_watches:
            return
        if not self._leadership_to_pass:
            self._background.start(self._send_leadership())
        self._leadership_to_pass.add(LEADERSHIP_PREFIX + service)

    async def _send_leadership(self) -> None:
        keys, self._leadership_to_pass = self._leadership_to_pass, set()
        message = self._fleet.copies[LEADERSHIP_PREFIX].to_notice(keys)
        await self._peers.send_to_neighbours(message)

    def _fetch_newer_copies(self, host: HostId, revisions: dict[str, int]) -> bool:
        """Start to fetch the copies that another host has newer; return whether it has none."""
        is_up_to_date = True
        own_revisions = self._fleet.copy_revisions()
        for prefix, revision in revisions.items():
            own_revision = own_revisions.get(prefix)
            if own_revision is None or own_revision >= revision or prefix == LEADERSHIP_DIGEST:
                continue
            if prefix != HOSTS_PREFIX:
                is_up_to_date = False
                self._fleet.record_peer_revision(prefix, Revision(revision), host)
            if prefix == self._fleet.configuration_key and not self._may_copy_configuration(host):
                continue
            self._start_fetch(host, prefix)
        if is_up_to_date and self._differs_in_leadership(revisions):
            is_up_to_date = False
            self._start_fetch(host, LEADERSHIP_PREFIX)
        return is_up_to_date

    def _differs_in_leadership(self, revisions: dict[str, int]) -> bool:
        """Return whether a host's newest leadership record is the same and another one is not."""
        own = self._fleet.copy_revisions()
        is_equally_new = revisions.get(LEADERSHIP_PREFIX) == own[LEADERSHIP_PREFIX]
        return is_equally_new and revisions.get(LEADERSHIP_DIGEST, own[LEADERSHIP_DIGEST]) != (
            own[LEADERSHIP_DIGEST]
        )

    def _start_fetch(self, host: HostId, prefix: str) -> None:
        """Ask a host for its copy, unless it or, a moment ago, another one was asked."""
        now = self._fleet.now()
        asked = self._copies_in_progress.setdefault(prefix, {})
        if host in asked or any(now < at + COPY_HEDGE_DELAY for at in asked.values()):
            return
        asked[host] = now
        self._background.start(self._fetch_copy(host, prefix))

    def _may_copy_configuration(self, host: HostId) -> bool:
        """Return whether to copy the configuration from another host.

        In a large fleet it comes from hosts of the own zone, where one reads it from the store:
        copies of a large one would fill the links between regions. The reader itself may take its
        first one from anywhere, as a deflated copy mostly arrives before the store's answer, and so
        may hosts that their zone leaves without a newer one.
        """
        if not self._shares_watches or not self._sync.is_store_reachable:
            return True
        if self._fleet.configuration is None and self._watch_duty.reads_large_copies:
            return True
        behind = self._fleet.behind(self._fleet.configuration_key)
        if self._watch_duty.may_copy_from_other_zones(behind):
            return True
        state = self._peers.table.states.get(host)
        return state is not None and state.record.zone == self._identity.zone

    def _announce_configuration(self) -> None:
        """Let neighbours that don't watch the store fetch a configuration at once."""
        if self._shares_watches:
            self._announce_copies()

    def _announce_copies(self) -> None:
        """Let other hosts fetch at once what this one has newer."""
        self._background.start(self._peers.broadcast(self._make_greeting(0)))

    async def _fetch_copy(self, host: HostId, prefix: str) -> None:
        try:
            # Registrations are only added to; of the other items, deletions matter too.
            after = self._fleet.host_copy.as_of if prefix == HOSTS_PREFIX else Revision(0)
            is_large = prefix == self._fleet.configuration_key and self._shares_watches
            answer = await self._peers.call(
                host,
                lambda call: CopyQuery(call, prefix, after, accepts_deflated=True),
                CONFIGURATION_COPY_TIMEOUT if is_large else CALL_TIMEOUT,
            )
            if isinstance(answer, CopyReply):
                self._apply_copy(answer, host)
        finally:
            del self._copies_in_progress[prefix][host]

    def _apply_copy(self, reply: CopyReply, source: str) -> None:
        try:
            items = tuple(item.to_stored() for item in reply.items)
        except DeflatedDataError as error:
            logger.warning("copy_unreadable", extra={"prefix": reply.prefix, "error": str(error)})
            return
        snapshot = Snapshot(items, Revision(reply.as_of))
        if reply.prefix == HOSTS_PREFIX:
            self._peers.add(*self._fleet.add_hosts(snapshot))
        elif reply.prefix in self._fleet.copies:
            self._fleet.apply_snapshot(reply.prefix, snapshot, f"peer {source}")
        else:
            logger.warning("copy_of_unknown_prefix", extra={"prefix": reply.prefix})

    async def _handle_peer_message(self, message: Message) -> Message | None:
        match message:
            case Greeting():
                return self._reply_to_greeting(message)
            case CopyQuery(call, prefix, after, accepts_deflated):
                copy = self._fleet.copy_of(prefix)
                return None if copy is None else copy.to_message(call, after, accepts_deflated)
            case CopyReply():
                self._apply_copy(message, "notice")
            case ReachQuery(call, backend):
                is_reachable = await self._reaches(backend)
                return None if is_reachable is None else ReachReply(call, is_reachable)
            case ResponsivenessQuery(call, name, backend):
                return ResponsivenessReply(call, await self._is_backend_responsive(name, backend))
            case StopPrimaryUse(call, service, revision, is_planned):
                return await self._close_service(call, service, revision, is_planned)
            case StoreReadRequest() | StoreWriteRequest() | EndLease():
                return await self._failover_manager.relay.serve(message)
            case RecordLeaseEnds(call, leases):
                self._record_lease_ends(leases)
                return LeaseEndsRecorded(call, self._identity.host)
            case LivenessQuery(call):
                return LivenessReply(call)
            case SharedRead():
                return await self._reads.serve(message)
            case PositionQuery():
                return await self._reads.serve_position(message)
            case ConnectionYieldQuery():
                return self._connection_sharing.handle_query(message)
            case QuotaQuery():
                return self._quotas.handle_query(message)
            case QuotaTakeover():
                return self._quotas.handle_takeover(message)
            case RefusalQuery():
                return await self._quotas.handle_refusal_query(message)
            case LeaseRenewalQuery(call, lease, era):
                renewed = await self._sync.renew(Lease(LeaseId(lease), era))
                return LeaseRenewalReply(call, renewed)
        return None

    def _reply_to_greeting(self, greeting: Greeting) -> GreetingReply:
        self._peers.add_from_greeting(greeting)
        revisions = greeting.revisions
        if not self._shares_watches and greeting.call:
            # A new host is greeted only by those that know it, so the hosts that it greets ask it.
            revisions = {HOSTS_PREFIX: revisions.get(HOSTS_PREFIX, 0)}
        self._fetch_newer_copies(greeting.host, revisions)
        now = self._clock.now()
        samples = []
        for name, service in self._services.items():
            newest = service.samples.newest()
            if newest is not None:
                age_ms = int(to_milliseconds(now - newest.taken_at)) + 1
                samples.append(PositionSample(name, newest.position, age_ms))
        identity, permits = self._identity, self._fleet.permits
        contact_age = self._watch_duty.contact_age(now)
        return GreetingReply(
            greeting.call,
            identity.host,
            identity.incarnation,
            identity.zone,
            self._fleet.copy_revisions(),
            tuple(samples),
            self._is_stopping,
            self._failover_manager.store.ended_leases_for(greeting.leases),
            permits.is_valid(now) and now + MIN_PERMIT_REMAINING < permits.valid_until,
            self._peers.table.make_reports(),
            None if contact_age is None else int(to_milliseconds(contact_age)) + 1,
            self._sync.confirms_leases,
            self._list_leaving(),
        )

    async def _reaches(self, backend: BackendId) -> bool | None:
        """Return whether a backend server accepts connections; suspect a primary that does not.

        So the host of the first rank, which is to replace it, need not notice the failure itself.
        Return None if this host has not read the registered servers yet.
        """
        server = self._fleet.backends.get(backend)
        if server is None:
            return False if self._fleet.has_read_backends else None
        service = self._services[server.service]
        if await service.accepts_connections(service.backends[backend]):
            return True
        if service.recorded_primary() == backend:
            self._failover_manager.report_suspect(server.service, "a peer can't reach it either")
        return False

    async def _is_backend_responsive(self, name: ServiceName, backend: BackendId) -> bool:
        service = self._services.get(name)
        backend_state = None if service is None else service.backends.get(backend)
        # A host that does not know the server can't report it as hanging.
        return True if backend_state is None else await is_responsive(service, backend_state)

    async def _close_service(
        self, call: int, name: ServiceName, revision: Revision, is_planned: bool
    ) -> PrimaryUseStopped:
        await self._stop_using_primary(name, revision, is_planned)
        return PrimaryUseStopped(call)

    async def _stop_using_primary(
        self, name: ServiceName, revision: Revision, is_planned: bool
    ) -> None:
        service = self._services.get(name)
        if service is None:
            self._fleet.permits.stop_using(name, revision)
        else:
            self._fleet.permits.stop_new_work(name, revision)
            await self._failover_manager.stop_using_primary(service, revision, is_planned)
        logger.info("service_closed", extra={"service": name, "revision": revision})
