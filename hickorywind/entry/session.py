"""Session of one caller connection: reads batches, runs them and answers in order."""

from __future__ import annotations

import logging
from datetime import timedelta

from hickorywind.configuration.model import Service
from hickorywind.entry.attempt import CallerDisconnectedError, CancelSignal
from hickorywind.entry.callerstream import CallerStream, StreamStoppedError
from hickorywind.entry.context import SessionContext
from hickorywind.entry.localreplies import (
    answer_already_ran,
    answer_end_without_transaction,
    answer_rollback,
    only_ends_transaction,
    only_rolls_back,
)
from hickorywind.entry.planning import Plan, plan_batch
from hickorywind.entry.refusals import (
    shutting_down_refusal,
    transaction_lost_result,
    unknown_service_refusal,
)
from hickorywind.entry.request import FinishedRequest
from hickorywind.entry.requestbuilding import build_request
from hickorywind.entry.sessionstate import SessionState
from hickorywind.entry.transaction import SessionTransaction
from hickorywind.ids import AccessMode
from hickorywind.postgres.answers import parameter_status, ready_for_query
from hickorywind.postgres.batch import Batch, BatchTerminator
from hickorywind.postgres.batchbuilder import BatchBuilder
from hickorywind.postgres.errors import Severity, encode_error, encode_failed_transaction
from hickorywind.postgres.hints import PARAMETER_PREFIX, TOKEN, bad_hint_error
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode
from hickorywind.routing.session import KnownFloor
from hickorywind.util.clock import Instant, milliseconds

logger = logging.getLogger(__name__)

_TOKEN_PARAMETER = PARAMETER_PREFIX + TOKEN
_TERMINATE = b"X"
_IDLE_TIME_AFTER_ANSWER = timedelta(milliseconds=200)
_MAX_SERVING_TIME_AFTER_STOP = timedelta(seconds=1)
_OUTCOME_TIMEOUT_AT_END = timedelta(milliseconds=500)


class CallerSession:
    """Session of one caller, from the first ReadyForQuery until the connection ends."""

    def __init__(self, context: SessionContext, state: SessionState, stream: CallerStream) -> None:
        self._context = context
        self._state = state
        self._stream = stream
        self._builder = BatchBuilder(state, context.message_limit_bytes)
        self._transaction = SessionTransaction(context.executor)
        self._cancel_signal: CancelSignal | None = None
        self._stop_requested_at: Instant | None = None
        self._must_end = False
        self._last_answered_at = context.clock.now()

    async def run(self) -> None:
        """Serve until the caller disconnects, violates the protocol or the entry stops."""
        self._stream.set_disconnect_callback(self.cancel_current_request)
        try:
            await self._stream.write(ready_for_query(TransactionState.IDLE))
            await self._serve_batches()
        except HickorywindError as error:
            await self._end_with_fatal_error(error.result)
        except StreamStoppedError:
            await self._end_with_fatal_error(shutting_down_refusal())
        except (CallerDisconnectedError, ConnectionError):
            logger.debug("caller_disconnected", extra={"session_id": self._state.session_id})
        finally:
            await self._transaction.close()

    def cancel_current_request(self) -> None:
        """Cancel the running request, if there is one."""
        if self._cancel_signal is not None:
            self._cancel_signal.set()

    def stop_when_idle(self) -> None:
        """End the session if it has been idle for ``_IDLE_TIME_AFTER_ANSWER``; call repeatedly.

        A client may drop an answer if the connection is closed immediately after it.
        """
        now = self._context.clock.now()
        if self._stop_requested_at is None:
            self._stop_requested_at = now
        if self._is_between_requests and now - self._last_answered_at >= _IDLE_TIME_AFTER_ANSWER:
            self._stream.stop_if_idle()

    def end(self) -> None:
        """End the session now, with an answer to what the caller waits for.

        A running request is cancelled and its outcome reported; a transaction is rolled back.
        """
        self._must_end = True
        if self._cancel_signal is not None:
            self._cancel_signal.set(_OUTCOME_TIMEOUT_AT_END)
        self._stream.stop()

    @property
    def _is_between_requests(self) -> bool:
        return self._transaction.is_inactive and self._builder.is_empty

    async def _serve_batches(self) -> None:
        while not self._must_end:
            frame = await self._stream.next_frame(inside_batch=not self._builder.is_empty)
            if frame is None or frame.kind == _TERMINATE:
                return
            self._check_stop_deadline()
            batch = self._builder.add(frame)
            if batch is not None:
                await self._serve_batch(batch)
                self._last_answered_at = self._context.clock.now()
        raise StreamStoppedError

    def _check_stop_deadline(self) -> None:
        """Raise ``StreamStoppedError`` for a new request long after the stop was requested.

        Without this limit a caller that never pauses would keep its session open.
        """
        since = self._stop_requested_at
        if since is None or not self._is_between_requests:
            return
        if self._context.clock.now() - since >= _MAX_SERVING_TIME_AFTER_STOP:
            raise StreamStoppedError

    async def _end_with_fatal_error(self, result: Result) -> None:
        extra = {
            "session_id": self._state.session_id,
            "code": int(result.code),
            "reason": result.reason,
        }
        logger.info("session_ended", extra=extra)
        try:
            await self._stream.write(encode_error(result, Severity.FATAL))
        except CallerDisconnectedError:
            logger.debug("caller_disconnected", extra={"session_id": self._state.session_id})

    # Dispatch of a batch ----------------------------------------------------------------------

    async def _serve_batch(self, batch: Batch) -> None:
        if self._transaction.is_inactive:
            # A transaction that is open when its user loses access may end.
            self._state.account = self._context.accounts.require_access(self._state.user)
        if batch.refusal is not None:
            await self._refuse(batch, batch.refusal)
        elif self._transaction.failed and not batch.is_local:
            await self._serve_after_failure(batch)
        elif batch.is_local and not self._must_end_implicit_transaction(batch):
            await self._end_batch(batch, batch.local_replies)
        elif self._ends_without_transaction(batch):
            await self._end_batch(batch, answer_end_without_transaction(batch))
        else:
            await self._run_at_pool(batch)

    def _must_end_implicit_transaction(self, batch: Batch) -> bool:
        return self._transaction.is_implicit and batch.terminator is not BatchTerminator.FLUSH

    def _ends_without_transaction(self, batch: Batch) -> bool:
        is_query_outside_transaction = (
            self._transaction.is_inactive and batch.terminator is BatchTerminator.QUERY
        )
        return is_query_outside_transaction and only_ends_transaction(batch)

    async def _end_batch(self, batch: Batch, data: bytes) -> None:
        if batch.terminator is not BatchTerminator.FLUSH:
            data += ready_for_query(self._transaction.reported_state)
        if data:
            await self._stream.write(data)

    async def _refuse(self, batch: Batch, result: Result) -> None:
        """Send an error of the entry itself, which also fails an open transaction."""
        await self._transaction.fail()
        await self._end_with_error(batch, encode_error(result))

    async def _end_with_error(self, batch: Batch, error: bytes) -> None:
        self._builder.undo_changes(batch, reply_count=0)
        self._reset_after_error(batch)
        await self._end_batch(batch, error)

    def _reset_after_error(self, batch: Batch) -> None:
        if self._transaction.current is None:
            self._builder.forget_portals()
        if batch.terminator is BatchTerminator.FLUSH:
            self._builder.skip_to_sync()

    async def _serve_after_failure(self, batch: Batch) -> None:
        if only_ends_transaction(batch):
            self._transaction.clear()
            await self._end_batch(batch, answer_rollback(batch))
            return
        reason = "the transaction has failed; statements are ignored until it is rolled back"
        result = Result(ResultCode.TRANSACTION_LOST, Outcome.NOT_RUN, reason)
        await self._end_with_error(batch, encode_failed_transaction(result))

    # Execution of a batch at a pool -------------------------------------------------------------

    async def _run_at_pool(self, batch: Batch) -> None:
        self._cancel_signal = CancelSignal()
        try:
            service = self._find_service()
            plan = plan_batch(batch, self._state.hints, service, self._state.default_rank)
            self._check_request_id(plan)
            request = build_request(
                self._state,
                self._transaction,
                service,
                batch,
                plan,
                deadline=self._context.clock.now() + milliseconds(plan.timeout_ms),
                write=self._stream.write,
                cancel=self._cancel_signal,
            )
            finished = await self._context.executor.run(request)
        except HickorywindError as error:
            await self._refuse(batch, error.result)
            return
        finally:
            self._cancel_signal = None
        await self._handle_result(batch, plan, finished)

    def _find_service(self) -> Service:
        service = self._context.directory.service(self._state.service)
        if service is None:
            raise HickorywindError(unknown_service_refusal(self._state.service))
        return service

    def _check_request_id(self, plan: Plan) -> None:
        if plan.idempotency_key is not None and self._transaction.current is not None:
            raise bad_hint_error("in a transaction request_id must be given with BEGIN")

    async def _handle_result(self, batch: Batch, plan: Plan, finished: FinishedRequest) -> None:
        token = self._advance_floor(plan, finished)
        result = finished.result
        if not result.is_ok:
            await self._handle_failure(batch, plan, finished, token)
            return
        self._transaction.record_end(batch, plan, finished)
        if finished.has_error:
            self._builder.undo_changes(batch, finished.reply_count)
            self._reset_after_error(batch)
        elif self._transaction.is_inactive:
            self._builder.forget_portals()
        if result.code is ResultCode.ALREADY_RAN and not finished.has_sent_answer_bytes:
            token = answer_already_ran(batch, result) + token
        await self._end_batch(batch, token)

    def _advance_floor(self, plan: Plan, finished: FinishedRequest) -> bytes:
        """Advance the session's floor; return the new token as a ParameterStatus message.

        Return no bytes if the caller doesn't need a new token.
        """
        floors, service = self._state.floors, self._state.service
        if finished.result.outcome is Outcome.UNKNOWN and plan.mode is AccessMode.WRITE:
            floors.mark_uncertain(service)
            return parameter_status(_TOKEN_PARAMETER, floors.token())
        if finished.position is None:
            return b""
        was_known = isinstance(floors.floor(service), KnownFloor)
        from_primary = finished.target is not None and finished.target.is_primary
        changed = floors.advance(service, finished.position, from_primary)
        if changed and (plan.mode is AccessMode.WRITE or not was_known):
            return parameter_status(_TOKEN_PARAMETER, floors.token())
        return b""

    async def _handle_failure(
        self, batch: Batch, plan: Plan, finished: FinishedRequest, token: bytes
    ) -> None:
        result = finished.result
        is_cancelled = result.code is ResultCode.CANCELLED
        if self._must_end and is_cancelled and result.outcome is Outcome.NOT_RUN:
            raise StreamStoppedError
        in_transaction = self._transaction.current is not None
        if in_transaction and not plan.closes_transaction:
            result = transaction_lost_result(result)
        await self._transaction.fail()
        if plan.closes_transaction:
            self._transaction.clear()
        if in_transaction and only_rolls_back(batch):
            # The transaction is rolled back in any case, so ROLLBACK succeeds.
            self._reset_after_error(batch)
            await self._end_batch(batch, answer_rollback(batch))
            return
        await self._end_with_error(batch, encode_error(result) + token)
