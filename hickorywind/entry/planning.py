"""Execution plan of a batch: access mode, rank, timeout, staleness limits and repeatability."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.configuration.model import Service
from hickorywind.entry.sessionstate import find_rank, find_read_kind, find_timeout_ms
from hickorywind.ids import AccessMode, Rank
from hickorywind.postgres.batch import Batch, BatchTerminator
from hickorywind.postgres.hints import Hints, bad_hint_error
from hickorywind.postgres.statementkinds import (
    Begin,
    Commit,
    Empty,
    Read,
    Rollback,
    Statement,
    Write,
)


@dataclass(frozen=True)
class Plan:
    """Parameters with which a batch is run.

    ``repeatable`` batches may run more than once. ``opens_transaction`` is true if the batch
    contains BEGIN, ``closes_transaction`` if it may end a transaction by COMMIT or ROLLBACK.
    """

    rank: Rank
    mode: AccessMode
    timeout_ms: int
    repeatable: bool
    max_staleness_ms: int | None
    fallback_staleness_ms: int | None
    idempotency_key: str | None
    opens_transaction: bool
    closes_transaction: bool
    read_only_transaction: bool


def plan_batch(
    batch: Batch, session_hints: Hints, service: Service, default_rank: Rank = Rank.STANDARD
) -> Plan:
    """Return the plan of a batch; raise ``HickorywindError`` with ``BAD_HINT``.

    ``default_rank`` is the rank of a request whose hints name none.
    """
    hints = batch.hints.merged_over(session_hints)
    rank = find_rank(service, hints, default_rank)
    kind = find_read_kind(service, hints)
    statements = batch.statements + batch.bound_statements
    opens = any(isinstance(item, Begin) for item in statements)
    closes = any(_may_end_transaction(item) for item in statements)
    if hints.request_id is not None and (opens or closes):
        _check_request_id(batch, statements)
    mode = _access_mode(batch, statements)
    return Plan(
        rank=rank,
        mode=mode,
        timeout_ms=find_timeout_ms(service, rank, hints),
        repeatable=_is_repeatable(hints, mode, statements),
        max_staleness_ms=_max_staleness(hints, kind.max_staleness_ms if kind else None),
        fallback_staleness_ms=kind.fallback_staleness_ms if kind else None,
        idempotency_key=hints.request_id,
        opens_transaction=opens,
        closes_transaction=closes,
        read_only_transaction=any(
            isinstance(item, Begin) and item.read_only for item in statements
        ),
    )


def _check_request_id(batch: Batch, statements: list[Statement]) -> None:
    """Raise ``BAD_HINT`` if a pool can't record the transaction under one request id.

    A pool sees whole statement texts in simple queries only, so in the extended protocol only a
    BEGIN without other statements may carry an id. The id is recorded in the first transaction of
    a simple query; what runs after that was rolled back would run without it.
    """
    if any(isinstance(item, Write) and item.contains_rollback for item in statements):
        raise bad_hint_error("request_id can't cover a string of statements with ROLLBACK")
    is_begin_alone = all(isinstance(item, Begin) for item in statements)
    if batch.terminator is not BatchTerminator.QUERY and not is_begin_alone:
        raise bad_hint_error("in the extended protocol request_id can't cover BEGIN or COMMIT")


def _may_end_transaction(statement: Statement) -> bool:
    match statement:
        case Commit() | Rollback() | Write(contains_transaction_control=True):
            return True
        case _:
            return False


def _max_staleness(hints: Hints, kind_limit_ms: int | None) -> int | None:
    """Return the lower of the hint's and the kind of read's limit, None if neither is set."""
    limits_ms = [limit for limit in (hints.max_staleness_ms, kind_limit_ms) if limit is not None]
    return min(limits_ms, default=None)


def _access_mode(batch: Batch, statements: list[Statement]) -> AccessMode:
    if batch.terminator is BatchTerminator.FLUSH and batch.executes_on_backend:
        # After a Flush the same implicit transaction may continue with writes.
        return AccessMode.WRITE
    only_reads = all(_is_read(statement) for statement in statements)
    return AccessMode.READ if only_reads else AccessMode.WRITE


def _is_read(statement: Statement) -> bool:
    match statement:
        case Read() | Empty() | Begin(read_only=True):
            return True
        case _:
            return False


def _is_repeatable(hints: Hints, mode: AccessMode, statements: list[Statement]) -> bool:
    if hints.idempotent is not None:
        return hints.idempotent or hints.request_id is not None
    if hints.request_id is not None or mode is AccessMode.READ:
        return True
    # A BEGIN whose answer was lost leaves an empty transaction at most; its pool rolls it back.
    return bool(statements) and all(isinstance(statement, Begin) for statement in statements)
