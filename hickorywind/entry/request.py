"""Requests that sessions pass to the executor, and their results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from hickorywind.configuration.model import Service
from hickorywind.entry.attempt import WRITE_BUFFER_LIMIT_BYTES, CancelSignal, Writer
from hickorywind.entry.poollink import PoolLink
from hickorywind.ids import (
    AccessMode,
    Incarnation,
    LogPosition,
    Rank,
    RequestId,
    SessionId,
    TransactionId,
)
from hickorywind.ports.catalog import AccountId
from hickorywind.postgres.answers import AnswerRewriter
from hickorywind.protocol.messages import PreparedStatement, TransactionState
from hickorywind.results import Result
from hickorywind.routing.session import Floor
from hickorywind.routing.targets import Target
from hickorywind.util.clock import Instant


@dataclass(frozen=True)
class OpenTransaction:
    """Location of an open transaction: link, pool incarnation, target and id.

    An ``explicit`` transaction lasts until COMMIT or ROLLBACK, an implicit one until Sync.
    """

    link: PoolLink
    incarnation: Incarnation
    target: Target
    transaction_id: TransactionId
    read_only: bool
    explicit: bool


@dataclass(frozen=True)
class Request:
    """One batch to run at a pool.

    A ``repeatable`` request may run more than once. ``max_staleness_ms`` limits the age of data;
    ``fallback_staleness_ms`` replaces it when that limit can't be met. A request with
    ``must_leave_transaction_open`` only succeeds if it leaves a transaction open. ``account`` is
    None while there are no client accounts.
    """

    service: Service
    session_id: SessionId
    rank: Rank
    mode: AccessMode
    frames: bytes
    prepared: tuple[PreparedStatement, ...]
    floor: Floor
    deadline: Instant
    repeatable: bool
    max_staleness_ms: int | None
    fallback_staleness_ms: int | None
    idempotency_key: str | None
    make_answer_rewriter: Callable[[], AnswerRewriter]
    send_to_caller: Writer
    cancel: CancelSignal
    transaction: OpenTransaction | None = None
    buffer_limit_bytes: int = WRITE_BUFFER_LIMIT_BYTES
    must_leave_transaction_open: bool = False
    account: AccountId | None = None


@dataclass(frozen=True)
class FinishedRequest:
    """Result of a request.

    ``state`` is the transaction state after the request. ``request_id`` is that of the last
    attempt; ``link``, ``incarnation`` and ``target`` tell where it ran and locate a transaction
    that it opened. ``has_error`` is true if the backend server itself reported an error, after the
    replies to ``reply_count`` messages of the batch. ``has_sent_answer_bytes`` is true if bytes of
    the answer were sent to the caller.
    """

    result: Result
    state: TransactionState = TransactionState.IDLE
    request_id: RequestId | None = None
    transaction_id: TransactionId | None = None
    position: LogPosition | None = None
    link: PoolLink | None = None
    incarnation: Incarnation | None = None
    target: Target | None = None
    has_error: bool = False
    reply_count: int = 0
    has_sent_answer_bytes: bool = False
