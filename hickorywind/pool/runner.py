"""Execution of admitted requests: connection, deadline, cancellation and end of the answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

from hickorywind.ids import LogPosition
from hickorywind.pool.backendconnection import BackendConnection, ConnectionFailedError
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.pool.connectionpool import ConnectionPool
from hickorywind.pool.execution import run_batch, verify_answer
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.pool.requests import PoolRequest, TransactionKey
from hickorywind.pool.statuschecks import unreachable_refusal
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, to_milliseconds

logger = logging.getLogger(__name__)

_CANCEL_GRACE_SECONDS = 1.0


class RequestRunner:
    """Runner of requests from the moment they get a slot until their answers have ended.

    ``free_slot`` is called when the backend server has finished a request, ``remove_request`` when
    the answer of the request has ended as well.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        transactions: OpenTransactions,
        monitor: BackendMonitor,
        clock: Clock,
        free_slot: Callable[[PoolRequest], None],
        remove_request: Callable[[PoolRequest], None],
    ) -> None:
        self._connections = connections
        self._transactions = transactions
        self._monitor = monitor
        self._clock = clock
        self._free_slot = free_slot
        self._remove_request = remove_request
        self._tasks: set[asyncio.Task] = set()

    def start(self, request: PoolRequest) -> None:
        """Start running a request that was given a slot."""
        now = self._clock.now()
        request.started_at = now
        status = self._monitor.status
        if status is not None:
            request.role_at_start, request.term_at_start, request.applied_at_start = (
                status.role,
                status.term,
                status.applied,
            )
        remaining_seconds = (request.deadline - now).total_seconds()
        loop = asyncio.get_running_loop()
        request.deadline_timer = loop.call_later(
            remaining_seconds, self.abandon, request, ResultCode.DEADLINE_PASSED
        )
        self._spawn(self._run(request))

    async def _run(self, request: PoolRequest) -> None:
        try:
            result = await self._run_on_connection(request)
        except Exception as error:  # an unexpected error must not leave the request unanswered
            logger.exception("request_failed", extra={"request_id": request.key.request_id})
            result = _internal_error(request, error)
        finally:
            self._free_slot(request)
        request.deadline_timer.cancel()
        if result.is_ok and not request.answer.has_ended:
            result = await verify_answer(request, self._monitor) or result
        self._finish(request, result)

    async def _run_on_connection(self, request: PoolRequest) -> Result:
        try:
            connection = await self._get_connection(request)
        except ConnectionFailedError as error:
            return unreachable_refusal(str(error))
        if connection is None:
            return Result.not_run(ResultCode.TRANSACTION_LOST, "the transaction was rolled back")
        request.connection = connection
        try:
            if self._clock.now() >= request.deadline:
                reason = "the deadline passed before the request was started"
                return Result.not_run(ResultCode.DEADLINE_PASSED, reason)
            if request.is_abandoned:
                return Result.not_run(ResultCode.CANCELLED, "abandoned before it was started")
            return await run_batch(request, connection)
        except ConnectionFailedError as error:
            extra = {
                "backend": request.message.backend,
                "request_id": request.key.request_id,
                "reason": str(error),
            }
            logger.info("backend_connection_lost", extra=extra)
            return _connection_lost(request, str(error))
        finally:
            request.connection = None
            request.position = None if request.is_read_without_data else connection.position
            self._transactions.return_connection(request, connection)

    async def _get_connection(self, request: PoolRequest) -> BackendConnection | None:
        if request.transaction_key is not None:
            return self._transactions.usable_connection_of(request.transaction_key)
        return await self._connections.acquire()

    def _finish(self, request: PoolRequest, result: Result) -> None:
        """End the answer of a started request; unless it succeeded, roll back its transaction."""
        key = request.transaction_key or request.new_transaction_key
        if not result.is_ok:
            self._transactions.roll_back(key)
        self._send_end(request, key, result, request.position if result.is_ok else None)
        self._remove_request(request)

    def end_unstarted(self, request: PoolRequest, result: Result) -> None:
        """End the answer of a request that was not started; its open transaction stays open."""
        self._transactions.withdraw(request)
        self._send_end(
            request, request.transaction_key or request.new_transaction_key, result, None
        )
        self._remove_request(request)

    def _send_end(
        self,
        request: PoolRequest,
        key: TransactionKey,
        result: Result,
        position: LogPosition | None,
    ) -> None:
        connection = self._transactions.connection_of(key)
        now = self._clock.now()
        started_at = request.started_at or now
        request.answer.end(
            result,
            TransactionState.IDLE if connection is None else connection.transaction_state,
            None if connection is None else key.transaction_id,
            position,
            to_milliseconds(started_at - request.arrived_at),
            to_milliseconds(now - started_at),
        )

    # Cancellation and abandonment ----------------------------------------------------------------

    def abandon(self, request: PoolRequest, code: ResultCode) -> None:
        """End the answer of a started request with ``code`` at once and stop its execution."""
        if request.is_abandoned:
            return
        request.is_abandoned = True
        if request.may_have_run:
            reason = "abandoned while it ran"
            result = Result(code, Outcome.UNKNOWN, reason, request.is_safe_to_retry)
        else:
            result = Result.not_run(code, "abandoned before it was started")
        request.answer.end(result)
        if request.connection is not None:
            cancellation = request.connection.cancel_running()
            self._spawn(self._stop_running(request, request.connection, cancellation))
        else:
            self._transactions.roll_back(request.transaction_key or request.new_transaction_key)

    async def _stop_running(
        self,
        request: PoolRequest,
        connection: BackendConnection,
        cancellation: Coroutine[None, None, None],
    ) -> None:
        """Cancel an abandoned request at the backend server.

        The connection is closed if the request still runs after the grace period.
        """
        await cancellation
        await asyncio.sleep(_CANCEL_GRACE_SECONDS)
        if request.connection is connection:
            self._connections.discard(connection)

    def cancel(self, request: PoolRequest) -> Result:
        """Cancel a started request and return what is known about its outcome."""
        if not request.may_have_run:
            self.abandon(request, ResultCode.CANCELLED)
            return Result.not_run(ResultCode.CANCELLED, "cancelled before it was started")
        if request.connection is not None:
            self._spawn(request.connection.cancel_running())
        return Result.unknown(ResultCode.CANCELLED, "the request is already running")

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all running requests and wait until their tasks have ended."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _connection_lost(request: PoolRequest, reason: str) -> Result:
    return Result(ResultCode.CONNECTION_LOST, Outcome.UNKNOWN, reason, request.is_safe_to_retry)


def _internal_error(request: PoolRequest, error: Exception) -> Result:
    outcome = Outcome.UNKNOWN if request.may_have_run else Outcome.NOT_RUN
    return Result(ResultCode.INTERNAL, outcome, f"internal error: {error!r}")
