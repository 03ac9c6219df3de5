"""Make sure that no host uses a primary any more before it is replaced."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from hickorywind.failover.leadership import (
    Fencing,
    HostFencingState,
    HostRecord,
    VersionedLeadership,
)
from hickorywind.host.fleet import Fleet
from hickorywind.host.leadershipstore import LeadershipStore
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.ids import BackendId, HostId, Revision, ServiceName
from hickorywind.protocol.messages import CloseService, ServiceClosed
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Instant
from hickorywind.util.sockets import REACH_TIMEOUT, is_process_gone

logger = logging.getLogger(__name__)

CLOSE_TIMEOUT = timedelta(milliseconds=500)  # for a host's word that it stopped
PLANNED_CLOSE_TIMEOUT = timedelta(milliseconds=2300)  # open transactions may end first
FENCE_POLL = timedelta(milliseconds=300)  # how often silent hosts are looked at again


class Fencer:
    """Carry out the fencing of one service's primary."""

    def __init__(
        self, fleet: Fleet, store: LeadershipStore, peers: Peers, own_host: HostId
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._peers = peers
        self._own_host = own_host
        self._records: dict[HostId, HostRecord] = {}

    async def prepare(self, until: Instant) -> bool:
        """Have the permits of silent hosts run out before a primary that serves is closed.

        Return True when every host answers or can't use a primary any more, or at ``until``, and
        False at once where most hosts are silent: this one may be cut off. Raise
        ``StoreUnavailableError``.
        """
        hosts = await self._other_hosts()
        fencing = Fencing.from_hosts(set(hosts))
        await self._settle_answering(hosts, fencing)
        if len(fencing.pending_hosts) * 2 > len(hosts):
            return False
        ending = [self._end_lease(hosts[host], fencing) for host in fencing.pending_hosts]
        await asyncio.gather(*ending)
        while not fencing.is_complete(self._fleet.now()) and self._fleet.now() < until:
            await asyncio.sleep(FENCE_POLL.total_seconds())
            await self._settle_answering(hosts, fencing)
        return True

    async def _other_hosts(self) -> dict[HostId, HostRecord]:
        hosts = await self._store.registered_hosts()
        hosts.pop(self._own_host, None)
        return hosts

    async def _settle_answering(self, hosts: dict[HostId, HostRecord], fencing: Fencing) -> None:
        """Count the hosts that will say at once that they stopped, and those that have ended."""

        async def look(host: HostId) -> None:
            self._peers.add(hosts[host])
            if await self._peers.answers(host, CLOSE_TIMEOUT):
                fencing.record_state(host, HostFencingState.ANSWERING)
            elif await is_process_gone(hosts[host].address, REACH_TIMEOUT):
                fencing.record_state(host, HostFencingState.ENDED)

        await asyncio.gather(*(look(host) for host in list(fencing.pending_hosts)))

    async def _end_lease(self, record: HostRecord, fencing: Fencing) -> None:
        fencing.record_lease_end(record.host, await self._store.end_lease(record))

    async def begin(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> Fencing:
        """Stop the own use, get the word of all others and end the leases of the silent."""
        await self.end_own_use(runtime, closed.revision, closed.record.is_planned)
        hosts = await self._other_hosts()
        fencing = Fencing.from_hosts(set(hosts))
        self._records |= hosts
        timeout = PLANNED_CLOSE_TIMEOUT if closed.record.is_planned else CLOSE_TIMEOUT
        silent = {
            host: record
            for host, record in hosts.items()
            if self._store.ended_at(record.lease) is not None
        }
        others = {host: record for host, record in hosts.items() if host not in silent}
        await asyncio.gather(
            self._ask_all(runtime, closed, others, fencing, timeout),
            self._ask_all(runtime, closed, silent, fencing, CLOSE_TIMEOUT),
        )
        if fencing.pending_hosts and closed.record.is_planned:
            await self._settle_by_store(runtime.name, closed.revision, fencing)
        await asyncio.gather(
            *(self._end_lease(hosts[host], fencing) for host in fencing.pending_hosts)
        )
        await self._look_at_primary(runtime, closed, fencing)
        return fencing

    async def wait_a_while(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> None:
        """Wait once for silent hosts and look at them again."""
        logger.info(
            "fencing_waits",
            extra={"service": runtime.name, "hosts": ",".join(sorted(fencing.pending_hosts))},
        )
        await asyncio.sleep(FENCE_POLL.total_seconds())
        silent = {host: self._records[host] for host in fencing.pending_hosts}
        looks = [
            self._settle_by_store(runtime.name, closed.revision, fencing),
            self._ask_all(runtime, closed, silent, fencing, CLOSE_TIMEOUT),
            self._look_at_primary(runtime, closed, fencing),
        ]
        left = fencing.time_until_complete(self._fleet.now())
        try:
            async with asyncio.timeout(None if left is None else left.total_seconds()):
                await self._look_until_complete(looks, fencing)
        except TimeoutError:
            # The wait ends by time, whatever the store and the hosts would have said.
            return

    async def _look_until_complete(
        self, looks: list[Coroutine[Any, Any, None]], fencing: Fencing
    ) -> None:
        """Run looks at silent hosts side by side until one of them completes the fencing."""
        running = {asyncio.create_task(look) for look in looks}
        try:
            while running and not fencing.is_complete(self._fleet.now()):
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for look in done:
                    look.result()
        finally:
            for look in running:
                look.cancel()

    async def _settle_by_store(
        self, service: ServiceName, revision: Revision, fencing: Fencing
    ) -> None:
        """Count the hosts whose permits another host has waited out, or whose word is stored."""
        try:
            registered = await self._store.read_hosts()
        except StoreUnavailableError as error:
            # The wait ends by time as well.
            logger.info("hosts_unread", extra={"reason": str(error)})
            return
        for host in list(fencing.pending_hosts):
            if host not in registered:
                fencing.record_state(host, HostFencingState.ENDED)
            elif registered[host].stopped.get(service, Revision(0)) >= revision:
                fencing.record_state(host, HostFencingState.STOPPED_USING)

    async def _look_at_primary(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> None:
        if fencing.pending_hosts and not closed.record.is_planned:
            fencing.is_primary_gone = await self.is_gone(runtime, closed.record.primary)

    async def is_gone(self, runtime: ServiceRuntime, primary: BackendId) -> bool:
        """Tell whether a primary's process is proved to have ended."""
        backend = runtime.backends.get(primary)
        return backend is not None and await is_process_gone(backend.server.address, REACH_TIMEOUT)

    async def end_own_use(
        self, runtime: ServiceRuntime, revision: Revision, is_planned: bool
    ) -> None:
        """Stop using the primary; where the change is planned, open work may end first."""
        if is_planned:
            runtime.refresh()
            await runtime.drain_primary_work()
        self._fleet.permits.stop_using(runtime.name, revision)
        runtime.refresh()

    async def _ask_all(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        hosts: dict[HostId, HostRecord],
        fencing: Fencing,
        timeout: timedelta,
    ) -> None:
        await asyncio.gather(
            *(
                self._ask_to_close(runtime, closed, record, fencing, timeout)
                for record in hosts.values()
            )
        )

    async def _ask_to_close(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        record: HostRecord,
        fencing: Fencing,
        timeout: timedelta,
    ) -> None:
        planned = closed.record.is_planned
        self._peers.add(record)
        reply = await self._peers.call(
            record.host,
            lambda call: CloseService(call, runtime.name, closed.revision, planned),
            timeout,
        )
        if isinstance(reply, ServiceClosed):
            fencing.record_state(record.host, HostFencingState.STOPPED_USING)
        elif await is_process_gone(record.address, REACH_TIMEOUT):
            fencing.record_state(record.host, HostFencingState.ENDED)
