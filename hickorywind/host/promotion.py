"""Choose the successor of a primary and have the platform promote it."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

from hickorywind.failover.leadership import Fencing, LeadershipRecord, VersionedLeadership
from hickorywind.host.backendconnection import ConnectionLostError, ConnectionRejectedError
from hickorywind.host.fencer import Fencer
from hickorywind.host.leadershipstore import STORE_PAUSE, LeadershipStore
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend
from hickorywind.ids import BackendId, HostId, InstanceRole
from hickorywind.ports.catalog import BackendState
from hickorywind.ports.coordination import FencingToken, Promoter, PromotionOutcome
from hickorywind.ports.replies import ServerStatus
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Clock

logger = logging.getLogger(__name__)

CATCH_UP_LIMIT = timedelta(milliseconds=1500)  # for the successor of a planned change
PROMOTION_LIMIT = timedelta(seconds=4)  # for one promotion to take effect
PROMOTION_POLL = timedelta(milliseconds=60)  # how often the successor is asked whether it leads
PROMOTION_RESEND = timedelta(milliseconds=1500)  # an order whose answer was lost is repeated
STATUS_ATTEMPTS = 2  # a busy server gives no status; the second try mostly finds a slot
STATUS_PAUSE = timedelta(milliseconds=50)  # between the tries


async def query_server(runtime: ServiceRuntime, backend: Backend) -> ServerStatus | None:
    """Ask a backend server for its status; None, with a log line, where it gives none."""
    for _ in range(STATUS_ATTEMPTS):
        try:
            answer = await runtime.query_status(backend)
        except (ConnectionLostError, ConnectionRejectedError) as error:
            logger.info(
                "status_missing", extra={"backend": backend.server.backend, "reason": str(error)}
            )
            return None
        status = backend.links.decode_status(answer)
        if status is not None:
            return status
        await asyncio.sleep(STATUS_PAUSE.total_seconds())
    return None


async def choose_successor(runtime: ServiceRuntime, old_primary: BackendId) -> BackendId | None:
    """Return the replica whose log is furthest, or None where none answers."""
    candidates = [
        backend
        for backend in runtime.backends.values()
        if backend.server.backend != old_primary and backend.server.state is BackendState.READY
    ]
    statuses = await asyncio.gather(*(query_server(runtime, each) for each in candidates))
    answered = [
        (status.received_position, -backend.load.distance, backend.server.backend)
        for backend, status in zip(candidates, statuses, strict=True)
        if status is not None
    ]
    return max(answered)[-1] if answered else None


async def await_catch_up(runtime: ServiceRuntime, record: LeadershipRecord, clock: Clock) -> None:
    """Wait until the successor has received all that the leaving primary committed."""
    until = clock.now() + CATCH_UP_LIMIT
    old = runtime.backends.get(record.primary)
    new = runtime.backends.get(record.candidate)
    while old is not None and new is not None and clock.now() < until:
        end = await query_server(runtime, old)
        held = await query_server(runtime, new)
        if end is None or (held is not None and held.received_position >= end.received_position):
            return
        await asyncio.sleep(PROMOTION_POLL.total_seconds())


class Promotion:
    """Order the promotion of the candidate of a closed record, and wait for its effect."""

    def __init__(
        self,
        promoter: Promoter,
        fencer: Fencer,
        store: LeadershipStore,
        own_host: HostId,
        clock: Clock,
    ) -> None:
        self._promoter = promoter
        self._fencer = fencer
        self._store = store
        self._own_host = own_host
        self._clock = clock

    async def run(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> bool:
        """Return whether the candidate leads; False where the record must be closed anew.

        Raise ``ChangeCancelledError`` where another host went on with the change.
        """
        record = closed.record
        until = self._clock.now() + PROMOTION_LIMIT
        order_at = self._clock.now()
        has_ordered = False
        while self._clock.now() < until:
            if self._clock.now() >= order_at:
                if not has_ordered and not self._store.has_turn(runtime.name, closed):
                    # Writing the record anew proves the turn by one call, and for long.
                    return False
                outcome = await self._order(runtime, closed)
                if outcome is PromotionOutcome.NOT_RUNNING:
                    return False
                has_ordered = True
                pause = STORE_PAUSE if outcome is None else PROMOTION_RESEND
                order_at = self._clock.now() + pause
            backend = runtime.backends.get(record.candidate)
            if backend is None:
                return False
            status = await query_server(runtime, backend)
            if fencing.is_primary_gone:
                # Seen again before the promotion took effect, it may be in use by silent hosts.
                fencing.is_primary_gone = await self._fencer.is_gone(runtime, record.primary)
            if status is not None and status.role is InstanceRole.PRIMARY:
                return True
            await asyncio.sleep(PROMOTION_POLL.total_seconds())
        return False

    async def _order(
        self, runtime: ServiceRuntime, closed: VersionedLeadership
    ) -> PromotionOutcome | None:
        """Send the order; None where another host may have sent one by now."""
        candidate = closed.record.candidate
        token = FencingToken(closed.revision)
        try:
            await self._store.confirm_turn(runtime.name, closed)
        except StoreUnavailableError as error:
            # An order after another host's would carry a token lower than that one's.
            logger.warning(
                "promotion_not_ordered", extra={"service": runtime.name, "reason": str(error)}
            )
            return None
        outcome = await self._promoter.promote(runtime.name, candidate, self._own_host, token)
        logger.info(
            "promotion_ordered",
            extra={
                "service": runtime.name,
                "backend": candidate,
                "fence": token,
                "outcome": outcome,
            },
        )
        return outcome
