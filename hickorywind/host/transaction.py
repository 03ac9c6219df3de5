"""Transactions of a session, each pinned to one backend connection."""

from __future__ import annotations

import logging

from hickorywind.host.backendconnection import (
    BackendConnection,
    ConnectionLostError,
)
from hickorywind.host.retries import run_with_retries
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import SetupStep, StatementTemplate
from hickorywind.host.targets import (
    RETRY_AFTER_MS,
    encode_request,
    handle_missing_position,
    record_setup_refusal,
)
from hickorywind.ids import AccessMode, LogPosition
from hickorywind.ports.catalog import Route
from hickorywind.ports.replies import (
    Answer,
    BackendErrorKind,
    ProxyFailure,
    RelayedAnswer,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Request
from hickorywind.results import Result, ResultCode

logger = logging.getLogger(__name__)


class Transaction:
    """Transaction of a session.

    It begins on a backend server with its first statement and stays pinned to that connection.
    """

    def __init__(
        self, service: ServiceRuntime, route: Route, context: SessionContext, read_only: bool
    ) -> None:
        self.service = service
        self.route = route
        self.has_failed = False
        self.is_admitted = False  # by the quota of the caller's client account
        self.read_only = read_only
        self.arrived = service.clock.now()
        self._context = context
        self._grant: Grant | None = None
        self._runs_on_primary = False
        self._has_written = False
        self._is_committing = False
        self._setup_steps: list[SetupStep] = []  # since it began
        self._abort_result: Result | None = None

    @property
    def is_pinned(self) -> bool:
        """Whether the transaction holds a backend connection."""
        return self._grant is not None

    async def run(
        self, request: Request, mode: AccessMode | None, template: StatementTemplate | None
    ) -> Reply:
        """Run a read or a write, or commit if ``mode`` is None, and return the reply."""
        if self._abort_result is not None:
            return self._fail(self._abort_result)
        if self._grant is None:
            refusal = await self._acquire_connection(template)
            if refusal is not None:
                return self._fail(refusal)
            pinned = self._grant
        else:
            pinned = self._grant
            self.service.take_slot(pinned)
        with self.service.releasing_on_error(pinned):
            refusal = await self._set_up(pinned, template)
            if refusal is not None:
                return self._fail(refusal)
            if self._runs_on_primary and not self.service.may_finish_primary_work(pinned.backend):
                self.service.release_unanswered_slot(pinned)
                self.abandon()
                return self._fail(self._abort_result)
            return await self._relay(pinned, request, mode, template)

    def _fail(self, result: Result) -> Reply:
        self.has_failed = True
        return ProxyFailure(result)

    async def _acquire_connection(self, template: StatementTemplate | None) -> Result | None:
        async def begin(grant: Grant, min_position: LogPosition | None) -> Result | None:
            return await self._begin(grant, min_position, template)

        return await run_with_retries(
            self.service,
            self.route,
            self._context,
            self.arrived,
            not self.read_only,
            begin,
        )

    async def _begin(
        self,
        grant: Grant,
        min_position: LogPosition | None,
        template: StatementTemplate | None,
    ) -> Result | None:
        backend, connection = grant.backend, grant.connection
        # Operations that only the primary can run require no minimum log position.
        on_primary = min_position is None
        sent = self.service.clock.now()
        payload = connection.codec.encode_begin(self.read_only, min_position)
        try:
            refusal, answer = await connection.begin(
                self._context.values, template, payload, self.route.statement_timeout
            )
        except ConnectionLostError as error:
            self.service.release_unanswered_slot(grant)
            self.service.record_connection_failure(backend, error)
            return Result.not_run(
                ResultCode.BACKEND_UNREACHABLE, f"begin failed: {error}", RETRY_SOON_MS
            )
        is_position_sample = on_primary and self.service.may_sample(backend, connection)
        self.service.record_answer(backend, answer, sent, is_position_sample)
        if refusal is None and answer.is_ok and answer.state is TransactionState.OPEN:
            self._grant = grant
            self._runs_on_primary = on_primary
            if on_primary:
                self.service.add_primary_work(self)
            self.service.release_answered_slot(grant, sent)
            # The first statement takes a slot of its own.
            self.service.take_slot(grant)
            return None
        self.service.release_unanswered_slot(grant)
        if refusal is None and min_position is not None and answer.lacks_position:
            missing = await handle_missing_position(
                self.service, grant, self._context, min_position, answer.position
            )
            backend.connections.release(connection)
            return missing
        backend.connections.release(connection)
        if refusal is not None:
            record_setup_refusal(self.service, backend, refusal)
            reason = f"the backend server refused the session's setup: {refusal.text}"
            return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)
        if answer.error is not None and answer.error.kind is BackendErrorKind.READ_ONLY:
            self.service.suspect_primary(
                backend, "the primary answered BEGIN with a read-only error"
            )
        reason = f"begin failed: {answer.error.text if answer.error else 'unexpected state'}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)

    async def _set_up(self, pinned: Grant, template: StatementTemplate | None) -> Result | None:
        """Give the connection the session's values and statement; end the transaction on failure.

        The values may have changed since the transaction began.
        """
        connection, backend = pinned.connection, pinned.backend
        self._setup_steps += connection.session.plan(self._context.values, template)
        try:
            error = await connection.set_up(
                self._context.values, template, self.route.statement_timeout
            )
        except ConnectionLostError as lost:
            self.service.release_unanswered_slot(pinned)
            self.service.record_connection_failure(backend, lost)
            self._unpin()
            reason = f"the transaction was rolled back: {lost}"
            return Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_AFTER_MS)
        if error is None:
            return None
        self.service.release_unanswered_slot(pinned)
        record_setup_refusal(self.service, backend, error)
        reason = f"the backend server refused the session's setup: {error.text}"
        self.abort(Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_AFTER_MS))
        return self._abort_result

    async def _relay(
        self,
        pinned: Grant,
        request: Request,
        mode: AccessMode | None,
        template: StatementTemplate | None,
    ) -> Reply:
        connection, backend = pinned.connection, pinned.backend
        payload = encode_request(connection, request, template, None)
        sent = self.service.clock.now()
        self._has_written |= mode is AccessMode.WRITE
        self._is_committing = mode is None
        try:
            answers = await connection.exchange(
                payload, 1, self.route.statement_timeout, is_signed=True
            )
        except ConnectionLostError as error:
            self.service.release_unanswered_slot(pinned)
            self.service.record_connection_failure(backend, error)
            self._unpin()
            return self._fail(self._connection_lost_result(mode, error))
        self.service.release_answered_slot(pinned, sent)
        answer = answers[-1]
        is_position_sample = self._runs_on_primary and self.service.may_sample(backend, connection)
        self.service.record_answer(backend, answer, sent, is_position_sample)
        if mode is None:
            return self._complete_commit(request, backend, connection, answer)
        if mode is AccessMode.READ and self._runs_on_primary:
            self.service.log_former_read(backend, request.request_id, answer, sent)
        if answer.error is not None and answer.error.kind is BackendErrorKind.UNKNOWN_STATEMENT:
            reason = (
                "the backend server lost the prepared statement; the transaction was rolled back"
            )
            self.abort(Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_AFTER_MS))
            return self._fail(self._abort_result)
        self.has_failed = answer.state is not TransactionState.OPEN
        return RelayedAnswer(answer)

    def _connection_lost_result(
        self, mode: AccessMode | None, error: ConnectionLostError
    ) -> Result:
        if mode is None and self._has_written:
            reason = f"the commit may have taken effect: {error}"
            return Result.unknown(ResultCode.CONNECTION_LOST, reason)
        reason = f"the transaction was rolled back: {error}"
        return Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_AFTER_MS)

    def _complete_commit(
        self, request: Request, backend: Backend, connection: BackendConnection, answer: Answer
    ) -> Reply:
        may_finish = self.service.may_finish_primary_work(backend)
        self._unpin()
        if not answer.is_ok:
            connection.session.forget(self._setup_steps)
        backend.connections.release(connection)
        if answer.is_ok and self._has_written:
            if not may_finish:
                self.service.log_former_primary(backend, request.request_id, answer)
                reason = (
                    "this host lost its right to use the primary before the commit was answered"
                )
                return ProxyFailure(Result.unknown(ResultCode.COMMIT_UNPROVEN, reason))
            self._context.raise_floor(answer.position)
        return RelayedAnswer(answer)

    async def roll_back(self) -> None:
        """Roll the transaction back and return its connection to the pool."""
        pinned = self._unpin()
        if pinned is None:
            return
        pinned.connection.session.forget(self._setup_steps)
        try:
            await pinned.connection.exchange(
                pinned.connection.codec.encode_rollback(), 1, self.route.statement_timeout
            )
        except ConnectionLostError as error:
            logger.info(
                "rollback_not_answered",
                extra={"backend": pinned.backend.server.backend, "reason": str(error)},
            )
        pinned.backend.connections.release(pinned.connection)
        self.service.dispatch_waiting()

    def _unpin(self) -> Grant | None:
        pinned, self._grant = self._grant, None
        self.service.remove_primary_work(self)
        return pinned

    def abandon(self) -> None:
        """Roll back, as this host may no longer use the primary.

        A commit that was sent is left to its answer, as closing its connection may not prevent it.
        """
        if self._is_committing:
            return
        reason = "this host may no longer use the primary; the transaction was rolled back"
        self.abort(Result.not_run(ResultCode.TRANSACTION_LOST, reason, RETRY_AFTER_MS))

    def abort(self, result: Result) -> None:
        """Close the connection at once, which makes the backend server roll back.

        The reply to the caller's next statement is ``result``.
        """
        self._abort_result = result
        pinned = self._unpin()
        if pinned is not None:
            pinned.connection.close()
            self.service.dispatch_waiting()

    async def expire(self) -> None:
        """Roll back a transaction that was idle for too long.

        The reply to the caller's next statement reports it.
        """
        reason = "the transaction was idle too long and was rolled back"
        await self.roll_back()
        self._abort_result = Result.not_run(ResultCode.TRANSACTION_IDLE_TIMEOUT, reason)
