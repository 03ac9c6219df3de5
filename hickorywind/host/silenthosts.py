"""Removal of silent hosts ahead of time, so that a primary change need not wait for them."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.failover.leadership import Fencing, HostFencingState, HostRecord
from hickorywind.host.fencer import FENCING_POLL_INTERVAL
from hickorywind.host.fleet import HOSTS_PREFIX, Fleet, decode_hosts
from hickorywind.host.leadershipstore import LeadershipStore
from hickorywind.host.peers import Peers
from hickorywind.ids import HostId
from hickorywind.ports.coordination import Condition, CoordinationStore
from hickorywind.store.interface import StoredValue, StoreUnavailableError
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)

# For which the result of a probe holds while the store can't be read.
PROBE_LIFETIME = timedelta(seconds=5)
REFENCE_DELAY = timedelta(seconds=15)  # for a host that stays silent or falls silent again


@dataclass(frozen=True, slots=True)
class _Probe:
    """What a probe found out about a host, and when."""

    state: HostFencingState
    ended_at: Instant


class SilentHostFencer:
    """Fencer of the hosts that do not answer, unless this host itself may be isolated.

    Answers the load of a store that is away while hosts are lost: they are probed meanwhile, so
    that their leases end as soon as the store is back, and their permits soon after.
    """

    def __init__(
        self,
        fleet: Fleet,
        coordination_store: CoordinationStore,
        store: LeadershipStore,
        peers: Peers,
    ) -> None:
        self._fleet = fleet
        self._coordination_store = coordination_store
        self._store = store
        self._peers = peers
        self._task: asyncio.Task | None = None
        self._skipped_until: dict[tuple[HostId, int], timedelta] = {}
        self._probes: dict[tuple[HostId, int], _Probe] = {}

    def start_fencing(self, is_first_in_rank: bool) -> None:
        """Fence the hosts that are silent now in a background task.

        Only the host of the first rank does so, and only if at most half of the others are silent.
        Hosts of a zone that is out of reach as a whole are left to changes of primary for a while.
        """
        if self._task is not None and not self._task.done():
            return
        now = self._fleet.now()
        silent = {
            record.host: record.incarnation
            for record in self._peers.table.silent_hosts()
            if self._skipped_until.get((record.host, record.incarnation), timedelta(0)) < now
            and not self._peers.table.is_zone_out_of_reach(record.zone)
        }
        if len(silent) * 2 > self._peers.table.expected_count():
            return
        if silent and is_first_in_rank:
            self._task = asyncio.create_task(self._fence_all(silent))

    async def _fence_all(self, silent: dict[HostId, int]) -> None:
        self._probes = {key: self._probes[key] for key in silent.items() if key in self._probes}
        await asyncio.gather(*(self._probe(key) for key in silent.items()))
        try:
            snapshot = await self._coordination_store.read_range(HOSTS_PREFIX)
            found = [
                (item, record)
                for item in snapshot.items
                for record in decode_hosts((item,))
                if self._is_to_be_fenced(record, silent)
            ]
            fencings = await asyncio.gather(*(self._end_lease(record) for _, record in found))
            if any(self._store.contact_ended_at(record) is None for _, record in found):
                await self._store.announce_lease_ends({record.host for _, record in found})
            await asyncio.gather(
                *(
                    self._remove(item, fencing)
                    for (item, _), fencing in zip(found, fencings, strict=True)
                )
            )
        except StoreUnavailableError as error:
            logger.info("silent_host_removal_failed", extra={"reason": str(error)})
            return
        skipped_until = self._fleet.now() + REFENCE_DELAY
        self._skipped_until |= {key: skipped_until for key in silent.items()}

    def _is_to_be_fenced(self, record: HostRecord, silent: dict[HostId, int]) -> bool:
        """Return whether the registered process of a host is silent and did not answer a probe."""
        probe = self._probes.get((record.host, record.incarnation))
        is_silent = silent.get(record.host) == record.incarnation
        return is_silent and probe is not None and probe.state is HostFencingState.SILENT

    async def _end_lease(self, record: HostRecord) -> Fencing:
        fencing = Fencing.from_hosts({record.host})
        fencing.record_lease_end(record.host, await self._store.end_lease(record))
        return fencing

    async def _remove(self, item: StoredValue, fencing: Fencing) -> None:
        """Delete the registration of a host once its permit has expired."""
        (host,) = fencing.awaited_hosts
        while not fencing.is_complete(self._fleet.now()):
            await asyncio.sleep(FENCING_POLL_INTERVAL.total_seconds())
        await self._coordination_store.transact(
            [Condition(item.key, item.revision)], [], [item.key]
        )
        logger.info("silent_host_removed", extra={"peer": host})

    async def _probe(self, key: tuple[HostId, int]) -> None:
        """Find out whether a host answers or its process has ended, unless that is known."""
        host, _ = key
        probe = self._probes.get(key)
        if probe is not None and self._fleet.now() < probe.ended_at + PROBE_LIFETIME:
            return
        peer = self._peers.table.states.get(host)
        if peer is None:
            return
        if await self._peers.answers_first_greeting(host):
            state = HostFencingState.ANSWERING
        else:
            state = HostFencingState.SILENT
        self._probes[key] = _Probe(state, self._fleet.now())
