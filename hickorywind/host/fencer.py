"""Fencing of a primary: no host may use it any more before it is replaced."""

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
from hickorywind.ids import HostId, Revision, ServiceName
from hickorywind.protocol.messages import PrimaryUseStopped, StopPrimaryUse
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)

CLOSE_TIMEOUT = timedelta(milliseconds=500)  # for a host to acknowledge that it stopped
PLANNED_CLOSE_TIMEOUT = timedelta(milliseconds=2300)  # open transactions may end first
FENCING_POLL_INTERVAL = timedelta(milliseconds=300)  # between checks of silent hosts


class Fencer:
    """Fencing of the primary of a service."""

    def __init__(
        self, fleet: Fleet, store: LeadershipStore, peers: Peers, own_host: HostId
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._peers = peers
        self._own_host = own_host

    async def await_silent_permits(self, deadline: Instant) -> bool:
        """End the leases of silent hosts and wait until their permits have expired.

        Called while the primary still serves. Return True once each host answers or can't use a
        primary any more, or at ``deadline``. Return False at once if most hosts are silent: this
        host may be isolated. Raise ``StoreUnavailableError``.
        """
        hosts = await self._other_hosts()
        fencing = Fencing.from_records(hosts)
        await self._probe_pending_hosts(hosts, fencing)
        if len(fencing.pending_hosts) * 2 > len(hosts):
            return False
        await self._end_leases([hosts[host] for host in fencing.pending_hosts], fencing)
        while not fencing.is_complete(self._fleet.now()) and self._fleet.now() < deadline:
            await asyncio.sleep(FENCING_POLL_INTERVAL.total_seconds())
            await asyncio.gather(
                self._probe_pending_hosts(hosts, fencing), self._announce_lease_ends(fencing)
            )
        return True

    async def _other_hosts(self) -> dict[HostId, HostRecord]:
        hosts = await self._store.read_hosts_with_retries()
        hosts.pop(self._own_host, None)
        return hosts

    async def _probe_pending_hosts(self, hosts: dict[HostId, HostRecord], fencing: Fencing) -> None:
        """Stop waiting for hosts that answer a greeting."""

        async def probe(host: HostId) -> None:
            self._peers.add(hosts[host])
            if await self._peers.is_responding(host, CLOSE_TIMEOUT):
                fencing.record_state(host, HostFencingState.ANSWERING)

        await asyncio.gather(*(probe(host) for host in list(fencing.pending_hosts)))

    async def _end_leases(self, records: list[HostRecord], fencing: Fencing) -> None:
        """End the leases of hosts that are silent, and announce that to the others."""
        await asyncio.gather(*(self._end_lease(record, fencing) for record in records))
        await self._announce_lease_ends(fencing)

    async def _end_lease(self, record: HostRecord, fencing: Fencing) -> None:
        fencing.record_lease_end(record.host, await self._store.end_lease(record))

    async def _announce_lease_ends(self, fencing: Fencing) -> None:
        """Announce the ended leases of silent hosts, so that these lose their contact."""
        silent = {host: fencing.records[host] for host in fencing.hosts_with_contact()}
        if any(self._store.contact_ended_at(each) is None for each in silent.values()):
            await self._store.announce_lease_ends(silent.keys())
        for host, record in silent.items():
            ended_at = self._store.contact_ended_at(record)
            if ended_at is not None:
                fencing.record_contact_end(host, ended_at)

    async def start(self, runtime: ServiceRuntime, closed: VersionedLeadership) -> Fencing:
        """Stop using the primary, ask the other hosts to stop, and end leases of silent hosts."""
        is_planned = closed.record.is_planned
        _, fencing = await asyncio.gather(
            self.stop_using_primary(runtime, closed.revision, is_planned),
            self._stop_other_hosts(runtime, closed),
        )
        return fencing

    async def _stop_other_hosts(
        self, runtime: ServiceRuntime, closed: VersionedLeadership
    ) -> Fencing:
        hosts = await self._other_hosts()
        fencing = Fencing.from_records(hosts)
        timeout = PLANNED_CLOSE_TIMEOUT if closed.record.is_planned else CLOSE_TIMEOUT
        silent = {
            host: record
            for host, record in hosts.items()
            if self._store.lease_ended_at(record.granted_lease) is not None
        }
        others = {host: record for host, record in hosts.items() if host not in silent}
        unheard = [
            record for host, record in others.items() if self._peers.table.has_missed_greeting(host)
        ]
        await asyncio.gather(
            self._request_closes(runtime, closed, others, fencing, timeout),
            self._request_closes(runtime, closed, silent, fencing, CLOSE_TIMEOUT),
            self._end_leases(unheard, fencing),
        )
        for host, record in hosts.items():
            if closed.record.names_as_stopped(record):
                fencing.record_state(host, HostFencingState.STOPPED_USING)
        if fencing.pending_hosts and closed.record.is_planned:
            await self._check_registrations(runtime.name, closed.revision, fencing)
        await self._end_leases([hosts[host] for host in fencing.pending_hosts], fencing)
        return fencing

    async def poll(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, fencing: Fencing
    ) -> None:
        """Wait for one interval, then check the hosts that fencing still waits for."""
        logger.info(
            "fencing_waits",
            extra={"service": runtime.name, "hosts": ",".join(sorted(fencing.pending_hosts))},
        )
        left = fencing.time_until_complete(self._fleet.now())
        interval = FENCING_POLL_INTERVAL if left is None else min(left, FENCING_POLL_INTERVAL)
        await asyncio.sleep(interval.total_seconds())
        if fencing.is_complete(self._fleet.now()):
            return
        silent = {host: fencing.records[host] for host in fencing.pending_hosts}
        checks = [
            self._check_registrations(runtime.name, closed.revision, fencing),
            self._request_closes(runtime, closed, silent, fencing, CLOSE_TIMEOUT),
            self._announce_lease_ends(fencing),
        ]
        left = fencing.time_until_complete(self._fleet.now())
        try:
            async with asyncio.timeout(None if left is None else left.total_seconds()):
                await self._run_until_complete(checks, fencing)
        except TimeoutError:
            # The last permit has expired, so the answers of store and hosts no longer matter.
            return

    async def _run_until_complete(
        self, checks: list[Coroutine[Any, Any, None]], fencing: Fencing
    ) -> None:
        """Run checks concurrently until one of them completes the fencing; cancel the rest."""
        running = {asyncio.create_task(check) for check in checks}
        try:
            while running and not fencing.is_complete(self._fleet.now()):
                done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
                for check in done:
                    check.result()
        finally:
            for check in running:
                check.cancel()

    async def _check_registrations(
        self, service: ServiceName, revision: Revision, fencing: Fencing
    ) -> None:
        """Stop waiting for hosts that are unregistered or recorded their stop in the store."""
        try:
            registered = await self._store.read_hosts()
        except StoreUnavailableError as error:
            # Not fatal: fencing also completes once the permits have expired.
            logger.info("hosts_read_failed", extra={"reason": str(error)})
            return
        for host in list(fencing.pending_hosts):
            if host not in registered:
                fencing.record_state(host, HostFencingState.ENDED)
            elif registered[host].stopped.get(service, Revision(0)) >= revision:
                fencing.record_state(host, HostFencingState.STOPPED_USING)

    async def stop_using_primary(
        self, runtime: ServiceRuntime, revision: Revision, is_planned: bool
    ) -> None:
        """Stop using the primary; in a planned change, let its open transactions end first."""
        if is_planned:
            runtime.refresh()
            await runtime.drain_primary_work()
        self._fleet.permits.stop_using(runtime.name, revision)
        runtime.refresh()

    async def _request_closes(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        hosts: dict[HostId, HostRecord],
        fencing: Fencing,
        timeout: timedelta,
    ) -> None:
        await asyncio.gather(
            *(
                self._request_close(runtime, closed, record, fencing, timeout)
                for record in hosts.values()
            )
        )

    async def _request_close(
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
            lambda call: StopPrimaryUse(call, runtime.name, closed.revision, planned),
            timeout,
        )
        if isinstance(reply, PrimaryUseStopped):
            fencing.record_state(record.host, HostFencingState.STOPPED_USING)
