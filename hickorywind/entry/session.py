"""Serve one caller connection: read batches, have them run, answer in order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass, replace
from datetime import timedelta

from hickorywind.configuration.model import Limits, Service
from hickorywind.entry.attempt import (
    READ_HELD_BYTES,
    WRITE_HELD_BYTES,
    CallerGoneError,
    CancelSignal,
)
from hickorywind.entry.executor import Executor
from hickorywind.entry.planning import Plan, plan_batch
from hickorywind.entry.request import Finished, OpenTransaction, Request
from hickorywind.entry.sessionstate import SessionState
from hickorywind.ids import AccessMode
from hickorywind.membership.directory import Directory
from hickorywind.postgres.answers import (
    BIND_COMPLETE,
    BIND_REPLY,
    CLOSE_COMPLETE,
    CLOSE_REPLY,
    DESCRIBE_REPLY,
    NO_DATA,
    AnswerShaper,
    LocalReply,
    command_complete,
    parameter_status,
    ready_for_query,
)
from hickorywind.postgres.batches import Batch, BatchBuilder, Ending, flush_frame, sync_frame
from hickorywind.postgres.errors import (
    Severity,
    encode_error,
    encode_failed_transaction,
    encode_notice,
)
from hickorywind.postgres.frames import Frame, FrameSplitter, FrameTooLargeError
from hickorywind.postgres.hints import PARAMETER_PREFIX, TOKEN, bad_hint
from hickorywind.postgres.statements import Commit, Rollback
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, milliseconds

logger = logging.getLogger(__name__)

_READ_BYTES = 65_536
_MESSAGE_TIMEOUT = timedelta(seconds=30)
_WRITE_TIMEOUT = timedelta(seconds=30)
_TOKEN_PARAMETER = PARAMETER_PREFIX + TOKEN


@dataclass(frozen=True)
class SessionContext:
    """Hold what all sessions of an entry share."""

    executor: Executor
    directory: Directory
    clock: Clock

    @property
    def message_limit_bytes(self) -> int:
        """Return the greatest size of a caller's message or batch."""
        in_force = self.directory.in_force
        limits = in_force.configuration.limits if in_force is not None else Limits()
        return limits.message_limit_bytes


class CallerSession:
    """Own one caller connection from its first ReadyForQuery to its end."""

    def __init__(
        self,
        context: SessionContext,
        state: SessionState,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._context = context
        self._state = state
        self._reader = reader
        self._writer = writer
        self._builder = BatchBuilder(state, context.message_limit_bytes)
        self._splitter = FrameSplitter(context.message_limit_bytes)
        self._frames: deque[Frame] = deque()
        self._transaction: OpenTransaction | None = None
        self._transaction_state = TransactionState.IDLE
        self._lost = False
        self._cancel: CancelSignal | None = None
        self._waiting = False
        self._stopping = False
        self._task: asyncio.Task[None] | None = None
        self._token_parameter = b""

    async def run(self) -> None:
        """Serve until the caller leaves, breaks the protocol or the entry stops."""
        self._task = asyncio.current_task()
        try:
            await self._write(ready_for_query(TransactionState.IDLE))
            await self._serve_batches()
        except HickorywindError as error:
            await self._say_goodbye(error.result)
        except FrameTooLargeError as error:
            result = Result(ResultCode.MESSAGE_TOO_LARGE, Outcome.NOT_RUN, str(error))
            await self._say_goodbye(result)
        except (CallerGoneError, ConnectionError):
            pass
        finally:
            if self._transaction is not None:
                await self._context.executor.end_transaction(self._transaction)

    def cancel_running(self) -> None:
        """Withdraw the request under way, if there is one."""
        if self._cancel is not None:
            self._cancel.set()

    @property
    def is_between_transactions(self) -> bool:
        """Tell whether the session waits for its caller and holds no transaction."""
        return self._waiting and self._transaction is None and self._builder.is_empty

    def stop_when_idle(self) -> None:
        """End the session once its current request and transaction are over."""
        self._stopping = True
        if self._task is not None and self.is_between_transactions:
            self._task.cancel()

    # Reading -----------------------------------------------------------------------------------

    async def _serve_batches(self) -> None:
        while True:
            if self._stopping and self._transaction is None and not self._lost:
                if not self._frames and self._builder.is_empty:
                    raise HickorywindError(_shutting_down())
            frame = await self._next_frame()
            if frame is None or frame.kind == b"X":
                return
            batch = self._builder.add(frame)
            if batch is not None:
                await self._serve(batch)

    async def _next_frame(self) -> Frame | None:
        while not self._frames:
            data = await self._read()
            if not data:
                if self._stopping:
                    raise HickorywindError(_shutting_down())
                return None
            self._frames.extend(self._splitter.feed(data))
        return self._frames.popleft()

    async def _read(self) -> bytes:
        partial = self._splitter.buffered_bytes > 0 or not self._builder.is_empty
        if not partial:
            return await self._read_when_idle()
        try:
            async with asyncio.timeout(_MESSAGE_TIMEOUT.total_seconds()):
                return await self._reader.read(_READ_BYTES)
        except TimeoutError:
            reason = "a message was begun and not completed in time"
            raise HickorywindError(
                Result(ResultCode.MALFORMED_MESSAGE, Outcome.NOT_RUN, reason)
            ) from None

    async def _read_when_idle(self) -> bytes:
        self._waiting = True
        try:
            return await self._reader.read(_READ_BYTES)
        except asyncio.CancelledError:
            if not self._stopping or self._task is None:
                raise
            self._task.uncancel()
            return b""
        finally:
            self._waiting = False

    # Writing -----------------------------------------------------------------------------------

    async def _write(self, data: bytes) -> None:
        self._writer.write(data)
        try:
            async with asyncio.timeout(_WRITE_TIMEOUT.total_seconds()):
                await self._writer.drain()
        except (TimeoutError, OSError) as error:
            self._writer.transport.abort()
            raise CallerGoneError from error

    async def _say_goodbye(self, result: Result) -> None:
        logger.info(
            "session_ended",
            extra={
                "session_id": self._state.session_id,
                "code": int(result.code),
                "reason": result.reason,
            },
        )
        try:
            await self._write(encode_error(result, Severity.FATAL))
        except CallerGoneError:
            pass

    async def _end_batch(self, batch: Batch, data: bytes = b"") -> None:
        if batch.ending is not Ending.FLUSH:
            data += ready_for_query(self._visible_state())
        if data:
            await self._write(data)

    def _visible_state(self) -> TransactionState:
        return TransactionState.FAILED if self._lost else self._transaction_state

    # Serving -----------------------------------------------------------------------------------

    async def _serve(self, batch: Batch) -> None:
        for name in self._state.deallocated:
            self._builder.forget_statements(name)
        self._state.deallocated.clear()
        if batch.refusal is not None:
            await self._refuse(batch, batch.refusal)
        elif self._lost and not batch.is_local:
            await self._serve_after_loss(batch)
        elif self._is_answered_here(batch):
            await self._end_batch(batch, batch.replies_here)
        elif self._ends_nothing(batch):
            await self._end_batch(batch, _answer_end_of_nothing(batch))
        else:
            await self._run(batch)

    def _is_answered_here(self, batch: Batch) -> bool:
        return batch.is_local and not self._must_sync(batch)

    def _must_sync(self, batch: Batch) -> bool:
        """Tell whether a Sync ends a transaction that Flush left open at a pool."""
        transaction = self._transaction
        implicit = transaction is not None and not transaction.explicit
        return implicit and batch.ending is not Ending.FLUSH

    def _ends_nothing(self, batch: Batch) -> bool:
        if self._transaction is not None or batch.ending is not Ending.QUERY:
            return False
        return all(isinstance(item, Commit | Rollback) for item in batch.statements)

    async def _refuse(self, batch: Batch, result: Result) -> None:
        """Answer an error of the entry's own; an open transaction fails with it."""
        await self._fail_transaction()
        if batch.ending is Ending.FLUSH:
            self._builder.skip_to_sync()
        await self._end_batch(batch, encode_error(result))

    async def _fail_transaction(self) -> None:
        transaction = self._transaction
        if transaction is None:
            return
        await self._context.executor.end_transaction(transaction)
        self._leave_transaction()
        self._lost = transaction.explicit

    def _leave_transaction(self) -> None:
        self._transaction = None
        self._transaction_state = TransactionState.IDLE
        self._builder.forget_portals()

    async def _serve_after_loss(self, batch: Batch) -> None:
        """Behave as PostgreSQL does in a failed transaction."""
        if any(isinstance(item, Commit | Rollback) for item in batch.statements):
            self._lost = False
            await self._end_batch(batch, _answer_rollback(batch))
            return
        reason = "the transaction has failed; statements are ignored until it is rolled back"
        result = Result(ResultCode.TRANSACTION_LOST, Outcome.NOT_RUN, reason)
        if batch.ending is Ending.FLUSH:
            self._builder.skip_to_sync()
        await self._end_batch(batch, encode_failed_transaction(result))

    async def _run(self, batch: Batch) -> None:
        service = self._context.directory.service(self._state.service)
        try:
            if service is None:
                raise HickorywindError(unknown_service(self._state.service))
            plan = plan_batch(batch, self._state.hints, service)
            self._check_request_id(plan)
        except HickorywindError as error:
            await self._refuse(batch, error.result)
            return
        self._cancel = CancelSignal()
        try:
            request = self._make_request(batch, plan, service)
            finished = await self._context.executor.run(request)
        finally:
            self._cancel = None
        await self._conclude(batch, plan, finished)

    def _check_request_id(self, plan: Plan) -> None:
        if plan.idempotency_key is not None and self._transaction is not None:
            raise bad_hint("in a transaction request_id belongs to its BEGIN")

    def _make_request(self, batch: Batch, plan: Plan, service: Service) -> Request:
        transaction = self._transaction
        mode = plan.mode
        if transaction is not None:
            mode = AccessMode.READ if transaction.read_only else mode
        return Request(
            service=service,
            session_id=self._state.session_id,
            rank=plan.rank,
            mode=mode,
            frames=self._frames_to_send(batch),
            prepared=tuple(batch.prepared.values()),
            floor=self._state.floors.floor(service.name),
            deadline=self._context.clock.now() + milliseconds(plan.timeout_ms),
            repeatable=plan.repeatable,
            max_staleness_ms=plan.max_staleness_ms if mode is AccessMode.READ else None,
            fallback_staleness_ms=plan.fallback_staleness_ms,
            idempotency_key=plan.idempotency_key if mode is AccessMode.WRITE else None,
            make_shaper=lambda: AnswerShaper(batch.replies),
            write=self._write,
            cancel=self._cancel or CancelSignal(),
            transaction=transaction,
            held_limit_bytes=WRITE_HELD_BYTES if mode is AccessMode.WRITE else READ_HELD_BYTES,
            must_open=plan.opens_transaction and not plan.closes_transaction,
        )

    def _frames_to_send(self, batch: Batch) -> bytes:
        match batch.ending:
            case Ending.QUERY:
                return bytes(batch.frames)
            case Ending.SYNC:
                return bytes(batch.frames) + sync_frame()
            case Ending.FLUSH if self._flush_can_be_sync(batch):
                return bytes(batch.frames) + sync_frame()
            case Ending.FLUSH:
                return bytes(batch.frames) + flush_frame()

    def _flush_can_be_sync(self, batch: Batch) -> bool:
        """Tell whether a Sync in place of Flush changes nothing that the caller can see."""
        transaction = self._transaction
        return not batch.runs and (transaction is None or transaction.explicit)

    async def _conclude(self, batch: Batch, plan: Plan, finished: Finished) -> None:
        if finished.position is not None:
            self._advance_floor(plan, finished)
        if not finished.result.is_ok:
            await self._conclude_failure(batch, plan, finished)
            return
        self._follow_transaction(batch, plan, finished)
        if finished.has_error and batch.ending is Ending.FLUSH:
            self._builder.skip_to_sync()
        data = self._token_parameter
        self._token_parameter = b""
        if finished.result.code is ResultCode.ALREADY_RAN and not finished.wrote:
            data = _answer_already_ran(batch, finished.result) + data
        await self._end_batch(batch, data)

    def _advance_floor(self, plan: Plan, finished: Finished) -> None:
        service = self._state.service
        floors = self._state.floors
        was = floors.floor(service)
        rose = floors.advance(service, finished.position)
        wrote = plan.mode is AccessMode.WRITE
        if rose and (wrote or type(was) is not type(floors.floor(service))):
            self._token_parameter = parameter_status(_TOKEN_PARAMETER, floors.token())

    async def _conclude_failure(self, batch: Batch, plan: Plan, finished: Finished) -> None:
        result = finished.result
        transaction = self._transaction
        if transaction is not None and not plan.closes_transaction:
            result = _lost_in_transaction(result)
        if transaction is None and finished.link is not None and plan.opens_transaction:
            opened = self._opened(batch, plan, finished)
            await self._context.executor.end_transaction(opened)
        await self._fail_transaction()
        if plan.closes_transaction:
            self._lost = False
        if transaction is not None and _only_rolls_back(batch):
            # The transaction ends without a trace, which is all that was asked for.
            await self._end_batch(batch, _answer_rollback(batch))
            return
        if batch.ending is Ending.FLUSH:
            self._builder.skip_to_sync()
        await self._end_batch(batch, encode_error(result))

    def _opened(self, batch: Batch, plan: Plan, finished: Finished) -> OpenTransaction:
        return OpenTransaction(
            link=finished.link,
            incarnation=finished.incarnation,
            backend=finished.backend,
            transaction_id=finished.transaction_id,
            term=finished.term,
            read_only=plan.read_only_transaction,
            explicit=plan.opens_transaction or batch.ending is not Ending.FLUSH,
        )

    def _follow_transaction(self, batch: Batch, plan: Plan, finished: Finished) -> None:
        self._transaction_state = finished.state
        if finished.state is TransactionState.IDLE:
            self._leave_transaction()
            return
        opened = self._opened(batch, plan, finished)
        if self._transaction is None:
            self._transaction = opened
        elif opened.explicit:
            # Only an explicit transaction outlives a Sync.
            self._transaction = replace(self._transaction, explicit=True)


def unknown_service(name: str) -> Result:
    """Build the refusal for a database name that is no service."""
    return Result(
        ResultCode.UNKNOWN_SERVICE, Outcome.NOT_RUN, f"database service {name!r} is not known"
    )


def _shutting_down() -> Result:
    return Result.not_run(
        ResultCode.SHUTTING_DOWN, "this entry is shutting down; connect to another", 1
    )


def _lost_in_transaction(result: Result) -> Result:
    """Report a failure inside a transaction, which as a whole is rolled back."""
    if result.code not in (ResultCode.POOL_LOST, ResultCode.POOL_UNREACHABLE):
        return result
    reason = f"transaction rolled back: {result.reason}"
    return Result(ResultCode.TRANSACTION_LOST, result.outcome, reason)


def _only_rolls_back(batch: Batch) -> bool:
    statements = batch.statements
    return bool(statements) and all(isinstance(item, Rollback) for item in statements)


def _answer_end_of_nothing(batch: Batch) -> bytes:
    tag = "COMMIT" if isinstance(batch.statements[0], Commit) else "ROLLBACK"
    notice = Result(ResultCode.OK, Outcome.NOT_RUN, "there is no transaction in progress")
    return encode_notice(notice) + command_complete(tag)


def _answer_rollback(batch: Batch) -> bytes:
    return _answer_each(batch, command_complete("ROLLBACK"))


def _answer_already_ran(batch: Batch, result: Result) -> bytes:
    return encode_notice(result) + _answer_each(batch, command_complete("SELECT 0"))


def _answer_each(batch: Batch, completion: bytes) -> bytes:
    """Answer every message of a batch as if each statement had completed without rows."""
    if batch.ending is Ending.QUERY:
        return completion
    parts = []
    for reply in batch.replies:
        match reply:
            case LocalReply(data=data):
                parts.append(data)
            case _ if reply == BIND_REPLY:
                parts.append(BIND_COMPLETE)
            case _ if reply == DESCRIBE_REPLY:
                parts.append(NO_DATA)
            case _ if reply == CLOSE_REPLY:
                parts.append(CLOSE_COMPLETE)
            case _:
                parts.append(completion)
    return b"".join(parts)
