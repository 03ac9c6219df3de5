"""Run started requests on connections, give them up in time, and end their answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine

from hickorywind.ids import LogPosition
from hickorywind.pool.backendconnection import BackendConnection, ConnectionFailedError
from hickorywind.pool.checks import refuse_unreachable
from hickorywind.pool.connections import Connections
from hickorywind.pool.execution import prove_answer, run_batch
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.pool.jobs import Job, TransactionKey
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, to_milliseconds

logger = logging.getLogger(__name__)

_CLEAN_UP_SECONDS = 1.0


class Runner:
    """Take a started request to the end of its answer.

    ``free_slot`` is called once the backend server is done with a request, ``drop`` once its answer
    has ended too.
    """

    def __init__(
        self,
        connections: Connections,
        transactions: OpenTransactions,
        watch: GroupWatch,
        clock: Clock,
        free_slot: Callable[[Job], None],
        drop: Callable[[Job], None],
    ) -> None:
        self._connections = connections
        self._transactions = transactions
        self._watch = watch
        self._clock = clock
        self._free_slot = free_slot
        self._drop = drop
        self._tasks: set[asyncio.Task] = set()

    def start(self, job: Job) -> None:
        """Run a request that got its slot."""
        now = self._clock.now()
        job.started = now
        status = self._watch.status
        if status is not None:
            job.role, job.term, job.applied = status.role, status.term, status.applied
        remaining = (job.deadline - now).total_seconds()
        loop = asyncio.get_running_loop()
        job.timer = loop.call_later(remaining, self.give_up, job, ResultCode.DEADLINE_PASSED)
        self._spawn(self._run(job))

    async def _run(self, job: Job) -> None:
        try:
            result = await self._run_on_connection(job)
        except Exception as error:  # a bug must not leave the request without an answer
            logger.exception("request_failed", extra={"request_id": job.key.request_id})
            result = _internal(job, error)
        finally:
            self._free_slot(job)
        job.timer.cancel()
        if result.is_ok and not job.answer.ended:
            result = await prove_answer(job, self._watch) or result
        self._settle(job, result)

    async def _run_on_connection(self, job: Job) -> Result:
        try:
            connection = await self._find_connection(job)
        except ConnectionFailedError as error:
            return refuse_unreachable(str(error))
        if connection is None:
            return Result.not_run(ResultCode.TRANSACTION_LOST, "the transaction was rolled back")
        job.connection = connection
        try:
            if self._clock.now() >= job.deadline:
                reason = "the deadline passed before the request was started"
                return Result.not_run(ResultCode.DEADLINE_PASSED, reason)
            if job.abandoned:
                return Result.not_run(ResultCode.CANCELLED, "given up before it was started")
            return await run_batch(job, connection)
        except ConnectionFailedError as error:
            return _lost(job, str(error))
        finally:
            job.connection = None
            job.position = connection.position
            self._transactions.put_back(job, connection)

    async def _find_connection(self, job: Job) -> BackendConnection | None:
        if job.transaction is not None:
            return self._transactions.connection_of(job.transaction)
        return await self._connections.acquire()

    def _settle(self, job: Job, result: Result) -> None:
        """End a request that was started; a transaction in doubt is rolled back."""
        key = job.transaction or job.own_transaction
        if not result.is_ok:
            self._transactions.end(key)
        self._send_end(job, key, result, job.position if result.is_ok else None)
        self._drop(job)

    def end_unstarted(self, job: Job, result: Result) -> None:
        """End a request that was not started; the transaction it continues stays open."""
        self._transactions.leave(job)
        self._send_end(job, job.transaction or job.own_transaction, result, None)
        self._drop(job)

    def _send_end(
        self, job: Job, key: TransactionKey, result: Result, position: LogPosition | None
    ) -> None:
        connection = self._transactions.connection_of(key)
        now = self._clock.now()
        started = job.started or now
        job.answer.end(
            result,
            TransactionState.IDLE if connection is None else connection.state,
            None if connection is None else key.transaction_id,
            position,
            to_milliseconds(started - job.arrived),
            to_milliseconds(now - started),
        )

    # Giving up -----------------------------------------------------------------------------------

    def give_up(self, job: Job, code: ResultCode) -> None:
        """Answer a started request at once and clean up behind it."""
        if job.abandoned:
            return
        job.abandoned = True
        if job.touched:
            reason = "given up while it ran"
            result = Result(code, Outcome.UNKNOWN, reason, job.is_repeatable)
        else:
            result = Result.not_run(code, "given up before it was started")
        job.answer.end(result)
        if job.connection is not None:
            self._spawn(self._clean_up(job, job.connection))
        else:
            self._transactions.end(job.transaction or job.own_transaction)

    async def _clean_up(self, job: Job, connection: BackendConnection) -> None:
        """Stop what an abandoned request runs; close its connection where that takes long."""
        await connection.cancel_running()
        await asyncio.sleep(_CLEAN_UP_SECONDS)
        if job.connection is connection:
            self._connections.discard(connection)

    def cancel(self, job: Job) -> Result:
        """Withdraw a started request and say what is known of it."""
        if not job.touched:
            self.give_up(job, ResultCode.CANCELLED)
            return Result.not_run(ResultCode.CANCELLED, "cancelled before it was started")
        if job.connection is not None:
            self._spawn(job.connection.cancel_running())
        return Result.unknown(ResultCode.CANCELLED, "the request is running")

    def _spawn(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End everything that still runs."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _lost(job: Job, reason: str) -> Result:
    return Result(ResultCode.CONNECTION_LOST, Outcome.UNKNOWN, reason, job.is_repeatable)


def _internal(job: Job, error: Exception) -> Result:
    outcome = Outcome.UNKNOWN if job.touched else Outcome.NOT_RUN
    return Result(ResultCode.INTERNAL, outcome, f"internal error: {error!r}")
