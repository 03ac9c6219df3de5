"""Describe the work that a session hands to the executor, and how it ended."""

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
from hickorywind.postgres.answers import AnswerShaper
from hickorywind.protocol.messages import PreparedStatement, TransactionState
from hickorywind.results import Result
from hickorywind.routing.session import Floor
from hickorywind.routing.targets import Target
from hickorywind.util.clock import Instant


@dataclass(frozen=True)
class OpenTransaction:
    """Name where a transaction lives; ``explicit`` ones last until COMMIT or ROLLBACK."""

    link: PoolLink
    incarnation: Incarnation
    target: Target
    transaction_id: TransactionId
    read_only: bool
    explicit: bool


@dataclass(frozen=True)
class Request:
    """Hold one batch as it goes to a pool.

    ``repeatable`` allows to run it more than once. ``max_staleness_ms`` bounds the age of data,
    ``fallback_staleness_ms`` is accepted where the first can't be met. ``must_open`` says that the
    request opens a transaction, and is no success otherwise.
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
    make_shaper: Callable[[], AnswerShaper]
    write: Writer
    cancel: CancelSignal
    transaction: OpenTransaction | None = None
    buffer_limit_bytes: int = WRITE_BUFFER_LIMIT_BYTES
    must_leave_transaction_open: bool = False


@dataclass(frozen=True)
class FinishedRequest:
    """Report how a request ended.

    ``request_id`` is that of the last attempt; ``link``, ``incarnation`` and ``target`` name where
    it ran, for a transaction that it opened. ``has_error`` tells of an error from the backend
    server itself, ``wrote`` that bytes of the answer went to the caller.
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
    has_written: bool = False
