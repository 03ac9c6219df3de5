"""End the permits and registrations of silent hosts before a primary fails too."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

from hickorywind.failover.leadership import Fencing, HostFencingState, HostRecord, decode_host
from hickorywind.host.fencer import FENCE_POLL
from hickorywind.host.fleet import HOSTS_PREFIX, Fleet
from hickorywind.host.leadershipstore import LeadershipStore
from hickorywind.host.peers import Peers
from hickorywind.ids import HostId
from hickorywind.ports.coordination import Condition, CoordinationStore
from hickorywind.store.interface import StoredValue, StoreUnavailableError
from hickorywind.util.sockets import REACH_TIMEOUT, is_process_gone

logger = logging.getLogger(__name__)

SILENT_AGAIN = timedelta(seconds=15)  # a host that came back and fell silent again


class SilentHosts:
    """Fence the hosts that do not answer, unless this host may be the one that is cut off."""

    def __init__(
        self, fleet: Fleet, coordinator: CoordinationStore, store: LeadershipStore, peers: Peers
    ) -> None:
        self._fleet = fleet
        self._coordinator = coordinator
        self._store = store
        self._peers = peers
        self._task: asyncio.Task | None = None
        self._done_until: dict[tuple[HostId, int], timedelta] = {}

    def look(self, is_first_in_rank: bool) -> None:
        """Begin to fence the hosts that are silent now, in the background."""
        if self._task is not None and not self._task.done():
            return
        now = self._fleet.now()
        silent = {
            record.host: record.incarnation
            for record in self._peers.silent()
            if self._done_until.get((record.host, record.incarnation), timedelta(0)) < now
        }
        if len(silent) * 2 > self._peers.expected():
            return
        if silent and is_first_in_rank:
            self._task = asyncio.create_task(self._end_all(silent))

    async def _end_all(self, silent: dict[HostId, int]) -> None:
        try:
            snapshot = await self._coordinator.read_range(HOSTS_PREFIX)
            await asyncio.gather(
                *(
                    self._end_host(item, record)
                    for item in snapshot.items
                    if (record := _silent_record(item, silent)) is not None
                )
            )
        except StoreUnavailableError as error:
            logger.info("silent_hosts_kept", extra={"reason": str(error)})
            return
        again = self._fleet.now() + SILENT_AGAIN
        self._done_until |= {key: again for key in silent.items()}

    async def _end_host(self, item: StoredValue, record: HostRecord) -> None:
        """End a host's lease and, once its permit has run out, its registration."""
        fencing = Fencing.from_hosts({record.host})
        if await is_process_gone(record.address, REACH_TIMEOUT):
            fencing.record_state(record.host, HostFencingState.ENDED)
        else:
            fencing.record_lease_end(record.host, await self._store.end_lease(record))
        while not fencing.is_complete(self._fleet.now()):
            await asyncio.sleep(FENCE_POLL.total_seconds())
        await self._coordinator.transact([Condition(item.key, item.revision)], [], [item.key])
        logger.info("silent_host_removed", extra={"peer": record.host})


def _silent_record(item: StoredValue, silent: dict[HostId, int]) -> HostRecord | None:
    record = decode_host(item.value)
    is_silent = record is not None and silent.get(record.host) == record.incarnation
    return record if is_silent else None
