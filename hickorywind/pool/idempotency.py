"""Writes with an idempotency key, which run at most once.

The key is inserted into a table of the backend server in the same transaction as the write. If any
pool sends the write again, also after crashes, the insert fails and the stored outcome is returned
instead.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass

from hickorywind.pool import frontend
from hickorywind.pool.answers import AnswerStream
from hickorywind.pool.backendconnection import BackendConnection
from hickorywind.pool.replies import error_field
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import PreparedStatement, TransactionState
from hickorywind.results import Outcome, Result, ResultCode

KEY_TABLE = "hickorywind_requests"

_CREATE_SQL = (
    f"CREATE TABLE IF NOT EXISTS {KEY_TABLE} (request_id text PRIMARY KEY, tag text NOT NULL)"
)
_UNIQUE_VIOLATION = "23505"
_UNDEFINED_TABLE = "42P01"
_UNFINISHED_TAG = ""
_READY_IDLE = Frame(b"Z", frontend.message(b"Z", b"I"))
_EMPTY_REPLY_KINDS: dict[bytes, bytes] = {b"P": b"1", b"B": b"2", b"D": b"n", b"C": b"3"}


@dataclass(frozen=True, slots=True)
class Claimed:
    """Result for a key that was inserted: the write may run in the open transaction."""


@dataclass(frozen=True, slots=True)
class AlreadyRecorded:
    """Result for a key that an earlier run recorded, with its command tags, one a line."""

    tag: str


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """Result for a key that could not be inserted for another reason, with the ErrorResponse."""

    error: Frame


ClaimResult = Claimed | AlreadyRecorded | ClaimFailed
# Begins the caller's transaction; returns the ErrorResponse if that is refused.
_Begin = Callable[[], Awaitable[Frame | None]]


def _first_error(frames: Iterable[Frame]) -> Frame | None:
    return next((frame for frame in frames if frame.kind == b"E"), None)


def _first_value(frames: Iterable[Frame]) -> str | None:
    """Return the first column of the first row; None if there is no row or it is NULL."""
    for frame in frames:
        if frame.kind == b"D":
            (length,) = struct.unpack_from("!i", frame.payload, 2)
            return bytes(frame.payload[6 : 6 + length]).decode() if length >= 0 else None
    return None


def _insert_sql(key: str, tag: str) -> str:
    literals = f"{frontend.quote_literal(key)}, {frontend.quote_literal(tag)}"
    return f"INSERT INTO {KEY_TABLE} (request_id, tag) VALUES ({literals})"


def _command_tag(frame: Frame) -> str:
    return bytes(frame.payload).rstrip(b"\0").decode(errors="replace")


class IdempotentWrite:
    """Write with an idempotency key, run on a connection without an open transaction."""

    def __init__(self, connection: BackendConnection, key: str) -> None:
        self._connection = connection
        self._key = key

    async def run(
        self, frames: Sequence[Frame], prepared: Sequence[PreparedStatement], answer: AnswerStream
    ) -> Result:
        """Run the batch and write its replies to ``answer``; leave the connection idle."""
        match await self._claim("BEGIN; "):
            case Claimed():
                return await self._run_claimed(frames, prepared, answer)
            case AlreadyRecorded(tag):
                await answer.write(_compose_replies(frames, tag))
                return Result(
                    ResultCode.ALREADY_RAN,
                    Outcome.RAN,
                    "a request with this idempotency key has already run",
                )
            case ClaimFailed(error):
                await answer.write((error, _READY_IDLE))
        return Result.ok()

    async def claim_open_transaction(
        self, frames: Sequence[Frame], prepared: Sequence[PreparedStatement]
    ) -> ClaimResult:
        """Record the key in the transaction that the batch has just begun on the connection."""

        async def begin_again() -> Frame | None:
            return _first_error(await self._connection.run(frames, prepared))

        return await self._claim("", "COMMIT", begin_again)

    async def _claim(
        self, begin: str, tag: str = _UNFINISHED_TAG, begin_again: _Begin | None = None
    ) -> ClaimResult:
        replies = await self._connection.run_simple(begin + _insert_sql(self._key, tag))
        error = _first_error(replies)
        if error is None:
            return Claimed()
        await self._connection.run_simple("ROLLBACK")
        sqlstate = error_field(error, b"C")
        if sqlstate == _UNIQUE_VIOLATION:
            return await self._look_up_tag(error)
        if sqlstate == _UNDEFINED_TABLE:
            return await self._create_and_claim(error, begin, tag, begin_again)
        return ClaimFailed(error)

    async def _look_up_tag(self, error: Frame) -> ClaimResult:
        condition = f"request_id = {frontend.quote_literal(self._key)}"
        replies = await self._connection.run_simple(
            f"SELECT tag FROM {KEY_TABLE} WHERE {condition}"
        )
        tag = _first_value(replies)
        return ClaimFailed(error) if tag is None else AlreadyRecorded(tag)

    async def _create_and_claim(
        self, error: Frame, begin: str, tag: str, begin_again: _Begin | None
    ) -> ClaimResult:
        created = await self._connection.run_simple(_CREATE_SQL)
        if _first_error(created) is not None:
            return ClaimFailed(error)
        refusal = await begin_again() if begin_again is not None else None
        if refusal is not None:
            return ClaimFailed(refusal)
        replies = await self._connection.run_simple(begin + _insert_sql(self._key, tag))
        error = _first_error(replies)
        if error is None:
            return Claimed()
        await self._connection.run_simple("ROLLBACK")
        if error_field(error, b"C") == _UNIQUE_VIOLATION:
            return await self._look_up_tag(error)
        return ClaimFailed(error)

    async def _run_claimed(
        self, frames: Sequence[Frame], prepared: Sequence[PreparedStatement], answer: AnswerStream
    ) -> Result:
        tags: list[str] = []
        async for replies in self._connection.exchange(frames, prepared):
            tags.extend(_command_tag(frame) for frame in replies if frame.kind == b"C")
            await answer.write(frame for frame in replies if frame.kind != b"Z")
        if self._connection.transaction_state is TransactionState.FAILED:
            await self._connection.run_simple("ROLLBACK")
        elif self._connection.transaction_state is TransactionState.IDLE:
            # The batch ended the transaction itself, so the key is already committed.
            await self._connection.run_simple(self._update_sql("\n".join(tags)))
        else:
            await self._commit("\n".join(tags), answer)
        await answer.write((_READY_IDLE,))
        return Result.ok()

    def _update_sql(self, tag: str) -> str:
        condition = f"request_id = {frontend.quote_literal(self._key)}"
        return f"UPDATE {KEY_TABLE} SET tag = {frontend.quote_literal(tag)} WHERE {condition}"

    async def _commit(self, tag: str, answer: AnswerStream) -> None:
        replies = await self._connection.run_simple(f"{self._update_sql(tag)}; COMMIT")
        error = _first_error(replies)
        if error is None:
            return
        if self._connection.transaction_state is not TransactionState.IDLE:
            await self._connection.run_simple("ROLLBACK")
        answer.discard_buffered()
        await answer.write((error,))


def _compose_replies(frames: Iterable[Frame], tags: str) -> list[Frame]:
    """Build the replies to a write that ran before from its stored command tags."""
    remaining = [tag for tag in tags.split("\n") if tag] or ["OK"]
    replies: list[Frame] = []
    for frame in frames:
        if frame.kind == b"Q":
            replies.extend(_command_complete(tag) for tag in remaining)
        elif frame.kind == b"E":
            replies.append(
                _command_complete(remaining.pop(0) if len(remaining) > 1 else remaining[0])
            )
        elif frame.kind == b"D" and frame.payload[:1] == b"S":
            parameters = Frame(b"t", frontend.message(b"t", struct.pack("!H", 0)))
            replies.extend((parameters, Frame(b"n", frontend.message(b"n", b""))))
        elif frame.kind in _EMPTY_REPLY_KINDS:
            kind = _EMPTY_REPLY_KINDS[frame.kind]
            replies.append(Frame(kind, frontend.message(kind, b"")))
    return [*replies, _READY_IDLE]


def _command_complete(tag: str) -> Frame:
    return Frame(b"C", frontend.message(b"C", frontend.cstring(tag)))


def already_committed_replies(key: str) -> list[Frame]:
    """Build the replies to the BEGIN of a transaction whose key is already committed."""
    text = f"the transaction with idempotency key {key} has already committed"
    fields = ((b"S", "ERROR"), (b"V", "ERROR"), (b"C", _UNIQUE_VIOLATION), (b"M", text))
    payload = b"".join(kind + frontend.cstring(value) for kind, value in fields) + b"\0"
    return [Frame(b"E", frontend.message(b"E", payload)), _READY_IDLE]
