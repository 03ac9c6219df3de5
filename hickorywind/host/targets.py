"""Choose where a statement may run, and learn from answers that it could not run there."""

from __future__ import annotations

import logging

from hickorywind.admission.dispatch import AtPosition, OnPrimary, Target
from hickorywind.host.backendlink import BackendLink, LinkLostError, PreparedShape
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import RETRY_SOON_MS, Backend, Grant
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.ids import LogPosition
from hickorywind.ports.catalog import BoundedStalenessReads, PrimaryReads, ReadYourWrites, Route
from hickorywind.ports.statements import Execute, Request
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant, milliseconds

logger = logging.getLogger(__name__)

SAMPLE_REFRESH_SHARE = 0.5  # a sample older than this share of the bound is renewed
FRESHNESS_MARGIN = milliseconds(40)  # rounding of clocks and timers
RETRY_HINT_MS = 200  # another host or a little later


def choose_target(
    service: ServiceRuntime,
    route: Route,
    needs_primary: bool,
    floor: LogPosition | None,
    arrived: Instant,
) -> Target:
    """Choose where work that arrived at an instant may run."""
    if needs_primary:
        return OnPrimary()
    match route.read_policy:
        case PrimaryReads():
            return OnPrimary()
        case BoundedStalenessReads(max_staleness):
            own_floor = None
        case ReadYourWrites(max_staleness):
            own_floor = floor
    oldest = arrived - max_staleness + FRESHNESS_MARGIN
    position = service.samples.position_since(oldest)
    newest = service.samples.newest()
    refresh_after = max_staleness * SAMPLE_REFRESH_SHARE
    if newest is None or service.clock.now() - newest.taken > refresh_after:
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
        return Result.not_run(ResultCode.BACKEND_UNREACHABLE, f"no primary: {error}", RETRY_SOON_MS)
    if is_primary and service.may_begin(backend):
        return None
    service.release_slot(backend)
    backend.links.give_back(link)
    reason = "the primary is busy or changed"
    return Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, RETRY_HINT_MS)
