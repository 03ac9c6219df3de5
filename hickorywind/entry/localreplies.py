"""Compose answers to batches that don't reach a backend server, or whose answer is known."""

from __future__ import annotations

from hickorywind.postgres.answers import (
    BIND_COMPLETE,
    BIND_REPLY,
    CLOSE_COMPLETE,
    CLOSE_REPLY,
    DESCRIBE_REPLY,
    NO_DATA,
    LocalReply,
    Reply,
    command_complete,
)
from hickorywind.postgres.batches import Batch, Ending
from hickorywind.postgres.errors import encode_notice
from hickorywind.postgres.statements import Commit, Rollback
from hickorywind.results import Outcome, Result, ResultCode


def only_ends_transaction(batch: Batch) -> bool:
    """Tell whether a batch does nothing but commit or roll back."""
    return bool(batch.statements) and all(
        isinstance(statement, Commit | Rollback) for statement in batch.statements
    )


def only_rolls_back(batch: Batch) -> bool:
    """Tell whether a batch does nothing but roll back."""
    return bool(batch.statements) and all(
        isinstance(statement, Rollback) for statement in batch.statements
    )


def answer_end_of_nothing(batch: Batch) -> bytes:
    """Answer COMMIT or ROLLBACK outside of a transaction, as PostgreSQL does."""
    tag = "COMMIT" if isinstance(batch.statements[0], Commit) else "ROLLBACK"
    notice = Result(ResultCode.OK, Outcome.NOT_RUN, "there is no transaction in progress")
    return encode_notice(notice) + command_complete(tag)


def answer_rollback(batch: Batch) -> bytes:
    """Answer the end of a transaction that had failed."""
    return _answer_each(batch, command_complete("ROLLBACK"))


def answer_already_ran(batch: Batch, result: Result) -> bytes:
    """Answer a request that ran before and of which no answer is kept."""
    return encode_notice(result) + _answer_each(batch, command_complete("SELECT 0"))


def _answer_each(batch: Batch, completion: bytes) -> bytes:
    if batch.ending is Ending.QUERY:
        return completion
    return b"".join(_answer_one(reply, completion) for reply in batch.replies)


def _answer_one(reply: Reply, completion: bytes) -> bytes:
    if isinstance(reply, LocalReply):
        return reply.data
    if reply == BIND_REPLY:
        return BIND_COMPLETE
    if reply == DESCRIBE_REPLY:
        return NO_DATA
    if reply == CLOSE_REPLY:
        return CLOSE_COMPLETE
    return completion
