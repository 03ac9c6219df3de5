"""Run one request at one pool and report how that ended."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from hickorywind.entry.inbox import (
    CancellationRequest,
    InboxEvent,
    LinkLost,
    PartsMissing,
    RequestInbox,
)
from hickorywind.entry.poollink import PoolLink
from hickorywind.postgres.answers import AnswerRewriter, MalformedAnswerError
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    AnswerPart,
    Cancel,
    CancelResult,
    Execute,
    TransactionState,
)
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

CREDIT_BYTES = 256 * 1024
READ_HELD_BYTES = 128 * 1024
WRITE_HELD_BYTES = 16 * 1024 * 1024
_CANCEL_GRACE = timedelta(milliseconds=500)
_MISSING_PARTS_GRACE = timedelta(seconds=1)

Writer = Callable[[bytes], Awaitable[None]]


class CallerGoneError(Exception):
    """Report that the caller's connection is gone or takes no bytes."""


class CancelSignal:
    """Let another task withdraw whatever a session runs now."""

    def __init__(self) -> None:
        self.is_set = False
        self._inbox: RequestInbox | None = None

    def attach(self, inbox: RequestInbox | None) -> None:
        """Name the inbox of the attempt under way, None where there is none."""
        self._inbox = inbox
        if inbox is not None and self.is_set:
            inbox.put(CancellationRequest())

    def set(self) -> None:
        """Withdraw the request under way; later attempts of it end at once."""
        if not self.is_set:
            self.is_set = True
            if self._inbox is not None:
                self._inbox.put(CancellationRequest())


@dataclass(frozen=True)
class AttemptEnd:
    """Report an attempt; ``answer`` is the pool's own end where one came."""

    result: Result
    answer: AnswerEnd | None = None


class Attempt:
    """Send one ``Execute``, relay its answer and resolve deadline, cancel and loss.

    Up to ``held_limit_bytes`` of an answer are kept back until the pool has said how the request
    ended. Longer ones are passed on as they come, after which it can't be sent again.
    ``must_open`` says that the request is no success unless it leaves a transaction open.
    """

    def __init__(
        self,
        link: PoolLink,
        execute: Execute,
        shaper: AnswerRewriter,
        write: Writer,
        clock: Clock,
        held_limit_bytes: int,
        must_open: bool,
    ) -> None:
        self._link = link
        self._execute = execute
        self._shaper = shaper
        self._write = write
        self._clock = clock
        self._held_limit_bytes = held_limit_bytes
        self._must_open = must_open
        self._held = bytearray()
        self._credit_due = 0
        self.wrote = False
        self.answer_bytes = 0

    async def run(self, deadline: Instant, cancel: CancelSignal) -> AttemptEnd:
        """Run to an end; raise ``CallerGoneError`` after withdrawing the request."""
        inbox = self._link.open_inbox(self._execute.request_id)
        try:
            if not await self._link.send(self._execute):
                reason = f"no connection to the pool at {self._link.address}"
                return AttemptEnd(Result.not_run(ResultCode.POOL_UNREACHABLE, reason))
            cancel.attach(inbox)
            return await self._follow(inbox, deadline)
        except (CallerGoneError, asyncio.CancelledError):
            await self._link.send(Cancel(self._execute.request_id))
            raise
        finally:
            cancel.attach(None)
            self._link.close_inbox(self._execute.request_id)

    async def _follow(self, inbox: RequestInbox, deadline: Instant) -> AttemptEnd:
        withdrawn: ResultCode | None = None
        while True:
            event = await self._next_event(inbox, deadline)
            match event:
                case AnswerPart(frames=frames):
                    await self._relay(frames)
                case AnswerEnd(result=result) if result.code is ResultCode.CANCELLED:
                    code = withdrawn or ResultCode.CANCELLED
                    return AttemptEnd(msgspec.structs.replace(result, code=code), event)
                case AnswerEnd():
                    return await self._finish(event)
                case LinkLost(reason=reason):
                    return AttemptEnd(self._lost(inbox, reason))
                case PartsMissing():
                    logger.debug("answer_incomplete", extra={"request_id": inbox.request_id})
                case CancellationRequest():
                    withdrawn = await self._withdraw(ResultCode.CANCELLED)
                case CancelResult(result=result) if withdrawn is not None:
                    if result.outcome is Outcome.NOT_RUN and not self.wrote:
                        reason = "withdrawn before it started"
                        return AttemptEnd(Result(withdrawn, Outcome.NOT_RUN, reason))
                case None if withdrawn is ResultCode.DEADLINE_PASSED:
                    reason = "the deadline passed while the request was at its pool"
                    return AttemptEnd(Result.unknown(withdrawn, reason))
                case None if self._clock.now() < deadline:
                    return AttemptEnd(self._lost(inbox, "parts of the answer are missing"))
                case None:
                    withdrawn = await self._withdraw(ResultCode.DEADLINE_PASSED)
                    deadline = self._clock.now() + _CANCEL_GRACE

    async def _withdraw(self, code: ResultCode) -> ResultCode:
        await self._link.send(Cancel(self._execute.request_id))
        return code

    async def _next_event(self, inbox: RequestInbox, deadline: Instant) -> InboxEvent | None:
        """Wait for the next event; None at the deadline or where missing parts stay out."""
        event = inbox.get_ready()
        if event is not None:
            return event
        limit = deadline
        if inbox.is_incomplete:
            limit = min(limit, self._clock.now() + _MISSING_PARTS_GRACE)
        remaining = max(timedelta(0), limit - self._clock.now()).total_seconds()
        try:
            async with asyncio.timeout(remaining):
                return await inbox.get()
        except TimeoutError:
            return None

    async def _relay(self, frames: bytes) -> None:
        self.answer_bytes += len(frames)
        try:
            out = self._shaper.feed(frames)
        except MalformedAnswerError as error:
            raise AssertionError(f"pool sent a malformed answer: {error}") from error
        if len(self._held) + len(out) <= self._held_limit_bytes:
            self._held += out
        elif out:
            await self._put_through(bytes(self._held) + out)
            self._held.clear()
        self._credit_due += len(frames)
        if self._credit_due >= CREDIT_BYTES:
            await self._link.send(AnswerCredit(self._execute.request_id, self._credit_due))
            self._credit_due = 0

    async def _put_through(self, data: bytes) -> None:
        self.wrote = True
        await self._write(data)

    async def _finish(self, end: AnswerEnd) -> AttemptEnd:
        if not end.result.is_ok:
            return AttemptEnd(end.result, end)
        if end.result.code is ResultCode.ALREADY_RAN and end.part_count == 0:
            return AttemptEnd(end.result, end)
        if self._must_open and not self._shaper.has_error and _left_open_nothing(end):
            reason = "the transaction did not stay open at its pool and was rolled back"
            return AttemptEnd(Result.unknown(ResultCode.TOO_MANY_TRANSACTIONS, reason), end)
        floor = self._execute.floor
        if floor is not None and end.position is not None and not end.position.contains(floor):
            reason = f"answer reflects {end.position}, the session needs {floor}"
            return AttemptEnd(Result.unknown(ResultCode.REPLICA_BEHIND, reason), end)
        rest = bytes(self._held) + self._shaper.finish()
        if rest:
            await self._put_through(rest)
        return AttemptEnd(end.result, end)

    def _lost(self, inbox: RequestInbox, reason: str) -> Result:
        if inbox.is_incomplete:
            ran = "the request ended, but parts of its answer were lost"
            return Result.unknown(ResultCode.POOL_LOST, ran)
        return Result.unknown(ResultCode.POOL_LOST, reason)


def _left_open_nothing(end: AnswerEnd) -> bool:
    return end.transaction_state is TransactionState.IDLE
