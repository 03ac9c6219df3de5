"""Messages between hickorywind's own processes.

Each type is a tagged ``msgspec`` struct encoded as a MessagePack array. New fields go to the end
and have a default; any other change requires a new ``PROTOCOL_VERSION``. Between hosts that play
all roles, ``call`` is a number that the sender gives to a request and finds in its reply.
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
    StoreEra,
    Term,
    TransactionId,
)
from hickorywind.ports.catalog import AccountId, PriorityRank
from hickorywind.protocol.hoststatus import HostStatusReply, HostStatusRequest
from hickorywind.protocol.records import Record
from hickorywind.results import Result
from hickorywind.store.interface import StoredValue
from hickorywind.util.decoding import ComputedMilliseconds, WholeMilliseconds
from hickorywind.util.deflate import deflate, inflate

PROTOCOL_VERSION = 1
MIN_DEFLATED_BYTES = 4096  # smaller values are registrations and leadership records
MAX_VALUE_BYTES = 16 * 1024 * 1024  # far above what stores accept for one item


class PreparedStatement(msgspec.Struct, frozen=True, array_like=True):
    """Prepared statement that a request's frames refer to.

    ``name`` is its name at backend servers, derived from the text so that equal statements of
    different sessions share it; ``parse_frame`` is the whole PostgreSQL Parse message.
    """

    name: str
    parse_frame: bytes


# Between entry and pool -----------------------------------------------------------------------


class Execute(msgspec.Struct, frozen=True, tag="ex", array_like=True):
    """Request to a pool to run one batch of PostgreSQL frames at a backend server.

    ``frames`` holds whole frontend messages ending in Query, Sync or Flush. ``request_id`` is
    unique within the sending entry's incarnation. ``pool_incarnation`` must be the receiver's,
    otherwise nothing runs, because a request queued for a dead pool must not run at its successor.
    ``remaining_ms`` is the time left until the deadline when the message was sent.
    ``transaction_id`` is the id of the request that opened the batch's transaction.
    ``expected_term`` is the term in which the sender takes the backend server for the primary;
    None for replicas. ``floor`` is the position that a replica must have applied.
    ``max_staleness_ms`` bounds the age of the data; None means no bound. ``idempotency_key`` asks
    the pool to record the request in the same transaction, so that it runs at most once however
    often it is sent.
    """

    request_id: RequestId
    pool_incarnation: Incarnation
    session_id: SessionId
    service: ServiceName
    backend: BackendId
    rank: Rank
    mode: AccessMode
    remaining_ms: WholeMilliseconds
    frames: bytes
    transaction_id: TransactionId | None = None
    expected_term: Term | None = None
    floor: LogPosition | None = None
    max_staleness_ms: WholeMilliseconds | None = None
    idempotency_key: str | None = None
    prepared: tuple[PreparedStatement, ...] = ()


class Cancel(msgspec.Struct, frozen=True, tag="ca", array_like=True):
    """Cancellation of a request; unless it has started, it never will, even if it comes later."""

    request_id: RequestId


class EndTransaction(msgspec.Struct, frozen=True, tag="et", array_like=True):
    """Request to roll back and release a transaction whose session has ended."""

    transaction_id: TransactionId


class AnswerCredit(msgspec.Struct, frozen=True, tag="ac", array_like=True):
    """Flow control: permission for the pool to send ``credit_bytes`` more of an answer."""

    request_id: RequestId
    credit_bytes: int


class EntryHeartbeat(msgspec.Struct, frozen=True, tag="eh", array_like=True):
    """Heartbeat of an entry; a pool rolls back the transactions of an entry that stops sending.

    A ``drain_step`` other than 0 confirms that step of the pool's drain: all that the pool sent
    before it has arrived, and no request follows except in open transactions.
    """

    host: HostId
    incarnation: Incarnation
    drain_step: int = 0


class PoolHeartbeat(msgspec.Struct, frozen=True, tag="ph", array_like=True):
    """Reply to an ``EntryHeartbeat``; entries confirm each ``drain_step`` other than 0 at once."""

    host: HostId
    incarnation: Incarnation
    draining: bool
    drain_step: int = 0


class AnswerPart(msgspec.Struct, frozen=True, tag="ap", array_like=True):
    """Part of an answer, made of whole backend frames; ``sequence`` counts from 0."""

    request_id: RequestId
    sequence: int
    frames: bytes


class TransactionState(Enum):
    """Transaction status byte of PostgreSQL's ReadyForQuery."""

    IDLE = "I"
    ACTIVE = "T"
    FAILED = "E"


class AnswerEnd(msgspec.Struct, frozen=True, tag="ae", array_like=True):
    """End of an answer.

    ``part_count`` is the number of ``AnswerPart`` messages sent before; an entry that received
    fewer must not relay the answer as complete. If the result is not OK, the entry composes the
    error message itself. ``position`` is the log position that the answer reflects, known to be
    committed. ``queued_ms`` and ``service_ms`` are used by routing and reports.
    """

    request_id: RequestId
    part_count: int
    result: Result
    transaction_state: TransactionState
    transaction_id: TransactionId | None = None
    position: LogPosition | None = None
    queued_ms: ComputedMilliseconds = 0.0
    service_ms: ComputedMilliseconds = 0.0


class CancelResult(msgspec.Struct, frozen=True, tag="cr", array_like=True):
    """Reply to ``Cancel``: the request had not started (not run) or had started (unknown)."""

    request_id: RequestId
    result: Result


# Between any process and a controller ----------------------------------------------------------


class VersionStamp(msgspec.Struct, frozen=True, array_like=True):
    """Key and version of a record, sent to compare tables without their contents."""

    key: str
    version: tuple[int, ...]


class Subscribe(msgspec.Struct, frozen=True, tag="su", array_like=True):
    """Request for all records that differ, sent as a heartbeat by entries and pools.

    ``table_digest`` is the digest of the sender's whole record table; ``incarnation`` is the
    sender's.
    """

    host: HostId
    role: str
    incarnation: Incarnation
    table_digest: int
    draining: bool = False


class RecordBatch(msgspec.Struct, frozen=True, tag="rb", array_like=True):
    """Records that the receiver merges into its table by key and version."""

    records: tuple[Record, ...]


class Ping(msgspec.Struct, frozen=True, tag="pi", array_like=True):
    """Probe of a controller, with recent records and the digest of the sender's table."""

    sequence: int
    host: HostId
    table_digest: int
    records: tuple[Record, ...] = ()


class PingAck(msgspec.Struct, frozen=True, tag="pa", array_like=True):
    """Reply to a ``Ping``."""

    sequence: int
    host: HostId
    table_digest: int
    records: tuple[Record, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, tag="ip", array_like=True):
    """Request to probe a third controller, which may be unreachable from the sender only."""

    sequence: int
    target: HostId


class IndirectPingAck(msgspec.Struct, frozen=True, tag="ia", array_like=True):
    """Reply to an ``IndirectPing``: the third controller answered."""

    sequence: int
    target: HostId


class BucketDigests(msgspec.Struct, frozen=True, tag="bd", array_like=True):
    """Digest of each bucket of the sender's table; keys are assigned to buckets by hash."""

    digests: tuple[int, ...]
    reply_wanted: bool = True


class BucketStamps(msgspec.Struct, frozen=True, tag="bs", array_like=True):
    """Record versions in the buckets that differ; the receiver replies with records."""

    buckets: tuple[int, ...]
    stamps: tuple[VersionStamp, ...]


# Between the command line and a controller -----------------------------------------------------


class StatusRequest(msgspec.Struct, frozen=True, tag="sr", array_like=True):
    """Request for a controller's view of the system."""


class StatusReply(msgspec.Struct, frozen=True, tag="sp", array_like=True):
    """Records of a controller, its revision in force and whether it reaches the store."""

    records: tuple[Record, ...]
    revision_in_force: Revision
    store_reachable: bool


class DrainRequest(msgspec.Struct, frozen=True, tag="dr", array_like=True):
    """Request to a controller to drain ``host`` and take it out of service."""

    host: HostId


class DrainReply(msgspec.Struct, frozen=True, tag="dp", array_like=True):
    """Reply to a ``DrainRequest``: whether the drain was accepted."""

    result: Result


class Refused(msgspec.Struct, frozen=True, tag="no", array_like=True):
    """Refusal of a message as a whole, e.g. for its protocol version."""

    result: Result


# Between hosts that play all roles ----------------------------------------------------------------


class PositionSample(msgspec.Struct, frozen=True, array_like=True):
    """Position that included all commits acknowledged ``age_ms`` before the message was sent."""

    service: ServiceName
    position: LogPosition
    age_ms: WholeMilliseconds


class Greeting(msgspec.Struct, frozen=True, tag="hello", array_like=True):
    """Identity of the sending host and the revisions of its copies of store prefixes.

    One whose ``call`` is 0 announces that copies have changed; nobody waits for its reply.
    ``leases`` holds the ids and eras of its leases, None in messages of older versions;
    ``registered_at`` is the revision of its registration.
    """

    call: int
    host: HostId
    incarnation: Incarnation
    zone: str
    address: Address
    revisions: dict[str, int]
    leases: tuple[tuple[int, StoreEra], ...] | None = None
    registered_at: Revision = Revision(0)


class PeerReport(msgspec.Struct, frozen=True, array_like=True):
    """Exception that a host reports of another one: it is silent, leaving or both.

    It has been silent for ``silent_ms`` (None: it is heard). ``age_ms`` is the time since the host
    that greets it said so.
    """

    host: HostId
    incarnation: Incarnation
    silent_ms: WholeMilliseconds | None
    is_leaving: bool
    age_ms: WholeMilliseconds


class LeavingServer(msgspec.Struct, frozen=True, array_like=True):
    """Backend server that has been known to leave for ``age_ms``, and its start in Unix time."""

    backend: BackendId
    started_at_ms: int
    age_ms: WholeMilliseconds


class GreetingReply(msgspec.Struct, frozen=True, tag="hello_ok", array_like=True):
    """Reply to a ``Greeting`` with the replying host's own state and newest position samples.

    ``holds_permit`` says that the replying host may use primaries for some time to come;
    ``reports`` holds what it knows of silent and leaving hosts. ``store_contact_ms`` is the age of
    the newest contact with the store that its copies reflect, None if it knows of none.
    ``ended_leases`` holds those that ended lately, and those of the greeting host.
    ``confirms_leases`` says that it lacks no end of these that the replying host was to record, of
    a lease whose permit may be valid. ``leaving`` holds the backend servers that leave.
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
    reports: tuple[PeerReport, ...] = ()
    store_contact_ms: WholeMilliseconds | None = None
    confirms_leases: bool = False
    leaving: tuple[LeavingServer, ...] = ()


class ConnectionYieldQuery(msgspec.Struct, frozen=True, tag="conn_yield", array_like=True):
    """Question to close a connection to a server of which the sender holds too few."""

    call: int
    service: ServiceName
    backend: BackendId


class ConnectionYieldReply(msgspec.Struct, frozen=True, tag="conn_yield_ok", array_like=True):
    """Reply to a ``ConnectionYieldQuery``: whether a connection is closed, now or soon."""

    call: int
    is_yielded: bool


class EndedLease(msgspec.Struct, frozen=True, array_like=True):
    """Lease whose end the store confirmed at least ``age_ms`` ago.

    Too few hosts may confirm it for ``without_contact_ms`` or longer, None if that is not known.
    """

    lease: int
    age_ms: WholeMilliseconds
    era: StoreEra = StoreEra(0)
    without_contact_ms: WholeMilliseconds | None = None


class RecordLeaseEnds(msgspec.Struct, frozen=True, tag="lease_ends", array_like=True):
    """Request to record ended leases, and so to confirm them to their hosts no longer."""

    call: int
    leases: tuple[EndedLease, ...]


class LeaseEndsRecorded(msgspec.Struct, frozen=True, tag="lease_ends_ok", array_like=True):
    """Reply to ``RecordLeaseEnds`` with the name of the replying host."""

    call: int
    host: HostId


class CopyQuery(msgspec.Struct, frozen=True, tag="copy", array_like=True):
    """Request for a peer's copy of the store items under a prefix that changed after a revision."""

    call: int
    prefix: str
    after: Revision = Revision(0)
    accepts_deflated: bool = False


class CopiedItem(msgspec.Struct, frozen=True, array_like=True):
    """Store item within a copy; a large value may be deflated."""

    key: str
    value: bytes
    revision: Revision
    is_deflated: bool = False

    @classmethod
    def from_stored(cls, item: StoredValue, deflates: bool = False) -> CopiedItem:
        """Convert an item as read from the store, and deflate a large value if wanted."""
        if not deflates or len(item.value) < MIN_DEFLATED_BYTES:
            return cls(item.key, item.value, item.revision)
        return cls(item.key, deflate(item.value), item.revision, True)

    def to_stored(self) -> StoredValue:
        """Return the item in the form in which it was read from the store.

        Raise ``DeflatedDataError`` if its value can't be inflated.
        """
        value = inflate(self.value, MAX_VALUE_BYTES) if self.is_deflated else self.value
        return StoredValue(self.key, value, self.revision)


class CopyReply(msgspec.Struct, frozen=True, tag="copy_ok", array_like=True):
    """Copy of the store items under a prefix, current up to the revision ``as_of``.

    It is sent without a query (with call 0) when the sender's copy has just changed.
    """

    call: int
    prefix: str
    as_of: Revision
    items: tuple[CopiedItem, ...]


class ReachQuery(msgspec.Struct, frozen=True, tag="reach", array_like=True):
    """Question whether a peer can connect to a backend server."""

    call: int
    backend: BackendId


class ReachReply(msgspec.Struct, frozen=True, tag="reach_ok", array_like=True):
    """Reply to a ``ReachQuery``: whether the backend server accepted a connection just now."""

    call: int
    is_reachable: bool


class RefusalQuery(msgspec.Struct, frozen=True, tag="refusal", array_like=True):
    """Question whether another host refuses the connections of a peer."""

    call: int
    host: HostId


class RefusalReply(msgspec.Struct, frozen=True, tag="refusal_ok", array_like=True):
    """Reply to a ``RefusalQuery``: whether a connection was refused just now."""

    call: int
    is_refused: bool


class ResponsivenessQuery(msgspec.Struct, frozen=True, tag="answers", array_like=True):
    """Question whether a backend server, which accepts connections, also answers a peer."""

    call: int
    service: ServiceName
    backend: BackendId


class ResponsivenessReply(msgspec.Struct, frozen=True, tag="answers_ok", array_like=True):
    """Reply: whether the backend server answered recently, or on a new connection."""

    call: int
    is_responsive: bool


class StopPrimaryUse(msgspec.Struct, frozen=True, tag="close", array_like=True):
    """Request to stop using the primary of a service; a planned change lets work end first."""

    call: int
    service: ServiceName
    revision: Revision
    is_planned: bool


class PrimaryUseStopped(msgspec.Struct, frozen=True, tag="closed", array_like=True):
    """Reply: the host does not use the primary until a newer record opens the service."""

    call: int


class LeaseRenewalQuery(msgspec.Struct, frozen=True, tag="renew", array_like=True):
    """Request to a peer that reaches the store to renew the sender's lease."""

    call: int
    lease: int
    era: StoreEra = StoreEra(0)


class StoreReadRequest(msgspec.Struct, frozen=True, tag="read", array_like=True):
    """Request to a host that reaches the store to read the items under a prefix.

    With ``after``, its changes after that revision are enough.
    """

    call: int
    prefix: str
    after: Revision = Revision(0)


class StoreReadReply(msgspec.Struct, frozen=True, tag="read_ok", array_like=True):
    """Items under a prefix, read from the store after the request arrived.

    With ``after``, only what changed after that revision; ``deleted`` holds the keys that were
    deleted last, with the revisions of their deletion.
    """

    call: int
    as_of: Revision
    items: tuple[CopiedItem, ...]
    after: Revision = Revision(0)
    deleted: dict[str, Revision] = {}


class StoreWriteRequest(msgspec.Struct, frozen=True, tag="write", array_like=True):
    """Request to a host that reaches the store to write an item last changed at ``after``."""

    call: int
    key: str
    after: Revision
    value: bytes


class StoreWriteReply(msgspec.Struct, frozen=True, tag="write_ok", array_like=True):
    """Revision of the write; None if the item had changed meanwhile and was not written."""

    call: int
    revision: Revision | None


class EndLease(msgspec.Struct, frozen=True, tag="end", array_like=True):
    """Request to a host that reaches the store to end a lease."""

    call: int
    lease: int
    era: StoreEra = StoreEra(0)


class EndLeaseReply(msgspec.Struct, frozen=True, tag="end_ok", array_like=True):
    """Reply: the store confirmed the end of the lease."""

    call: int


class LeaseRenewalReply(msgspec.Struct, frozen=True, tag="renew_ok", array_like=True):
    """Reply: whether the store renewed the lease; None if the store did not answer."""

    call: int
    is_renewed: bool | None


class QuotaQuery(msgspec.Struct, frozen=True, tag="quota", array_like=True):
    """Request of ``host`` to the home of a client account for ``wanted`` operations.

    ``is_home_lost`` says that the hosts that would keep the account's quota before the receiver
    refuse connections, so that the receiver stands in for them.
    """

    call: int
    host: HostId
    account: AccountId
    rank: PriorityRank
    wanted: int
    is_home_lost: bool = False


class QuotaReply(msgspec.Struct, frozen=True, tag="quota_ok", array_like=True):
    """Reply: how many operations may start, or the time until tokens are expected.

    ``wait_ms`` is None if operations were granted. With neither, the replying host knows no quota
    for the account.
    """

    call: int
    granted: int
    wait_ms: WholeMilliseconds | None = None


class QuotaTakeover(msgspec.Struct, frozen=True, tag="quota_home", array_like=True):
    """Notice of a host that it has become the home of a group of client accounts."""

    call: int
    group: str


class QuotaYielded(msgspec.Struct, frozen=True, tag="quota_home_ok", array_like=True):
    """Reply: the host keeps no quotas of the group while others may still ask it."""

    call: int


class SharedRead(msgspec.Struct, frozen=True, tag="sread", array_like=True):
    """Request to the home of a backend server to run a read there for a caller of the sender.

    ``text`` is the statement, or the arguments of a prepared one whose text is ``template``.
    ``values`` are the session's values. The server has to hold ``min_position``; None asks for the
    primary. The read may wait for ``remaining_ms`` and take ``timeout_ms`` at the server.
    """

    call: int
    request_id: str
    service: ServiceName
    backend: BackendId
    account: str | None
    rank: int
    text: str
    template: str | None
    values: dict[str, str]
    min_position: LogPosition | None
    remaining_ms: WholeMilliseconds
    timeout_ms: WholeMilliseconds


class SharedReadReply(msgspec.Struct, frozen=True, tag="sread_ok", array_like=True):
    """Reply to a ``SharedRead``: the server's answer, or a refusal if the read did not run.

    ``is_from_primary`` says that the home used the server as the primary before and after the read.
    ``expected_ms`` is how long the home expects the next read at the server to take.
    """

    call: int
    refusal: Result | None
    rows: tuple[str, ...]
    completion_tag: str
    error_kind: str | None
    error_text: str
    position: LogPosition | None
    is_from_primary: bool
    expected_ms: WholeMilliseconds


class LivenessQuery(msgspec.Struct, frozen=True, tag="alive", array_like=True):
    """Question whether a host answers at all, much smaller than a greeting."""

    call: int


class LivenessReply(msgspec.Struct, frozen=True, tag="alive_ok", array_like=True):
    """Reply to a ``LivenessQuery``."""

    call: int


class PositionQuery(msgspec.Struct, frozen=True, tag="pos", array_like=True):
    """Request to the home of a service's primary for a recent sample of its log position."""

    call: int
    service: ServiceName
    primary: BackendId


class PositionReply(msgspec.Struct, frozen=True, tag="pos_ok", array_like=True):
    """Reply to a ``PositionQuery``; no sample if the home does not use this server as primary."""

    call: int
    sample: PositionSample | None


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
    | RefusalQuery
    | RefusalReply
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
    | RecordLeaseEnds
    | LeaseEndsRecorded
    | ConnectionYieldQuery
    | ConnectionYieldReply
    | SharedRead
    | LivenessQuery
    | LivenessReply
    | SharedReadReply
    | PositionQuery
    | PositionReply
    | QuotaQuery
    | QuotaReply
    | QuotaTakeover
    | QuotaYielded
    | HostStatusRequest
    | HostStatusReply
)
