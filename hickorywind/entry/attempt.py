"""A single attempt to run a request at one pool."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from hickorywind.entry.inbox import (
    CancelRequested,
    InboxEvent,
    LinkLost,
    PartsMissing,
    RequestInbox,
)
from hickorywind.entry.poollink import PoolLink
from hickorywind.ids import TransactionId
from hickorywind.postgres.answers import AnswerRewriter, MalformedAnswerError
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    AnswerPart,
    Cancel,
    CancelResult,
    EndTransaction,
    Execute,
    TransactionState,
)
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

CREDIT_THRESHOLD_BYTES = 256 * 1024
READ_BUFFER_LIMIT_BYTES = 128 * 1024
WRITE_BUFFER_LIMIT_BYTES = 16 * 1024 * 1024
_CANCEL_TIMEOUT = timedelta(milliseconds=500)
_MISSING_PARTS_TIMEOUT = timedelta(seconds=1)

Writer = Callable[[bytes], Awaitable[None]]


class CallerDisconnectedError(Exception):
    """Raised when the caller's connection is closed or accepts no data."""


class CancelSignal:
    """Signal by which another task cancels the request that a session is running."""

    def __init__(self) -> None:
        self._event: CancelRequested | None = None
        self._inbox: RequestInbox | None = None

    @property
    def is_set(self) -> bool:
        """Return whether the request was cancelled."""
        return self._event is not None

    def attach(self, inbox: RequestInbox | None) -> None:
        """Set the inbox of the running attempt, or None when no attempt is running."""
        self._inbox = inbox
        if inbox is not None and self._event is not None:
            inbox.put(self._event)

    def set(self, outcome_timeout: timedelta | None = None) -> None:
        """Cancel the running request; further attempts of it are cancelled immediately.

        Its outcome is unknown if none is received within ``outcome_timeout``.
        """
        is_more_urgent = outcome_timeout is not None
        if self._event is None or (is_more_urgent and self._event.outcome_timeout is None):
            self._event = CancelRequested(outcome_timeout)
            if self._inbox is not None:
                self._inbox.put(self._event)


@dataclass(frozen=True)
class AttemptEnd:
    """Result of an attempt; ``answer_end`` is the pool's ``AnswerEnd`` if one was received."""

    result: Result
    answer_end: AnswerEnd | None = None


class Attempt:
    """One ``Execute`` message and the handling of its answer, deadline, cancel and lost pool.

    Up to ``buffer_limit_bytes`` of an answer are buffered until the pool reports how the request
    ended. Longer answers are streamed to the caller, after which the request can't be retried.
    ``must_leave_transaction_open`` means that the request only succeeds if it leaves a transaction
    open. ``has_sent_answer_bytes`` is true once any byte of the answer was written to the caller.
    """

    def __init__(
        self,
        link: PoolLink,
        execute: Execute,
        rewriter: AnswerRewriter,
        write: Writer,
        clock: Clock,
        buffer_limit_bytes: int,
        must_leave_transaction_open: bool,
    ) -> None:
        self._link = link
        self._execute = execute
        self._rewriter = rewriter
        self._write = write
        self._clock = clock
        self._buffer_limit_bytes = buffer_limit_bytes
        self._must_leave_transaction_open = must_leave_transaction_open
        self._buffer = bytearray()
        self._uncredited_bytes = 0
        self.has_sent_answer_bytes = False
        self.answer_bytes = 0

    async def run(self, deadline: Instant, cancel: CancelSignal) -> AttemptEnd:
        """Run the attempt and return its result.

        Cancel the request and raise ``CallerDisconnectedError`` if the caller disconnects. If the
        outcome is unknown, the pool is asked to end the transaction that the request may open.
        """
        inbox = self._link.open_inbox(self._execute.request_id)
        try:
            if not await self._link.send(self._execute):
                reason = f"no connection to the pool at {self._link.address}"
                return AttemptEnd(Result.not_run(ResultCode.POOL_UNREACHABLE, reason))
            cancel.attach(inbox)
            end = await self._handle_events(inbox, deadline)
            if end.result.outcome is Outcome.UNKNOWN:
                await self._end_new_transaction()
            return end
        except (CallerDisconnectedError, asyncio.CancelledError):
            await self._link.send(Cancel(self._execute.request_id))
            await self._end_new_transaction()
            raise
        finally:
            cancel.attach(None)
            self._link.close_inbox(self._execute.request_id)

    async def _end_new_transaction(self) -> None:
        # The session, which learns of a transaction from a whole answer, can't end this one.
        if self._execute.transaction_id is None:
            await self._link.send(EndTransaction(TransactionId(self._execute.request_id)))

    async def _handle_events(self, inbox: RequestInbox, deadline: Instant) -> AttemptEnd:
        cancel_code: ResultCode | None = None
        ends_at_deadline = False
        while True:
            event = await self._next_event(inbox, deadline)
            match event:
                case AnswerPart(frames=frames):
                    await self._relay_frames(frames)
                case AnswerEnd(result=result) if result.code is ResultCode.CANCELLED:
                    code = cancel_code or ResultCode.CANCELLED
                    return AttemptEnd(msgspec.structs.replace(result, code=code), event)
                case AnswerEnd():
                    return await self._handle_end(event)
                case LinkLost(reason=reason):
                    return AttemptEnd(self._pool_lost_result(inbox, reason))
                case PartsMissing():
                    logger.debug("answer_incomplete", extra={"request_id": inbox.request_id})
                case CancelRequested(outcome_timeout=timeout):
                    cancel_code = await self._send_cancel(ResultCode.CANCELLED)
                    if timeout is not None:
                        deadline = min(deadline, self._clock.now() + timeout)
                        ends_at_deadline = True
                case CancelResult(result=result) if cancel_code is not None:
                    if result.outcome is Outcome.NOT_RUN and not self.has_sent_answer_bytes:
                        reason = "cancelled before it started"
                        return AttemptEnd(Result(cancel_code, Outcome.NOT_RUN, reason))
                case None if ends_at_deadline:
                    return AttemptEnd(_unknown_after_cancel(cancel_code))
                case None if self._clock.now() < deadline:
                    return AttemptEnd(
                        self._pool_lost_result(inbox, "parts of the answer are missing")
                    )
                case None:
                    cancel_code = await self._send_cancel(ResultCode.DEADLINE_PASSED)
                    deadline = self._clock.now() + _CANCEL_TIMEOUT
                    ends_at_deadline = True

    async def _send_cancel(self, code: ResultCode) -> ResultCode:
        await self._link.send(Cancel(self._execute.request_id))
        return code

    async def _next_event(self, inbox: RequestInbox, deadline: Instant) -> InboxEvent | None:
        """Return the next event; None at the deadline or if missing parts don't arrive in time."""
        event = inbox.get_ready()
        if event is not None:
            return event
        limit = deadline
        if inbox.is_incomplete:
            limit = min(limit, self._clock.now() + _MISSING_PARTS_TIMEOUT)
        remaining = max(timedelta(0), limit - self._clock.now()).total_seconds()
        try:
            async with asyncio.timeout(remaining):
                return await inbox.get()
        except TimeoutError:
            return None

    async def _relay_frames(self, frames: bytes) -> None:
        self.answer_bytes += len(frames)
        try:
            shaped = self._rewriter.feed(frames)
        except MalformedAnswerError as error:
            raise AssertionError(f"pool sent a malformed answer: {error}") from error
        if len(self._buffer) + len(shaped) <= self._buffer_limit_bytes:
            self._buffer += shaped
        elif shaped:
            await self._write_to_caller(bytes(self._buffer) + shaped)
            self._buffer.clear()
        self._uncredited_bytes += len(frames)
        if self._uncredited_bytes >= CREDIT_THRESHOLD_BYTES:
            await self._link.send(AnswerCredit(self._execute.request_id, self._uncredited_bytes))
            self._uncredited_bytes = 0

    async def _write_to_caller(self, data: bytes) -> None:
        self.has_sent_answer_bytes = True
        await self._write(data)

    async def _handle_end(self, end: AnswerEnd) -> AttemptEnd:
        if not end.result.is_ok:
            return AttemptEnd(end.result, end)
        if end.result.code is ResultCode.ALREADY_RAN and end.part_count == 0:
            return AttemptEnd(end.result, end)
        if (
            self._must_leave_transaction_open
            and not self._rewriter.has_error
            and _left_no_transaction_open(end)
        ):
            reason = "the transaction did not stay open at its pool and was rolled back"
            return AttemptEnd(Result.unknown(ResultCode.TOO_MANY_TRANSACTIONS, reason), end)
        floor = self._execute.floor
        if floor is not None and end.position is not None and not end.position.contains(floor):
            reason = f"answer reflects {end.position}, the session needs {floor}"
            return AttemptEnd(Result.unknown(ResultCode.REPLICA_BEHIND, reason), end)
        rest = bytes(self._buffer) + self._rewriter.finish()
        if rest:
            await self._write_to_caller(rest)
        return AttemptEnd(end.result, end)

    def _pool_lost_result(self, inbox: RequestInbox, reason: str) -> Result:
        if inbox.is_incomplete:
            incomplete_reason = "the request ended, but parts of its answer were lost"
            return Result.unknown(ResultCode.POOL_LOST, incomplete_reason)
        return Result.unknown(ResultCode.POOL_LOST, reason)


def _unknown_after_cancel(code: ResultCode) -> Result:
    cause = "the deadline passed" if code is ResultCode.DEADLINE_PASSED else "it was cancelled"
    return Result.unknown(code, f"{cause} while the request was at its pool")


def _left_no_transaction_open(end: AnswerEnd) -> bool:
    return end.transaction_state is TransactionState.IDLE
