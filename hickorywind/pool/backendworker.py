"""Worker of one backend server: its queue, connections and open transactions."""

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
from hickorywind.ids import AccessMode, BackendId, InstanceRole, RequestId, Term
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.backendmetrics import BackendMetrics, LoadSnapshot
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.pool.connectionpool import ConnectionPool, connection_share
from hickorywind.pool.events import (
    CancelRequested,
    ConfigurationChanged,
    DrainTimedOut,
    EntryPresumedDead,
    Event,
    RequestArrived,
    RequestReady,
    RollbackRequested,
    SlotFreed,
    Tick,
)
from hickorywind.pool.freshnesschecker import FreshnessChecker
from hickorywind.pool.opentransactions import OpenTransactions
from hickorywind.pool.requests import PoolRequest, RequestKey, TransactionKey
from hickorywind.pool.runner import RequestRunner
from hickorywind.pool.statuschecks import (
    is_for_older_term,
    leaving_refusal,
    needs_newer_status,
    stale_term_refusal,
    status_refusal,
    unreachable_refusal,
)
from hickorywind.protocol.channel import PeerId
from hickorywind.results import Result, ResultCode
from hickorywind.settings.schema import QueueOrder
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_TICK_INTERVAL_SECONDS = 0.05
_IDLE_TICK_INTERVAL_SECONDS = 0.25
_STATUS_POLL_INTERVAL = timedelta(milliseconds=500)
_FAST_STATUS_POLL_INTERVAL = timedelta(milliseconds=100)
_LONG_RUNNING_THRESHOLD = timedelta(milliseconds=200)
_POLLING_PERIOD_AFTER_REQUEST = timedelta(seconds=5)


@dataclass(frozen=True)
class WorkerDependencies:
    """Dependencies that the pool role passes to the worker of a backend server."""

    clock: Clock
    rng: random.Random
    login: Login
    monitor: BackendMonitor
    find_primary_monitor: Callable[[], BackendMonitor | None]
    is_leaving: Callable[[], bool]
    known_term: Callable[[], Term]
    queue_order: QueueOrder = QueueOrder.RANKED
    metrics: Metrics | None = None


@dataclass(frozen=True)
class _ResourceLimits:
    """Share of a backend server's connections and slots that one home may use.

    The home of a backend server is the host whose pool serves it.
    """

    policy: AdmissionPolicy
    connections: int
    reserved_connections: int

    @classmethod
    def for_instance(cls, service: Service, instance: Instance) -> _ResourceLimits:
        connections = connection_share(instance.connections)
        slots = min(instance.slots, connections)
        policy = AdmissionPolicy.from_service(service, slots)
        return cls(policy, connections, reserved_connections=min(slots, connections - 1))


class BackendWorker:
    """Worker that queues and runs the requests for one backend server.

    ``inbox`` receives its events.
    """

    def __init__(
        self, service: Service, instance: Instance, dependencies: WorkerDependencies
    ) -> None:
        self.backend: BackendId = instance.backend
        self.instance = instance
        self.service = service
        self.inbox: asyncio.Queue[Event] = asyncio.Queue()
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._monitor = dependencies.monitor
        limits = _ResourceLimits.for_instance(service, instance)
        self._transaction_table = TransactionTable(
            service.transactions, limits.connections, limits.reserved_connections
        )
        self._queue = _make_queue(dependencies, limits.policy)
        self._connections = ConnectionPool(
            dependencies.login, limits.connections, dependencies.clock
        )
        self._transactions = OpenTransactions(
            self._transaction_table, self._connections, dependencies.clock
        )
        self._freshness = FreshnessChecker(
            dependencies.monitor,
            dependencies.find_primary_monitor,
            dependencies.clock,
            dependencies.rng,
        )
        self._runner = RequestRunner(
            self._connections,
            self._transactions,
            dependencies.monitor,
            dependencies.clock,
            free_slot=lambda request: self.inbox.put_nowait(SlotFreed(request)),
            remove_request=self._remove_request,
        )
        self._metrics = BackendMetrics(dependencies.metrics, self.backend)
        self._requests: dict[RequestKey, PoolRequest] = {}
        self._tasks: set[asyncio.Task] = set()
        self._last_request_at = self._clock.now()
        self._last_poll_at: Instant | None = None

    # State and configuration ---------------------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Return whether the worker has no request, no open transaction and no pending event."""
        return not self._requests and not len(self._transactions) and self.inbox.empty()

    @property
    def busy_slots(self) -> int:
        """Return the number of slots taken by requests that run at the backend server."""
        return self._queue.running_count

    @property
    def last_request_at(self) -> Instant:
        """Return when the last request arrived, or when the worker was created."""
        return self._last_request_at

    def has_transaction(self, key: TransactionKey) -> bool:
        """Return whether this worker holds the connection of an open transaction."""
        return self._transactions.connection_of(key) is not None

    def reconfigure(self, service: Service, instance: Instance) -> None:
        """Apply a new revision of the configuration."""
        self.service, self.instance = service, instance
        self.inbox.put_nowait(ConfigurationChanged(service, instance))

    def add_credit(self, key: RequestKey, credit_bytes: int) -> bool:
        """Add flow-control credit to an answer; return False if the request is unknown here."""
        request = self._requests.get(key)
        if request is None:
            return False
        request.answer.add_credit(credit_bytes)
        return True

    # Event loop ----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Handle events until cancelled."""
        ticker = self._spawn(self._tick_loop())
        try:
            while True:
                self._handle(await self.inbox.get())
        finally:
            ticker.cancel()
            await self._close()

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(
                _IDLE_TICK_INTERVAL_SECONDS if self.is_idle else _TICK_INTERVAL_SECONDS
            )
            self.inbox.put_nowait(Tick())

    def _handle(self, event: Event) -> None:
        match event:
            case RequestArrived(request):
                self._handle_arrival(request)
            case RequestReady(request):
                self._enqueue(request)
            case SlotFreed(request):
                self._apply(self._queue.finish(request.key, self._clock.now()))
            case CancelRequested(key):
                self._cancel(key)
            case RollbackRequested(key):
                self._roll_back(key)
            case EntryPresumedDead(entry_id):
                self._abandon_requests_of(entry_id)
            case ConfigurationChanged(service, instance):
                self._apply_configuration(service, instance)
            case DrainTimedOut():
                self._end_requests()
            case Tick():
                self._tick()

    def _apply_configuration(self, service: Service, instance: Instance) -> None:
        limits = _ResourceLimits.for_instance(service, instance)
        self._queue.set_policy(limits.policy)
        self._transaction_table.set_limits(
            service.transactions, limits.connections, limits.reserved_connections
        )
        self._connections.set_limit(limits.connections)
        logger.info("backend_reconfigured", extra={"backend": self.backend})

    async def _close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._runner.close()
        self._connections.close_all()

    # Requests ------------------------------------------------------------------------------------

    def _handle_arrival(self, request: PoolRequest) -> None:
        self._last_request_at = self._clock.now()
        self._requests[request.key] = request
        refusal = self._check_at_arrival(request)
        if refusal is not None:
            self._refuse(request, refusal)
        elif self._needs_newer_status(request) or not self._is_fresh_enough(request):
            self._spawn(self._wait_until_ready(request))
        else:
            self._enqueue(request)

    def _check_at_arrival(self, request: PoolRequest) -> Result | None:
        if request.transaction_key is not None:
            return self._transactions.join(request, request.transaction_key)
        if self._is_leaving():
            return leaving_refusal()
        if self._monitor.is_retrying:
            return unreachable_refusal("the backend server does not respond")
        if request.opens_transaction:
            return self._transactions.reserve(request)
        return None

    def _is_leaving(self) -> bool:
        status = self._monitor.status
        return self._dependencies.is_leaving() or (status is not None and status.leaving)

    def _needs_newer_status(self, request: PoolRequest) -> bool:
        return not self._monitor.is_responding or needs_newer_status(
            self._monitor.status, request.message
        )

    def _is_fresh_enough(self, request: PoolRequest) -> bool:
        """Return whether a read may run now.

        A read at a primary always may: its answer is verified before it is released.
        """
        status = self._monitor.status
        at_primary = status is not None and status.role is InstanceRole.PRIMARY
        if at_primary or request.transaction_key is not None:
            return True
        return self._freshness.may_run_now(request.message, request.arrived_at)

    async def _wait_until_ready(self, request: PoolRequest) -> None:
        """Refresh the status, wait until the replica is fresh enough for a read, then enqueue."""
        status = self._monitor.status
        if self._needs_newer_status(request):
            status = await self._monitor.refresh()
        refusal = None
        if status is None:
            refusal = unreachable_refusal("the backend server does not respond")
        elif request.message.mode is AccessMode.READ and not self._is_fresh_enough(request):
            refusal = await self._freshness.wait_until_fresh(
                request.message, request.arrived_at, request.deadline
            )
        if refusal is not None:
            self._refuse(request, refusal)
        else:
            self.inbox.put_nowait(RequestReady(request))

    def _enqueue(self, request: PoolRequest) -> None:
        if request.answer.has_ended:
            self._remove_request(request)
            return
        refusal = self._check_status(request)
        if refusal is not None:
            self._refuse(request, refusal)
        else:
            self._apply(self._queue.arrive(request.to_waiting_request(), self._clock.now()))

    def _check_status(self, request: PoolRequest) -> Result | None:
        if request.transaction_key is None and self._is_leaving():
            return leaving_refusal()
        status = self._monitor.status
        refusal = status_refusal(status, request.message) if status is not None else None
        if refusal is not None and refusal.code is ResultCode.TRANSACTION_LOST:
            self._transactions.roll_back(request.transaction_key)
        return refusal

    def _apply(self, actions: Sequence[Action]) -> None:
        for action in actions:
            request = self._requests[action.request.key]
            match action:
                case Start():
                    waited = self._clock.now() - request.arrived_at
                    self._metrics.observe_wait(request.message.rank, waited.total_seconds())
                    self._runner.start(request)
                case Refuse(_, result):
                    self._refuse(request, result)

    def _refuse(self, request: PoolRequest, result: Result) -> None:
        self._metrics.count_refusal(request.message.rank, result)
        self._runner.end_unstarted(request, result)

    def _remove_request(self, request: PoolRequest) -> None:
        self._requests.pop(request.key, None)

    def _cancel(self, key: RequestKey) -> None:
        request = self._requests.get(key)
        if request is None:
            return
        if self._queue.withdraw(key, self._clock.now()) or request.started_at is None:
            result = Result.not_run(ResultCode.CANCELLED, "cancelled before it was started")
            self._refuse(request, result)
        else:
            result = self._runner.cancel(request)
        request.answer.send_cancel_result(result)

    def _roll_back(self, key: TransactionKey) -> None:
        """Roll back a transaction, also one that a batch which still runs is about to open."""
        self._transactions.roll_back(key)
        opening = self._requests.get(RequestKey(key.entry_id, RequestId(key.transaction_id)))
        if opening is not None:
            self._stop_request(opening)

    def _stop_request(self, request: PoolRequest) -> None:
        self._cancel(request.key)
        if request.started_at is not None:
            self._runner.abandon(request, ResultCode.CANCELLED)

    def _abandon_requests_of(self, entry_id: PeerId) -> None:
        for request in tuple(self._requests.values()):
            if request.key.entry_id == entry_id:
                self._stop_request(request)
        self._transactions.roll_back_all_of(entry_id)

    def _end_requests(self) -> None:
        """Answer all requests and roll back all transactions; what was not started did not run."""
        for request in tuple(self._requests.values()):
            if request.started_at is not None:
                code = ResultCode.POOL_LOST if request.may_have_run else ResultCode.DRAINING
                self._runner.abandon(request, code)
            elif not request.answer.has_ended:
                self._queue.withdraw(request.key, self._clock.now())
                reason = "the pool stops before the request was started"
                self._refuse(request, Result.not_run(ResultCode.DRAINING, reason, 0))
        self._transactions.roll_back_all()

    # Periodic work -------------------------------------------------------------------------------

    def _tick(self) -> None:
        now = self._clock.now()
        self._apply(self._queue.expire(now))
        for _ in self._transactions.roll_back_idle():
            logger.info("transaction_idle_timeout", extra={"backend": self.backend})
        self._abandon_requests_of_old_terms()
        if not self._monitor.is_responding:
            self._abandon_requests_at_silent_backend()
        self._connections.close_idle()
        self._publish_metrics()
        in_use = bool(self._requests) or now - self._last_request_at < _POLLING_PERIOD_AFTER_REQUEST
        interval = (
            _FAST_STATUS_POLL_INTERVAL
            if self._has_long_running_request(now) or not self._monitor.is_responding
            else _STATUS_POLL_INTERVAL
        )
        is_due = self._last_poll_at is None or now - self._last_poll_at >= interval
        if in_use and is_due:
            self._last_poll_at = now
            self._spawn(self._monitor.refresh())

    def _has_long_running_request(self, now: Instant) -> bool:
        """Return whether a request has run so long that the backend server may be unresponsive."""
        started = (
            request.started_at
            for request in self._requests.values()
            if request.connection is not None
        )
        return any(
            instant is not None and now - instant > _LONG_RUNNING_THRESHOLD for instant in started
        )

    def _abandon_requests_of_old_terms(self) -> None:
        """Abandon requests at a replaced primary at once, since their commit can't be proved.

        Queued requests that expect the replaced primary are refused.
        """
        term = self._dependencies.known_term()
        self._monitor.observe_term(term)
        for request in tuple(self._requests.values()):
            at_old_primary = (
                request.role_at_start is InstanceRole.PRIMARY and request.term_at_start < term
            )
            if at_old_primary and request.connection is not None:
                self._runner.abandon(request, ResultCode.COMMIT_UNPROVEN)
            elif is_for_older_term(request.message, term):
                self._refuse_if_queued(request, stale_term_refusal(term, request.message))

    def _abandon_requests_at_silent_backend(self) -> None:
        """End requests at an unresponsive backend server before their deadlines.

        The entry can then retry them at another backend server. Running requests are abandoned only
        if they are safe to retry.
        """
        for request in tuple(self._requests.values()):
            is_outside_transaction = (
                request.connection is not None and request.transaction_key is None
            )
            if is_outside_transaction and request.is_safe_to_retry:
                self._runner.abandon(request, ResultCode.CONNECTION_LOST)
            elif request.transaction_key is None:
                reason = "the backend server does not respond"
                self._refuse_if_queued(request, unreachable_refusal(reason))

    def _refuse_if_queued(self, request: PoolRequest, result: Result) -> None:
        """Refuse a request if it still waits for a slot; leave it alone otherwise."""
        if self._queue.withdraw(request.key, self._clock.now()):
            self._refuse(request, result)

    def _publish_metrics(self) -> None:
        self._metrics.publish(
            LoadSnapshot(
                self._queue.waiting_by_rank(),
                self._queue.waiting_bytes_by_rank(),
                self._connections.open_count,
                self._queue.running_count,
                len(self._transactions),
            )
        )

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _make_queue(
    dependencies: WorkerDependencies, policy: AdmissionPolicy
) -> AdmissionQueue | FifoQueue:
    match dependencies.queue_order:
        case QueueOrder.RANKED:
            return AdmissionQueue(policy, dependencies.rng)
        case QueueOrder.FIFO:
            return FifoQueue(policy, dependencies.rng)
