"""Run a single statement of a session at a backend server."""

from __future__ import annotations

from hickorywind.host.attempts import try_servers
from hickorywind.host.backendlink import LinkLostError, PreparedShape
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.targets import (
    RETRY_HINT_MS,
    encode_request,
    note_behind,
)
from hickorywind.ids import AccessMode, BackendId, LogPosition
from hickorywind.ports.catalog import Route
from hickorywind.ports.replies import (
    NOT_RUN_ERROR_KINDS,
    BackendErrorKind,
    BackendResponse,
    ProxyFailure,
    RelayedResponse,
    Reply,
)
from hickorywind.ports.statements import Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant


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
        outcome = await try_servers(
            self._service,
            self._route,
            self._context,
            self._arrived,
            self._mode is AccessMode.WRITE,
            self._attempt,
            lambda: self._excluded,
        )
        return ProxyFailure(outcome) if isinstance(outcome, Result) else outcome

    async def _attempt(self, grant: Grant, after: LogPosition | None) -> Reply | Result:
        backend, link = grant.backend, grant.link
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

    def _succeed(self, backend: Backend, answer: BackendResponse) -> Reply | Result:
        if self._mode is AccessMode.WRITE:
            if not self._service.may_finish(backend):
                reason = "the primary was replaced before the answer came"
                return Result.unknown(ResultCode.COMMIT_UNPROVEN, reason)
            self._context.raise_floor(answer.position)
        return RelayedResponse(answer)

    def _lost(self, backend: Backend, error: LinkLostError) -> Result:
        self._service.release_slot(backend)
        self._service.note_connection_failure(backend, error)
        if self._mode is AccessMode.WRITE:
            return Result.unknown(ResultCode.CONNECTION_LOST, f"the write may have run: {error}")
        self._exclude(backend)
        return Result.not_run(
            ResultCode.BACKEND_UNREACHABLE, f"the read failed: {error}", RETRY_SOON_MS
        )

    def _exclude(self, backend: Backend) -> None:
        # With every other server excluded a read would wait for nothing.
        if len(self._excluded) + 1 < len(self._service.backends):
            self._excluded |= {backend.server.backend}

    def _judge(
        self, backend: Backend, answer: BackendResponse, after: LogPosition | None
    ) -> Reply | Result:
        kind = answer.error.kind
        if kind not in NOT_RUN_ERROR_KINDS:
            return RelayedResponse(answer)
        now = self._service.clock.now()
        match kind:
            case BackendErrorKind.BEHIND if after is not None:
                note_behind(self._service, backend, self._context, after)
                reason = "the replica lacks the position that the read needs"
                return Result.not_run(ResultCode.REPLICA_BEHIND, reason, RETRY_HINT_MS)
            case BackendErrorKind.BUSY:
                backend.load.limit.refused(now)
            case BackendErrorKind.READ_ONLY:
                self._service.on_suspect(self._service.name, "the primary refuses writes")
            case _:
                self._exclude(backend)
        reason = f"the backend server refused: {answer.error.text}"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_HINT_MS)
