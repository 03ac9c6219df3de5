"""Reads that the home of a backend server runs for other hosts."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta

from hickorywind.admission.dispatch import AtPosition, OnPrimary, ServerState, Target
from hickorywind.host.autocommit import AutocommitStatement
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend, FailedRead, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.host.targets import check_primary, choose_target
from hickorywind.ids import AccessMode, BackendId, HostId, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.placement.readhomes import ReadHomes, ReportedLoads, choose_server
from hickorywind.ports.catalog import (
    AccountId,
    DatabaseName,
    PrimaryReads,
    PriorityRank,
    Route,
)
from hickorywind.ports.replies import (
    Answer,
    BackendError,
    BackendErrorKind,
    ProxyFailure,
    RelayedAnswer,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Access, Execute, Request
from hickorywind.protocol.messages import (
    LivenessQuery,
    LivenessReply,
    PositionQuery,
    PositionReply,
    PositionSample,
    SharedRead,
    SharedReadReply,
)
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds, to_milliseconds
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

MAX_HOMES_ASKED = 3  # for one read; then this host runs it on a connection of its own
# Without an answer for this time a home is asked whether it is alive; most reads take less.
SILENCE_CHECK_DELAY = timedelta(milliseconds=150)
SILENCE_CHECK_TIMEOUT = timedelta(milliseconds=150)  # two round trips between regions
# Of a position sample that a home gives to others: bounds the queries of its primary.
POSITION_MAX_AGE = timedelta(milliseconds=100)
# Reads that would wait longer at their server go to another one.
HOME_WAIT_LIMIT = timedelta(milliseconds=500)
_ANSWER_ALLOWANCE = timedelta(milliseconds=200)  # for the answer's way back after the read's time


class SharedReads:
    """Reads of this host that homes run, and reads that this host runs as a home."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        find_service: Callable[[ServiceName], ServiceRuntime | None],
        clock: Clock,
        rng: random.Random,
        metrics: HostMetrics,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._find_service = find_service
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._homes = ReadHomes()
        self._loads = ReportedLoads()
        self._background = BackgroundTasks()
        self._is_closed = False
        self._active: tuple[HostId, ...] | None = None

    def refresh(self) -> None:
        """Apply the hosts that are alive now."""
        table = self._peers.table
        active = table.active()
        if active is self._active:
            return
        self._active = active
        zones = {host: table.states[host].record.zone for host in active}
        self._homes.update(zones | {self._identity.host: self._identity.zone})

    def is_home_of(self, backend: Backend) -> bool:
        """Return whether this host is the home of a backend server."""
        server = backend.server
        home = self._homes.home_of(server.backend, server.zone, self._clock.now())
        return home == self._identity.host

    # Reads of this host's callers --------------------------------------------------------------

    async def run(
        self,
        service_name: ServiceName,
        route: Route,
        context: SessionContext,
        request: Request,
        template: StatementTemplate | None,
        arrived: Instant,
    ) -> Reply | FailedRead | None:
        """Run a read at the home of a server.

        Return None if this host has to run it itself, or ``FailedRead`` if a server has failed it
        before.
        """
        service = self._find_service(service_name)
        tried: frozenset[BackendId] = frozenset()
        failed: FailedRead | None = None
        while len(tried) < MAX_HOMES_ASKED and not context.has_disconnected:
            if self._is_closed:
                return failed
            target = choose_target(service, route, False, context.floor, arrived)
            now = self._clock.now()
            servers = service.eligible_servers(target, tried)
            server = choose_server(servers, service.primary, self._loads, now, self._rng)
            if server is None:
                return failed
            backend = service.backends[server.backend]
            home = self._homes.home_of(server.backend, backend.server.zone, now)
            if home is None or home == self._identity.host:
                return failed
            if not self._peers.ensure_connected(home):
                tried |= {server.backend}
                continue
            remaining = service.wait_deadline(route, arrived) - now
            if remaining <= timedelta(0):
                return failed
            server.start_lag_check(target, now)
            read = self._make_read(service, route, context, request, template, server, target)
            reply = await self._ask(home, remaining, read)
            if reply is None and not self._is_closed:
                self._homes.record_silence(home, self._clock.now())
                logger.info("read_home_silent", extra={"peer": home, "backend": server.backend})
            elif reply is not None:
                answer = self._accept(service, backend, target, reply, now)
                if answer is not None and not self._may_repeat(server, answer, target, failed, now):
                    return answer
                if answer is not None:
                    failed = FailedRead(server.backend, answer.answer)
            tried |= {server.backend}
        return failed

    def _may_repeat(
        self,
        server: ServerState,
        reply: RelayedAnswer,
        target: Target,
        failed: FailedRead | None,
        now: Instant,
    ) -> bool:
        """Return whether another server should run a read that this one has failed."""
        error = reply.answer.error
        if error is None:
            server.record_successful_read(now)
            return False
        if error.kind is not BackendErrorKind.FAILED:
            return False
        server.record_failed_read(now)
        return isinstance(target, AtPosition) and failed is None

    def _make_read(
        self,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        request: Request,
        template: StatementTemplate | None,
        server: ServerState,
        target: Target,
    ) -> Callable[[int, int], SharedRead]:
        arguments = request.statement.arguments if isinstance(request.statement, Execute) else ""

        def make(call: int, remaining_ms: int) -> SharedRead:
            return SharedRead(
                call,
                request.request_id,
                service.name,
                server.backend,
                context.account,
                route.rank,
                request.text if template is None else arguments,
                None if template is None else template.text,
                context.values,
                target.position if isinstance(target, AtPosition) else None,
                remaining_ms,
                int(to_milliseconds(route.statement_timeout)),
            )

        return make

    async def _ask(
        self, home: HostId, remaining: timedelta, make: Callable[[int, int], SharedRead]
    ) -> SharedReadReply | None:
        """Return a home's reply, or None once it is found not to answer."""
        remaining_ms = int(to_milliseconds(remaining))
        question = self._background.start(
            self._peers.call(
                home, lambda call: make(call, remaining_ms), remaining + _ANSWER_ALLOWANCE
            )
        )
        try:
            while True:
                await asyncio.wait((question,), timeout=SILENCE_CHECK_DELAY.total_seconds())
                if question.cancelled():
                    return None  # this host gives up what it still asks
                if question.done():
                    reply = question.result()
                    return reply if isinstance(reply, SharedReadReply) else None
                if not await self._is_alive(home):
                    return None
        finally:
            question.cancel()

    async def _is_alive(self, home: HostId) -> bool:
        """Return whether a home answers, or whether another read found it silent meanwhile."""
        if self._homes.is_suspected(home, self._clock.now()):
            return False
        reply = await self._peers.call(home, LivenessQuery, SILENCE_CHECK_TIMEOUT)
        return isinstance(reply, LivenessReply)

    def _accept(
        self,
        service: ServiceRuntime,
        backend: Backend,
        target: Target,
        reply: SharedReadReply,
        sent: Instant,
    ) -> RelayedAnswer | None:
        """Return the server's answer, or None if it did not run the read."""
        now = self._clock.now()
        self._loads.record(backend.server.backend, milliseconds(reply.expected_ms), now)
        if reply.refusal is not None:
            is_behind = reply.refusal.code is ResultCode.REPLICA_BEHIND
            is_replica = not service.may_start_primary_work(backend)
            if is_behind and is_replica and isinstance(target, AtPosition):
                backend.load.record_missing_position(target.position, now)
            return None
        error = None
        if reply.error_kind is not None:
            error = BackendError(BackendErrorKind(reply.error_kind), reply.error_text)
        answer = Answer(
            reply.rows, reply.completion_tag, error, TransactionState.IDLE, reply.position
        )
        is_primary = service.may_start_primary_work(backend)
        service.record_answer(backend, answer, sent, reply.is_from_primary and is_primary)
        self._metrics.shared_reads.labels("asked").inc()
        return RelayedAnswer(answer)

    async def fetch_position(self, service_name: ServiceName) -> bool:
        """Add a position sample that the home of the primary has; return whether it gave one."""
        service = self._find_service(service_name)
        backend = service.usable_primary_backend()
        if backend is None:
            return False
        server, sent = backend.server, self._clock.now()
        home = self._homes.home_of(server.backend, server.zone, sent)
        if home is None or home == self._identity.host:
            return False
        reply = await self._peers.call(
            home, lambda call: PositionQuery(call, service.name, server.backend)
        )
        if not isinstance(reply, PositionReply) or reply.sample is None:
            return False
        if service.may_start_primary_work(backend):
            taken_at = sent - milliseconds(reply.sample.age_ms)
            service.add_sample(taken_at, reply.sample.position)
        return True

    # Reads of other hosts ----------------------------------------------------------------------

    async def serve(self, read: SharedRead) -> SharedReadReply:
        """Run a read of another host at a backend server and return its answer or a refusal."""
        service = self._find_service(read.service)
        backend = None if service is None else service.backends.get(read.backend)
        if backend is None:
            reason = "this host does not know the backend server"
            return _refuse(read, Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason), 0)
        self._metrics.shared_reads.labels("served").inc()
        route = Route(
            DatabaseName(""),
            service.name,
            PrimaryReads(),
            milliseconds(read.timeout_ms),
            milliseconds(read.remaining_ms),
            PriorityRank(read.rank),
        )
        account = None if read.account is None else AccountId(read.account)
        context = SessionContext("", account, dict(read.values))
        reply = await self._run(service, backend, route, context, read)
        expected_ms = int(to_milliseconds(service.expected_read_duration(backend)))
        match reply:
            case RelayedAnswer(answer):
                is_from_primary = read.min_position is None
                error = answer.error
                return SharedReadReply(
                    read.call,
                    None,
                    answer.rows,
                    answer.completion_tag,
                    None if error is None else error.kind.value,
                    "" if error is None else error.text,
                    answer.position,
                    is_from_primary and service.may_start_primary_work(backend),
                    expected_ms,
                )
            case ProxyFailure(result):
                return _refuse(read, result, expected_ms)

    async def _run(
        self,
        service: ServiceRuntime,
        backend: Backend,
        route: Route,
        context: SessionContext,
        read: SharedRead,
    ) -> Reply:
        arrived = self._clock.now()
        target = OnPrimary() if read.min_position is None else AtPosition(read.min_position)
        others = frozenset(service.backends) - {read.backend}
        if not service.eligible_servers(target, others):
            return ProxyFailure(_ineligible_result(target, backend))
        wait_limit = min(HOME_WAIT_LIMIT, milliseconds(read.remaining_ms))
        grant = await service.acquire(route, target, arrived, context, others, wait_limit)
        if isinstance(grant, Result):
            return ProxyFailure(grant)
        with service.releasing_on_error(grant):
            return await self._run_granted(service, route, context, read, grant, arrived)

    async def _run_granted(
        self,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        read: SharedRead,
        grant: Grant,
        arrived: Instant,
    ) -> Reply:
        if read.min_position is None:
            refusal = await check_primary(service, grant)
            if refusal is not None:
                return ProxyFailure(refusal)
        if read.template is None:
            template, statement = None, Access(AccessMode.READ)
        else:
            template = StatementTemplate(AccessMode.READ, read.template)
            statement = Execute("", read.text)
        request = Request(read.request_id, statement, read.text)
        operation = AutocommitStatement(
            service, route, context, request, AccessMode.READ, template, arrived
        )
        return await operation.run_once(grant, read.min_position)

    async def serve_position(self, query: PositionQuery) -> PositionReply:
        """Return a sample of the primary's position that is younger than ``POSITION_MAX_AGE``."""
        service = self._find_service(query.service)
        if service is None or service.primary != query.primary:
            return PositionReply(query.call, None)
        newest = service.samples.newest()
        if newest is None or self._clock.now() > newest.taken_at + POSITION_MAX_AGE:
            await service.sample_position()
            newest = service.samples.newest()
        if newest is None or service.primary != query.primary:
            return PositionReply(query.call, None)
        age_ms = int(to_milliseconds(self._clock.now() - newest.taken_at)) + 1
        return PositionReply(query.call, PositionSample(service.name, newest.position, age_ms))

    def close(self) -> None:
        """End the questions under way and ask no more."""
        self._is_closed = True
        self._background.cancel()


def _ineligible_result(target: Target, backend: Backend) -> Result:
    if isinstance(target, OnPrimary):
        reason = "this host does not use the server as the primary"
        return Result.not_run(ResultCode.NO_PRIMARY, reason)
    if not backend.load.is_available:
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, "the server is not in use here")
    return Result.not_run(ResultCode.REPLICA_BEHIND, "the replica lacked the log position lately")


def _refuse(read: SharedRead, result: Result, expected_ms: int) -> SharedReadReply:
    return SharedReadReply(read.call, result, (), "", None, "", None, False, expected_ms)
