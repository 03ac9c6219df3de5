"""Carry one request through the pool."""

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
from hickorywind.pool.batches import leaves_transaction_open
from hickorywind.postgres.frames import Frame, FrameSplitter, FrameTooLargeError
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import Execute
from hickorywind.results import HickorywindError, Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds

_BATCH_LIMIT_BYTES = 64 * 1024 * 1024
_BATCH_END_KINDS = (b"Q", b"S", b"H", b"F")


class RequestKey(NamedTuple):
    """Tell a request from all others: ids are unique within one entry."""

    entry_id: PeerId
    request_id: RequestId


class TransactionKey(NamedTuple):
    """Tell a transaction from all others."""

    entry_id: PeerId
    transaction_id: TransactionId


def split_batch(data: bytes) -> tuple[Frame, ...]:
    """Cut a batch into messages; raise ``HickorywindError`` where it is not a whole batch."""
    splitter = FrameSplitter(_BATCH_LIMIT_BYTES)
    try:
        frames = tuple(splitter.feed(data))
    except FrameTooLargeError as error:
        raise _malformed(str(error)) from error
    if splitter.buffered_bytes or not frames or frames[-1].kind not in _BATCH_END_KINDS:
        raise _malformed("the batch is not made of whole messages")
    return frames


def _malformed(reason: str) -> HickorywindError:
    return HickorywindError(Result.not_run(ResultCode.MALFORMED_MESSAGE, reason))


@dataclass(slots=True, eq=False)
class PoolRequest:
    """Hold a request and what has become of it.

    ``touched`` is set just before the first byte is written to a backend server; from then on the
    request can't be called not run. ``role``, ``term`` and ``applied`` are the backend server's as
    known before the batch started. ``connection`` is set while the batch runs, ``joined`` once it
    was counted in its transaction; ``position`` is what the backend server reported after it.
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
        """Build a job; raise ``HickorywindError`` for a malformed batch."""
        now = clock.now()
        deadline = now + milliseconds(message.remaining_ms)
        return cls(key, message, split_batch(message.frames), now, deadline, answer)

    @property
    def transaction_key(self) -> TransactionKey | None:
        """Return the key of the transaction that the batch continues."""
        transaction_id = self.message.transaction_id
        return None if transaction_id is None else TransactionKey(self.key.entry_id, transaction_id)

    @property
    def new_transaction_key(self) -> TransactionKey:
        """Return the key of a transaction that this batch may open."""
        return TransactionKey(self.key.entry_id, TransactionId(int(self.key.request_id)))

    @property
    def is_write(self) -> bool:
        """Tell whether the request may change data."""
        return self.message.mode is AccessMode.WRITE

    @property
    def is_safe_to_retry(self) -> bool:
        """Tell whether running the request twice does no harm."""
        return not self.is_write or self.message.idempotency_key is not None

    @property
    def opens_transaction(self) -> bool:
        """Tell whether the batch looks as if it left a transaction open."""
        if self.message.transaction_id is not None:
            return False
        return leaves_transaction_open(self.frames)

    def to_waiting_request(self) -> WaitingRequest:
        """Describe the job to admission."""
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
