"""Own one backend server: its queue, its connections and its open transactions."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.fifo import FifoQueue
from hickorywind.admission.requests import Action, Refuse, Start
from hickorywind.admission.scheduler import AdmissionPolicy, AdmissionQueue
from hickorywind.admission.transactions import TransactionTable
from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import AccessMode, BackendId, InstanceRole, LogPosition
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.backendconnection import (
    BackendConnection,
    ConnectionFailedError,
    Login,
)
from hickorywind.pool.connections import Connections, connection_share
from hickorywind.pool.events import (
    CancelAsked,
    EntrySilent,
    Event,
    Prepared,
    SlotFreed,
    Submitted,
    Tick,
    TransactionEnded,
)
from hickorywind.pool.execution import prove_answer, run_batch
from hickorywind.pool.freshreads import FreshReads
from hickorywind.pool.gauges import BackendGauges, Occupancy
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.pool.jobs import Job, JobKey, TransactionKey
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.settings.template import QueueOrder
from hickorywind.util.clock import Clock, Instant, to_milliseconds

logger = logging.getLogger(__name__)

_TICK_SECONDS = 0.05
_POLL_INTERVAL = timedelta(milliseconds=500)
_IN_USE_WINDOW = timedelta(seconds=5)
_CLEAN_UP_SECONDS = 1.0
_RETRY_AFTER_MS = 200
_CLOSED_REASONS_KEPT = 1_000


@dataclass(frozen=True)
class BackendTools:
    """Pass what the task of a backend server needs from its role."""

    clock: Clock
    rng: random.Random
    login: Login
    watch: GroupWatch
    find_primary: Callable[[], GroupWatch | None]
    is_leaving: Callable[[], bool]
    queue_order: QueueOrder = QueueOrder.RANKED
    metrics: Metrics | None = None


class BackendTask:
    """Serve the requests for one backend server; ``inbox`` takes its events."""

    def __init__(self, service: Service, instance: Instance, tools: BackendTools) -> None:
        self.backend: BackendId = instance.backend
        self.instance = instance
        self.service = service
        self.inbox: asyncio.Queue[Event] = asyncio.Queue()
        self._tools = tools
        self._clock = tools.clock
        self._watch = tools.watch
        share = connection_share(instance.connections)
        reserve = min(instance.slots, share - 1)
        self._slots = min(instance.slots, share)
        policy = AdmissionPolicy.from_service(service, self._slots)
        self._queue = _make_queue(tools.queue_order, policy, tools.rng)
        self._gauges = BackendGauges(tools.metrics, self.backend)
        self._transactions = TransactionTable(service.transactions, share, reserve)
        self._connections = Connections(tools.login, share, tools.clock)
        self._reads = FreshReads(tools.watch, tools.find_primary, tools.clock, tools.rng)
        self._pinned: dict[TransactionKey, BackendConnection] = {}
        self._closed: dict[TransactionKey, ResultCode] = {}
        self._jobs: dict[JobKey, Job] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_used = self._clock.now()
        self._last_poll: Instant | None = None
        self._stopping = False

    # What the role may ask -----------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in hand and no transaction open."""
        return not self._jobs and not len(self._transactions) and self.inbox.empty()

    @property
    def busy_slots(self) -> int:
        """Return how many requests run at the backend server."""
        return self._queue.running_count

    @property
    def holds_connections(self) -> bool:
        """Tell whether connections to the backend server are open."""
        return self._connections.count > 0

    @property
    def last_used(self) -> Instant:
        """Return when the last request came."""
        return self._last_used

    def add_credit(self, key: JobKey, credit_bytes: int) -> bool:
        """Pass on credit for an answer; return False where the request is not here."""
        job = self._jobs.get(key)
        if job is None:
            return False
        job.answer.add_credit(credit_bytes)
        return True

    def knows(self, key: JobKey) -> bool:
        """Tell whether a request is in hand."""
        return key in self._jobs

    # The task ------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Handle events until cancelled."""
        ticker = self._spawn(self._tick_forever())
        try:
            while True:
                self._handle(await self.inbox.get())
        finally:
            ticker.cancel()
            await self._close()

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            self.inbox.put_nowait(Tick())

    def _handle(self, event: Event) -> None:
        match event:
            case Submitted(job):
                self._submit(job)
            case Prepared(job):
                self._enqueue(job)
            case SlotFreed(job):
                self._carry_out(self._queue.finish(job.key, self._clock.now()))
            case CancelAsked(key):
                self._cancel(key)
            case TransactionEnded(key):
                self._end_transaction(key, ResultCode.TRANSACTION_LOST)
            case EntrySilent(entry):
                self._forget_entry(entry)
            case Tick():
                self._tick()

    async def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._connections.close_all()

    # Arrival -------------------------------------------------------------------------------------

    def _submit(self, job: Job) -> None:
        self._last_used = self._clock.now()
        self._jobs[job.key] = job
        refusal = self._refuse_at_arrival(job)
        if refusal is not None:
            self._end(job, refusal)
        elif self._needs_refresh(job) or not self._may_run_now(job):
            self._spawn(self._prepare(job))
        else:
            self._enqueue(job)

    def _refuse_at_arrival(self, job: Job) -> Result | None:
        key = job.transaction
        if key is not None:
            return self._join_transaction(job, key)
        if self._is_leaving():
            reason = "the backend server takes no new work"
            return Result.not_run(ResultCode.BACKEND_LEAVING, reason, _RETRY_AFTER_MS)
        if job.opens_transaction:
            return self._open_transaction(job)
        return None

    def _join_transaction(self, job: Job, key: TransactionKey) -> Result | None:
        if self._transactions.begin_batch(key, job.message.session_id):
            job.joined = True
            return None
        code = self._closed.get(key, ResultCode.TRANSACTION_LOST)
        return Result.not_run(code, "the transaction is not open, it was rolled back")

    def _open_transaction(self, job: Job) -> Result | None:
        now = self._clock.now()
        if self._transactions.open(job.own_transaction, job.message.session_id, now):
            return None
        reason = "too many transactions are open at this backend server"
        return Result.not_run(ResultCode.TOO_MANY_TRANSACTIONS, reason, _RETRY_AFTER_MS)

    def _is_leaving(self) -> bool:
        status = self._watch.status
        return self._tools.is_leaving() or (status is not None and status.leaving)

    def _may_run_now(self, job: Job) -> bool:
        if self._is_at_primary() or job.transaction is not None:
            return True
        return self._reads.allows(job.message, job.arrived)

    def _needs_refresh(self, job: Job) -> bool:
        """Tell whether the status held is older than what the sender knows."""
        status = self._watch.status
        if status is None:
            return True
        expected = job.message.expected_term
        is_older = expected is not None and status.term < expected
        return is_older or (job.is_write and status.role is not InstanceRole.PRIMARY)

    def _is_at_primary(self) -> bool:
        status = self._watch.status
        return status is not None and status.role is InstanceRole.PRIMARY

    async def _prepare(self, job: Job) -> None:
        """Get to know the backend server, and wait until a read's demands are met."""
        status = await self._watch.refresh() if self._needs_refresh(job) else self._watch.status
        refusal = None
        if status is None:
            reason = "the backend server does not answer"
            refusal = Result.not_run(ResultCode.BACKEND_UNREACHABLE, reason, _RETRY_AFTER_MS)
        elif not self._may_run_now(job) and job.message.mode is AccessMode.READ:
            refusal = await self._reads.wait(job.message, job.arrived, job.deadline)
        if refusal is not None:
            self._end(job, refusal)
        else:
            self.inbox.put_nowait(Prepared(job))

    def _enqueue(self, job: Job) -> None:
        if job.answer.ended:
            self._drop(job)
            return
        refusal = self._refuse_by_status(job)
        if refusal is not None:
            self._end(job, refusal)
        else:
            self._carry_out(self._queue.arrive(job.to_waiting(), self._clock.now()))

    def _refuse_by_status(self, job: Job) -> Result | None:
        """Check what the sender believes against the backend server's own status."""
        status = self._watch.status
        if status is None:
            return None
        if job.transaction is None and self._is_leaving():
            reason = "the backend server takes no new work"
            return Result.not_run(ResultCode.BACKEND_LEAVING, reason, _RETRY_AFTER_MS)
        expected = job.message.expected_term
        if expected is not None and status.term > expected:
            reason = f"the group is at term {status.term}"
            if job.transaction is not None:
                self._end_transaction(job.transaction, ResultCode.TRANSACTION_LOST)
                return Result.not_run(ResultCode.TRANSACTION_LOST, reason)
            return Result.not_run(ResultCode.STALE_TERM, reason, _RETRY_AFTER_MS)
        if job.is_write and status.role is not InstanceRole.PRIMARY:
            reason = "the backend server is not primary"
            return Result.not_run(ResultCode.NO_PRIMARY, reason, _RETRY_AFTER_MS)
        return None

    # Running -------------------------------------------------------------------------------------

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            job = self._jobs[action.request.key]
            match action:
                case Start():
                    self._start(job)
                case Refuse(_, result):
                    self._end(job, result)

    def _start(self, job: Job) -> None:
        now = self._clock.now()
        job.started = now
        self._gauges.count_wait(job.message.rank, (now - job.arrived).total_seconds())
        status = self._watch.status
        if status is not None:
            job.role, job.term, job.applied = status.role, status.term, status.applied
        remaining = (job.deadline - now).total_seconds()
        loop = asyncio.get_running_loop()
        job.timer = loop.call_later(remaining, self._give_up, job, ResultCode.DEADLINE_PASSED)
        self._spawn(self._run(job))

    async def _run(self, job: Job) -> None:
        try:
            result = await self._run_on_connection(job)
        except Exception as error:  # a bug must not leave the request without an answer
            logger.exception("request_failed", extra={"request_id": job.key.request_id})
            result = _internal(job, error)
        finally:
            self.inbox.put_nowait(SlotFreed(job))
        if job.timer is not None:
            job.timer.cancel()
        if result.is_ok and not job.answer.ended:
            result = await prove_answer(job, self._watch) or result
        self._settle(job, result)

    async def _run_on_connection(self, job: Job) -> Result:
        key = job.transaction
        try:
            connection = self._pinned[key] if key else await self._connections.acquire()
        except ConnectionFailedError as error:
            return Result.not_run(ResultCode.BACKEND_UNREACHABLE, str(error), _RETRY_AFTER_MS)
        except KeyError:
            return Result.not_run(ResultCode.TRANSACTION_LOST, "the transaction was rolled back")
        job.connection = connection
        try:
            if job.abandoned:
                return Result.not_run(ResultCode.CANCELLED, "given up before it was started")
            return await run_batch(job, connection)
        except ConnectionFailedError as error:
            return _lost(job, str(error))
        finally:
            self._put_back(job, connection)

    def _put_back(self, job: Job, connection: BackendConnection) -> None:
        """Keep the connection of an open transaction; give any other one back."""
        key = job.transaction or job.own_transaction
        job.connection = None
        job.position = connection.position
        stays_open = connection.state is not TransactionState.IDLE and not connection.broken
        if stays_open and not job.abandoned and self._hold_transaction(job, key):
            self._pinned[key] = connection
            return
        self._transactions.close(key)
        self._pinned.pop(key, None)
        self._connections.release(connection)

    def _hold_transaction(self, job: Job, key: TransactionKey) -> bool:
        now = self._clock.now()
        if key not in self._transactions:
            if not self._transactions.open(key, job.message.session_id, now):
                return False
        self._transactions.end_batch(key, now)
        return True

    def _settle(self, job: Job, result: Result) -> None:
        """End a request that was started."""
        key = job.transaction or job.own_transaction
        if not result.is_ok:
            self._end_transaction(key, ResultCode.TRANSACTION_LOST)
        position = job.position if result.is_ok else None
        self._send_end(job, key, result, position)
        self._drop(job)

    def _end(self, job: Job, result: Result) -> None:
        """End a request that was not started; the transaction it continues stays open."""
        self._gauges.count_refusal(job.message.rank, result)
        if job.transaction is None:
            self._transactions.close(job.own_transaction)
        elif job.joined:
            self._transactions.end_batch(job.transaction, self._clock.now())
        self._send_end(job, job.transaction or job.own_transaction, result, None)
        self._drop(job)

    def _send_end(
        self, job: Job, key: TransactionKey, result: Result, position: LogPosition | None
    ) -> None:
        connection = self._pinned.get(key)
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

    def _drop(self, job: Job) -> None:
        self._jobs.pop(job.key, None)
        if job.timer is not None:
            job.timer.cancel()

    # Giving up -----------------------------------------------------------------------------------

    def _give_up(self, job: Job, code: ResultCode) -> None:
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
            self._end_transaction(
                job.transaction or job.own_transaction, ResultCode.TRANSACTION_LOST
            )

    async def _clean_up(self, job: Job, connection: BackendConnection) -> None:
        """Stop what an abandoned request runs; close its connection where that takes long."""
        await connection.cancel_running()
        await asyncio.sleep(_CLEAN_UP_SECONDS)
        if job.connection is connection:
            self._connections.discard(connection)

    def _cancel(self, key: JobKey) -> None:
        job = self._jobs.get(key)
        if job is None:
            return
        result = Result.not_run(ResultCode.CANCELLED, "cancelled before it was started")
        if self._queue.withdraw(key, self._clock.now()) or job.started is None:
            self._end(job, result)
        elif not job.touched:
            self._give_up(job, ResultCode.CANCELLED)
        else:
            result = Result.unknown(ResultCode.CANCELLED, "the request is running")
            if job.connection is not None:
                self._spawn(job.connection.cancel_running())
        job.answer.report_cancel(result)

    def _end_transaction(self, key: TransactionKey, code: ResultCode) -> None:
        """Roll back a transaction by closing its connection."""
        connection = self._pinned.pop(key, None)
        if self._transactions.close(key):
            self._closed[key] = code
            if len(self._closed) > _CLOSED_REASONS_KEPT:
                del self._closed[next(iter(self._closed))]
        if connection is not None:
            self._connections.discard(connection)

    def _forget_entry(self, entry: bytes) -> None:
        for job in tuple(self._jobs.values()):
            if job.key.entry == entry:
                self._cancel(job.key)
                if job.started is not None:
                    self._give_up(job, ResultCode.CANCELLED)
        for key in self._transactions.keys:
            if key.entry == entry:
                self._end_transaction(key, ResultCode.TRANSACTION_LOST)

    # Time ----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock.now()
        self._carry_out(self._queue.expire(now))
        for key in self._transactions.idle_too_long(now):
            logger.info("transaction_idle_timeout", extra={"backend": self.backend})
            self._end_transaction(key, ResultCode.TRANSACTION_IDLE_TIMEOUT)
        self._connections.close_idle()
        self._show_occupancy()
        in_use = bool(self._jobs) or now - self._last_used < _IN_USE_WINDOW
        is_due = self._last_poll is None or now - self._last_poll >= _POLL_INTERVAL
        if in_use and is_due:
            self._last_poll = now
            self._spawn(self._watch.refresh())

    def _show_occupancy(self) -> None:
        self._gauges.show(
            Occupancy(
                self._queue.waiting_by_rank(),
                self._queue.waiting_bytes_by_rank(),
                self._connections.count,
                self._queue.running_count,
                len(self._transactions),
            )
        )

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _make_queue(
    order: QueueOrder, policy: AdmissionPolicy, rng: random.Random
) -> AdmissionQueue | FifoQueue:
    match order:
        case QueueOrder.RANKED:
            return AdmissionQueue(policy, rng)
        case QueueOrder.FIFO:
            return FifoQueue(policy, rng)


def _lost(job: Job, reason: str) -> Result:
    return Result(ResultCode.CONNECTION_LOST, Outcome.UNKNOWN, reason, job.is_repeatable)


def _internal(job: Job, error: Exception) -> Result:
    outcome = Outcome.UNKNOWN if job.touched else Outcome.NOT_RUN
    return Result(ResultCode.INTERNAL, outcome, f"internal error: {error!r}")
