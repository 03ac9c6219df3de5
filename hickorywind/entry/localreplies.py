"""Answers that the entry composes itself, without a backend server."""

from __future__ import annotations

from hickorywind.postgres.answers import (
    BIND_COMPLETE,
    BIND_REPLY,
    CLOSE_COMPLETE,
    CLOSE_REPLY,
    DESCRIBE_REPLY,
    NO_DATA,
    PARSE_COMPLETE,
    PARSE_REPLY,
    LocalReply,
    Reply,
    command_complete,
)
from hickorywind.postgres.batch import Batch, BatchTerminator
from hickorywind.postgres.errors import encode_notice, encode_warning
from hickorywind.postgres.statementkinds import (
    Commit,
    Rollback,
)
from hickorywind.results import Result

_NO_ACTIVE_TRANSACTION = "25P01"
_COMPLETION_BY_REPLY = {
    PARSE_REPLY: PARSE_COMPLETE,
    BIND_REPLY: BIND_COMPLETE,
    DESCRIBE_REPLY: NO_DATA,
    CLOSE_REPLY: CLOSE_COMPLETE,
}


def only_ends_transaction(batch: Batch) -> bool:
    """Return whether a batch contains only COMMIT and ROLLBACK statements."""
    return bool(batch.statements) and all(
        isinstance(statement, Commit | Rollback) for statement in batch.statements
    )


def only_rolls_back(batch: Batch) -> bool:
    """Return whether a batch contains only ROLLBACK statements."""
    return bool(batch.statements) and all(
        isinstance(statement, Rollback) for statement in batch.statements
    )


def answer_end_without_transaction(batch: Batch) -> bytes:
    """Return the answer to COMMIT or ROLLBACK outside a transaction, a warning as in PostgreSQL."""
    tag = "COMMIT" if isinstance(batch.statements[0], Commit) else "ROLLBACK"
    warning = encode_warning(_NO_ACTIVE_TRANSACTION, "there is no transaction in progress")
    return warning + command_complete(tag)


def answer_rollback(batch: Batch) -> bytes:
    """Return the answer to COMMIT or ROLLBACK of a failed transaction."""
    return _answer_each(batch, command_complete("ROLLBACK"))


def answer_already_ran(batch: Batch, result: Result) -> bytes:
    """Return the answer to a request that already ran and whose first answer is not stored."""
    return encode_notice(result) + _answer_each(batch, command_complete("SELECT 0"))


def _answer_each(batch: Batch, completion: bytes) -> bytes:
    if batch.terminator is BatchTerminator.QUERY:
        return completion
    return b"".join(_answer_one(reply, completion) for reply in batch.replies)


def _answer_one(reply: Reply, completion: bytes) -> bytes:
    if isinstance(reply, LocalReply):
        return reply.data
    return _COMPLETION_BY_REPLY.get(reply, completion)
