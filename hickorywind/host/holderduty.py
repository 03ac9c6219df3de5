"""Naming of the holders of primaries in the leadership records."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from hickorywind.failover.leadership import (
    EVERY_HOST,
    LeadershipRecord,
    VersionedLeadership,
)
from hickorywind.host.fleet import Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.leadershipstore import LeadershipStore
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.ids import AvailabilityZone, BackendId, HostId, ServiceName
from hickorywind.placement.primaryholders import choose_holders
from hickorywind.protocol.messages import PrimaryUseQuery, PrimaryUseReply
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)

# Between two changes of the holders of one service by this host; news of one arrives within it.
CHANGE_INTERVAL = timedelta(seconds=2)
# After a start, in which the other hosts, which may start too, become known.
SETTLING_TIME = timedelta(seconds=3)


class HolderDuty:
    """Upkeep of the holders in the records of services, by the host of the first rank."""

    def __init__(
        self, fleet: Fleet, store: LeadershipStore, peers: Peers, identity: HostIdentity
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._peers = peers
        self._identity = identity
        self._next_change: dict[ServiceName, Instant] = {}
        self._settled_at = fleet.now() + SETTLING_TIME

    def choose(
        self, runtime: ServiceRuntime, primary: BackendId, current: tuple[HostId, ...] = ()
    ) -> tuple[HostId, ...]:
        """Return the holders of a primary, none where each host may keep connections to it."""
        backend = runtime.backends.get(primary)
        if not runtime.shares_reads or backend is None:
            return ()
        distance = runtime.distances_from(backend.server.zone)
        return choose_holders(runtime.name, self._zones(), distance, current)

    def _zones(self) -> dict[HostId, AvailabilityZone]:
        table = self._peers.table
        zones = {host: table.states[host].record.zone for host in table.active()}
        return zones | {self._identity.host: self._identity.zone}

    def _wanted(
        self, record: LeadershipRecord, runtime: ServiceRuntime
    ) -> tuple[HostId, ...] | None:
        """Return the holders that a record should name, or None if it may stay as it is."""
        if not record.holders and not runtime.shares_reads:
            return None
        wanted = self.choose(runtime, record.primary, record.holders)
        if not wanted or set(wanted) == set(record.holders):
            return None
        return wanted

    def is_due(self, leadership: VersionedLeadership, runtime: ServiceRuntime) -> bool:
        """Return whether the record should name other holders, or fewer former ones."""
        now = self._fleet.now()
        if now < self._next_change.get(runtime.name, self._settled_at):
            return False
        if not self._fleet.permits.is_valid(now) or not self._peers.table.sees_majority():
            return False
        record = leadership.record
        return self._wanted(record, runtime) is not None or EVERY_HOST in record.former_holders

    async def run(self, leadership: VersionedLeadership, runtime: ServiceRuntime) -> None:
        """Write the record with the holders that it should name; raise the store's errors."""
        self._next_change[runtime.name] = self._fleet.now() + CHANGE_INTERVAL
        record = leadership.record
        wanted = self._wanted(record, runtime)
        if wanted is None:
            if await self._has_use_ended(leadership, runtime):
                changed = replace_holders(record, record.holders, ())
                await self._store.write(runtime.name, changed, leadership.revision)
            return
        former = record.former_holders if record.holders else (EVERY_HOST,)
        removed = tuple(host for host in record.holders if host not in wanted)
        former = tuple(dict.fromkeys((*former, *removed)))
        changed = replace_holders(record, wanted, former)
        logger.info(
            "holders_changed",
            extra={
                "service": runtime.name,
                "holders": ",".join(wanted),
                "former": ",".join(former),
            },
        )
        await self._store.write(runtime.name, changed, leadership.revision)

    async def _has_use_ended(
        self, leadership: VersionedLeadership, runtime: ServiceRuntime
    ) -> bool:
        """Return whether every registered host knows the holders and has ended its own work.

        A host that registers later reads the record before it may use a primary.
        """
        if not runtime.has_ended_primary_use(leadership.revision):
            return False
        hosts = await self._store.read_hosts_with_retries()
        others = tuple(
            host
            for host in hosts
            if host not in leadership.record.holders and host != self._identity.host
        )
        self._peers.add(*(hosts[host] for host in others))
        replies = await self._peers.call_each(
            others, lambda call: PrimaryUseQuery(call, runtime.name, leadership.revision)
        )
        ended = [reply for reply in replies if isinstance(reply, PrimaryUseReply)]
        return len(ended) == len(others) and all(reply.has_ended for reply in ended)


def replace_holders(
    record: LeadershipRecord, holders: tuple[HostId, ...], former: tuple[HostId, ...]
) -> LeadershipRecord:
    """Return an open record with other holders; hosts that are holders again are not former."""
    left = tuple(host for host in former if host not in holders)
    return msgspec.structs.replace(record, holders=holders, former_holders=left)
