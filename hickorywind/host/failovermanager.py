"""Replacement of primaries: confirming a failure, fencing, and promoting a successor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta

import msgspec

from hickorywind.failover.leadership import (
    PERMIT_END_DELAY,
    Fencing,
    LeadershipPhase,
    LeadershipRecord,
    VersionedLeadership,
)
from hickorywind.host.detection import PrimaryVerdict, check_primary, check_unresponsive
from hickorywind.host.fencer import FENCING_POLL_INTERVAL, Fencer
from hickorywind.host.fleet import Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.leadershipstore import (
    TAKEOVER_TIMEOUT,
    LeadershipStore,
    PrimaryChangeCancelledError,
)
from hickorywind.host.peers import Peers
from hickorywind.host.promotion import (
    CATCH_UP_TIMEOUT,
    PROMOTION_POLL_INTERVAL,
    PROMOTION_TIMEOUT,
    CatchUp,
    Promotion,
    PromotionFailure,
    choose_successor,
    find_leader,
    is_by_plan,
    query_server,
    wait_for_catch_up,
)
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend, PrimaryState
from hickorywind.host.silenthosts import SilentHostFencer
from hickorywind.host.storerelay import StoreRelay
from hickorywind.ids import (
    BackendId,
    HostId,
    Incarnation,
    InstanceRole,
    LogPosition,
    Revision,
    ServiceName,
    Term,
)
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.placement.rendezvous import rank_members
from hickorywind.ports.catalog import BackendServer, BackendState
from hickorywind.ports.coordination import CoordinationStore, Promoter
from hickorywind.ports.replies import ServerStatus
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Clock, Instant, to_milliseconds
from hickorywind.util.sockets import CONNECT_PROBE_TIMEOUT, accepts_connections
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

RANK_DELAY = timedelta(milliseconds=300)  # delay per rank, so that one host acts first
CHECK_INTERVAL = timedelta(milliseconds=400)  # between the checks of all services
# After a longer wait for hosts of higher rank a primary is checked again: it may have come back.
VERDICT_LIFETIME = RANK_DELAY * 1.5
PLANNED_RANK_DELAY = timedelta(milliseconds=1200)  # greetings spread ended leases in this time
MINORITY_DELAY = timedelta(seconds=3)  # a host that reaches few peers may be isolated
PROMOTER_PROBE_TIMEOUT = timedelta(milliseconds=700)  # several round trips between regions
STUCK_CHANGE_TIMEOUT = timedelta(seconds=20)  # longer than any change that makes progress
SILENT_HOSTS_RANK_KEY = ServiceName("")  # ranks the hosts for work that is not of one service


class FailoverManager:
    """Monitor of the primaries of all services, which replaces failed and leaving ones."""

    def __init__(
        self,
        fleet: Fleet,
        services: dict[ServiceName, ServiceRuntime],
        peers: Peers,
        coordination_store: CoordinationStore,
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
        self.relay = StoreRelay(coordination_store, peers)
        self.store = LeadershipStore(fleet, self.relay, peers, identity.host)
        self._fencer = Fencer(fleet, self.store, peers, identity.host)
        self._promotion = Promotion(promoter, self.store, peers, identity.host, clock)
        # Ranks of this host among itself and ``_ranked_hosts``; each ranking hashes all of them.
        self._ranked_hosts: tuple[HostId, ...] = ()
        self._ranks: dict[ServiceName, int] = {}
        self._silent_host_fencer = SilentHostFencer(fleet, coordination_store, self.store, peers)
        self._tasks: dict[ServiceName, asyncio.Task] = {}
        # The last claim checked of each service, with the revision of its leadership record.
        self._checked_claims: dict[ServiceName, tuple[Revision, BackendServer]] = {}
        self._claim_checks = BackgroundTasks()
        # When the closed or unconfirmed record of a service became known.
        self._known_since: dict[ServiceName, tuple[Revision, timedelta]] = {}
        # When the last check of a primary ended without enough answers of other hosts.
        self._undecided_at: dict[ServiceName, Instant] = {}
        # The last change of each service that this host handed over to another one.
        self._handed_over: dict[ServiceName, int] = {}
        self.is_stopping = False

    # Triggers ----------------------------------------------------------------------------------

    def report_suspect(self, service: ServiceName, reason: str) -> None:
        """Investigate the primary of a service after a failed statement or connection.

        After a check without a decision the next one is that of ``monitor``: hosts that are cut off
        together would ask each other without a pause.
        """
        if service not in self._services or self._is_busy(service) or self.is_stopping:
            return
        undecided_at = self._undecided_at.get(service)
        if undecided_at is not None and self._fleet.now() < undecided_at + CHECK_INTERVAL:
            return
        self._start_task(service, self._investigate(service, reason))

    def _is_busy(self, service: ServiceName) -> bool:
        task = self._tasks.get(service)
        return task is not None and not task.done()

    def _start_task(self, service: ServiceName, work: Coroutine[None, None, None]) -> None:
        self._tasks[service] = asyncio.create_task(self._run_logged(service, work))

    async def _run_logged(self, service: ServiceName, work: Coroutine[None, None, None]) -> None:
        try:
            await work
        except PrimaryChangeCancelledError as error:
            logger.info(
                "primary_change_cancelled", extra={"service": service, "reason": str(error)}
            )
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

    async def monitor(self) -> None:
        """Check silent hosts and all services periodically until cancelled.

        This finds faults that no failed statement has reported.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self.is_stopping:
                continue
            self._silent_host_fencer.start_fencing(self._rank(SILENT_HOSTS_RANK_KEY) == 0)
            for service in list(self._services):
                if not self._is_busy(service):
                    self._check_service(service)

    def check_reported_primaries(self) -> None:
        """Replace primaries instead of which another registered server leads in a newer term.

        An order to promote may take effect late; the server that it replaces leads on for a while.
        """
        for service, runtime in self._services.items():
            leadership = self._fleet.permits.leadership(service)
            if leadership is None or self.is_stopping:
                continue
            record = leadership.record
            if record.phase is not LeadershipPhase.OPEN or record.term == 0:
                continue
            for backend in runtime.backends.values():
                claim = leadership.revision, backend.server
                claims_lead = backend.server.role is InstanceRole.PRIMARY
                is_other = backend.server.backend != record.primary
                if claims_lead and is_other and self._checked_claims.get(service) != claim:
                    self._checked_claims[service] = claim
                    self._claim_checks.start(self._check_claim(runtime, leadership, backend))

    async def _check_claim(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership, claimant: Backend
    ) -> None:
        status = await query_server(runtime, claimant)
        led = None if status is None else status.leading_term
        if led is None or led <= leadership.record.term:
            return  # its registration is outdated
        logger.warning(
            "other_server_leads",
            extra={"service": runtime.name, "backend": claimant.server.backend, "term": led},
        )
        if not self._is_busy(runtime.name):
            self._start_task(runtime.name, self._replace_overtaken(runtime, leadership))

    async def _replace_overtaken(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership
    ) -> None:
        if await self._defer_to_higher_ranks(leadership, runtime.name):
            await self._replace_failed(runtime, leadership)

    def _check_service(self, service: ServiceName) -> None:
        leadership = self._fleet.permits.leadership(service)
        unconfirmed = self._fleet.permits.unconfirmed(service)
        if unconfirmed is not None:
            # Hosts may hold permits of the store's earlier era, unknown to this one.
            if self._fleet.now() >= self._record_known(service, unconfirmed) + PERMIT_END_DELAY:
                self._start_task(service, self._confirm_record(service, unconfirmed))
            return
        if leadership is None:
            self._start_task(service, self._record_initial_primary(service))
            return
        if leadership.record.phase is LeadershipPhase.CLOSED:
            self._check_unfinished_change(service, leadership)
            return
        self._known_since.pop(service, None)
        primary = self._services[service].backends.get(leadership.record.primary)
        if primary is None and not self._fleet.has_read_backends:
            return
        if primary is None:
            self._start_task(service, self._investigate(service, "the primary is not registered"))
        elif primary.server.state is BackendState.LEAVING:
            self._check_leaving_primary(service, leadership)
        elif not self._services[service].is_primary_healthy():
            self._start_task(service, self._investigate(service, "the primary was unreachable"))
        elif self._fleet.permits.has_failed_to_close(service):
            self._start_task(service, self._renew_record(service, leadership))
        elif self._rank(service) == 0:
            self._services[service].check_idle_primary()

    def _check_leaving_primary(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Replace a leaving primary, unless a host that reaches more peers should do it."""
        if self._peers.table.sees_majority() or self._is_replacement_overdue(service, leadership):
            self._start_task(service, self._replace_leaving(service, leadership))

    def _is_replacement_overdue(
        self, service: ServiceName, leadership: VersionedLeadership
    ) -> bool:
        """Return whether the leaving primary should have been replaced by now."""
        runtime = self._services[service]
        backend = runtime.backends.get(leadership.record.primary)
        return (
            backend is None
            or self._fleet.now() > runtime.leaving_deadline(backend) + MINORITY_DELAY
        )

    def _check_unfinished_change(
        self, service: ServiceName, leadership: VersionedLeadership
    ) -> None:
        """Take over a primary change whose promoter has failed or makes no progress."""
        now = self._fleet.now()
        since = self._record_known(service, leadership)
        due = since + TAKEOVER_TIMEOUT + RANK_DELAY * self._rank(service)
        if not self._peers.table.sees_majority():
            due += MINORITY_DELAY
        is_own = leadership.record.promoter == self._identity.host
        if is_own or now > since + STUCK_CHANGE_TIMEOUT:
            self._start_task(service, self._take_over(service, leadership))
        elif now > due - PROMOTER_PROBE_TIMEOUT:
            self._start_task(service, self._take_over_if_silent(service, leadership, due))

    def record_closing(self, service: ServiceName) -> None:
        """Record when a closed record became known, for taking over its change."""
        leadership = self._fleet.permits.leadership(service)
        if leadership is not None and leadership.record.phase is LeadershipPhase.CLOSED:
            self._record_known(service, leadership)

    def _record_known(self, service: ServiceName, leadership: VersionedLeadership) -> Instant:
        """Return since when a record is known, from the first call with it."""
        revision, since = self._known_since.get(service, (Revision(0), self._fleet.now()))
        if revision != leadership.revision:
            since = self._fleet.now()
            self._known_since[service] = (leadership.revision, since)
        return since

    async def _take_over_if_silent(
        self, service: ServiceName, leadership: VersionedLeadership, due: Instant
    ) -> None:
        """Take over a primary change at ``due`` if its promoter does not answer.

        Taking over from one that is only slow is safe and costs time, so it is asked first.
        """
        promoter = leadership.record.promoter
        is_alive = promoter in self._peers.table.alive()
        if is_alive and await self._peers.is_responding(promoter, PROMOTER_PROBE_TIMEOUT):
            return
        await asyncio.sleep(max(0.0, (due - self._fleet.now()).total_seconds()))
        if self._fleet.permits.leadership(service) == leadership:
            await self._take_over(service, leadership)

    async def _renew_record(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Open the record of a healthy primary again, which this host failed to close.

        The write that was to close it may still take effect, until a newer revision prevents that.
        """
        await self.store.write(service, leadership.record, leadership.revision)
        logger.info("leadership_renewed", extra={"service": service})

    def _rank(self, service: ServiceName) -> int:
        active = self._peers.table.active()
        if active != self._ranked_hosts:
            self._ranked_hosts = active
            self._ranks.clear()
        if service not in self._ranks:
            hosts = [self._identity.host, *active]
            self._ranks[service] = rank_members(service, hosts).index(self._identity.host)
        return self._ranks[service]

    async def _defer_to_higher_ranks(
        self,
        known: VersionedLeadership | None,
        service: ServiceName,
        delay: timedelta = RANK_DELAY,
    ) -> bool:
        """Let hosts of higher rank act first.

        Return whether the leadership record is still ``known``.
        """
        await asyncio.sleep((delay * self._rank(service)).total_seconds())
        return self._fleet.permits.leadership(service) == known

    async def stop_using_primary(
        self, runtime: ServiceRuntime, revision: Revision, is_planned: bool
    ) -> None:
        """Stop using the primary of a service that another host replaces."""
        await self._fencer.stop_using_primary(runtime, revision, is_planned)

    async def _record_initial_primary(self, service: ServiceName) -> None:
        """Write the first leadership record, if exactly one backend server reports as primary."""
        primaries = [
            server.backend
            for server in self._fleet.backends.values()
            if server.service == service and server.role is InstanceRole.PRIMARY
        ]
        if len(primaries) != 1 or not self._fleet.permits.is_valid(self._fleet.now()):
            return
        if not await self._defer_to_higher_ranks(None, service):
            return
        status = await self._query_status(self._services[service], primaries[0])
        if status is not None and status.role is not InstanceRole.PRIMARY:
            return  # its registration is outdated
        if status is not None and not status.has_applied_log:
            return  # it is asked again at the next check
        term = Term(0) if status is None else status.term
        record = LeadershipRecord(primaries[0], LeadershipPhase.OPEN, 0, term=term)
        await self.store.write(service, record, Revision(0))

    async def _query_usable_term(self, runtime: ServiceRuntime, primary: BackendId) -> Term | None:
        """Return the term in which a server leads that has applied its log, or None."""
        status = await self._query_status(runtime, primary)
        return None if status is None or not status.has_applied_log else status.leading_term

    async def _query_status(
        self, runtime: ServiceRuntime, server: BackendId
    ) -> ServerStatus | None:
        backend = runtime.backends.get(server)
        return None if backend is None else await query_server(runtime, backend)

    # Failed primaries --------------------------------------------------------------------------

    async def _investigate(self, service: ServiceName, reason: str) -> None:
        runtime = self._services[service]
        leadership = self._fleet.permits.leadership(service)
        if leadership is None or leadership.record.phase is LeadershipPhase.CLOSED:
            return
        if self._fleet.permits.unconfirmed(service) is not None:
            return  # nobody can replace the primary before that record is confirmed
        primary = leadership.record.primary
        if not await self._has_failed(runtime, primary, reason):
            return
        checked_at = self._fleet.now()
        if not await self._defer_to_higher_ranks(leadership, service):
            return
        is_outdated = self._fleet.now() >= checked_at + VERDICT_LIFETIME
        if is_outdated and not await self._has_failed(runtime, primary, reason):
            return
        if self._fleet.permits.leadership(service) == leadership:
            await self._replace_failed(runtime, leadership)

    async def _has_failed(self, runtime: ServiceRuntime, primary: BackendId, reason: str) -> bool:
        """Return whether a primary has to be replaced; record what its check found."""
        verdict = await check_primary(runtime, self._peers, primary)
        self._apply_verdict(runtime, primary, verdict, reason)
        if verdict is PrimaryVerdict.UNKNOWN:
            self._undecided_at[runtime.name] = self._fleet.now()
        return verdict in (PrimaryVerdict.FAILED, PrimaryVerdict.LOST_LEAD)

    def _apply_verdict(
        self, runtime: ServiceRuntime, primary: BackendId, verdict: PrimaryVerdict, reason: str
    ) -> None:
        """Update the primary state of the service, and close connections to a failed primary."""
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
        started = self._clock.now()
        fencing = await self._fencer.start(runtime, closed)
        while not fencing.is_complete(self._clock.now()):
            if await self._reopen_if_recovered(runtime, closed):
                raise PrimaryChangeCancelledError("the primary recovered before it was replaced")
            await self._fencer.poll(runtime, closed, fencing)
        self._log_fenced(closed, fencing, runtime.name, started)
        if runtime.sync_replicas:
            closed = await self._require_complete_log(runtime, closed, may_reopen=True)
        await self._promote_and_open(runtime, closed)

    async def _require_complete_log(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, may_reopen: bool = False
    ) -> VersionedLeadership:
        """Return a closed record whose candidate holds all acknowledged commits.

        Commits may have been acknowledged until the last host had stopped using the primary, and a
        replica that may hold the only copy of one may not answer. Wait for it until it is no longer
        registered or, if no promotion was ordered yet, until the primary is back.
        """
        candidate = closed.record.candidate
        while True:
            try:
                chosen, _ = await choose_successor(
                    runtime, closed.record, self._clock, preferred=candidate
                )
                return closed if chosen == candidate else await self._close(runtime, closed, False)
            except PrimaryChangeCancelledError as error:
                if self._fleet.permits.is_superseded(runtime.name, closed.revision):
                    raise
                logger.warning(
                    "successor_unproven", extra={"service": runtime.name, "reason": str(error)}
                )
            if may_reopen and await self._reopen_if_recovered(runtime, closed):
                raise PrimaryChangeCancelledError("the primary recovered before it was replaced")
            await asyncio.sleep(FENCING_POLL_INTERVAL.total_seconds())

    async def _reopen_if_recovered(
        self, runtime: ServiceRuntime, closed: VersionedLeadership
    ) -> bool:
        backend = runtime.backends.get(closed.record.primary)
        if backend is None or not await accepts_connections(
            backend.server.address, CONNECT_PROBE_TIMEOUT
        ):
            return False
        term = await self._query_usable_term(runtime, closed.record.primary)
        if term is None or term < max(closed.record.term, runtime.newest_term):
            return False
        await self._open(runtime, closed, closed.record.primary, term)
        return True

    # Planned changes and changes started by other hosts ----------------------------------------

    async def _replace_leaving(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        runtime = self._services[service]
        if not await self._defer_to_higher_ranks(leadership, service, PLANNED_RANK_DELAY):
            return
        backend = runtime.backends.get(leadership.record.primary)
        if backend is not None:
            # The primary keeps serving until the permits of silent hosts have expired. Closing the
            # record first would stop writes for that time.
            has_majority = await self._fencer.await_silent_permits(
                runtime.leaving_deadline(backend)
            )
            if not has_majority and not self._is_replacement_overdue(service, leadership):
                return
        if self._fleet.permits.leadership(service) != leadership:
            return
        if not await self._await_successor(runtime, leadership):
            await self._replace_failed(runtime, leadership)
            return
        closed = await self._close(runtime, leadership, is_planned=True)
        runtime.set_primary_state(PrimaryState.CHANGING)
        await self._fence_completely(runtime, closed)
        closed, held = await self._require_old_log(runtime, closed, may_reopen=True)
        await self._promote_and_open(runtime, closed, held)

    async def _await_successor(
        self, runtime: ServiceRuntime, leadership: VersionedLeadership
    ) -> bool:
        """Wait until a successor keeps up with the leaving primary, which serves meanwhile.

        Return True at the latest when the primary gets no new work any more, and False if it has
        failed. Raise ``PrimaryChangeCancelledError`` if it is not to be replaced now.
        """
        primary = leadership.record.primary
        while True:
            successor, ended_term = await choose_successor(
                runtime, leadership.record, self._clock, is_planned=True
            )
            backend = runtime.backends.get(primary)
            if backend is None:
                return True
            deadline = runtime.leaving_deadline(backend)
            is_usable = runtime.primary_state is PrimaryState.USABLE
            comparison = await wait_for_catch_up(
                runtime,
                primary,
                successor,
                ended_term,
                self._clock,
                deadline if is_usable else self._fleet.now(),
                is_serving=True,
            )
            if self._fleet.permits.leadership(runtime.name) != leadership:
                raise PrimaryChangeCancelledError("another host wrote the leadership record first")
            if backend.leaving_since is None:
                raise PrimaryChangeCancelledError("the primary is no longer leaving")
            match comparison.state:
                case CatchUp.COMPLETE | CatchUp.PRIMARY_GONE | CatchUp.PRIMARY_REPLACED:
                    return True
                case CatchUp.PRIMARY_SILENT:
                    verdict = await check_primary(runtime, self._peers, primary)
                    self._apply_verdict(runtime, primary, verdict, "no answer to a status query")
                    if verdict in (PrimaryVerdict.FAILED, PrimaryVerdict.LOST_LEAD):
                        return False
                    if verdict is PrimaryVerdict.REACHED_BY_OTHERS:
                        # Each check opens connections of all hosts to a primary that serves.
                        await asyncio.sleep(FENCING_POLL_INTERVAL.total_seconds())
                case CatchUp.BEHIND:
                    runtime.set_primary_state(PrimaryState.USABLE)
            if self._fleet.now() >= deadline:
                return True
            await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())

    async def _require_old_log(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        *,
        held: LogPosition | None = None,
        passed_over: BackendId | None = None,
        ordered_until: Instant | None = None,
        may_reopen: bool = False,
    ) -> tuple[VersionedLeadership, LogPosition | None]:
        """Return a closed record whose candidate holds the log of the old primary, and its end.

        ``held`` is that end as far as it is known. While the old primary answers, wait for such a
        candidate until it should have ended; open it again while it may serve, if ``may_reopen``.
        The candidate is kept while an order for it may take effect, until ``ordered_until``.
        """
        primary, started = closed.record.primary, self._fleet.now()
        verdict: PrimaryVerdict | None = None
        while True:
            backend = runtime.backends.get(primary)
            give_up_at = started if backend is None else self._give_up_at(runtime, closed, started)
            comparison = await wait_for_catch_up(
                runtime,
                primary,
                closed.record.candidate,
                closed.record.term,
                self._clock,
                give_up_at,
            )
            held = comparison.held or held
            if comparison.state is CatchUp.COMPLETE:
                return closed, held
            if self._fleet.permits.is_superseded(runtime.name, closed.revision):
                raise PrimaryChangeCancelledError("another host took over the primary change")
            match comparison.state:
                case CatchUp.PRIMARY_REPLACED | CatchUp.PRIMARY_GONE:
                    has_ended = True
                case CatchUp.PRIMARY_SILENT if backend is None:
                    has_ended = True
                case CatchUp.PRIMARY_SILENT if verdict is PrimaryVerdict.RUNNING:
                    # It accepts connections, so it hangs, or answers are lost on the way here.
                    verdict = await check_unresponsive(runtime, self._peers, backend)
                    has_ended = verdict is PrimaryVerdict.FAILED
                case CatchUp.PRIMARY_SILENT:
                    verdict = await check_primary(runtime, self._peers, primary)
                    has_ended = verdict is PrimaryVerdict.FAILED
                case _:
                    verdict, has_ended = None, False
            has_ended |= self._fleet.now() >= give_up_at
            if comparison.state is not CatchUp.PRIMARY_REPLACED and self._may_choose(
                runtime, closed, ordered_until
            ):
                closed = await self._close_for_holder(runtime, closed, held, passed_over, has_ended)
            may_serve = backend is not None and self._fleet.now() < runtime.leaving_deadline(
                backend
            )
            if has_ended:
                break
            if may_reopen and may_serve and await self._reopen_if_recovered(runtime, closed):
                raise PrimaryChangeCancelledError("no successor holds the log of the primary")
            await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())
        if runtime.sync_replicas:
            closed = await self._require_complete_log(runtime, closed, may_reopen and may_serve)
        return closed, held

    def _give_up_at(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, started: Instant
    ) -> Instant:
        """Return until when a change that waits from ``started`` on waits for the old log."""
        backend = runtime.backends[closed.record.primary]
        if closed.record.is_planned or backend.leaving_since is not None:
            return runtime.leaving_end(backend, started)
        return started + CATCH_UP_TIMEOUT

    def _may_choose(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, ordered_until: Instant | None
    ) -> bool:
        """Return whether no order for the candidate can take effect any more.

        A candidate that no host reaches may still be reached by the platform.
        """
        is_over = ordered_until is None or self._fleet.now() >= ordered_until
        return is_over or closed.record.candidate not in runtime.backends

    async def _close_for_holder(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        held: LogPosition | None,
        passed_over: BackendId | None,
        is_best_enough: bool,
    ) -> VersionedLeadership:
        """Return a closed record that names a server with the old primary's log, up to ``held``.

        One that leads in a new term comes first, as it ended that log. Without such a server return
        ``closed``, or one with the best if ``is_best_enough``.
        """
        candidate = closed.record.candidate
        try:
            chosen = await choose_successor(
                runtime,
                closed.record,
                self._clock,
                is_planned=True,
                passed_over=passed_over,
                preferred=candidate,
                held=held or runtime.newest_position_of(closed.record.primary),
            )
        except PrimaryChangeCancelledError:
            if is_best_enough:
                raise
            return closed
        if chosen[0] == candidate:
            return closed
        received = runtime.backends[chosen[0]].received_position
        holds_all = held is not None and received is not None and received >= held
        leads = chosen[1] < runtime.newest_term
        if not holds_all and not leads and not is_best_enough:
            return closed
        return await self._write_closed(runtime, closed, False, chosen)

    async def _take_over(self, service: ServiceName, leadership: VersionedLeadership) -> None:
        """Finish the primary change of another promoter, at first with the same candidate."""
        runtime = self._services[service]
        runtime.set_primary_state(PrimaryState.CHANGING)
        previous = leadership.record
        term = Term(max(previous.term, runtime.used_term))
        stopped = _formerly_stopped(previous)
        if not previous.is_planned:
            self._fleet.permits.stop_using(service, leadership.revision)
            stopped = self._stopped_hosts(previous)
        record = self._closed_record(
            previous, previous.candidate, previous.is_planned, term, stopped
        )
        closed = await self.store.write(service, record, leadership.revision)
        ordered_until = self._fleet.now() + PROMOTION_TIMEOUT
        _, status = await asyncio.gather(
            self._fence_completely(runtime, closed), self._query_status(runtime, previous.primary)
        )
        held = None
        led = None if status is None else status.leading_term
        if is_by_plan(runtime, previous) or (led is not None and led <= term):
            closed, held = await self._require_old_log(runtime, closed, ordered_until=ordered_until)
        elif runtime.sync_replicas:
            closed = await self._require_complete_log(runtime, closed)
        await self._promote_and_open(runtime, closed, held)

    # Store restored from an older copy -----------------------------------------------------------

    async def _confirm_record(self, service: ServiceName, unconfirmed: VersionedLeadership) -> None:
        """Replace a record that a restored store brought back by one of its new era.

        Such a record may name a former primary, so the servers themselves are asked who leads. The
        hosts that know the primary of the earlier era use it until they are asked to stop.
        """
        runtime = self._services[service]
        known = self._fleet.permits.leadership(service) or unconfirmed
        previous = max(
            known.record, unconfirmed.record, key=lambda record: (record.change, record.term)
        )
        if previous.promoter != self._identity.host:
            await asyncio.sleep((RANK_DELAY * self._rank(service)).total_seconds())
        if self._fleet.permits.unconfirmed(service) != unconfirmed:
            return
        leader = await find_leader(runtime, previous)
        if leader is not None:
            candidate, ended_term = leader, Term(max(0, runtime.newest_term - 1))
            previous = msgspec.structs.replace(previous, primary=leader)
        elif previous.phase is LeadershipPhase.CLOSED:
            # An order of its promoter may still take effect.
            candidate, ended_term = previous.candidate, Term(max(previous.term, runtime.used_term))
        else:
            any_server = msgspec.structs.replace(previous, primary=BackendId(""))
            candidate, ended_term = await choose_successor(runtime, any_server, self._clock)
        # Planned, so that open transactions may end and silent hosts are waited for.
        record = self._closed_record(previous, candidate, True, ended_term, {})
        closed = await self.store.write(service, record, unconfirmed.revision)
        ordered_until = self._fleet.now() + PROMOTION_TIMEOUT
        runtime.set_primary_state(PrimaryState.CHANGING)
        await self._fence_completely(runtime, closed)
        term = await self._query_usable_term(runtime, candidate)
        if term is not None and term > ended_term and term >= runtime.newest_term:
            await self._open(runtime, closed, candidate, term)
        else:
            held = None
            is_unfinished = leader is None and previous.phase is LeadershipPhase.CLOSED
            if is_unfinished and is_by_plan(runtime, previous):
                closed, held = await self._require_old_log(
                    runtime, closed, ordered_until=ordered_until
                )
            elif runtime.sync_replicas:
                closed = await self._require_complete_log(runtime, closed)
            await self._promote_and_open(runtime, closed, held)
        logger.info("leadership_confirmed", extra={"service": service, "backend": candidate})

    # Steps -------------------------------------------------------------------------------------

    async def _close(
        self,
        runtime: ServiceRuntime,
        leadership: VersionedLeadership,
        is_planned: bool,
        passed_over: BackendId | None = None,
        held: LogPosition | None = None,
    ) -> VersionedLeadership:
        candidate = leadership.record.candidate
        chosen = await choose_successor(
            runtime,
            leadership.record,
            self._clock,
            is_planned=is_planned,
            passed_over=passed_over,
            preferred=None if held is None or candidate == passed_over else candidate,
            held=held,
        )
        return await self._write_closed(runtime, leadership, is_planned, chosen)

    async def _write_closed(
        self,
        runtime: ServiceRuntime,
        leadership: VersionedLeadership,
        is_planned: bool,
        chosen: tuple[BackendId, Term],
    ) -> VersionedLeadership:
        """Write a closed record with a successor and the term above which it must lead."""
        record, (successor, ended_term) = leadership.record, chosen
        # While the store is silent nobody can replace the primary, which may come back meanwhile.
        if not is_planned and self._fleet.permits.has_fresh_proof(self._clock.now()):
            self._fleet.permits.stop_using(runtime.name, leadership.revision)
            stopped = self._stopped_hosts(record)
        else:
            stopped = _formerly_stopped(record)
        record = self._closed_record(record, successor, is_planned, ended_term, stopped)
        return await self.store.write(runtime.name, record, leadership.revision)

    def _closed_record(
        self,
        record: LeadershipRecord,
        successor: BackendId,
        is_planned: bool,
        ended_term: Term,
        stopped: dict[HostId, Incarnation | None],
    ) -> LeadershipRecord:
        return LeadershipRecord(
            record.primary,
            LeadershipPhase.CLOSED,
            record.change,
            self._identity.host,
            successor,
            is_planned,
            ended_term,
            tuple(stopped),
            {host: each for host, each in stopped.items() if each is not None},
        )

    def _stopped_hosts(self, record: LeadershipRecord) -> dict[HostId, Incarnation | None]:
        """Return the hosts, this one included, that stopped using a primary for its change."""
        return _formerly_stopped(record) | {self._identity.host: self._identity.incarnation}

    async def _fence_completely(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> None:
        started = self._clock.now()
        fencing = await self._fencer.start(runtime, closed)
        while not fencing.is_complete(self._clock.now()):
            await self._fencer.poll(runtime, closed, fencing)
        self._log_fenced(closed, fencing, runtime.name, started)

    def _log_fenced(
        self,
        closed: VersionedLeadership,
        fencing: Fencing,
        service: ServiceName,
        started: Instant,
    ) -> None:
        logger.info(
            "primary_fenced",
            extra={
                "service": service,
                "backend": closed.record.primary,
                "revision": closed.revision,
                "duration_ms": round(to_milliseconds(self._clock.now() - started)),
                "awaited": ",".join(fencing.awaited_hosts),
            },
        )

    async def _promote_and_open(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        held: LogPosition | None = None,
    ) -> None:
        """Promote a candidate, where the old log ends at ``held`` if that is known, and open it."""
        while True:
            next_promoter = self._next_promoter(runtime.name, closed.record)
            outcome = await self._promotion.run(
                runtime, closed, may_hand_over=next_promoter is not None
            )
            if not isinstance(outcome, PromotionFailure):
                break
            if outcome is PromotionFailure.UNREACHABLE:
                await self._hand_over(runtime.name, closed, next_promoter)
            has_no_effect = outcome is PromotionFailure.NO_EFFECT
            passed_over = closed.record.candidate if has_no_effect else None
            closed = await self._close(runtime, closed, False, passed_over, held)
            # Without an order the record was only too old, and the logs were compared before.
            if outcome is not PromotionFailure.NOT_ORDERED:
                closed, held = await self._require_old_log(
                    runtime, closed, held=held, passed_over=passed_over
                )
        self._report_given_up(runtime, closed, held)
        await self._open(runtime, closed, closed.record.candidate, outcome)
        self._metrics.failovers.inc()

    def _next_promoter(self, service: ServiceName, record: LeadershipRecord) -> HostId | None:
        """Return the host to which a change may be handed over, or None.

        Each host does so once in a change: nobody may reach the platform.
        """
        hosts = rank_members(service, [self._identity.host, *self._peers.table.active()])
        if len(hosts) == 1 or self._handed_over.get(service) == record.change:
            return None
        return HostId(hosts[(hosts.index(self._identity.host) + 1) % len(hosts)])

    async def _hand_over(
        self, service: ServiceName, closed: VersionedLeadership, promoter: HostId
    ) -> None:
        """Let another host finish a change, as this one can't connect to the platform.

        It reaches the others and renews the record through them, so nobody would take the change
        over.
        """
        self._handed_over[service] = closed.record.change
        record = msgspec.structs.replace(closed.record, promoter=promoter)
        await self.store.write(service, record, closed.revision)
        raise PrimaryChangeCancelledError(f"the platform is out of reach; {promoter} goes on")

    def _report_given_up(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, held: LogPosition | None
    ) -> None:
        """Log and count commits of the old primary that its successor, which leads, lacks.

        They are known from the end of the old log and from samples of its position.
        """
        successor = runtime.backends.get(closed.record.candidate)
        received = None if successor is None else successor.received_position
        known = [held, runtime.newest_position_of(closed.record.primary)]
        held = max((each for each in known if each is not None), default=None)
        if held is None or received is None or received.offset >= held.offset:
            return
        count = held.offset - received.offset
        logger.warning(
            "commits_given_up",
            extra={
                "service": runtime.name,
                "primary": closed.record.primary,
                "successor": closed.record.candidate,
                "received": str(received),
                "held": str(held),
                "count": count,
            },
        )
        self._metrics.commits_given_up.labels(runtime.name).inc(count)

    async def _open(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        primary: BackendId,
        term: Term,
    ) -> None:
        record = LeadershipRecord(
            primary, LeadershipPhase.OPEN, closed.record.change + 1, term=term
        )
        while True:
            try:
                await self.store.write(runtime.name, record, closed.revision)
                break
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership_not_opened", extra={"service": runtime.name, "reason": str(error)}
                )
        runtime.set_primary_state(PrimaryState.USABLE)
        logger.info(
            "primary_changed",
            extra={"service": runtime.name, "backend": primary, "term": term},
        )

    def close(self) -> None:
        """Cancel all primary changes and start no more."""
        self.is_stopping = True
        self._claim_checks.cancel()
        for task in self._tasks.values():
            task.cancel()


def _formerly_stopped(record: LeadershipRecord) -> dict[HostId, Incarnation | None]:
    """Return the hosts that stopped using a primary for the change that a record belongs to.

    The incarnation of one is None if an older version wrote the record.
    """
    if record.phase is not LeadershipPhase.CLOSED:
        return {}
    return {host: record.stopped_incarnations.get(host) for host in record.stopped}
