"""State of one request while the pool handles it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import NamedTuple

from hickorywind.admission.requests import WaitingRequest
from hickorywind.ids import (
    EMPTY_LOG,
    AccessMode,
    InstanceRole,
    LogPosition,
    RequestId,
    Term,
    TransactionId,
)
from hickorywind.pool.answers import AnswerStream
from hickorywind.pool.backendconnection import BackendConnection
from hickorywind.pool.batches import leaves_transaction_open, shows_no_data
from hickorywind.postgres.frames import Frame, FrameSplitter, FrameTooLargeError
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import Execute
from hickorywind.results import HickorywindError, Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds

_BATCH_LIMIT_BYTES = 64 * 1024 * 1024
_BATCH_END_KINDS = (b"Q", b"S", b"H", b"F")


class RequestKey(NamedTuple):
    """Key of a request; request ids are unique within one entry only."""

    entry_id: PeerId
    request_id: RequestId


class TransactionKey(NamedTuple):
    """Key of a transaction; transaction ids are unique within one entry only."""

    entry_id: PeerId
    transaction_id: TransactionId


def split_batch(data: bytes) -> tuple[Frame, ...]:
    """Split a batch into messages; raise ``HickorywindError`` if it is incomplete or too large."""
    splitter = FrameSplitter(_BATCH_LIMIT_BYTES)
    try:
        frames = tuple(splitter.feed(data))
    except FrameTooLargeError as error:
        raise _malformed(str(error)) from error
    if splitter.buffered_bytes or not frames or frames[-1].kind not in _BATCH_END_KINDS:
        raise _malformed("the batch does not consist of complete messages")
    return frames


def _malformed(reason: str) -> HickorywindError:
    return HickorywindError(Result.not_run(ResultCode.MALFORMED_MESSAGE, reason))


@dataclass(slots=True, eq=False)
class PoolRequest:
    """Request received from an entry and the state of its execution.

    ``may_have_run`` is set just before the first byte is sent to a backend server; from then on
    the request must not be reported as not run. ``role_at_start``, ``term_at_start`` and
    ``applied_at_start`` are the last known role, term and applied position of the backend server
    when the request was started. ``connection`` is set while the batch runs.
    ``joined_transaction`` is set once the batch is counted in the transaction that it continues.
    ``position`` is the log position that the backend server reported after the batch, None if the
    batch can't show data.
    """

    key: RequestKey
    message: Execute
    frames: tuple[Frame, ...]
    arrived_at: Instant
    deadline: Instant
    answer: AnswerStream
    may_have_run: bool = False
    started_at: Instant | None = None
    role_at_start: InstanceRole | None = None
    term_at_start: Term = Term(0)
    applied_at_start: LogPosition = EMPTY_LOG
    connection: BackendConnection | None = None
    is_abandoned: bool = False
    joined_transaction: bool = False
    position: LogPosition | None = None
    deadline_timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_message(
        cls, key: RequestKey, message: Execute, clock: Clock, answer: AnswerStream
    ) -> PoolRequest:
        """Build a request; raise ``HickorywindError`` for a malformed batch."""
        now = clock.now()
        deadline = now + milliseconds(message.remaining_ms)
        return cls(key, message, split_batch(message.frames), now, deadline, answer)

    @property
    def transaction_key(self) -> TransactionKey | None:
        """Return the key of the open transaction that the batch continues, if any."""
        transaction_id = self.message.transaction_id
        return None if transaction_id is None else TransactionKey(self.key.entry_id, transaction_id)

    @property
    def new_transaction_key(self) -> TransactionKey:
        """Return the key of the transaction that this batch may open."""
        return TransactionKey(self.key.entry_id, TransactionId(int(self.key.request_id)))

    @property
    def is_write(self) -> bool:
        """Return whether the request may change data."""
        return self.message.mode is AccessMode.WRITE

    @property
    def is_safe_to_retry(self) -> bool:
        """Return whether the request can be run again without applying a write twice."""
        return not self.is_write or self.message.idempotency_key is not None

    @property
    def opens_transaction(self) -> bool:
        """Return whether the batch is expected to open a transaction and leave it open."""
        if self.message.transaction_id is not None:
            return False
        return leaves_transaction_open(self.frames)

    @property
    def is_read_without_data(self) -> bool:
        """Return whether the request is a read outside a transaction that can't show data.

        After such a batch the backend server reports no position, so the last one known is older.
        """
        is_outside_transaction = self.message.transaction_id is None
        return not self.is_write and is_outside_transaction and shows_no_data(self.frames)

    def to_waiting_request(self) -> WaitingRequest:
        """Return the request in the form that the admission queue takes."""
        message = self.message
        return WaitingRequest(
            self.key,
            message.session_id,
            message.rank,
            len(message.frames),
            self.arrived_at,
            self.deadline,
            message.transaction_id is not None,
        )
