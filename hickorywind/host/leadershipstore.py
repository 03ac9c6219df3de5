"""Write leadership records to the store, find out lost answers, and tell the other hosts."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta

from hickorywind.failover.leadership import (
    PERMIT_END,
    HostRecord,
    LeadershipRecord,
    VersionedLeadership,
    encode_record,
)
from hickorywind.host.fleet import HOSTS_PREFIX, LEADERSHIP_PREFIX, Fleet
from hickorywind.host.peers import Peers
from hickorywind.host.storerelay import StoreRelay
from hickorywind.host.storesync import parse_hosts
from hickorywind.ids import HostId, Revision, ServiceName
from hickorywind.ports.coordination import (
    Committed,
    LeaseId,
    Snapshot,
)
from hickorywind.protocol.messages import EndedLease
from hickorywind.store.interface import StoredValue, StoreUnavailableError
from hickorywind.util.clock import Instant, to_milliseconds

logger = logging.getLogger(__name__)

STORE_ATTEMPTS = 6  # tries of one call that a change of primary can't do without
ENDED_MEMORY = timedelta(seconds=60)  # longer than any wait for a permit
STORE_PAUSE = timedelta(milliseconds=200)  # between the tries


class ChangeCancelledError(Exception):
    """Report that a change of primary ended early; the message says why."""


class LeadershipStore:
    """Make the store calls that a change of primary needs."""

    def __init__(self, fleet: Fleet, relay: StoreRelay, peers: Peers) -> None:
        self._fleet = fleet
        self._relay = relay
        self._peers = peers
        self._ended: dict[LeaseId, Instant] = {}

    async def write(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        """Write a record that follows ``revision`` and tell the other hosts.

        Raise ``ChangeCancelledError`` after a lost race and ``StoreUnavailableError``.
        """
        key = LEADERSHIP_PREFIX + service
        value = encode_record(record)
        for attempt in range(STORE_ATTEMPTS):
            try:
                result = await self._relay.write(key, revision, value)
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership_write_unanswered",
                    extra={"service": service, "attempt": attempt, "reason": str(error)},
                )
                await asyncio.sleep(STORE_PAUSE.total_seconds())
                continue
            if isinstance(result, Committed):
                return await self._spread(service, record, result.revision)
            written = await self._own_write(key, value)
            if written is not None:
                return await self._spread(service, record, written)
            raise ChangeCancelledError("another host changed the record first")
        raise StoreUnavailableError("the leadership record could not be written")

    async def _own_write(self, key: str, value: bytes) -> Revision | None:
        """Find out whether a write whose answer was lost took effect."""
        snapshot = await self._relay.read_range(LEADERSHIP_PREFIX)
        self._fleet.take_snapshot(LEADERSHIP_PREFIX, snapshot, "store")
        for item in snapshot.items:
            if item.key == key and item.value == value:
                return item.revision
        return None

    async def _spread(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        key = LEADERSHIP_PREFIX + service
        copy = self._fleet.copies[LEADERSHIP_PREFIX]
        kept = tuple(item for item in copy.items.values() if item.key != key)
        items = (*kept, StoredValue(key, encode_record(record), revision))
        self._fleet.take_snapshot(
            LEADERSHIP_PREFIX, Snapshot(items, max(copy.as_of, revision)), "own write"
        )
        await self._peers.tell_all(copy.to_message(0))
        return VersionedLeadership(record, revision)

    async def read_hosts(self) -> dict[HostId, HostRecord]:
        """Return the registered hosts by one call; raise ``StoreUnavailableError``."""
        return parse_hosts(await self._relay.read_range(HOSTS_PREFIX))

    async def registered_hosts(self) -> dict[HostId, HostRecord]:
        """Return the registered hosts; raise ``StoreUnavailableError``."""
        for _ in range(STORE_ATTEMPTS):
            try:
                return await self.read_hosts()
            except StoreUnavailableError as error:
                logger.warning("hosts_unread", extra={"reason": str(error)})
                await asyncio.sleep(STORE_PAUSE.total_seconds())
        raise StoreUnavailableError("the registered hosts could not be read")

    def learn_ended(self, lease: LeaseId, confirmed: Instant) -> None:
        """Remember when the store had confirmed the end of a lease, by the earliest word."""
        self._ended[lease] = min(confirmed, self._ended.get(lease, confirmed))

    def ended_leases(self) -> tuple[EndedLease, ...]:
        """Return the leases that ended lately, for other hosts; forget those of long ago."""
        now = self._fleet.now()
        self._ended = {
            lease: confirmed
            for lease, confirmed in self._ended.items()
            if now < confirmed + ENDED_MEMORY
        }
        return tuple(
            EndedLease(lease, int(to_milliseconds(now - confirmed)))
            for lease, confirmed in self._ended.items()
        )

    def permits_left(self) -> timedelta:
        """Return after what time the permits of all leases known as ended have run out."""
        now = self._fleet.now()
        ends = (confirmed + PERMIT_END for confirmed in self._ended.values())
        return max([timedelta(0), *(end - now for end in ends)])

    async def end_lease(self, record: HostRecord) -> Instant:
        """End a silent host's lease; return when the store had confirmed that.

        A lease that is known to have ended is not ended again. Raise ``StoreUnavailableError``.
        """
        known = self._ended.get(record.lease)
        if known is not None:
            return known
        for _ in range(STORE_ATTEMPTS):
            try:
                await self._relay.end_lease(record.lease)
            except StoreUnavailableError as error:
                logger.warning(
                    "lease_end_failed", extra={"peer": record.host, "reason": str(error)}
                )
                await asyncio.sleep(STORE_PAUSE.total_seconds())
                continue
            logger.info("lease_ended_for_peer", extra={"peer": record.host})
            self.learn_ended(record.lease, self._fleet.now())
            return self._ended[record.lease]
        raise StoreUnavailableError("a silent host's lease could not be ended")
