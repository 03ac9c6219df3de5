"""Store calls of a primary change: leadership records, registered hosts and leases."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from datetime import timedelta

import msgspec

from hickorywind.failover.leadership import (
    HostRecord,
    LeadershipRecord,
    VersionedLeadership,
    encode_record,
)
from hickorywind.host.fleet import (
    HOSTS_PREFIX,
    LEADERSHIP_PREFIX,
    Fleet,
    StoreCopy,
    decode_hosts,
)
from hickorywind.host.peers import Peers
from hickorywind.host.storerelay import StoreRelay
from hickorywind.ids import HostId, Revision, ServiceName, StoreEra
from hickorywind.ports.coordination import (
    Committed,
    ItemWritten,
    Lease,
    LeaseId,
    Snapshot,
)
from hickorywind.protocol.messages import EndedLease, LeaseEndsRecorded, RecordLeaseEnds
from hickorywind.store.era import era_of
from hickorywind.store.interface import StoredValue, StoreUnavailableError
from hickorywind.util.clock import Instant, to_milliseconds
from hickorywind.util.tasks import JoinedCall

logger = logging.getLogger(__name__)

STORE_ATTEMPTS = 6  # per store call that a primary change depends on
ENDED_LEASE_RETENTION = timedelta(seconds=60)  # longer than any wait for a permit to expire
LEASE_END_NEWS = timedelta(seconds=4)  # greetings spread the end of a lease in this time
ANNOUNCEMENT_TIMEOUT = timedelta(milliseconds=500)  # for a host to record ended leases
STORE_RETRY_DELAY = timedelta(milliseconds=200)
TAKEOVER_TIMEOUT = timedelta(milliseconds=1400)  # until a silent promoter's change is taken over
EXCLUSIVE_AFTER_CLOSE = TAKEOVER_TIMEOUT - timedelta(milliseconds=100)  # clocks may drift
# A host that takes over a change waits half a second for the silent promoter to acknowledge before
# it orders a promotion.
EXCLUSIVE_AFTER_READ = timedelta(milliseconds=400)


class PrimaryChangeCancelledError(Exception):
    """Raised when a primary change ends early; the message gives the reason."""


class LeadershipStore:
    """Store client for primary changes, with retries."""

    def __init__(self, fleet: Fleet, relay: StoreRelay, peers: Peers, own_host: HostId) -> None:
        self._fleet = fleet
        self._relay = relay
        self._peers = peers
        self._own_host = own_host
        self._lease_ends: dict[Lease, Instant] = {}
        self._contact_ends: dict[Lease, Instant] = {}
        self._recorded_by: dict[Lease, set[HostId]] = {}  # hosts that won't confirm an ended lease
        self._written: dict[ServiceName, tuple[Revision, Instant]] = {}
        self._host_copy = StoreCopy(HOSTS_PREFIX)  # unlike the fleet's, with deletions
        self._registrations = JoinedCall(self._read_registrations)

    async def write(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        """Write the leadership record that follows ``revision`` and send it to the other hosts.

        Raise ``PrimaryChangeCancelledError`` if another host wrote first, and
        ``StoreUnavailableError``.
        """
        key = LEADERSHIP_PREFIX + service
        era = era_of(revision or self._fleet.copies[LEADERSHIP_PREFIX].as_of)
        record = msgspec.structs.replace(record, era=era)
        value = encode_record(record)
        started = self._fleet.now()
        for attempt in range(STORE_ATTEMPTS):
            try:
                result = await self._relay.write(key, revision, value)
            except StoreUnavailableError as error:
                logger.warning(
                    "leadership_write_unanswered",
                    extra={"service": service, "attempt": attempt, "reason": str(error)},
                )
                await asyncio.sleep(STORE_RETRY_DELAY.total_seconds())
                continue
            written = result.revision if isinstance(result, Committed) else None
            if written is None:
                written = await self._find_own_write(key, value)
            if written is None:
                raise PrimaryChangeCancelledError("another host wrote the leadership record first")
            if era_of(written) != era:
                raise PrimaryChangeCancelledError("the store came back from an older copy")
            self._written[service] = (written, started)
            return await self._broadcast(service, record, written)
        raise StoreUnavailableError("the leadership record could not be written")

    def is_exclusive(self, service: ServiceName, closed: VersionedLeadership) -> bool:
        """Return whether no other host can have taken over the change of a closed record.

        This holds for ``EXCLUSIVE_AFTER_CLOSE`` from the start of this host's write of the record.
        """
        return self._fleet.now() < self._exclusive_until(service, closed)

    def _exclusive_until(self, service: ServiceName, closed: VersionedLeadership) -> Instant:
        revision, started = self._written.get(service, (Revision(0), timedelta(0)))
        return started + EXCLUSIVE_AFTER_CLOSE if revision == closed.revision else timedelta(0)

    async def confirm_exclusive(self, service: ServiceName, closed: VersionedLeadership) -> Instant:
        """Ensure that no host that took over the change can have ordered a promotion yet.

        Return the instant until which that holds. Raise ``PrimaryChangeCancelledError`` if a newer
        record exists, and ``StoreUnavailableError`` if the store does not prove in time that none
        does.
        """
        self._check_not_superseded(service, closed)
        if self.is_exclusive(service, closed):
            return self._exclusive_until(service, closed)
        requested_at = self._fleet.now()
        snapshot = await self._relay.read_range(LEADERSHIP_PREFIX)
        self._fleet.apply_snapshot(LEADERSHIP_PREFIX, snapshot, "store")
        self._check_not_superseded(service, closed)
        if self._fleet.now() >= requested_at + EXCLUSIVE_AFTER_READ:
            raise StoreUnavailableError(
                "the leadership record was read too slowly to prove that it is the latest"
            )
        return requested_at + EXCLUSIVE_AFTER_READ

    def _check_not_superseded(self, service: ServiceName, closed: VersionedLeadership) -> None:
        if self._fleet.permits.is_superseded(service, closed.revision):
            raise PrimaryChangeCancelledError("another host took over the primary change")

    async def _find_own_write(self, key: str, value: bytes) -> Revision | None:
        """Return the revision of a write whose answer was lost; None if it took no effect."""
        snapshot = await self._relay.read_range(LEADERSHIP_PREFIX)
        self._fleet.apply_snapshot(LEADERSHIP_PREFIX, snapshot, "store")
        for item in snapshot.items:
            if item.key == key and item.value == value:
                return item.revision
        return None

    async def _broadcast(
        self, service: ServiceName, record: LeadershipRecord, revision: Revision
    ) -> VersionedLeadership:
        item = StoredValue(LEADERSHIP_PREFIX + service, encode_record(record), revision)
        copy = self._fleet.copies[LEADERSHIP_PREFIX]
        # Not complete up to the write: other services may have changed just before it.
        self._fleet.apply_changes(LEADERSHIP_PREFIX, (ItemWritten(item),), copy.as_of, "own write")
        await self._peers.broadcast(copy.to_notice((item.key,)))
        return VersionedLeadership(record, revision)

    async def read_hosts(self) -> dict[HostId, HostRecord]:
        """Return the hosts that are registered now; raise ``StoreUnavailableError``.

        Changes of several services share the reads, and after the first one only what has changed
        is read: in a large fleet the registrations are large.
        """
        return dict(await self._registrations.run())

    async def _read_registrations(self) -> dict[HostId, HostRecord]:
        copy = self._host_copy
        result = await self._relay.read_changes(HOSTS_PREFIX, copy.as_of)
        if isinstance(result, Snapshot):
            copy = self._host_copy = StoreCopy(HOSTS_PREFIX)
            copy.replace(result)
        else:
            copy.apply(result.changes, result.as_of)
        return {record.host: record for record in decode_hosts(copy.items.values())}

    async def read_hosts_with_retries(self) -> dict[HostId, HostRecord]:
        """Read the registered hosts, with retries; raise ``StoreUnavailableError``."""
        for _ in range(STORE_ATTEMPTS):
            try:
                return await self.read_hosts()
            except StoreUnavailableError as error:
                logger.warning("hosts_read_failed", extra={"reason": str(error)})
                await asyncio.sleep(STORE_RETRY_DELAY.total_seconds())
        raise StoreUnavailableError("the registered hosts could not be read")

    def record_lease_end(self, lease: Lease, confirmed: Instant) -> None:
        """Record when the store had confirmed the end of a lease; keep the earliest time."""
        self._lease_ends[lease] = min(confirmed, self._lease_ends.get(lease, confirmed))

    def record_contact_end(self, lease: Lease, known_at: Instant) -> None:
        """Record that too few hosts may confirm an ended lease since ``known_at`` or before."""
        self._contact_ends[lease] = min(known_at, self._contact_ends.get(lease, known_at))

    def contact_ended_at(self, record: HostRecord) -> Instant | None:
        """Return since when too few hosts may confirm the lease of a host, or None."""
        return self._contact_ends.get(record.granted_lease)

    async def announce_lease_ends(self, silent: Collection[HostId]) -> None:
        """Have the other hosts, but for silent ones, record the leases that have ended.

        Then record for each of these whether too few hosts are left that may confirm it. Nothing is
        sent if the silent hosts alone are too many for that.
        """
        # Other hosts may end leases during the read, which then tells nothing about these.
        leases = self.ended_leases()
        try:
            # Read after the leases ended: whoever registers later confirms no lease for as long as
            # the permit of one that ended before may be valid.
            hosts = await self.read_hosts()
        except StoreUnavailableError as error:
            logger.info("hosts_read_failed", extra={"reason": str(error)})
            return
        hosts.pop(self._own_host, None)
        self._peers.add(*hosts.values())
        ended = {Lease(LeaseId(each.lease), each.era) for each in leases}
        unasked = hosts.keys() & set(silent)
        waiting = [
            record
            for record in hosts.values()
            if record.granted_lease in ended
            and self.contact_ended_at(record) is None
            and self._may_lose_contact(record, unasked)
        ]
        if not waiting:
            return
        # A host that has recorded an end never confirms the lease again, also if it restarts.
        asked = {
            host for record in waiting for host in hosts.keys() - unasked - self._recorders(record)
        }
        awaited = {record.granted_lease for record in waiting}
        leases = tuple(each for each in leases if Lease(LeaseId(each.lease), each.era) in awaited)
        replies = await self._peers.call_each(
            tuple(asked), lambda call: RecordLeaseEnds(call, leases), ANNOUNCEMENT_TIMEOUT
        )
        known_at = self._fleet.now()
        recorders = {reply.host for reply in replies if isinstance(reply, LeaseEndsRecorded)}
        for lease in awaited:
            self._recorded_by.setdefault(lease, set()).update(recorders)
        for record in waiting:
            if self._may_lose_contact(record, hosts.keys()):
                self.record_contact_end(record.granted_lease, known_at)

    def _may_lose_contact(self, record: HostRecord, unaware: Collection[HostId]) -> bool:
        """Return whether hosts that may lack the end of a lease are too few to confirm it."""
        unaware = set(unaware) - self._recorders(record) - {record.host}
        return len(unaware) < record.confirmations

    def _recorders(self, record: HostRecord) -> set[HostId]:
        return self._recorded_by.get(record.granted_lease, set())

    def ended_leases_for(
        self, leases: Collection[tuple[int, StoreEra]] | None
    ) -> tuple[EndedLease, ...]:
        """Return the ended leases to report to a host that holds or held ``leases``.

        These are its own and those of which the news still spreads, however many ended before; all
        of them for a host of an older version, which names no leases.
        """
        ended = self.ended_leases()
        if leases is None:
            return ended
        newest_ms = int(to_milliseconds(LEASE_END_NEWS))

        def is_reported(each: EndedLease) -> bool:
            is_news = each.age_ms < newest_ms or (
                each.without_contact_ms is not None and each.without_contact_ms < newest_ms
            )
            return is_news or (each.lease, each.era) in leases

        return tuple(filter(is_reported, ended))

    def ended_leases(self) -> tuple[EndedLease, ...]:
        """Return the recently ended leases, to report to other hosts; drop older ones."""
        now = self._fleet.now()
        self._lease_ends = {
            lease: confirmed
            for lease, confirmed in self._lease_ends.items()
            if now < confirmed + ENDED_LEASE_RETENTION
        }
        self._recorded_by = {
            lease: hosts for lease, hosts in self._recorded_by.items() if lease in self._lease_ends
        }
        self._contact_ends = {
            lease: known_at
            for lease, known_at in self._contact_ends.items()
            if lease in self._lease_ends
        }
        return tuple(
            EndedLease(
                lease.id,
                int(to_milliseconds(now - confirmed)),
                lease.era,
                (
                    int(to_milliseconds(now - self._contact_ends[lease]))
                    if lease in self._contact_ends
                    else None
                ),
            )
            for lease, confirmed in self._lease_ends.items()
        )

    def lease_ended_at(self, lease: Lease) -> Instant | None:
        """Return when the store had confirmed the end of a lease; None if it may be in force."""
        return self._lease_ends.get(lease)

    async def end_lease(self, record: HostRecord) -> Instant:
        """End the lease of a silent host; return when the store had confirmed that.

        No call is made for a lease that is known to have ended. Raise ``StoreUnavailableError``.
        """
        known = self._lease_ends.get(record.granted_lease)
        if known is not None:
            return known
        for _ in range(STORE_ATTEMPTS):
            try:
                await self._relay.end_lease(record.granted_lease)
            except StoreUnavailableError as error:
                logger.warning(
                    "lease_end_failed", extra={"peer": record.host, "reason": str(error)}
                )
                await asyncio.sleep(STORE_RETRY_DELAY.total_seconds())
                continue
            logger.info("lease_ended_for_peer", extra={"peer": record.host})
            self.record_lease_end(record.granted_lease, self._fleet.now())
            return self._lease_ends[record.granted_lease]
        raise StoreUnavailableError("the lease of a silent host could not be ended")
