"""Define every message between hickorywind's own processes.

Each type is a tagged ``msgspec`` struct encoded as a MessagePack array. Fields are only ever added
at the end and with a default; any other change raises ``PROTOCOL_VERSION``.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from hickorywind.ids import (
    AccessMode,
    Address,
    BackendId,
    HostId,
    Incarnation,
    LogPosition,
    Rank,
    RequestId,
    Revision,
    ServiceName,
    SessionId,
    Term,
    TransactionId,
)
from hickorywind.protocol.hoststatus import HostStatusReply, HostStatusRequest
from hickorywind.protocol.records import Record
from hickorywind.results import Result
from hickorywind.store.interface import StoredValue

PROTOCOL_VERSION = 1


class PreparedStatement(msgspec.Struct, frozen=True, array_like=True):
    """Define a prepared statement that a request's frames refer to.

    ``name`` is the name used at backend servers (derived from the text, so that equal statements
    of different sessions share it); ``parse_frame`` is the whole PostgreSQL Parse message.
    """

    name: str
    parse_frame: bytes


# Between entry and pool -----------------------------------------------------------------------


class Execute(msgspec.Struct, frozen=True, tag="ex", array_like=True):
    """Ask a pool to run one batch of PostgreSQL frames at a backend server.

    ``frames`` holds whole frontend messages ending in Query, Sync or Flush. ``request_id`` is
    unique within the sending entry's incarnation. ``pool_incarnation`` must be the receiver's,
    otherwise nothing runs: a request queued for a dead pool must not run at its successor.
    ``remaining_ms`` is the time left until the deadline when the message was sent.
    ``transaction_id`` is the request id that opened the transaction the batch belongs to.
    ``expected_term`` is the term of which the sender believes the backend to be primary; None for
    replicas. ``floor`` is the position a replica must have applied. ``max_staleness_ms`` bounds
    the age of the data; None is unbounded. ``idempotency_key`` asks the pool to record the request
    in the same transaction, so that it runs at most once however often it is sent.
    """

    request_id: RequestId
    pool_incarnation: Incarnation
    session_id: SessionId
    service: ServiceName
    backend: BackendId
    rank: Rank
    mode: AccessMode
    remaining_ms: int
    frames: bytes
    transaction_id: TransactionId | None = None
    expected_term: Term | None = None
    floor: LogPosition | None = None
    max_staleness_ms: int | None = None
    idempotency_key: str | None = None
    prepared: tuple[PreparedStatement, ...] = ()


class Cancel(msgspec.Struct, frozen=True, tag="ca", array_like=True):
    """Withdraw a request; a pool that has not started it never will, also if it comes later."""

    request_id: RequestId


class EndTransaction(msgspec.Struct, frozen=True, tag="et", array_like=True):
    """Roll back and release a transaction whose session has ended."""

    transaction_id: TransactionId


class AnswerCredit(msgspec.Struct, frozen=True, tag="ac", array_like=True):
    """Allow the pool to send further bytes of an answer."""

    request_id: RequestId
    credit_bytes: int


class EntryHeartbeat(msgspec.Struct, frozen=True, tag="eh", array_like=True):
    """Tell a pool that an entry lives; a silent entry's transactions are rolled back."""

    host: HostId
    incarnation: Incarnation


class PoolHeartbeat(msgspec.Struct, frozen=True, tag="ph", array_like=True):
    """Answer an ``EntryHeartbeat``."""

    host: HostId
    incarnation: Incarnation
    draining: bool


class AnswerPart(msgspec.Struct, frozen=True, tag="ap", array_like=True):
    """Carry whole backend frames of an answer; ``sequence`` counts from 0."""

    request_id: RequestId
    sequence: int
    frames: bytes


class TransactionState(Enum):
    """Mirror the status byte of PostgreSQL's ReadyForQuery."""

    IDLE = "I"
    ACTIVE = "T"
    FAILED = "E"


class AnswerEnd(msgspec.Struct, frozen=True, tag="ae", array_like=True):
    """Close an answer.

    ``part_count`` is the number of ``AnswerPart`` messages sent before; an entry that holds fewer
    must not pass the answer on as whole. With a result that is not OK the entry composes the
    error itself. ``position`` is the proven log position that the answer reflects.
    ``queued_ms`` and ``service_ms`` feed routing and reports.
    """

    request_id: RequestId
    part_count: int
    result: Result
    transaction_state: TransactionState
    transaction_id: TransactionId | None = None
    position: LogPosition | None = None
    queued_ms: float = 0.0
    service_ms: float = 0.0


class CancelResult(msgspec.Struct, frozen=True, tag="cr", array_like=True):
    """Say whether a cancelled request was stopped before it started (not run) or not (unknown)."""

    request_id: RequestId
    result: Result


# Between any process and a controller ----------------------------------------------------------


class VersionStamp(msgspec.Struct, frozen=True, array_like=True):
    """Name a record's key and version in a digest."""

    key: str
    version: tuple[int, ...]


class Subscribe(msgspec.Struct, frozen=True, tag="su", array_like=True):
    """Ask a controller for all records that differ; sent as a heartbeat by entries and pools.

    ``table_digest`` is the sender's digest of its whole table; ``incarnation`` that of the sender.
    """

    host: HostId
    role: str
    incarnation: Incarnation
    table_digest: int
    draining: bool = False


class RecordBatch(msgspec.Struct, frozen=True, tag="rb", array_like=True):
    """Carry records; the receiver merges them by key and version."""

    records: tuple[Record, ...]


class Ping(msgspec.Struct, frozen=True, tag="pi", array_like=True):
    """Probe a controller; carries recent records and the sender's bucket digests."""

    sequence: int
    host: HostId
    table_digest: int
    records: tuple[Record, ...] = ()


class PingAck(msgspec.Struct, frozen=True, tag="pa", array_like=True):
    """Answer a ``Ping``."""

    sequence: int
    host: HostId
    table_digest: int
    records: tuple[Record, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, tag="ip", array_like=True):
    """Ask a controller to probe a third one, which may be cut off from the sender only."""

    sequence: int
    target: HostId


class IndirectPingAck(msgspec.Struct, frozen=True, tag="ia", array_like=True):
    """Report that the third controller answered."""

    sequence: int
    target: HostId


class BucketDigests(msgspec.Struct, frozen=True, tag="bd", array_like=True):
    """Compare two tables bucket by bucket (keys are spread over buckets by hash)."""

    digests: tuple[int, ...]
    reply_wanted: bool = True


class BucketStamps(msgspec.Struct, frozen=True, tag="bs", array_like=True):
    """List the versions held in the buckets that differ; the receiver answers with records."""

    buckets: tuple[int, ...]
    stamps: tuple[VersionStamp, ...]


# Between the command line and a controller -----------------------------------------------------


class StatusRequest(msgspec.Struct, frozen=True, tag="sr", array_like=True):
    """Ask a controller for its view of the system."""


class StatusReply(msgspec.Struct, frozen=True, tag="sp", array_like=True):
    """Report a controller's records and what it knows of revisions in force."""

    records: tuple[Record, ...]
    revision_in_force: Revision
    store_reachable: bool


class DrainRequest(msgspec.Struct, frozen=True, tag="dr", array_like=True):
    """Ask a controller to take its host out of service gracefully."""

    host: HostId


class DrainReply(msgspec.Struct, frozen=True, tag="dp", array_like=True):
    """Say whether the drain was accepted."""

    result: Result


class Refused(msgspec.Struct, frozen=True, tag="no", array_like=True):
    """Refuse a message as a whole, e.g. for its protocol version."""

    result: Result


# Between hosts that play all roles ----------------------------------------------------------------


class PositionSample(msgspec.Struct, frozen=True, array_like=True):
    """Give a position that held all commits acknowledged ``age_ms`` before the message was sent."""

    service: ServiceName
    position: LogPosition
    age_ms: int


class Greeting(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """Tell a peer who and how current this host is; revisions are those of its store copies."""

    call: int
    host: HostId
    incarnation: Incarnation
    zone: str
    address: Address
    revisions: dict[str, int]


class GreetingReply(msgspec.Struct, frozen=True, tag="hello_ok", array_like=True):
    """Answer a greeting with the receiver's own state and fresh position samples.

    ``holds_permit`` says that the receiver may use primaries for some time to come.
    """

    call: int
    host: HostId
    incarnation: Incarnation
    zone: str
    revisions: dict[str, int]
    samples: tuple[PositionSample, ...]
    is_leaving: bool
    ended_leases: tuple[EndedLease, ...] = ()
    holds_permit: bool = False


class EndedLease(msgspec.Struct, frozen=True, array_like=True):
    """Say that the store confirmed the end of a host's lease at least ``age_ms`` ago."""

    lease: int
    age_ms: int


class CopyQuery(msgspec.Struct, frozen=True, tag="copy", array_like=True):
    """Ask for a peer's copy of the store items under a prefix."""

    call: int
    prefix: str


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """Hold one store item."""

    key: str
    value: bytes
    revision: Revision

    @classmethod
    def from_stored(cls, item: StoredValue) -> CopiedItem:
        """Render an item as read from the store."""
        return cls(item.key, item.value, item.revision)

    def to_stored(self) -> StoredValue:
        """Return the item as the store gave it."""
        return StoredValue(self.key, self.value, self.revision)


class CopyReply(msgspec.Struct, frozen=True, tag="copy_ok", array_like=True):
    """Hand over a copy of the store items under a prefix, current up to a revision.

    Sent without a query (call 0) where the sender knows that the copy has just changed.
    """

    call: int
    prefix: str
    as_of: Revision
    items: tuple[CopiedItem, ...]


class ReachQuery(msgspec.Struct, frozen=True, tag="reach", array_like=True):
    """Ask whether a peer reaches a backend server."""

    call: int
    backend: BackendId


class ReachReply(msgspec.Struct, frozen=True, tag="reach_ok", array_like=True):
    """Say whether a backend server accepted a connection just now."""

    call: int
    is_reachable: bool


class ResponsivenessQuery(msgspec.Struct, frozen=True, tag="answers", array_like=True):
    """Ask whether a backend server that accepts connections answers a peer."""

    call: int
    service: ServiceName
    backend: BackendId


class ResponsivenessReply(msgspec.Struct, frozen=True, tag="answers_ok", array_like=True):
    """Say whether a backend server answered anything lately, or on a new connection."""

    call: int
    is_responsive: bool


class StopPrimaryUse(msgspec.Struct, frozen=True, tag="close", array_like=True):
    """Ask a host to stop using the primary of a service; planned changes let work end first."""

    call: int
    service: ServiceName
    revision: Revision
    is_planned: bool


class PrimaryUseStopped(msgspec.Struct, frozen=True, tag="closed", array_like=True):
    """Say that the host uses the primary no more until a newer record opens the service."""

    call: int


class LeaseRenewalQuery(msgspec.Struct, frozen=True, tag="renew", array_like=True):
    """Ask a peer that reaches the store to renew the sender's lease."""

    call: int
    lease: int


class StoreReadRequest(msgspec.Struct, frozen=True, tag="read", array_like=True):
    """Ask a host that reaches the store to read the items under a prefix."""

    call: int
    prefix: str


class StoreReadReply(msgspec.Struct, frozen=True, tag="read_ok", array_like=True):
    """Hand over the items under a prefix, read from the store after the question came."""

    call: int
    as_of: Revision
    items: tuple[CopiedItem, ...]


class StoreWriteRequest(msgspec.Struct, frozen=True, tag="write", array_like=True):
    """Ask a host that reaches the store to write an item that last changed at ``after``."""

    call: int
    key: str
    after: Revision
    value: bytes


class StoreWriteReply(msgspec.Struct, frozen=True, tag="write_ok", array_like=True):
    """Report the revision of a write; None where the item had changed otherwise."""

    call: int
    revision: Revision | None


class EndLease(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """Ask a host that reaches the store to end a lease."""

    call: int
    lease: int


class EndLeaseReply(msgspec.Struct, frozen=True, tag="end_ok", array_like=True):
    """Say that the store confirmed the end of a lease."""

    call: int


class LeaseRenewalReply(msgspec.Struct, frozen=True, tag="renew_ok", array_like=True):
    """Say whether the store renewed the lease; None where the store did not answer."""

    call: int
    is_renewed: bool | None


Message = (
    Execute
    | Cancel
    | EndTransaction
    | AnswerCredit
    | EntryHeartbeat
    | PoolHeartbeat
    | AnswerPart
    | AnswerEnd
    | CancelResult
    | Subscribe
    | RecordBatch
    | Ping
    | PingAck
    | IndirectPing
    | IndirectPingAck
    | BucketDigests
    | BucketStamps
    | StatusRequest
    | StatusReply
    | DrainRequest
    | DrainReply
    | Refused
    | Greeting
    | GreetingReply
    | CopyQuery
    | CopyReply
    | ReachQuery
    | ReachReply
    | ResponsivenessQuery
    | ResponsivenessReply
    | StopPrimaryUse
    | PrimaryUseStopped
    | LeaseRenewalQuery
    | LeaseRenewalReply
    | StoreReadRequest
    | StoreReadReply
    | StoreWriteRequest
    | StoreWriteReply
    | EndLease
    | EndLeaseReply
    | HostStatusRequest
    | HostStatusReply
)
