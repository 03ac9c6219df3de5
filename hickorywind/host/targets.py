"""Choice of the servers on which a statement may run, and handling of unsuitable servers."""

from __future__ import annotations

import logging

from hickorywind.admission.dispatch import AtPosition, OnPrimary, Target
from hickorywind.host.backendconnection import (
    BackendConnection,
    ConnectionLostError,
)
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.ids import LogPosition
from hickorywind.ports.catalog import BoundedStalenessReads, PrimaryReads, ReadYourWrites, Route
from hickorywind.ports.replies import BackendError, BackendErrorKind
from hickorywind.ports.statements import Execute, Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant, milliseconds

logger = logging.getLogger(__name__)

SAMPLE_REFRESH_FRACTION = 0.5  # a sample older than this fraction of the bound is renewed
STALENESS_MARGIN = milliseconds(40)  # allows for the rounding of clocks and timers
RETRY_AFTER_MS = 200  # the caller retries at another host, or here a little later


def choose_target(
    service: ServiceRuntime,
    route: Route,
    needs_primary: bool,
    floor: LogPosition | None,
    arrived: Instant,
) -> Target:
    """Return the target for work that arrived at an instant.

    A read may run on every server that holds the log position of a recent enough sample and, on a
    read-your-writes route, the session's ``floor``. Without such a sample it needs the primary.
    """
    if needs_primary:
        return OnPrimary()
    match route.read_policy:
        case PrimaryReads():
            return OnPrimary()
        case BoundedStalenessReads(max_staleness):
            session_position = None
        case ReadYourWrites(max_staleness):
            session_position = floor
    oldest_allowed = arrived - max_staleness + STALENESS_MARGIN
    position = service.samples.position_since(oldest_allowed)
    newest = service.samples.newest()
    refresh_after = max_staleness * SAMPLE_REFRESH_FRACTION
    if newest is None or service.clock.now() - newest.taken_at > refresh_after:
        service.refresh_position_sample()
    if position is None:
        return OnPrimary()
    if session_position is not None and session_position > position:
        position = session_position
    return AtPosition(position)


def encode_request(
    connection: BackendConnection,
    request: Request,
    template: StatementTemplate | None,
    min_position: LogPosition | None,
) -> bytes:
    """Encode a read or write for a backend connection on which its statement is prepared."""
    match request.statement:
        case Execute(_, arguments):
            name = connection.session.names[template]
            return connection.codec.encode_execute(
                request.request_id, name, arguments, min_position
            )
        case _:
            return connection.codec.encode_statement(request.request_id, request.text, min_position)


async def handle_missing_position(
    service: ServiceRuntime,
    grant: Grant,
    context: SessionContext,
    min_position: LogPosition,
    held: LogPosition | None,
) -> Result:
    """Record that a granted server, whose log ends at ``held``, lacks a position; return a refusal.

    If even a verified primary lacks it, a primary change rolled it back. The position samples are
    then dropped, and the session's floor becomes ``held``, which covers what is left of its writes.
    """
    backend = grant.backend
    if not service.may_start_primary_work(backend):
        backend.load.record_missing_position(min_position, service.clock.now())
        reason = "the replica lacks the log position that the read requires"
        return Result.not_run(ResultCode.REPLICA_BEHIND, reason, RETRY_AFTER_MS)
    was_verified = service.is_verified_primary(backend, grant.connection)
    try:
        is_primary = await service.verify_primary(backend, grant.connection)
    except ConnectionLostError as error:
        service.record_connection_failure(backend, error)
        is_primary = False
    if not (is_primary and service.may_start_primary_work(backend)):
        reason = "the primary has not shown that it has applied its log"
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)
    if not was_verified:
        reason = "the server may have been a replica when it got the read"
        return Result.not_run(ResultCode.REPLICA_BEHIND, reason, RETRY_AFTER_MS)
    if context.floor is not None:
        context.floor = held
    service.samples.clear()
    logger.info(
        "position_rolled_back", extra={"service": service.name, "position": str(min_position)}
    )
    reason = "a change of primary rolled back the log position that the read requires"
    return Result.not_run(ResultCode.REPLICA_BEHIND, reason, RETRY_AFTER_MS)


async def check_primary(service: ServiceRuntime, grant: Grant) -> Result | None:
    """Check that a grant reaches a usable primary.

    If it does not, return a refusal and release the grant's slot and connection.
    """
    backend, connection = grant.backend, grant.connection
    try:
        is_primary = await service.verify_primary(backend, connection)
    except ConnectionLostError as error:
        service.release_unanswered_slot(grant)
        service.record_connection_failure(backend, error)
        return Result.not_run(
            ResultCode.BACKEND_UNREACHABLE, f"checking the primary failed: {error}", RETRY_SOON_MS
        )
    if is_primary and service.may_start_primary_work(backend):
        return None
    service.release_unanswered_slot(grant)
    backend.connections.release(connection)
    reason = "the server is no longer a usable primary"
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)


async def set_up_session(
    service: ServiceRuntime,
    route: Route,
    grant: Grant,
    context: SessionContext,
    template: StatementTemplate | None,
) -> Result | None:
    """Give a granted connection a session's values and statement before it runs anything.

    If that fails, return a refusal and release the grant's slot and connection.
    """
    backend, connection = grant.backend, grant.connection
    try:
        error = await connection.set_up(context.values, template, route.statement_timeout)
    except ConnectionLostError as lost:
        service.release_unanswered_slot(grant)
        service.record_connection_failure(backend, lost)
        return Result.not_run(
            ResultCode.BACKEND_UNREACHABLE, f"setting up the session failed: {lost}", RETRY_SOON_MS
        )
    # The setup takes a round trip, in which the caller may leave and the primary may change.
    if error is None and context.has_disconnected:
        reason = "the caller disconnected"
    elif error is not None:
        reason = f"the backend server refused the session's setup: {error.text}"
        record_setup_refusal(service, backend, error)
    elif grant.min_position is None and not service.may_start_primary_work(backend):
        reason = "the server is no longer a usable primary"
    else:
        return None
    service.release_unanswered_slot(grant)
    backend.connections.release(connection)
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_AFTER_MS)


def record_setup_refusal(service: ServiceRuntime, backend: Backend, error: BackendError) -> None:
    """Record what the refusal of a session's setup shows of a backend server."""
    match error.kind:
        case BackendErrorKind.BUSY:
            backend.load.limit.record_refusal(service.clock.now())
        case BackendErrorKind.READ_ONLY if backend.server.backend == service.recorded_primary():
            service.on_primary_suspected(service.name, "the primary refuses a session's setup")
