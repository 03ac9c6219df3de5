"""Run the single statements and transactions of a session at backend servers."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field

from hickorywind.admission.dispatch import AtPosition, OnPrimary, Target
from hickorywind.host.backendlink import BackendLink, LinkLostError, PreparedShape
from hickorywind.host.service import Backend, Grant, PrimaryState, ServiceRuntime
from hickorywind.ids import AccessMode, BackendId, LogPosition
from hickorywind.ports.catalog import BoundedReads, PrimaryReads, Route, SessionReads
from hickorywind.ports.replies import (
    NOT_RUN_KINDS,
    Answer,
    BackendErrorKind,
    Failed,
    Relayed,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Execute, Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant, milliseconds

logger = logging.getLogger(__name__)

ATTEMPTS = 4  # tries inside the proxy of what is proved not to have run, or only reads
SAMPLE_REFRESH_SHARE = 0.5  # a sample older than this share of the bound is renewed
FRESHNESS_MARGIN = milliseconds(40)  # rounding of clocks and timers
_RETRY_HINT_MS = 200


@dataclass
class SessionContext:
    """Hold what a session carries from statement to statement."""

    client: str
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, PreparedShape] = field(default_factory=dict)
    floor: LogPosition | None = None

    def raise_floor(self, position: LogPosition | None) -> None:
        """Remember a position that the session's reads must hold from now on."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position


def choose_target(
    service: ServiceRuntime, route: Route, floor: LogPosition | None, arrived: Instant
) -> Target:
    """Choose where a read that arrived at an instant may run."""
    match route.reads:
        case PrimaryReads():
            return OnPrimary()
        case BoundedReads(max_staleness):
            own_floor = None
        case SessionReads(max_staleness):
            own_floor = floor
    oldest = arrived - max_staleness + FRESHNESS_MARGIN
    position = service.samples.position_since(oldest)
    newest = service.samples.newest()
    refresh_after = max_staleness * SAMPLE_REFRESH_SHARE
    if newest is None or service.clock.now() - newest[0] > refresh_after:
        service.refresh_sample()
    if position is None:
        return OnPrimary()
    if own_floor is not None and own_floor > position:
        position = own_floor
    return AtPosition(position)


def encode_request(
    link: BackendLink, request: Request, shape: PreparedShape | None, after: LogPosition | None
) -> bytes:
    """Render a read or write for a connection."""
    match request.statement:
        case Execute(_, arguments):
            name = shape.link_name if shape is not None else ""
            return link.codec.encode_execute(request.request_id, name, arguments, after)
        case _:
            return link.codec.encode_statement(request.request_id, request.text, after)


class Operation:
    """Run one statement outside transactions, trying again where that is safe."""

    def __init__(
        self,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        request: Request,
        mode: AccessMode,
        shape: PreparedShape | None,
        arrived: Instant,
    ) -> None:
        self._service = service
        self._route = route
        self._context = context
        self._request = request
        self._mode = mode
        self._shape = shape
        self._arrived = arrived
        self._excluded: frozenset[BackendId] = frozenset()

    async def run(self) -> Reply:
        """Return the reply to the caller."""
        result = Result.not_run(ResultCode.NO_PRIMARY, "no attempt was made", _RETRY_HINT_MS)
        attempts = 0
        while attempts < ATTEMPTS:
            target = self._target()
            refusal = refuse_unreachable(self._service, target)
            if refusal is not None:
                return Failed(refusal)
            grant = await self._service.acquire(
                self._route, target, self._arrived, self._context.values, self._excluded
            )
            if isinstance(grant, Result):
                return Failed(grant)
            outcome = await self._attempt(grant, target)
            if not isinstance(outcome, Result):
                return outcome
            result = outcome
            if not result.retry_allowed:
                break
            # A replica that was behind is passed over next time, so this does not spin.
            attempts += result.code is not ResultCode.REPLICA_BEHIND
        return Failed(result)

    def _target(self) -> Target:
        if self._mode is AccessMode.WRITE:
            return OnPrimary()
        return choose_target(self._service, self._route, self._context.floor, self._arrived)

    async def _attempt(self, grant: Grant, target: Target) -> Reply | Result:
        backend, link = grant.backend, grant.link
        after = target.position if isinstance(target, AtPosition) else None
        if after is None:
            refusal = await check_primary(self._service, grant)
            if refusal is not None:
                return refusal
        as_primary = link.is_verified_primary and self._service.may_begin(backend)
        setup, count = link.plan_session(self._context.values, self._shape)
        payload = setup + encode_request(link, self._request, self._shape, after)
        sent = self._service.clock.now()
        if self._mode is AccessMode.WRITE:
            self._service.open_at_primary(self)
        try:
            answers = await link.exchange(payload, count + 1, self._route.statement_timeout)
        except LinkLostError as error:
            return self._lost(backend, error)
        finally:
            self._service.ended_at_primary(self)
        self._service.finish_slot(backend, sent)
        backend.links.give_back(link)
        answer = answers[-1]
        self._service.note_answer(backend, answer, sent, as_primary)
        if answer.is_ok:
            return self._succeed(backend, answer)
        return self._judge(backend, answer, after)

    def abandon(self) -> None:
        """Leave a single statement alone: it can't be rolled back once sent."""

    def _succeed(self, backend: Backend, answer: Answer) -> Reply | Result:
        if self._mode is AccessMode.WRITE:
            if not self._service.may_finish(backend):
                reason = "the primary was replaced before the answer came"
                return Result.unknown(ResultCode.COMMIT_UNPROVEN, reason)
            self._context.raise_floor(answer.position)
        return Relayed(answer)

    def _lost(self, backend: Backend, error: LinkLostError) -> Result:
        self._service.release_slot(backend)
        self._service.note_connection_failure(backend, error)
        if self._mode is AccessMode.WRITE:
            return Result.unknown(ResultCode.CONNECTION_LOST, f"the write may have run: {error}")
        self._exclude(backend)
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, f"the read failed: {error}", 50)

    def _exclude(self, backend: Backend) -> None:
        # With every other server excluded a read would wait for nothing.
        if len(self._excluded) + 1 < len(self._service.backends):
            self._excluded |= {backend.server.backend}

    def _judge(self, backend: Backend, answer: Answer, after: LogPosition | None) -> Reply | Result:
        kind = answer.error.kind
        if kind not in NOT_RUN_KINDS:
            return Relayed(answer)
        now = self._service.clock.now()
        match kind:
            case BackendErrorKind.BEHIND if after is not None:
                note_behind(self._service, backend, self._context, after)
                reason = "the replica lacks the position that the read needs"
                return Result.not_run(ResultCode.REPLICA_BEHIND, reason, _RETRY_HINT_MS)
            case BackendErrorKind.BUSY:
                backend.load.limit.refused(now)
            case BackendErrorKind.READ_ONLY:
                self._service.on_suspect(self._service.name, "the primary refuses writes")
            case _:
                self._exclude(backend)
        reason = f"the backend server refused: {answer.error.text}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, _RETRY_HINT_MS)


def note_behind(
    service: ServiceRuntime, backend: Backend, context: SessionContext, after: LogPosition
) -> None:
    """Learn that a backend server lacks a log position.

    Where even the primary lacks it, a change of primary rolled it back: it binds no read any more.
    """
    if service.may_begin(backend):
        context.floor = None
        service.samples.clear()
        logger.info("position_rolled_back", extra={"service": service.name, "position": str(after)})
        return
    backend.load.note_behind(after, service.clock.now())


async def check_primary(service: ServiceRuntime, grant: Grant) -> Result | None:
    """Return a refusal, and give the grant back, where it does not reach a usable primary."""
    backend, link = grant.backend, grant.link
    try:
        is_primary = await service.verify_primary(backend, link)
    except LinkLostError as error:
        service.release_slot(backend)
        service.note_connection_failure(backend, error)
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, f"no primary: {error}", 50)
    if is_primary and service.may_begin(backend):
        return None
    service.release_slot(backend)
    backend.links.give_back(link)
    reason = "the primary is busy or changed"
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, _RETRY_HINT_MS)


def refuse_unreachable(service: ServiceRuntime, target: Target) -> Result | None:
    """Refuse at once what needs a primary that only other hosts reach."""
    if isinstance(target, OnPrimary) and service.primary_state is PrimaryState.UNREACHABLE:
        reason = "this host does not reach the primary, others do"
        return Result.not_run(ResultCode.NO_PRIMARY, reason, _RETRY_HINT_MS)
    return None


class Transaction:
    """Hold a transaction and the connection that it is pinned to from its first statement on."""

    def __init__(
        self, service: ServiceRuntime, route: Route, context: SessionContext, read_only: bool
    ) -> None:
        self.service = service
        self.route = route
        self.has_failed = False
        self.read_only = read_only
        self.arrived = service.clock.now()
        self.last_used = self.arrived
        self._context = context
        self._grant: Grant | None = None
        self._on_primary = False
        self._has_written = False
        self._lost_result: Result | None = None

    @property
    def is_pinned(self) -> bool:
        """Tell whether the transaction holds a connection."""
        return self._grant is not None

    @property
    def uses_primary(self) -> bool:
        """Tell whether the transaction is open at the primary."""
        return self._grant is not None and self._on_primary

    async def run(
        self, request: Request, mode: AccessMode | None, shape: PreparedShape | None
    ) -> Reply:
        """Run a read, a write or, with no mode, the commit."""
        self.last_used = self.service.clock.now()
        if self._lost_result is not None:
            return self._fail(self._lost_result)
        if self._grant is None:
            refusal = await self._start()
            if refusal is not None:
                return self._fail(refusal)
            pinned = self._grant
        else:
            pinned = self._grant
            pinned.backend.load.limit.start(self.last_used)
        if self._on_primary and not self.service.may_finish(pinned.backend):
            self.service.release_slot(pinned.backend)
            self.abandon()
            return self._fail(self._lost_result)
        return await self._relay(pinned, request, mode, shape)

    def _fail(self, result: Result) -> Reply:
        self.has_failed = True
        return Failed(result)

    async def _start(self) -> Result | None:
        excluded: frozenset[BackendId] = frozenset()
        result = Result.not_run(ResultCode.NO_PRIMARY, "no attempt was made", _RETRY_HINT_MS)
        attempts = 0
        while attempts < ATTEMPTS:
            target = self._target()
            refusal = refuse_unreachable(self.service, target)
            if refusal is not None:
                return refusal
            grant = await self.service.acquire(
                self.route, target, self.arrived, self._context.values, excluded
            )
            if isinstance(grant, Result):
                return grant
            outcome = await self._begin(grant, target)
            if outcome is None:
                return None
            result = outcome
            attempts += result.code is not ResultCode.REPLICA_BEHIND
        return result

    def _target(self) -> Target:
        if not self.read_only:
            return OnPrimary()
        return choose_target(self.service, self.route, self._context.floor, self.arrived)

    async def _begin(self, grant: Grant, target: Target) -> Result | None:
        backend, link = grant.backend, grant.link
        after = target.position if isinstance(target, AtPosition) else None
        if after is None:
            refusal = await check_primary(self.service, grant)
            if refusal is not None:
                return refusal
        as_primary = after is None
        sent = self.service.clock.now()
        setup, count = link.plan_session(self._context.values, None)
        payload = setup + link.codec.encode_begin(self.read_only, after)
        try:
            answers = await link.exchange(payload, count + 1, self.route.statement_timeout)
        except LinkLostError as error:
            self.service.release_slot(backend)
            self.service.note_connection_failure(backend, error)
            return Result.not_run(ResultCode.BACKEND_UNREACHABLE, f"no transaction: {error}", 50)
        answer = answers[-1]
        sampled = as_primary and self.service.may_begin(backend)
        self.service.note_answer(backend, answer, sent, sampled)
        if answer.is_ok and answer.state is TransactionState.OPEN:
            self._grant = grant
            self._on_primary = as_primary
            if as_primary:
                self.service.open_at_primary(self)
            self.service.finish_slot(backend, sent)
            backend.load.limit.start(self.service.clock.now())
            return None
        self.service.release_slot(backend)
        backend.links.give_back(link)
        if answer.error is not None and answer.error.kind is BackendErrorKind.BEHIND and after:
            note_behind(self.service, backend, self._context, after)
            reason = "the replica lacks the position that the transaction needs"
            return Result.not_run(ResultCode.REPLICA_BEHIND, reason, _RETRY_HINT_MS)
        if answer.error is not None and answer.error.kind is BackendErrorKind.READ_ONLY:
            self.service.on_suspect(self.service.name, "the primary refuses transactions")
        reason = f"no transaction: {answer.error.text if answer.error else 'wrong state'}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, _RETRY_HINT_MS)

    async def _relay(
        self,
        pinned: Grant,
        request: Request,
        mode: AccessMode | None,
        shape: PreparedShape | None,
    ) -> Reply:
        link, backend = pinned.link, pinned.backend
        setup, count = link.plan_session(self._context.values, shape)
        payload = setup + encode_request(link, request, shape, None)
        sent = self.service.clock.now()
        self._has_written |= mode is AccessMode.WRITE
        try:
            answers = await link.exchange(payload, count + 1, self.route.statement_timeout)
        except LinkLostError as error:
            self.service.release_slot(backend)
            self.service.note_connection_failure(backend, error)
            self._unpin()
            return self._fail(self._lost(mode, error))
        self.service.finish_slot(backend, sent)
        self.last_used = self.service.clock.now()
        answer = answers[-1]
        as_primary = self._on_primary and self.service.may_begin(backend)
        self.service.note_answer(backend, answer, sent, as_primary)
        if mode is None:
            return self._committed(backend, link, answer)
        self.has_failed = answer.state is not TransactionState.OPEN
        return Relayed(answer)

    def _lost(self, mode: AccessMode | None, error: LinkLostError) -> Result:
        if mode is None and self._has_written:
            reason = f"the commit may have taken effect: {error}"
            return Result.unknown(ResultCode.CONNECTION_LOST, reason)
        reason = f"the transaction was rolled back: {error}"
        return Result.not_run(ResultCode.TRANSACTION_LOST, reason, _RETRY_HINT_MS)

    def _committed(self, backend: Backend, link: BackendLink, answer: Answer) -> Reply:
        may_finish = self.service.may_finish(backend)
        self._unpin()
        backend.links.give_back(link)
        if answer.is_ok and self._has_written:
            if not may_finish:
                reason = "the primary was replaced before the commit was answered"
                return Failed(Result.unknown(ResultCode.COMMIT_UNPROVEN, reason))
            self._context.raise_floor(answer.position)
        return Relayed(answer)

    async def roll_back(self) -> None:
        """End the transaction without keeping anything."""
        pinned = self._unpin()
        if pinned is None:
            return
        try:
            await pinned.link.exchange(
                pinned.link.codec.encode_rollback(), 1, self.route.statement_timeout
            )
        except LinkLostError as error:
            logger.info(
                "rollback_by_close",
                extra={"backend": pinned.backend.server.backend, "reason": str(error)},
            )
        pinned.backend.links.give_back(pinned.link)
        self.service.place_waiting()

    def _unpin(self) -> Grant | None:
        pinned, self._grant = self._grant, None
        self.service.ended_at_primary(self)
        return pinned

    def abandon(self) -> None:
        """Give the connection up at once; the backend server rolls back."""
        reason = "the primary is being replaced; the transaction was rolled back"
        self._lost_result = Result.not_run(ResultCode.TRANSACTION_LOST, reason, _RETRY_HINT_MS)
        pinned = self._unpin()
        if pinned is not None:
            pinned.link.close()
            self.service.place_waiting()

    async def expire(self) -> None:
        """Roll back after too long an idle time; the next statement is told."""
        reason = "the transaction was idle too long and was rolled back"
        await self.roll_back()
        self._lost_result = Result.not_run(ResultCode.TRANSACTION_IDLE_TIMEOUT, reason)
