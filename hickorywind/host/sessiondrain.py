"""End of the sessions of a stopping host, by stages of its grace time."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Mapping
from datetime import timedelta

from hickorywind.host.service import DISPATCH_INTERVAL, ServiceRuntime
from hickorywind.host.session import Session
from hickorywind.host.stopstage import StopStage, make_shutdown_refusal
from hickorywind.ids import ServiceName
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

# Fractions of the grace time, counted from the signal.
NEW_WORK_FRACTION = 0.5  # after which new operations are refused
TRANSACTION_FRACTION = 0.7  # for open transactions to end
STATEMENT_FRACTION = 0.8  # after which running statements are given up
REPLY_FRACTION = 0.85  # until which callers may read the last replies and leave
# Also for a late event loop: the sessions' tasks have to write these replies.
MIN_REPLY_WAIT = timedelta(milliseconds=100)


class SessionDrain:
    """Stop of a host as its sessions see it.

    ``sessions`` and ``services`` are the host's own collections, which change meanwhile. A session
    ends with a notice on which its caller closes it; until then what the caller sends is answered.
    """

    def __init__(
        self,
        sessions: Collection[Session],
        services: Mapping[ServiceName, ServiceRuntime],
        clock: Clock,
        grace: timedelta,
    ) -> None:
        self.stage = StopStage.SERVING
        self._sessions = sessions
        self._services = services
        self._clock = clock
        self._grace = grace

    async def end_sessions(self, started: Instant) -> None:
        """Let sessions end until running statements have to be given up, and refuse what waits."""
        self._enter(StopStage.CLOSING_QUIET)
        while self._sessions and self._is_before(started, STATEMENT_FRACTION):
            if not self._is_before(started, NEW_WORK_FRACTION):
                self._refuse_new_work()
            if not self._is_before(started, TRANSACTION_FRACTION):
                self._end_idle_transactions()
            await asyncio.sleep(DISPATCH_INTERVAL.total_seconds())
        # A late event loop may have passed the time in which the loop does this.
        self._refuse_new_work()
        self._end_idle_transactions()
        logger.info("sessions_open_at_stop", extra={"count": len(self._sessions)})

    async def close_sessions(self, started: Instant) -> None:
        """Give callers time to read their last replies and leave, then close all connections."""
        until = max(started + self._grace * REPLY_FRACTION, self._clock.now() + MIN_REPLY_WAIT)
        while self._sessions and self._clock.now() < until:
            await asyncio.sleep(DISPATCH_INTERVAL.total_seconds())
        for session in list(self._sessions):
            session.close()

    def _is_before(self, started: Instant, fraction: float) -> bool:
        return self._clock.now() < started + self._grace * fraction

    def _enter(self, stage: StopStage) -> None:
        if stage is self.stage:
            return
        self.stage = stage
        for session in list(self._sessions):
            session.advance_stop(stage)

    def _refuse_new_work(self) -> None:
        self._enter(StopStage.REFUSING)
        for service in self._services.values():
            service.refuse_all(make_shutdown_refusal())

    def _end_idle_transactions(self) -> None:
        for session in list(self._sessions):
            session.end_idle_transaction()
