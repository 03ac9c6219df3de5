"""Own one backend server: its queue, its connections and its open transactions."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.admission.fifo import FifoQueue
from hickorywind.admission.requests import Action, Refuse, Start
from hickorywind.admission.scheduler import AdmissionPolicy, AdmissionQueue
from hickorywind.admission.transactions import TransactionTable
from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import AccessMode, BackendId, InstanceRole, Term
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.checks import (
    is_for_older_term,
    needs_newer_status,
    refuse_by_status,
    refuse_leaving,
    refuse_old_term,
    refuse_unreachable,
)
from hickorywind.pool.connections import Connections, connection_share
from hickorywind.pool.events import (
    CancelAsked,
    EntrySilent,
    Event,
    Prepared,
    Reconfigured,
    SlotFreed,
    Submitted,
    Tick,
    TransactionEnded,
)
from hickorywind.pool.freshreads import FreshReads
from hickorywind.pool.gauges import BackendGauges, Occupancy
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.pool.jobs import Job, JobKey, TransactionKey
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.pool.runner import Runner
from hickorywind.protocol.channel import PeerId
from hickorywind.results import Result, ResultCode
from hickorywind.settings.template import QueueOrder
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_TICK_SECONDS = 0.05
_IDLE_TICK_SECONDS = 0.25
_POLL_INTERVAL = timedelta(milliseconds=500)
_POLL_INTERVAL_IN_DOUBT = timedelta(milliseconds=100)
_LONG_RUN = timedelta(milliseconds=200)
_IN_USE_WINDOW = timedelta(seconds=5)


@dataclass(frozen=True)
class BackendTools:
    """Pass what the task of a backend server needs from its role."""

    clock: Clock
    rng: random.Random
    login: Login
    watch: GroupWatch
    find_primary: Callable[[], GroupWatch | None]
    is_leaving: Callable[[], bool]
    known_term: Callable[[], Term]
    queue_order: QueueOrder = QueueOrder.RANKED
    metrics: Metrics | None = None


@dataclass(frozen=True)
class _Bounds:
    """Derive from the configuration what one home may use of a backend server."""

    policy: AdmissionPolicy
    connections: int
    reserve: int

    @classmethod
    def of(cls, service: Service, instance: Instance) -> _Bounds:
        share = connection_share(instance.connections)
        slots = min(instance.slots, share)
        policy = AdmissionPolicy.from_service(service, slots)
        return cls(policy, share, reserve=min(slots, share - 1))


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
        bounds = _Bounds.of(service, instance)
        self._table = TransactionTable(service.transactions, bounds.connections, bounds.reserve)
        self._queue = _make_queue(tools, bounds.policy)
        self._connections = Connections(tools.login, bounds.connections, tools.clock)
        self._transactions = OpenTransactions(self._table, self._connections, tools.clock)
        self._reads = FreshReads(tools.watch, tools.find_primary, tools.clock, tools.rng)
        self._runner = Runner(
            self._connections,
            self._transactions,
            tools.watch,
            tools.clock,
            free_slot=lambda job: self.inbox.put_nowait(SlotFreed(job)),
            drop=self._drop,
        )
        self._gauges = BackendGauges(tools.metrics, self.backend)
        self._jobs: dict[JobKey, Job] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_used = self._clock.now()
        self._last_poll: Instant | None = None

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
    def last_used(self) -> Instant:
        """Return when the last request came."""
        return self._last_used

    def holds(self, key: TransactionKey) -> bool:
        """Tell whether a transaction is open here."""
        return self._transactions.connection_of(key) is not None

    def reconfigure(self, service: Service, instance: Instance) -> None:
        """Put another revision of the configuration in force."""
        self.service, self.instance = service, instance
        self.inbox.put_nowait(Reconfigured(service, instance))

    def add_credit(self, key: JobKey, credit_bytes: int) -> bool:
        """Pass on credit for an answer; return False where the request is not here."""
        job = self._jobs.get(key)
        if job is None:
            return False
        job.answer.add_credit(credit_bytes)
        return True

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
            await asyncio.sleep(_IDLE_TICK_SECONDS if self.is_idle else _TICK_SECONDS)
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
                self._transactions.end(key)
            case EntrySilent(entry):
                self._forget_entry(entry)
            case Reconfigured(service, instance):
                self._reconfigure(service, instance)
            case Tick():
                self._tick()

    def _reconfigure(self, service: Service, instance: Instance) -> None:
        bounds = _Bounds.of(service, instance)
        self._queue.set_policy(bounds.policy)
        self._table.set_limits(service.transactions, bounds.connections, bounds.reserve)
        self._connections.set_limit(bounds.connections)
        logger.info("backend_reconfigured", extra={"backend": self.backend})

    async def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.close()
        self._connections.close_all()

    # Requests ------------------------------------------------------------------------------------

    def _submit(self, job: Job) -> None:
        self._last_used = self._clock.now()
        self._jobs[job.key] = job
        refusal = self._refuse_at_arrival(job)
        if refusal is not None:
            self._refuse(job, refusal)
        elif self._needs_status(job) or not self._is_fresh(job):
            self._spawn(self._prepare(job))
        else:
            self._enqueue(job)

    def _refuse_at_arrival(self, job: Job) -> Result | None:
        if job.transaction is not None:
            return self._transactions.join(job, job.transaction)
        if self._is_leaving():
            return refuse_leaving()
        if job.opens_transaction:
            return self._transactions.reserve(job)
        return None

    def _is_leaving(self) -> bool:
        status = self._watch.status
        return self._tools.is_leaving() or (status is not None and status.leaving)

    def _needs_status(self, job: Job) -> bool:
        return not self._watch.answers or needs_newer_status(self._watch.status, job.message)

    def _is_fresh(self, job: Job) -> bool:
        """Tell whether a read may run now; at a primary its answer is proved instead."""
        status = self._watch.status
        at_primary = status is not None and status.role is InstanceRole.PRIMARY
        if at_primary or job.transaction is not None:
            return True
        return self._reads.allows(job.message, job.arrived)

    async def _prepare(self, job: Job) -> None:
        """Get to know the backend server, and wait until a read's demands are met."""
        status = self._watch.status
        if self._needs_status(job):
            status = await self._watch.refresh()
        refusal = None
        if status is None:
            refusal = refuse_unreachable("the backend server does not answer")
        elif job.message.mode is AccessMode.READ and not self._is_fresh(job):
            refusal = await self._reads.wait(job.message, job.arrived, job.deadline)
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self.inbox.put_nowait(Prepared(job))

    def _enqueue(self, job: Job) -> None:
        if job.answer.ended:
            self._drop(job)
            return
        refusal = self._refuse_by_status(job)
        if refusal is not None:
            self._refuse(job, refusal)
        else:
            self._carry_out(self._queue.arrive(job.to_waiting(), self._clock.now()))

    def _refuse_by_status(self, job: Job) -> Result | None:
        if job.transaction is None and self._is_leaving():
            return refuse_leaving()
        status = self._watch.status
        refusal = refuse_by_status(status, job.message) if status is not None else None
        if refusal is not None and refusal.code is ResultCode.TRANSACTION_LOST:
            self._transactions.end(job.transaction)
        return refusal

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            job = self._jobs[action.request.key]
            match action:
                case Start():
                    waited = self._clock.now() - job.arrived
                    self._gauges.count_wait(job.message.rank, waited.total_seconds())
                    self._runner.start(job)
                case Refuse(_, result):
                    self._refuse(job, result)

    def _refuse(self, job: Job, result: Result) -> None:
        self._gauges.count_refusal(job.message.rank, result)
        self._runner.end_unstarted(job, result)

    def _drop(self, job: Job) -> None:
        self._jobs.pop(job.key, None)

    def _cancel(self, key: JobKey) -> None:
        job = self._jobs.get(key)
        if job is None:
            return
        if self._queue.withdraw(key, self._clock.now()) or job.started is None:
            result = Result.not_run(ResultCode.CANCELLED, "cancelled before it was started")
            self._refuse(job, result)
        else:
            result = self._runner.cancel(job)
        job.answer.report_cancel(result)

    def _forget_entry(self, entry: PeerId) -> None:
        for job in tuple(self._jobs.values()):
            if job.key.entry == entry:
                self._cancel(job.key)
                if job.started is not None:
                    self._runner.give_up(job, ResultCode.CANCELLED)
        self._transactions.end_all_of(entry)

    # Time ----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock.now()
        self._carry_out(self._queue.expire(now))
        for _ in self._transactions.end_idle():
            logger.info("transaction_idle_timeout", extra={"backend": self.backend})
        self._give_up_of_old_terms()
        if not self._watch.answers:
            self._give_up_on_silent_backend()
        self._connections.close_idle()
        self._show_occupancy()
        in_use = bool(self._jobs) or now - self._last_used < _IN_USE_WINDOW
        interval = _POLL_INTERVAL_IN_DOUBT if self._is_in_doubt(now) else _POLL_INTERVAL
        is_due = self._last_poll is None or now - self._last_poll >= interval
        if in_use and is_due:
            self._last_poll = now
            self._spawn(self._watch.refresh())

    def _is_in_doubt(self, now: Instant) -> bool:
        """Tell whether a request runs for so long that the backend server may have stopped."""
        started = (job.started for job in self._jobs.values() if job.connection is not None)
        return any(instant is not None and now - instant > _LONG_RUN for instant in started)

    def _give_up_of_old_terms(self) -> None:
        """End at once what ran at a primary that is known to be replaced: it can't be proved."""
        term = self._tools.known_term()
        self._watch.learn_term(term)
        for job in tuple(self._jobs.values()):
            at_old_primary = job.role is InstanceRole.PRIMARY and job.term < term
            if at_old_primary and job.connection is not None:
                self._runner.give_up(job, ResultCode.COMMIT_UNPROVEN)
            elif is_for_older_term(job.message, term):
                self._refuse_waiting(job, refuse_old_term(term, job.message))

    def _give_up_on_silent_backend(self) -> None:
        """Send elsewhere, before their deadline, what a silent backend server may never answer."""
        for job in tuple(self._jobs.values()):
            is_alone = job.connection is not None and job.transaction is None
            if is_alone and job.is_repeatable:
                self._runner.give_up(job, ResultCode.CONNECTION_LOST)
            elif job.transaction is None:
                reason = "the backend server does not answer"
                self._refuse_waiting(job, refuse_unreachable(reason))

    def _refuse_waiting(self, job: Job, result: Result) -> None:
        """Send a request elsewhere that still waits for a slot here."""
        if self._queue.withdraw(job.key, self._clock.now()):
            self._refuse(job, result)

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

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _make_queue(tools: BackendTools, policy: AdmissionPolicy) -> AdmissionQueue | FifoQueue:
    match tools.queue_order:
        case QueueOrder.RANKED:
            return AdmissionQueue(policy, tools.rng)
        case QueueOrder.FIFO:
            return FifoQueue(policy, tools.rng)
