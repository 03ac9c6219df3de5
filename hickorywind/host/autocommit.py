"""Statements that run outside of transactions."""

from __future__ import annotations

from hickorywind.host.backendconnection import ConnectionLostError
from hickorywind.host.retries import run_with_retries
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, FailedRead, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.host.targets import (
    RETRY_AFTER_MS,
    encode_request,
    handle_missing_position,
    set_up_session,
)
from hickorywind.ids import AccessMode, BackendId, LogPosition
from hickorywind.ports.catalog import Route
from hickorywind.ports.replies import (
    NOT_RUN_ERROR_KINDS,
    Answer,
    BackendErrorKind,
    ProxyFailure,
    RelayedAnswer,
    Reply,
)
from hickorywind.ports.statements import Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant


class AutocommitStatement:
    """One statement outside of a transaction, retried where that is safe."""

    def __init__(
        self,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        request: Request,
        mode: AccessMode,
        template: StatementTemplate | None,
        arrived: Instant,
    ) -> None:
        self._service = service
        self._route = route
        self._context = context
        self._request = request
        self._mode = mode
        self._template = template
        self._arrived = arrived
        self._excluded: frozenset[BackendId] = frozenset()
        self._failed_answer: Answer | None = None  # of a read that a server ran and failed

    async def run(self) -> Reply:
        """Run the statement and return the reply to the caller."""
        if self._mode is AccessMode.READ and self._service.shares_reads:
            reply = await self._service.homes.run(
                self._service.name,
                self._route,
                self._context,
                self._request,
                self._template,
                self._arrived,
            )
            match reply:
                case None:
                    pass
                case FailedRead(backend, answer):
                    self._failed_answer = answer
                    self._exclude(backend)
                case _:
                    return reply
        outcome = await run_with_retries(
            self._service,
            self._route,
            self._context,
            self._arrived,
            self._mode is AccessMode.WRITE,
            self.attempt,
            lambda: self._excluded,
        )
        return self._make_reply(outcome)

    def _make_reply(self, outcome: Reply | Result) -> Reply:
        if not isinstance(outcome, Result):
            return outcome
        if self._failed_answer is not None:
            # A read that a server ran and failed must not be reported as not run.
            return RelayedAnswer(self._failed_answer)
        return ProxyFailure(outcome)

    async def run_once(self, grant: Grant, min_position: LogPosition | None) -> Reply:
        """Run the statement on a granted connection, without a retry elsewhere."""
        return self._make_reply(await self.attempt(grant, min_position))

    async def attempt(self, grant: Grant, min_position: LogPosition | None) -> Reply | Result:
        """Run the statement once on a granted connection; return a refusal if it did not run."""
        refusal = await set_up_session(
            self._service, self._route, grant, self._context, self._template
        )
        if refusal is not None:
            if min_position is not None:
                self._exclude(grant.backend.server.backend)
            return refusal
        backend, connection = grant.backend, grant.connection
        # Before the permit is checked, as the process may be suspended in between.
        sent = self._service.clock.now()
        is_position_sample = self._service.may_sample(backend, connection)
        payload = encode_request(connection, self._request, self._template, min_position)
        if self._mode is AccessMode.WRITE:
            self._service.add_primary_work(self)
        try:
            answers = await connection.exchange(
                payload, 1, self._route.statement_timeout, is_signed=True
            )
        except ConnectionLostError as error:
            return self._handle_connection_loss(grant, error)
        finally:
            self._service.remove_primary_work(self)
        self._service.release_answered_slot(grant, sent)
        answer = answers[-1]
        if self._mode is AccessMode.READ and min_position is None:
            self._service.log_former_read(backend, self._request.request_id, answer, sent)
        if min_position is not None and answer.lacks_position:
            self._service.record_answer(backend, answer, sent, is_position_sample)
            return await self._handle_missing_position(grant, min_position, answer)
        backend.connections.release(connection)
        self._service.record_answer(backend, answer, sent, is_position_sample)
        if answer.is_ok:
            return self._handle_success(backend, answer)
        return self._handle_error(backend, answer, min_position)

    def abandon(self) -> None:
        """Do nothing: a single statement can't be rolled back once it was sent.

        Its connection stays open, as a refusal by the server proves that it did not run.
        """

    def _handle_failed_read(
        self, backend: Backend, answer: Answer, min_position: LogPosition | None, now: Instant
    ) -> Reply | Result:
        """Let another server run a read that one has failed, unless only the primary may."""
        backend.load.record_failed_read(now)
        if min_position is None or self._failed_answer is not None:
            return RelayedAnswer(answer)
        self._failed_answer = answer
        self._exclude(backend.server.backend)
        reason = f"the backend server failed the read: {answer.error.text}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_SOON_MS)

    async def _handle_missing_position(
        self, grant: Grant, min_position: LogPosition, answer: Answer
    ) -> Result:
        refusal = await handle_missing_position(
            self._service, grant, self._context, min_position, answer.position
        )
        grant.backend.connections.release(grant.connection)
        if refusal.code is not ResultCode.REPLICA_BEHIND:
            self._exclude(grant.backend.server.backend)
        return refusal

    def _handle_success(self, backend: Backend, answer: Answer) -> Reply | Result:
        if self._mode is AccessMode.READ:
            backend.load.record_successful_read(self._service.clock.now())
        if self._mode is AccessMode.WRITE:
            if not self._service.may_finish_primary_work(backend):
                self._service.log_former_primary(backend, self._request.request_id, answer)
                reason = "the primary was replaced before the answer arrived"
                return Result.unknown(ResultCode.COMMIT_UNPROVEN, reason)
            self._context.raise_floor(answer.position)
        return RelayedAnswer(answer)

    def _handle_connection_loss(self, grant: Grant, error: ConnectionLostError) -> Result:
        self._service.release_unanswered_slot(grant)
        self._service.record_connection_failure(grant.backend, error)
        if self._mode is AccessMode.WRITE:
            return Result.unknown(ResultCode.CONNECTION_LOST, f"the write may have run: {error}")
        self._exclude(grant.backend.server.backend)
        return Result.not_run(
            ResultCode.BACKEND_UNREACHABLE, f"the read failed: {error}", RETRY_SOON_MS
        )

    def _exclude(self, backend: BackendId) -> None:
        # Keep one server: with all of them excluded, the read would wait in vain.
        if len(self._excluded) + 1 < len(self._service.backends):
            self._excluded |= {backend}

    def _handle_error(
        self, backend: Backend, answer: Answer, min_position: LogPosition | None
    ) -> Reply | Result:
        kind = answer.error.kind
        now = self._service.clock.now()
        if kind is BackendErrorKind.FAILED and self._mode is AccessMode.READ:
            return self._handle_failed_read(backend, answer, min_position, now)
        if kind not in NOT_RUN_ERROR_KINDS:
            return RelayedAnswer(answer)
        match kind:
            case BackendErrorKind.BUSY:
                backend.load.limit.record_refusal(now)
            case BackendErrorKind.READ_ONLY:
                self._service.suspect_primary(backend, "the primary refuses writes")
            case BackendErrorKind.UNKNOWN_STATEMENT:
                pass  # the connection's next setup prepares it
            case _:
                self._exclude(backend.server.backend)
        reason = f"the backend server refused: {answer.error.text}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)
