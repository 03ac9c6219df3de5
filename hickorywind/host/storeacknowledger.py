"""Acknowledgement through the store that this host stopped using a primary.

The promoter may not get the direct acknowledgement of a host if messages between them are lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from hickorywind.failover.leadership import LeadershipPhase, VersionedLeadership
from hickorywind.host.fleet import Fleet
from hickorywind.ids import HostId, Revision, ServiceName
from hickorywind.util.tasks import BackgroundTasks

STORE_ACKNOWLEDGEMENT_DELAY = timedelta(seconds=3)  # most primary changes end sooner

StopUsingPrimary = Callable[[ServiceName, Revision, bool], Awaitable[None]]
RecordStopped = Callable[[ServiceName, Revision], Awaitable[None]]


class StoreAcknowledger:
    """Writer of acknowledgements for slow primary changes of other hosts."""

    def __init__(
        self,
        fleet: Fleet,
        own_host: HostId,
        stop_using_primary: StopUsingPrimary,
        record_stopped: RecordStopped,
    ) -> None:
        self._fleet = fleet
        self._own_host = own_host
        self._stop_using_primary = stop_using_primary
        self._record_stopped = record_stopped
        self._background = BackgroundTasks()

    def schedule(self, service: ServiceName) -> None:
        """Schedule an acknowledgement if another host has closed the record of a service."""
        leadership = self._fleet.permits.leadership(service)
        record = leadership.record
        if record.phase is LeadershipPhase.CLOSED and record.promoter != self._own_host:
            self._background.start(self._acknowledge_later(service, leadership))

    async def _acknowledge_later(self, service: ServiceName, closed: VersionedLeadership) -> None:
        # At once, as its promoter may not be able to ask this host.
        stopping = self._stop_using_primary(service, closed.revision, closed.record.is_planned)
        await asyncio.gather(stopping, asyncio.sleep(STORE_ACKNOWLEDGEMENT_DELAY.total_seconds()))
        if self._fleet.permits.leadership(service) == closed:
            await self._record_stopped(service, closed.revision)

    def close(self) -> None:
        """Cancel all scheduled acknowledgements."""
        self._background.cancel()
