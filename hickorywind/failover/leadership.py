"""Decide who may use the primary of a service, and record who leads it.

The store holds one record per service. A host uses a primary only while the record it last saw is
open and its own permit is in force. A permit lasts ``PERMIT_DURATION`` from the *sending* of the
last proof that the host's lease had not been ended. A host that replaces a primary first closes the
record, then gets the word of every registered host, or ends the lease of those that stay silent and
waits until their permits have run out.

A silent host need not be waited for while the old primary's process is known to be gone: hosts
verify the role on each new connection to a primary, and a server that crashed comes back as a
replica once another leads.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

import msgspec

from hickorywind.ids import Address, AvailabilityZone, BackendId, HostId, Revision, ServiceName
from hickorywind.ports.coordination import LeaseId
from hickorywind.util.clock import Instant

PERMIT_DURATION = timedelta(seconds=7)  # outlasts the store's usual outages
PERMIT_RENEWAL_INTERVAL = timedelta(seconds=1)  # six tries within a permit
# A permit is treated as longer by whoever waits for it to run out, for clocks that drift.
PERMIT_DRIFT_MARGIN = timedelta(milliseconds=200)
PERMIT_END_DELAY = PERMIT_DURATION + PERMIT_DRIFT_MARGIN  # after the confirmed end of a lease

# A whole fleet that regains the store has its permits again within a renewal and a greeting.
MISSING_PERMIT_LIMIT = timedelta(milliseconds=1500)


class LeadershipPhase(Enum):
    """Say whether the primary named in a record may be used."""

    OPEN = "open"
    CLOSED = "closed"


class LeadershipRecord(msgspec.Struct, frozen=True):
    """Name the primary of a service; while closed, who replaces it and by what.

    ``change`` counts the primary changes begun for the service.
    """

    primary: BackendId
    phase: LeadershipPhase
    change: int
    promoter: HostId = HostId("")
    candidate: BackendId = BackendId("")
    is_planned: bool = False


class HostRecord(msgspec.Struct, frozen=True):
    """Register a host in the store until it is known to have ended.

    ``stopped`` holds, by service, the closing record after which this life stopped using the
    primary, where peers may not have heard so.
    """

    host: HostId
    incarnation: int
    zone: AvailabilityZone
    address: Address
    lease: LeaseId
    stopped: dict[ServiceName, Revision] = {}


def encode_record(record: LeadershipRecord | HostRecord) -> bytes:
    """Render a record for the store."""
    return msgspec.json.encode(record)


def decode_leadership(value: bytes) -> LeadershipRecord | None:
    """Read a leadership record; None where it can't be read."""
    try:
        return msgspec.json.decode(value, type=LeadershipRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def decode_host(value: bytes) -> HostRecord | None:
    """Read a host's registration; None where it can't be read."""
    try:
        return msgspec.json.decode(value, type=HostRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


@dataclass(frozen=True, slots=True)
class VersionedLeadership:
    """Pair a record with the store revision at which it last changed."""

    record: LeadershipRecord
    revision: Revision


@dataclass
class Permits:
    """Hold this host's right to use primaries, by a clock that runs through suspension."""

    valid_until: Instant = timedelta(0)
    _records: dict[ServiceName, VersionedLeadership] = field(default_factory=dict)
    _use_stopped_at: dict[ServiceName, Revision] = field(default_factory=dict)
    _new_work_stopped_at: dict[ServiceName, Revision] = field(default_factory=dict)

    def extend(self, proof_sent: Instant) -> None:
        """Count a proof, asked for at ``proof_sent``, that the lease had not been ended."""
        self.valid_until = max(self.valid_until, proof_sent + PERMIT_DURATION)

    def revoke(self) -> None:
        """Drop the right at once: the lease is known to have ended."""
        self.valid_until = timedelta(0)

    def learn(self, service: ServiceName, leadership: VersionedLeadership) -> bool:
        """Take in a record; return whether it is newer than the one known."""
        known = self._records.get(service)
        if known is not None and known.revision >= leadership.revision:
            return False
        self._records[service] = leadership
        return True

    def stop_using(self, service: ServiceName, revision: Revision) -> None:
        """Stop using the primary until a record newer than the closing ``revision`` opens it."""
        self._use_stopped_at[service] = max(
            revision, self._use_stopped_at.get(service, Revision(0))
        )

    def stop_new_work(self, service: ServiceName, revision: Revision) -> None:
        """Begin no work at the primary until a record newer than ``revision`` opens it."""
        self._new_work_stopped_at[service] = max(
            revision, self._new_work_stopped_at.get(service, Revision(0))
        )

    def leadership(self, service: ServiceName) -> VersionedLeadership | None:
        """Return the newest record known."""
        return self._records.get(service)

    def is_superseded(self, service: ServiceName, revision: Revision) -> bool:
        """Tell whether a record newer than ``revision`` is known, or a host that acts on one."""
        known = self._records.get(service)
        newest = Revision(0) if known is None else known.revision
        return max(newest, self._use_stopped_at.get(service, Revision(0))) > revision

    def services(self) -> tuple[ServiceName, ...]:
        """Return the services with a record."""
        return tuple(self._records)

    def is_valid(self, now: Instant) -> bool:
        """Tell whether the permit is in force, whatever the records say."""
        return now < self.valid_until

    def usable_primary(self, service: ServiceName, now: Instant) -> BackendId | None:
        """Return the primary that may be used at this instant, or None."""
        known = self._records.get(service)
        if known is None or known.record.phase is not LeadershipPhase.OPEN:
            return None
        stopped_at = max(
            self._use_stopped_at.get(service, Revision(0)),
            self._new_work_stopped_at.get(service, Revision(0)),
        )
        if stopped_at >= known.revision:
            return None
        return known.record.primary if self.is_valid(now) else None

    def may_finish(self, service: ServiceName, backend: BackendId, now: Instant) -> bool:
        """Tell whether work begun at a primary may go on and be acknowledged.

        A planned change lets it until this host has given its word that it stopped.
        """
        known = self._records.get(service)
        if known is None or known.record.primary != backend or not self.is_valid(now):
            return False
        if self._use_stopped_at.get(service, Revision(0)) >= known.revision:
            return False
        is_open = known.record.phase is LeadershipPhase.OPEN
        return is_open or known.record.is_planned


@dataclass
class MissingPermitTimer:
    """Track for how long this host has lacked a permit that another host holds or may hold."""

    _since: Instant | None = None

    def update(self, now: Instant, is_permitted: bool, others_may_serve: bool) -> None:
        """Count what is known at an instant."""
        if is_permitted or not others_may_serve:
            self._since = None
        elif self._since is None:
            self._since = now

    def has_expired(self, now: Instant) -> bool:
        """Tell whether work for primaries is better sent to another host than kept waiting."""
        return self._since is not None and now >= self._since + MISSING_PERMIT_LIMIT


class HostFencingState(Enum):
    """Say what is known of a host that may still use a primary."""

    SILENT = "silent"
    ANSWERING = "answering"
    STOPPED_USING = "stopped_using"
    ENDED = "ended"


@dataclass
class Fencing:
    """Track which registered hosts may still use a primary that is to be replaced."""

    pending_hosts: set[HostId] = field(default_factory=set)
    is_primary_gone: bool = False
    _permit_ends: dict[HostId, Instant] = field(default_factory=dict)

    @classmethod
    def from_hosts(cls, hosts: set[HostId]) -> Fencing:
        """Start with every registered host."""
        return cls(set(hosts))

    def record_state(self, host: HostId, state: HostFencingState) -> None:
        """Count a host's word, the proof that its process has ended, or that its word will come."""
        if state is not HostFencingState.SILENT:
            self.pending_hosts.discard(host)

    def record_lease_end(self, host: HostId, confirmed_at: Instant) -> None:
        """Count that the store confirmed the end of a host's lease at ``confirmed_at``."""
        self._permit_ends[host] = confirmed_at + PERMIT_END_DELAY

    def time_until_complete(self, now: Instant) -> timedelta | None:
        """Return after what time the last permit has run out; None where that is not known."""
        if not self.pending_hosts <= self._permit_ends.keys():
            return None
        ends = [self._permit_ends[host] for host in self.pending_hosts]
        return max([timedelta(0), *(end - now for end in ends)])

    def is_complete(self, now: Instant) -> bool:
        """Tell whether no host can use the old primary any more."""
        for host, end in self._permit_ends.items():
            if now >= end:
                self.pending_hosts.discard(host)
        return self.is_primary_gone or not self.pending_hosts
