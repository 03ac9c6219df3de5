"""Run the transactions of a session, each pinned to one connection."""

from __future__ import annotations

import logging

from hickorywind.host.attempts import try_servers
from hickorywind.host.backendlink import BackendLink, LinkLostError, PreparedShape
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.targets import (
    RETRY_HINT_MS,
    encode_request,
    note_behind,
)
from hickorywind.ids import AccessMode, LogPosition
from hickorywind.ports.catalog import Route
from hickorywind.ports.replies import (
    BackendErrorKind,
    BackendResponse,
    ProxyFailure,
    RelayedResponse,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Request
from hickorywind.results import Result, ResultCode

logger = logging.getLogger(__name__)


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
        self._context = context
        self._grant: Grant | None = None
        self._on_primary = False
        self._has_written = False
        self._lost_result: Result | None = None

    @property
    def is_pinned(self) -> bool:
        """Tell whether the transaction holds a connection."""
        return self._grant is not None

    async def run(
        self, request: Request, mode: AccessMode | None, shape: PreparedShape | None
    ) -> Reply:
        """Run a read, a write or, with no mode, the commit."""
        if self._lost_result is not None:
            return self._fail(self._lost_result)
        if self._grant is None:
            refusal = await self._start()
            if refusal is not None:
                return self._fail(refusal)
            pinned = self._grant
        else:
            pinned = self._grant
            pinned.backend.load.limit.start(self.service.clock.now())
        if self._on_primary and not self.service.may_finish(pinned.backend):
            self.service.release_slot(pinned.backend)
            self.abandon()
            return self._fail(self._lost_result)
        return await self._relay(pinned, request, mode, shape)

    def _fail(self, result: Result) -> Reply:
        self.has_failed = True
        return ProxyFailure(result)

    async def _start(self) -> Result | None:
        return await try_servers(
            self.service,
            self.route,
            self._context,
            self.arrived,
            not self.read_only,
            self._begin,
        )

    async def _begin(self, grant: Grant, after: LogPosition | None) -> Result | None:
        backend, link = grant.backend, grant.link
        as_primary = after is None
        sent = self.service.clock.now()
        setup, count = link.plan_session(self._context.values, None)
        payload = setup + link.codec.encode_begin(self.read_only, after)
        try:
            answers = await link.exchange(payload, count + 1, self.route.statement_timeout)
        except LinkLostError as error:
            self.service.release_slot(backend)
            self.service.note_connection_failure(backend, error)
            return Result.not_run(
                ResultCode.BACKEND_UNREACHABLE, f"no transaction: {error}", RETRY_SOON_MS
            )
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
            return Result.not_run(ResultCode.REPLICA_BEHIND, reason, RETRY_HINT_MS)
        if answer.error is not None and answer.error.kind is BackendErrorKind.READ_ONLY:
            self.service.on_suspect(self.service.name, "the primary refuses transactions")
        reason = f"no transaction: {answer.error.text if answer.error else 'wrong state'}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_HINT_MS)

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
        answer = answers[-1]
        as_primary = self._on_primary and self.service.may_begin(backend)
        self.service.note_answer(backend, answer, sent, as_primary)
        if mode is None:
            return self._committed(backend, link, answer)
        self.has_failed = answer.state is not TransactionState.OPEN
        return RelayedResponse(answer)

    def _lost(self, mode: AccessMode | None, error: LinkLostError) -> Result:
        if mode is None and self._has_written:
            reason = f"the commit may have taken effect: {error}"
            return Result.unknown(ResultCode.CONNECTION_LOST, reason)
        reason = f"the transaction was rolled back: {error}"
        return Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_HINT_MS)

    def _committed(self, backend: Backend, link: BackendLink, answer: BackendResponse) -> Reply:
        may_finish = self.service.may_finish(backend)
        self._unpin()
        backend.links.give_back(link)
        if answer.is_ok and self._has_written:
            if not may_finish:
                reason = "the primary was replaced before the commit was answered"
                return ProxyFailure(Result.unknown(ResultCode.COMMIT_UNPROVEN, reason))
            self._context.raise_floor(answer.position)
        return RelayedResponse(answer)

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
        self._lost_result = Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_HINT_MS)
        pinned = self._unpin()
        if pinned is not None:
            pinned.link.close()
            self.service.place_waiting()

    async def expire(self) -> None:
        """Roll back after too long an idle time; the next statement is told."""
        reason = "the transaction was idle too long and was rolled back"
        await self.roll_back()
        self._lost_result = Result.not_run(ResultCode.TRANSACTION_IDLE_TIMEOUT, reason)
