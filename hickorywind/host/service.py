"""One database service on this host: its backend servers, request queue and position samples."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging
import random
from collections.abc import Callable, Iterator
from datetime import timedelta
from functools import partial

from hickorywind.admission.dispatch import (
    Dispatcher,
    QueuedOperation,
    ServerState,
    Target,
)
from hickorywind.admission.retention import KEEP_LAST_SHARE, connection_limit
from hickorywind.failover.leadership import LeadershipPhase
from hickorywind.host.backendconnection import (
    BackendConnection,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.host.connectionpool import ConnectionPool
from hickorywind.host.fleet import MISSING_BACKEND_GRACE, Fleet
from hickorywind.host.servicestate import (
    RETRY_SOON_MS,
    Backend,
    BackendHomes,
    Grant,
    PrimaryState,
    PrimaryWork,
    ServiceView,
)
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sharedprobe import SharedProbe
from hickorywind.ids import AvailabilityZone, BackendId, LogPosition, ServiceName, Term
from hickorywind.placement.readhomes import HOME_CONNECTION_SHARE
from hickorywind.ports.catalog import BackendServer, BackendState, Route, Topology
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import Answer, BackendErrorKind, ServerStatus
from hickorywind.results import Result, ResultCode
from hickorywind.routing.samples import PositionSamples
from hickorywind.util.clock import Clock, Instant, to_milliseconds
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

# Bounds how long after its deadline a waiting operation is refused.
DISPATCH_INTERVAL = timedelta(milliseconds=20)
# While nothing waits or runs, so that a host at rest seldom wakes up.
IDLE_DISPATCH_INTERVAL = timedelta(milliseconds=100)
PRIMARY_CHANGE_TIMEOUT = timedelta(seconds=5)  # a primary change completes within this time
# Covers the wait for a busy slot and a round trip between regions.
STATUS_TIMEOUT = timedelta(milliseconds=700)
# Detects a failed idle primary soon enough to replace it within five seconds.
PRIMARY_IDLE_LIMIT = timedelta(seconds=1)
# Fraction of a leaving server's time in which it gets new work; a host may learn late that the
# server is leaving.
LEAVING_USE_FRACTION = 0.7
LEAVING_END_MARGIN = timedelta(seconds=2)  # a leaving server may end late
STALL_CHECK_INTERVAL = timedelta(milliseconds=500)  # between two checks of one stalled server
FIRST_PROBE_DELAY = timedelta(milliseconds=300)  # before a failed server is probed
TRANSACTION_DRAIN_TIMEOUT = timedelta(milliseconds=1200)  # well below the drain time limit
NOT_LEADING = "the primary answers as a replica or in an old term"
_CALLER_DISCONNECTED = Result.not_run(ResultCode.CANCELLED, "the caller disconnected")


class ServiceRuntime:
    """Backend servers, operation queue and position samples of one database service.

    ``on_primary_suspected`` is called with the service and a reason if the primary may have failed,
    ``on_connection_limit`` with a backend server that refused a connection at its limit.
    ``newest_term`` is the highest term seen in statuses and log positions of the backend servers,
    ``used_term`` the highest one in which this host found the usable primary to lead.
    """

    def __init__(
        self,
        name: ServiceName,
        fleet: Fleet,
        topology: Topology,
        zone: AvailabilityZone,
        make_codec: Callable[[], BackendCodec],
        clock: Clock,
        rng: random.Random,
        leaving_duration: timedelta,
    ) -> None:
        """Create a service without backend servers; ``refresh`` adds the known ones.

        ``zone`` is this host's zone; a leaving backend server keeps serving for
        ``leaving_duration``.
        """
        self.name = name
        self.fleet = fleet
        self.clock = clock
        self.backends: dict[BackendId, Backend] = {}
        self.samples = PositionSamples()
        self.newest_term = Term(0)
        self.used_term = Term(0)
        self.primary_state = PrimaryState.USABLE
        self.on_primary_suspected: Callable[[ServiceName, str], None] = lambda service, reason: None
        self.on_connection_limit: Callable[[ServiceRuntime, Backend], None] = (
            lambda service, backend: None
        )
        self.host_count = 1
        self.homes: BackendHomes | None = None
        self.shares_reads = False  # whether homes run the reads of all hosts
        self.topology = topology
        self._zone = zone
        self._make_codec = make_codec
        self._rng = rng
        self._dispatcher = Dispatcher(rng)
        self._sampling_task: asyncio.Task | None = None
        self._closed_result: Result | None = None
        self._background = BackgroundTasks()
        self._leaving_duration = leaving_duration
        self._created_at = clock.now()
        self._last_primary: BackendId | None = None
        self._primary_lost_at: Instant | None = None
        self._primary_work: set[PrimaryWork] = set()

    # Backend servers ---------------------------------------------------------------------------

    def refresh(self) -> None:
        """Apply the currently known backend servers, primary and connection limit."""
        current = {
            server.backend: server
            for server in self.fleet.backends.values()
            if server.service == self.name
        }
        for backend_id in list(self.backends):
            backend = self.backends[backend_id]
            new = current.get(backend_id)
            if new is None and self._is_unregistered_primary(backend):
                self._keep_leaving(backend)
            elif new is None or _was_restarted_or_moved(backend.server, new):
                self._remove_backend(backend_id)
        for server in current.values():
            self._update_backend(server)
        self.update_connection_limits()
        self.dispatch_waiting()

    def _is_unregistered_primary(self, backend: Backend) -> bool:
        """Return whether a server that is not registered may still be replaced by plan.

        The store may have lost its entry, or only its way to the store may be cut.
        """
        if backend.server.backend != self.recorded_primary():
            return False
        return self.clock.now() < self.leaving_end(backend, self.clock.now())

    def _keep_leaving(self, backend: Backend) -> None:
        """Treat a server as leaving since its entry went missing."""
        if backend.leaving_since is None:
            backend.leaving_since = self.clock.now() - MISSING_BACKEND_GRACE
        backend.server = dataclasses.replace(backend.server, state=BackendState.LEAVING)
        backend.connections.server = backend.server
        self._update_availability(backend)

    def _update_backend(self, server: BackendServer) -> None:
        backend = self.backends.get(server.backend)
        if backend is None:
            connections = ConnectionPool(server, self._make_codec, self.clock)
            distance = self.topology.distance(self._zone, server.zone)
            load = ServerState(server.backend, distance, server.slots)
            load.has_connection = connections.has_connection
            load.has_idle_connection = connections.has_idle_connection
            load.reserve_connection = connections.reserve
            connections.on_idle_connection_lost = partial(
                self._on_idle_connection_lost, server.backend
            )
            backend = self.backends[server.backend] = Backend(
                server,
                connections,
                load,
                SharedProbe(self.clock, connections.accepts_new_connection),
                SharedProbe(
                    self.clock, partial(connections.responds_to_new_connection, STATUS_TIMEOUT)
                ),
            )
            self._dispatcher.servers[server.backend] = load
        if server.state is BackendState.LEAVING and backend.leaving_since is None:
            backend.leaving_since = self.clock.now()
        elif server.state is BackendState.READY:
            backend.leaving_since = None
        backend.server = server
        backend.connections.server = server
        self._update_availability(backend)

    def _update_availability(self, backend: Backend) -> None:
        backend.load.is_available = backend.is_responsive and self._is_usable(backend)

    def _is_usable(self, backend: Backend) -> bool:
        """Return whether a server may get new work.

        A leaving server may only as the primary, until it is replaced or its leaving deadline.
        """
        if backend.leaving_since is None:
            return True
        is_primary = backend.server.backend == self.recorded_primary()
        return is_primary and self.clock.now() < self.leaving_deadline(backend)

    def record_leaving(self, backend_id: BackendId, since: Instant) -> None:
        """Record that another host has known a leaving server to leave since an instant."""
        backend = self.backends.get(backend_id)
        if backend is None or backend.leaving_since is None or backend.leaving_since <= since:
            return
        backend.leaving_since = since
        self._update_availability(backend)

    def leaving_deadline(self, backend: Backend) -> Instant:
        """Return the instant until which a leaving primary may get new work."""
        since = self.clock.now() if backend.leaving_since is None else backend.leaving_since
        return since + self._leaving_duration * LEAVING_USE_FRACTION

    def leaving_end(self, backend: Backend, since: Instant) -> Instant:
        """Return the instant at which a server that leaves should have ended, with a margin.

        One that is not known to leave counts as leaving from ``since``.
        """
        since = since if backend.leaving_since is None else backend.leaving_since
        return since + self._leaving_duration + LEAVING_END_MARGIN

    def _remove_backend(self, backend_id: BackendId) -> None:
        backend = self.backends.pop(backend_id)
        self._dispatcher.servers.pop(backend_id, None)
        backend.connections.close()

    def update_connection_limits(self) -> None:
        """Apply the configured limit, the number of hosts, and whose home this host is."""
        configuration = self.fleet.configuration
        limit = 0
        if configuration is not None:
            limit = configuration.connection_limits.get(self.name, 0)
        even_share = limit / max(1, self.host_count)
        self.shares_reads = self.homes is not None and 0 < even_share < KEEP_LAST_SHARE
        home_share = round(limit * HOME_CONNECTION_SHARE) if self.shares_reads else 0
        even_share = (limit - home_share) / max(1, self.host_count)
        own_limit = connection_limit(even_share, self.clock.now() - self._created_at)
        for backend in self.backends.values():
            is_home = self.shares_reads and self.homes.is_home_of(backend)
            connections = backend.connections
            connections.max_connections = max(own_limit, home_share) if is_home else own_limit
            connections.retention.even_share = even_share
            connections.retention.is_home = is_home

    def may_start_primary_work(self, backend: Backend) -> bool:
        """Return whether new work may start on a backend server as the primary."""
        return self.fleet.usable_primary(self.name) == backend.server.backend

    def may_finish_primary_work(self, backend: Backend) -> bool:
        """Return whether work that started on a backend server as the primary may complete."""
        return self.fleet.permits.may_finish(self.name, backend.server.backend, self.fleet.now())

    def suspect_primary(self, backend: Backend, reason: str) -> None:
        """Report a server that refuses writes, unless it is known to be no longer the primary."""
        if backend.server.backend == self.recorded_primary():
            self.on_primary_suspected(self.name, reason)

    def log_former_primary(self, backend: Backend, request_id: str, answer: Answer) -> None:
        """Log that a server which this host no longer uses as the primary has committed."""
        details = self._former_primary_details(backend, request_id, answer)
        logger.warning("former_primary_answered", extra=details)

    def log_former_read(
        self, backend: Backend, request_id: str, answer: Answer, sent: Instant
    ) -> None:
        """Log a read that was answered by a server which is no longer to be used as the primary."""
        if self.may_finish_primary_work(backend):
            return
        details = self._former_primary_details(backend, request_id, answer)
        duration_ms = round(to_milliseconds(self.clock.now() - sent))
        logger.info("former_primary_read", extra=details | {"duration_ms": duration_ms})

    def _former_primary_details(
        self, backend: Backend, request_id: str, answer: Answer
    ) -> dict[str, object]:
        leadership = self.fleet.permits.leadership(self.name)
        return {
            "service": self.name,
            "backend": backend.server.backend,
            "request_id": request_id,
            "position": None if answer.position is None else str(answer.position),
            "primary": self.recorded_primary(),
            "term": None if leadership is None else leadership.record.term,
        }

    def may_sample(self, backend: Backend, connection: BackendConnection) -> bool:
        """Return whether answers to work sent now on a connection are position samples."""
        return self.may_start_primary_work(backend) and self.is_verified_primary(
            backend, connection
        )

    def usable_primary_backend(self) -> Backend | None:
        """Return the primary, or None if this host may not use one now."""
        primary = self.fleet.usable_primary(self.name)
        return None if primary is None else self.backends.get(primary)

    @property
    def sync_replicas(self) -> int:
        """Number of replicas that have received a commit when the primary acknowledges it."""
        configuration = self.fleet.configuration
        return 0 if configuration is None else configuration.sync_replicas.get(self.name, 0)

    @property
    def is_busy(self) -> bool:
        """Whether an operation waits for a backend server or runs at one."""
        return self.waiting_count > 0 or any(
            backend.load.limit.in_flight for backend in self.backends.values()
        )

    @property
    def primary(self) -> BackendId | None:
        """Primary that this host may use now, or None."""
        return self.fleet.usable_primary(self.name)

    def eligible_servers(self, target: Target, excluded: frozenset[BackendId]) -> list[ServerState]:
        """Return the servers on which an operation may run, busy ones included."""
        self._update_primary()
        return self._dispatcher.eligible_servers(target, excluded, self.clock.now())

    def expected_read_duration(self, backend: Backend) -> timedelta:
        """Return how long the next read at a server is expected to take here."""
        return self._dispatcher.expected_duration(backend.server.backend)

    @property
    def waiting_count(self) -> int:
        """Number of operations that wait for a backend server."""
        return self._dispatcher.waiting_count

    # Operations --------------------------------------------------------------------------------

    def dispatch_waiting(self) -> None:
        """Start the waiting operations that can run now and refuse those that can't be served."""
        self._update_primary()
        reason = self._redirect_reason()
        if reason is not None:
            self._dispatcher.refuse_primary_operations(reason)
        self._dispatcher.dispatch_waiting(self.clock.now())

    def primary_work_refusal(self) -> Result | None:
        """Return the refusal for work on the primary, or None if this host may serve it.

        This host refuses such work while only other hosts can serve it.
        """
        reason = self._redirect_reason()
        return None if reason is None else self._dispatcher.build_other_host_refusal(reason)

    def _redirect_reason(self) -> str | None:
        if self.primary_state is PrimaryState.UNREACHABLE:
            return "this host can't reach the primary, other hosts can"
        if self.fleet.missing_permit_timer.has_expired(self.fleet.now()):
            return "this host holds no permit for primaries, others may"
        return None

    def _update_primary(self) -> None:
        primary = self.fleet.usable_primary(self.name)
        if primary is not None and primary != self._last_primary:
            self._last_primary = primary
            self.samples.clear()
        self._dispatcher.primary = primary
        absence = self.fleet.permits.absence(self.name, self.fleet.now())
        if absence is not None:
            self._dispatcher.primary_absence = absence
        if primary is not None:
            self._primary_lost_at = None
        elif self._primary_lost_at is None:
            self._primary_lost_at = self.clock.now()
            self._dispatcher.absence_deadline = self._primary_lost_at + PRIMARY_CHANGE_TIMEOUT

    def wait_deadline(self, route: Route, arrived: Instant) -> Instant:
        """Return the instant until which an operation may wait.

        Work for the primary may wait for a primary change to complete. The dispatcher refuses it
        ``PRIMARY_CHANGE_TIMEOUT`` after the primary was lost.
        """
        return arrived + max(route.latency_objective, PRIMARY_CHANGE_TIMEOUT)

    async def acquire(
        self,
        route: Route,
        target: Target,
        arrived: Instant,
        context: SessionContext,
        excluded: frozenset[BackendId] = frozenset(),
        wait_limit: timedelta = timedelta.max,
        retarget: Callable[[], Target] | None = None,
    ) -> Grant | Result:
        """Wait for a backend server and a connection; return a refusal if none is free in time.

        The wait ends after ``wait_limit`` or at the deadline of the route, whichever is sooner.
        ``retarget`` chooses the target of a read anew while it waits.
        """
        if self._closed_result is not None:
            return self._closed_result
        deadline = self.wait_deadline(route, arrived)
        deadline = arrived + min(deadline - arrived, wait_limit)
        while True:
            outcome = await self._wait_for_backend(
                route, target, arrived, deadline, context, excluded, retarget
            )
            if isinstance(outcome, Result):
                return outcome
            backend_id, target = outcome
            grant = await self._take_connection(backend_id, target, context)
            # The server is skipped for a while after a failure, so this loop does not busy-wait.
            if isinstance(grant, Grant) or self.clock.now() >= deadline:
                return grant

    async def _wait_for_backend(
        self,
        route: Route,
        target: Target,
        arrived: Instant,
        deadline: Instant,
        context: SessionContext,
        excluded: frozenset[BackendId],
        retarget: Callable[[], Target] | None,
    ) -> tuple[BackendId, Target] | Result:
        if self._closed_result is not None:
            return self._closed_result
        if context.has_disconnected:
            return _CALLER_DISCONNECTED
        future: asyncio.Future[BackendId | Result] = asyncio.get_running_loop().create_future()
        operation = QueuedOperation(
            rank=route.rank,
            start_by=arrived + route.latency_objective * 0.9,
            give_up_at=deadline,
            target=target,
            grant=lambda backend: _resolve(future, backend),
            refuse=lambda result: _resolve(future, result),
            excluded=excluded,
            account=context.account,
            retarget=retarget,
        )
        self._update_primary()
        self._dispatcher.submit(operation, self.clock.now())
        context.cancel_wait = partial(self._cancel_operation, operation)
        try:
            decision = await future
            return decision if isinstance(decision, Result) else (decision, operation.target)
        except asyncio.CancelledError:
            self._dispatcher.withdraw(operation)
            if future.done() and not future.cancelled() and not isinstance(future.result(), Result):
                self._cancel_grant(self.backends.get(future.result()))
            raise
        finally:
            context.cancel_wait = None

    def _cancel_operation(self, operation: QueuedOperation) -> None:
        self._dispatcher.withdraw(operation)
        operation.refuse(_CALLER_DISCONNECTED)

    def _cancel_grant(self, backend: Backend | None) -> None:
        if backend is not None:
            backend.connections.cancel_reservation()
            backend.load.limit.finish_without_answer()
        self.dispatch_waiting()

    async def _take_connection(
        self, backend_id: BackendId, target: Target, context: SessionContext
    ) -> Grant | Result:
        backend = self.backends.get(backend_id)
        if backend is None:
            return Result.not_run(
                ResultCode.BACKEND_UNREACHABLE, "the backend server was removed", RETRY_SOON_MS
            )
        started = self.clock.now()
        try:
            connection = await backend.connections.acquire_reserved(context.values, context.account)
        except BaseException as error:
            backend.load.limit.finish_without_answer()
            self.dispatch_waiting()
            if not isinstance(error, ConnectionLostError | ConnectionRejectedError):
                raise
            self.record_connection_failure(backend, error)
            return Result.not_run(
                ResultCode.BACKEND_UNREACHABLE,
                f"no connection to the backend server: {error}",
                RETRY_SOON_MS,
            )
        return Grant(backend, connection, started, target)

    @contextlib.contextmanager
    def releasing_on_error(self, grant: Grant) -> Iterator[None]:
        """Release what a grant still holds if an unexpected error leaves the block.

        What runs on its connection is not known then, so the connection is closed.
        """
        try:
            yield
        except BaseException:
            grant.backend.connections.discard(grant.connection)
            self.release_unanswered_slot(grant)
            raise

    def record_connection_failure(self, backend: Backend, error: Exception) -> None:
        """Record a failed connection and stop using the server; report a failing primary.

        A refusal at the server's connection limit is no failure.
        """
        refused = isinstance(error, ConnectionRejectedError)
        if refused and error.kind is BackendErrorKind.CONNECTION_LIMIT:
            self.on_connection_limit(self, backend)
            return
        self._mark_unavailable(backend)
        if backend.server.backend == self.recorded_primary():
            self.on_primary_suspected(self.name, "connecting failed")

    def _on_idle_connection_lost(self, backend_id: BackendId) -> None:
        """Report a primary whose idle connection ended.

        Without current work on the primary, nothing else would detect its failure.
        """
        if backend_id == self.recorded_primary():
            self.on_primary_suspected(self.name, "an idle connection ended")

    def _mark_unavailable(self, backend: Backend) -> None:
        """Stop using a server until it answers on a new connection."""
        if backend.is_responsive:
            backend.is_responsive = False
            self._update_availability(backend)
            self._background.start(self._probe_until_responsive(backend))

    async def _probe_until_responsive(self, backend: Backend) -> None:
        await asyncio.sleep(FIRST_PROBE_DELAY.total_seconds())
        while self.backends.get(backend.server.backend) is backend:
            if await backend.connections.responds_to_new_connection(STATUS_TIMEOUT):
                backend.record_answer(self.clock.now())
                self.mark_available(backend.server.backend)
                return
            await asyncio.sleep(STALL_CHECK_INTERVAL.total_seconds())

    def check_stalled_backends(self) -> None:
        """Check the backend servers whose statements get no answers."""
        now = self.clock.now()
        for backend in self.backends.values():
            if now >= backend.next_check and backend.load.limit.is_stalled(now):
                backend.next_check = now + STALL_CHECK_INTERVAL
                if backend.server.backend == self.recorded_primary():
                    self.on_primary_suspected(self.name, "no answers")
                else:
                    self._background.start(self._check_reachability(backend))

    async def _check_reachability(self, backend: Backend) -> None:
        if not await self.accepts_connections(backend):
            self.close_connections(backend, "no answers")

    async def accepts_connections(self, backend: Backend) -> bool:
        """Return whether a server accepts connections, or did so a moment ago."""
        return await backend.reach_probe.run(self.host_count)

    async def responds_to_new_connection(self, backend: Backend) -> bool:
        """Return whether a server answers on a new connection, or did so a moment ago."""
        return await backend.response_probe.run(self.host_count)

    def close_connections(self, backend: Backend, reason: str) -> None:
        """Close all connections to an unreachable server and stop using it."""
        logger.warning(
            "backend_unreachable",
            extra={"service": self.name, "backend": backend.server.backend, "reason": reason},
        )
        backend.connections.close_all()
        self._mark_unavailable(backend)

    def mark_available(self, backend_id: BackendId) -> None:
        """Allow new work on a backend server again, unless it is leaving."""
        backend = self.backends.get(backend_id)
        if backend is not None:
            backend.is_responsive = True
            self._update_availability(backend)
            self.dispatch_waiting()

    def refuse_all(self, result: Result) -> None:
        """Refuse all waiting operations and every later one."""
        self._closed_result = result
        self._dispatcher.refuse_all(result)

    def set_primary_state(self, state: PrimaryState) -> None:
        """Set and log the state of the primary, and dispatch the waiting operations."""
        if state is self.primary_state:
            return
        self.primary_state = state
        logger.info("primary_state", extra={"service": self.name, "state": state})
        self.dispatch_waiting()

    def current_view(self) -> ServiceView:
        """Return this host's current view of the service."""
        now = self.fleet.now()
        leadership = self.fleet.permits.leadership(self.name)
        newest = self.samples.newest()
        permit = self.fleet.permits.expires_at - now
        return ServiceView(
            self.fleet.usable_primary(self.name),
            self.primary_state,
            -1 if leadership is None else leadership.record.change,
            max(0, int(to_milliseconds(permit))),
            None if newest is None else int(to_milliseconds(now - newest.taken_at)),
            self.waiting_count,
        )

    def is_primary_healthy(self) -> bool:
        """Return whether no failure or change of the recorded primary is known."""
        backend = self.backends.get(self.recorded_primary())
        is_available = backend is None or backend.load.is_available
        return is_available and self.primary_state is PrimaryState.USABLE

    def recorded_primary(self) -> BackendId | None:
        """Return the primary named by the newest leadership record, whether usable or not."""
        leadership = self.fleet.permits.leadership(self.name)
        return None if leadership is None else leadership.record.primary

    def newest_position_of(self, primary: BackendId) -> LogPosition | None:
        """Return the newest position sampled at a primary, or None if this host has no sample."""
        newest = self.samples.newest() if primary == self._last_primary else None
        return None if newest is None else newest.position

    def leads_as_recorded(self, backend: Backend, term: Term | None) -> bool:
        """Return whether a server that leads in a term, or in none, may be used as the primary.

        A primary that was replaced and came back may call itself primary in its old term.
        """
        return term is not None and term >= self._recorded_term(backend.server.backend)

    def _recorded_term(self, backend: BackendId) -> Term:
        leadership = self.fleet.permits.leadership(self.name)
        if leadership is None or leadership.record.primary != backend:
            return Term(0)
        is_open = leadership.record.phase is LeadershipPhase.OPEN
        return leadership.record.term if is_open else Term(0)

    def is_verified_primary(self, backend: Backend, connection: BackendConnection) -> bool:
        """Return whether a connection is known to reach a primary of the recorded term."""
        return self.leads_as_recorded(backend, connection.primary_term)

    def take_slot(self, grant: Grant) -> None:
        """Take a slot for the next statement on a granted connection."""
        grant.holds_slot = True
        grant.backend.load.limit.start(self.clock.now())

    def release_unanswered_slot(self, grant: Grant) -> None:
        """Release the slot, if it is held, of a statement that got no answer or was not sent."""
        if grant.holds_slot:
            grant.holds_slot = False
            grant.backend.load.limit.finish_without_answer()
        self.dispatch_waiting()

    def release_answered_slot(self, grant: Grant, started: Instant) -> None:
        """Release the slot of an answered statement and record its duration."""
        now = self.clock.now()
        grant.holds_slot = False
        grant.backend.load.limit.finish(now - started, now)
        self.dispatch_waiting()

    def record_answer(
        self, backend: Backend, answer: Answer, sent: Instant, is_position_sample: bool
    ) -> None:
        """Record a server's answer, its log position and, from a primary, a position sample."""
        backend.record_answer(self.clock.now())
        if answer.position is None:
            return
        backend.load.record_position(answer.position)
        self.newest_term = max(self.newest_term, answer.position.term)
        if is_position_sample:
            self.add_sample(sent, answer.position)

    def add_sample(self, taken_at: Instant, position: LogPosition) -> None:
        """Add a position sample and start the waiting reads that it lets run at replicas."""
        if self.samples.add(taken_at, position) and self._dispatcher.retarget_reads():
            self.dispatch_waiting()

    # Planned primary changes --------------------------------------------------------------------

    def add_primary_work(self, transaction: PrimaryWork) -> None:
        """Register a transaction that is open on the primary."""
        self._primary_work.add(transaction)

    def remove_primary_work(self, transaction: PrimaryWork) -> None:
        """Unregister a transaction that is no longer open on the primary."""
        self._primary_work.discard(transaction)

    async def drain_primary_work(self) -> None:
        """Wait for the open transactions on the primary and abort those that take too long.

        Later ones are at its successor, or are refused once this host has stopped.
        """
        until = self.clock.now() + TRANSACTION_DRAIN_TIMEOUT
        transactions = set(self._primary_work)
        while transactions and self.clock.now() < until:
            await asyncio.sleep(DISPATCH_INTERVAL.total_seconds())
            transactions &= self._primary_work
        for transaction in transactions:
            transaction.abandon()

    # Position samples --------------------------------------------------------------------------

    def refresh_position_sample(self) -> None:
        """Query the primary's log position in the background, unless a query is running."""
        if self._sampling_task is None or self._sampling_task.done():
            self._sampling_task = asyncio.create_task(self._sample_primary())

    async def sample_position(self) -> None:
        """Query the primary's log position, or wait for a query that is running."""
        self.refresh_position_sample()
        await asyncio.wait((self._sampling_task,))

    def check_idle_primary(self) -> None:
        """Query a primary that has not answered lately; it may have failed unnoticed."""
        newest = self.samples.newest()
        if newest is None or self.clock.now() > newest.taken_at + PRIMARY_IDLE_LIMIT:
            self.refresh_position_sample()

    async def _sample_primary(self) -> None:
        if self.shares_reads and await self.homes.fetch_position(self.name):
            return
        backend = self.usable_primary_backend()
        if backend is None or not backend.connections.has_connection():
            return
        try:
            answer = await self.query_status(backend)
        except (ConnectionLostError, ConnectionRejectedError) as error:
            self.record_connection_failure(backend, error)
            return
        status = backend.connections.decode_status(answer)
        if status is not None and not self.leads_as_recorded(backend, status.leading_term):
            self.on_primary_suspected(self.name, NOT_LEADING)

    async def query_status(self, backend: Backend) -> Answer:
        """Return a backend server's answer to a status query.

        Raise ``ConnectionRejectedError`` or ``ConnectionLostError`` if it does not answer.
        """
        connection = await backend.connections.acquire_any()
        sent = self.clock.now()
        is_primary = self.fleet.usable_primary(self.name) == backend.server.backend
        answers = await connection.exchange(connection.codec.encode_status(), 1, STATUS_TIMEOUT)
        backend.connections.release(connection)
        status = backend.connections.decode_status(answers[0])
        self._record_status(backend, connection, status)
        is_primary = is_primary and self.is_verified_primary(backend, connection)
        self.record_answer(backend, answers[0], sent, is_primary)
        return answers[0]

    async def step_down(self, backend: Backend, term: Term) -> ServerStatus | None:
        """Order a backend server that leads in a term below ``term`` to become a replica.

        Return its status afterwards, or None if it gives none. Raise ``ConnectionRejectedError`` or
        ``ConnectionLostError`` if it does not answer.
        """
        connection = await backend.connections.acquire_any()
        payload = connection.codec.encode_step_down(term)
        answers = await connection.exchange(payload, 1, STATUS_TIMEOUT)
        connection.primary_term = None
        backend.connections.release(connection)
        status = backend.connections.decode_status(answers[0])
        if status is not None and status.leading_term is not None:
            # That of a replica may be the order's, in which nobody need lead.
            self.newest_term = max(self.newest_term, status.leading_term)
        return status

    def _record_status(
        self, backend: Backend, connection: BackendConnection, status: ServerStatus | None
    ) -> None:
        if status is None:
            return  # refused, which says nothing about who leads
        connection.primary_term = None
        backend.received_position = status.received_position
        if status.has_applied_log:
            connection.primary_term = status.leading_term
        self.newest_term = max(self.newest_term, status.received_position.term)
        # One that was told to step down may show the order's term, in which nobody need lead.
        if status.leading_term is not None or backend.server.backend != self.recorded_primary():
            self.newest_term = max(self.newest_term, status.term)
        is_used = self.fleet.usable_primary(self.name) == backend.server.backend
        if is_used and self.is_verified_primary(backend, connection):
            self.used_term = max(self.used_term, status.term)

    async def verify_primary(self, backend: Backend, connection: BackendConnection) -> bool:
        """Return whether a connection reaches a primary of the recorded term.

        It is checked once for each connection and term, as a restarted server may have become a
        replica, may call itself primary in a term that has ended, or may not have applied its log.
        Raise ``ConnectionLostError`` if the server does not answer.
        """
        if self.is_verified_primary(backend, connection):
            return True
        answers = await connection.exchange(connection.codec.encode_status(), 1, STATUS_TIMEOUT)
        status = backend.connections.decode_status(answers[0])
        self._record_status(backend, connection, status)
        if status is not None and not self.leads_as_recorded(backend, status.leading_term):
            self.on_primary_suspected(self.name, NOT_LEADING)
        return self.is_verified_primary(backend, connection)

    def close_scarce_connections(self) -> None:
        """Close idle connections to servers that have too few for all hosts."""
        for backend in self.backends.values():
            if backend.connections.retention.is_scarce:
                backend.connections.close_idle()

    def close_idle_connections(self) -> None:
        """Close idle connections and stop using servers whose leaving deadline has passed."""
        for backend in self.backends.values():
            backend.connections.close_idle()
            self._update_availability(backend)

    def close(self) -> None:
        """Close every connection and stop the background checks of the servers."""
        self._background.cancel()
        for backend in self.backends.values():
            backend.connections.abort()


def _resolve(future: asyncio.Future, value: BackendId | Result) -> None:
    if not future.done():
        future.set_result(value)


def _was_restarted_or_moved(old: BackendServer, new: BackendServer) -> bool:
    return old.started_at_ms != new.started_at_ms or old.address != new.address
