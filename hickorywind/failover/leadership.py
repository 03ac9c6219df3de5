"""Permits of hosts to use primaries, and the stored record of each service's primary.

The store holds one leadership record per service. A host uses a primary only while the newest
record that it has seen is open and its own permit is valid. A permit is the time-limited right of a
host to use primaries; it lasts ``PERMIT_DURATION`` from the *sending* of the last request that
proved that the host's lease had not been ended. A host that replaces a primary first closes the
record. Then every registered host must confirm that it stopped using the primary; the leases of
silent hosts are ended, and their permits must have expired.

So that a cut-off host need not be waited for as long as a store may be down, a permit also needs
contact: within ``CONTACT_DURATION`` the store has renewed the lease, or several other hosts have
said that they know of no end of it. How many is stored with the host's registration. Once fewer
hosts than that have not yet recorded the end of a lease, its permit lasts as long as the contact.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Annotated

import msgspec

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Revision,
    ServiceName,
    StoreEra,
    Term,
)
from hickorywind.ports.coordination import Lease, LeaseId
from hickorywind.store.era import era_of
from hickorywind.util.addresses import parse_address
from hickorywind.util.clock import Instant
from hickorywind.util.decoding import NAME, CounterValue, convert, decode

PERMIT_DURATION = timedelta(seconds=7)  # outlasts the store's usual outages
PERMIT_RENEWAL_INTERVAL = timedelta(seconds=1)  # six attempts within a permit
FRESH_PROOF_AGE = PERMIT_RENEWAL_INTERVAL * 1.5  # one renewal and its answer
# Added by a host that waits for the permit of another one to expire, because clocks drift.
PERMIT_DRIFT_MARGIN = timedelta(milliseconds=200)
# From the confirmed end of a lease until its permit has certainly expired.
PERMIT_END_DELAY = PERMIT_DURATION + PERMIT_DRIFT_MARGIN
CONTACT_DURATION = PERMIT_RENEWAL_INTERVAL * 2  # outlasts a lost message of a calm network
CONTACT_END_DELAY = CONTACT_DURATION + PERMIT_DRIFT_MARGIN

# After a store outage all hosts have permits again within this time: one renewal and one message
# exchange between hosts.
MISSING_PERMIT_LIMIT = timedelta(milliseconds=1500)


class LeadershipPhase(Enum):
    """Whether the primary named in a leadership record may be used."""

    OPEN = "open"
    CLOSED = "closed"


class LeadershipRecord(msgspec.Struct, frozen=True):
    """Stored record of the primary of a service.

    While the record is closed, the host ``promoter`` is replacing the primary by the backend server
    ``candidate``. ``change`` counts the primary changes begun for the service.

    ``term`` of an open record is the term in which the primary leads, or 0 if that is unknown.
    ``term`` of a closed record is the newest term known to have ended: only a server that leads in
    a higher one may become primary. Records that follow each other never have a lower term.

    ``stopped`` names hosts that stopped using the primary before they wrote a closed record of this
    change: the promoter, and former ones whose change it took over. Nobody waits for their permits.
    ``stopped_incarnations`` holds their incarnations: a write may take effect after its sender has
    restarted, and its new process has stopped nothing. Records of older versions lack it.

    ``era`` is that of the store when the record was written.
    """

    primary: BackendId
    phase: LeadershipPhase
    change: CounterValue
    promoter: HostId = HostId("")
    candidate: BackendId = BackendId("")
    is_planned: bool = False
    term: Term = Term(0)
    stopped: tuple[HostId, ...] = ()
    stopped_incarnations: dict[HostId, Incarnation] = {}
    era: StoreEra = StoreEra(0)

    def names_as_stopped(self, host: HostRecord) -> bool:
        """Return whether the registered process of a host stopped using the primary."""
        incarnation = self.stopped_incarnations.get(host.host, host.incarnation)
        return host.host in self.stopped and incarnation == host.incarnation


class HostRecord(msgspec.Struct, frozen=True):
    """Registration of a host in the store, kept until the host is known to have ended.

    ``stopped`` holds, by service, the revision of the closed record after which this incarnation
    stopped using the primary. It is written where peers may not have received the confirmation.
    ``era`` is that of the store when it granted the lease. ``confirmations`` is the number of other
    hosts, or less, whose confirmations of its lease the host needs while the store does not answer
    it. It is 0 if its permit needs no contact, also in records of older versions.
    ``registered_at`` is the revision of the registration that was read or announced, which orders
    the processes of a host: their incarnations begin anew with its machine. It is 0 in the store.
    """

    host: Annotated[HostId, NAME]
    incarnation: Incarnation
    zone: Annotated[AvailabilityZone, NAME]
    address: Address
    lease: LeaseId
    stopped: dict[ServiceName, Revision] = {}
    era: StoreEra = StoreEra(0)
    confirmations: CounterValue = 0
    registered_at: Revision = Revision(0)

    def follows(self, other: HostRecord) -> bool:
        """Return whether this is the registration of a later process than another one."""
        if self.incarnation == other.incarnation:
            return False
        if self.registered_at and other.registered_at:
            return self.registered_at > other.registered_at
        return self.incarnation > other.incarnation  # announced by a host of an older version

    @property
    def granted_lease(self) -> Lease:
        """Lease with the era in which the store granted it."""
        return Lease(self.lease, self.era)


_leadership_decoder = msgspec.json.Decoder(LeadershipRecord)
_host_decoder = msgspec.json.Decoder(HostRecord)


def encode_record(record: LeadershipRecord | HostRecord) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode_leadership(value: bytes) -> LeadershipRecord:
    """Decode a leadership record; raise ``MalformedDataError``."""
    return decode(_leadership_decoder, value)


def decode_host(value: bytes) -> HostRecord:
    """Decode a host's registration; raise ``MalformedDataError``."""
    record = decode(_host_decoder, value)
    convert(str(record.address), parse_address)
    return record


@dataclass(frozen=True, slots=True)
class VersionedLeadership:
    """Leadership record with the store revision at which it last changed."""

    record: LeadershipRecord
    revision: Revision

    @property
    def is_confirmed(self) -> bool:
        """Whether the record was written in the era of the store in which it was read.

        A store that came back from an older copy may hold a record that names a former primary.
        """
        return self.record.era == era_of(self.revision)


class PrimaryAbsence(Enum):
    """Why this host may not use the primary of a service; the value is told to callers."""

    NOT_RECORDED = "no primary is recorded yet"
    CHANGING = "the primary is being replaced"
    NO_PERMIT = "this host holds no permit for primaries"


@dataclass
class Permits:
    """This host's permit to use primaries, and the leadership records that it knows.

    Instants are of a clock that keeps running while the machine is suspended. ``valid_until`` is
    when the permit expires at the latest; without contact it does so before.
    ``required_confirmations`` is how many other hosts must confirm the lease while the store does
    not, or 0 if the permit needs no contact.
    """

    valid_until: Instant = timedelta(0)
    required_confirmations: int = 0
    _contact_at: Instant = timedelta(0)
    _confirmed_at: dict[HostId, Instant] = field(default_factory=dict)
    _revoked_at: Instant | None = None
    _records: dict[ServiceName, VersionedLeadership] = field(default_factory=dict)
    _unconfirmed: dict[ServiceName, VersionedLeadership] = field(default_factory=dict)
    _opened_at: dict[ServiceName, Revision] = field(default_factory=dict)
    _use_stopped_at: dict[ServiceName, Revision] = field(default_factory=dict)
    _new_work_stopped_at: dict[ServiceName, Revision] = field(default_factory=dict)

    def extend(self, proof_sent: Instant) -> None:
        """Extend the permit to ``PERMIT_DURATION`` after ``proof_sent``.

        At ``proof_sent`` the request was sent whose answer proved that the lease had not been
        ended. A proof sent before the permit was revoked has no effect.
        """
        if self._revoked_at is None or proof_sent > self._revoked_at:
            self.valid_until = max(self.valid_until, proof_sent + PERMIT_DURATION)
            self._contact_at = max(self._contact_at, proof_sent)

    def record_confirmation(self, host: HostId, asked_at: Instant) -> None:
        """Record that another host, asked at an instant, knows of no end of the lease."""
        self._confirmed_at[host] = asked_at
        newest = sorted(self._confirmed_at.values(), reverse=True)
        if 0 < self.required_confirmations <= len(newest):
            self._contact_at = max(self._contact_at, newest[self.required_confirmations - 1])

    @property
    def expires_at(self) -> Instant:
        """Instant at which the permit expires without further contact."""
        if not self.required_confirmations:
            return self.valid_until
        return min(self.valid_until, self._contact_at + CONTACT_DURATION)

    def has_fresh_proof(self, now: Instant) -> bool:
        """Return whether the store has answered a renewal of about the last interval."""
        return now < self.valid_until - PERMIT_DURATION + FRESH_PROOF_AGE

    def revoke(self, now: Instant) -> None:
        """End the permit at once, because other hosts will no longer wait for it to expire."""
        self.valid_until = timedelta(0)
        self._revoked_at = now

    def learn(self, service: ServiceName, leadership: VersionedLeadership) -> bool:
        """Store a leadership record if it is newer than the one known; return whether it is in use.

        An unconfirmed one is kept apart and changes nothing until a confirmed one replaces it: the
        host that writes that one waits for all permits of the earlier era.
        """
        if self._newest_revision(service) >= leadership.revision:
            return False
        if not leadership.is_confirmed:
            self._unconfirmed[service] = leadership
            return False
        self._unconfirmed.pop(service, None)
        self._records[service] = leadership
        if leadership.record.phase is LeadershipPhase.OPEN:
            self._opened_at[service] = leadership.revision
        return True

    def learn_unreadable(self, service: ServiceName, revision: Revision) -> None:
        """Store that the record of a service at a revision can't be read.

        The known one stays in use until a host has replaced it, as if the store came back from an
        older copy.
        """
        if self._newest_revision(service) >= revision:
            return
        known = self._records.get(service)
        unknown = LeadershipRecord(BackendId(""), LeadershipPhase.OPEN, 0)
        record = unknown if known is None else known.record
        self._unconfirmed[service] = VersionedLeadership(record, revision)

    def forget(self, service: ServiceName, removed_at: Revision) -> None:
        """Forget the records of a service that the store does not hold in a later era."""
        if era_of(removed_at) > era_of(self._newest_revision(service)):
            self._records.pop(service, None)
            self._unconfirmed.pop(service, None)

    def _newest_revision(self, service: ServiceName) -> Revision:
        known = (self._records.get(service), self._unconfirmed.get(service))
        return max((each.revision for each in known if each is not None), default=Revision(0))

    def stop_using(self, service: ServiceName, revision: Revision) -> None:
        """Forbid use of the primary until a record newer than ``revision`` opens it.

        ``revision`` is that of the closed record, or of the open one that this host is about to
        close.
        """
        self._use_stopped_at[service] = max(
            revision, self._use_stopped_at.get(service, Revision(0))
        )

    def has_failed_to_close(self, service: ServiceName) -> bool:
        """Return whether this host stopped using a primary whose record is still open.

        A host that was asked to stop knows the revision of the closed record, which is newer.
        """
        known = self._records.get(service)
        if known is None or known.record.phase is not LeadershipPhase.OPEN:
            return False
        return self._use_stopped_at.get(service) == known.revision

    def stop_new_work(self, service: ServiceName, revision: Revision) -> None:
        """Forbid new work at the primary until a record newer than ``revision`` opens it."""
        self._new_work_stopped_at[service] = max(
            revision, self._new_work_stopped_at.get(service, Revision(0))
        )

    def leadership(self, service: ServiceName) -> VersionedLeadership | None:
        """Return the newest confirmed leadership record known of a service."""
        return self._records.get(service)

    def unconfirmed(self, service: ServiceName) -> VersionedLeadership | None:
        """Return the record that the store holds of a service, if it has to be confirmed."""
        return self._unconfirmed.get(service)

    def is_superseded(self, service: ServiceName, revision: Revision) -> bool:
        """Return whether a record newer than ``revision``, or a host that acts on one, is known."""
        newest = self._newest_revision(service)
        return max(newest, self._use_stopped_at.get(service, Revision(0))) > revision

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services with a known leadership record."""
        return tuple(self._records)

    def is_valid(self, now: Instant) -> bool:
        """Return whether the permit is valid, regardless of the leadership records."""
        return now < self.expires_at

    def usable_primary(self, service: ServiceName, now: Instant) -> BackendId | None:
        """Return the primary of a service that this host may use now, or None."""
        known = self._records.get(service)
        if known is None or known.record.phase is not LeadershipPhase.OPEN:
            return None
        if self._use_stopped_at_or_after(service, known.revision):
            return None
        return known.record.primary if self.is_valid(now) else None

    def absence(self, service: ServiceName, now: Instant) -> PrimaryAbsence | None:
        """Return why this host may not use the primary of a service, or None if it may."""
        if self.usable_primary(service, now) is not None:
            return None
        known = self._records.get(service)
        if known is None:
            return PrimaryAbsence.NOT_RECORDED
        is_closed = known.record.phase is not LeadershipPhase.OPEN
        if is_closed or self._use_stopped_at_or_after(service, known.revision):
            return PrimaryAbsence.CHANGING
        return PrimaryAbsence.NO_PERMIT

    def _use_stopped_at_or_after(self, service: ServiceName, revision: Revision) -> bool:
        stopped_at = max(
            self._use_stopped_at.get(service, Revision(0)),
            self._new_work_stopped_at.get(service, Revision(0)),
        )
        return stopped_at >= revision

    def may_finish(self, service: ServiceName, backend: BackendId, now: Instant) -> bool:
        """Return whether work begun at a primary may continue and be acknowledged.

        A planned change of primary allows this until this host has stopped using the old one, also
        if its record is closed again after that.
        """
        known = self._records.get(service)
        if known is None or known.record.primary != backend or not self.is_valid(now):
            return False
        stopped_at = self._use_stopped_at.get(service)
        if stopped_at is not None and stopped_at >= self._opened_at.get(service, Revision(0)):
            return False
        is_open = known.record.phase is LeadershipPhase.OPEN
        return is_open or known.record.is_planned


@dataclass
class MissingPermitTimer:
    """Timer of how long this host has lacked a permit while another host may hold one."""

    _since: Instant | None = None

    def update(self, now: Instant, is_permitted: bool, others_may_serve: bool) -> None:
        """Stop the timer if this host has a permit or no other host may serve, else let it run."""
        if is_permitted or not others_may_serve:
            self._since = None
        elif self._since is None:
            self._since = now

    def has_expired(self, now: Instant) -> bool:
        """Return whether work for primaries should go to another host instead of waiting here."""
        return self._since is not None and now >= self._since + MISSING_PERMIT_LIMIT


class HostFencingState(Enum):
    """What is known of a host that may still use a primary.

    An ``ANSWERING`` host will confirm when asked to stop using it, a ``STOPPED_USING`` host has
    confirmed, and the process of an ``ENDED`` host is gone.
    """

    SILENT = "silent"
    ANSWERING = "answering"
    STOPPED_USING = "stopped_using"
    ENDED = "ended"


@dataclass
class Fencing:
    """Registered hosts that may still use a primary that is to be replaced."""

    pending_hosts: set[HostId] = field(default_factory=set)
    records: dict[HostId, HostRecord] = field(default_factory=dict)
    _permit_ends: dict[HostId, Instant] = field(default_factory=dict)
    _without_contact: set[HostId] = field(default_factory=set)

    @classmethod
    def from_hosts(cls, hosts: set[HostId]) -> Fencing:
        """Return a fencing for which all given hosts are pending."""
        return cls(set(hosts))

    @classmethod
    def from_records(cls, records: dict[HostId, HostRecord]) -> Fencing:
        """Return a fencing for which all hosts with a registration are pending."""
        return cls(set(records), dict(records))

    def record_state(self, host: HostId, state: HostFencingState) -> None:
        """Remove a host from ``pending_hosts`` unless it is silent."""
        if state is not HostFencingState.SILENT:
            self.pending_hosts.discard(host)

    def record_lease_end(self, host: HostId, confirmed_at: Instant) -> None:
        """Record that the store confirmed the end of a host's lease at ``confirmed_at``."""
        end = confirmed_at + PERMIT_END_DELAY
        self._permit_ends[host] = min(end, self._permit_ends.get(host, end))

    def record_contact_end(self, host: HostId, known_at: Instant) -> None:
        """Record that from ``known_at`` on too few hosts may confirm the ended lease of a host."""
        self._without_contact.add(host)
        self._permit_ends[host] = min(self._permit_ends[host], known_at + CONTACT_END_DELAY)

    def hosts_with_contact(self) -> set[HostId]:
        """Return the pending hosts with an ended lease that enough other hosts may confirm."""
        return (self.pending_hosts & self._permit_ends.keys()) - self._without_contact

    def time_until_complete(self, now: Instant) -> timedelta | None:
        """Return the time until the last pending permit expires, or None if that is unknown."""
        if not self.pending_hosts <= self._permit_ends.keys():
            return None
        ends = [self._permit_ends[host] for host in self.pending_hosts]
        return max([timedelta(0), *(end - now for end in ends)])

    @property
    def awaited_hosts(self) -> tuple[HostId, ...]:
        """Hosts that were silent, so that the ends of their permits count."""
        return tuple(sorted(self._permit_ends))

    def is_complete(self, now: Instant) -> bool:
        """Return whether no host can use the old primary any more."""
        for host, end in self._permit_ends.items():
            if now >= end:
                self.pending_hosts.discard(host)
        return not self.pending_hosts
