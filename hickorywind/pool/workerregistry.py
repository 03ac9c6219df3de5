"""Registry of the workers of the backend servers that a pool serves."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta

from hickorywind.configuration.model import Instance, Service
from hickorywind.ids import Address, BackendId, HostId, ServiceName, Term
from hickorywind.membership.directory import Directory
from hickorywind.observability.metrics import Metrics
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.backendmonitor import BackendMonitor, ControlClient
from hickorywind.pool.backendworker import BackendWorker, WorkerDependencies
from hickorywind.pool.dispatch import check_expected_term, unknown_backend_refusal
from hickorywind.pool.events import DrainTimedOut
from hickorywind.pool.requests import TransactionKey
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode
from hickorywind.settings.schema import QueueOrder
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_IDLE_LIMIT = timedelta(seconds=60)
_IDLE_LIMIT_AFTER_HANDOVER = timedelta(seconds=2)
_RETRY_AFTER_MS = 100


class WorkerRegistry:
    """Registry that starts workers on demand and stops them when they are no longer needed.

    ``make_login`` builds the login for request connections; ``connect`` returns a client for a
    control connection, over which a backend server's status is read.
    """

    def __init__(
        self,
        host: HostId,
        directory: Directory,
        make_login: Callable[[ServiceName, Address], Login],
        connect: Callable[[Address], ControlClient],
        clock: Clock,
        rng: random.Random,
        queue_order: QueueOrder = QueueOrder.RANKED,
        metrics: Metrics | None = None,
    ) -> None:
        self._queue_order = queue_order
        self._metrics = metrics
        self._host = host
        self._directory = directory
        self._make_login = make_login
        self._connect = connect
        self._clock = clock
        self._rng = rng
        self._workers: dict[BackendId, BackendWorker] = {}
        self._worker_tasks: dict[BackendId, asyncio.Task] = {}
        self._monitors: dict[BackendId, BackendMonitor] = {}
        self._retired: dict[BackendWorker, tuple[asyncio.Task, BackendMonitor]] = {}
        self._closing_tasks: set[asyncio.Task] = set()

    def workers(self) -> tuple[BackendWorker, ...]:
        """Return the workers of all current and former addresses."""
        return (*self._workers.values(), *self._retired)

    def worker_for(self, message: Execute) -> BackendWorker | Result:
        """Return the worker that serves a request, or the refusal if no worker does."""
        instance = self._directory.instance(message.backend)
        service = self._directory.service_of(message.backend)
        if instance is None or service is None or service.name != message.service:
            return unknown_backend_refusal(message)
        refusal = check_expected_term(self._directory, message)
        if refusal is not None and message.transaction_id is None:
            return refusal
        worker = self._current_worker(service, instance)
        if worker is not None:
            return worker
        if not self._is_home(message.backend):
            return Result.not_run(
                ResultCode.NOT_HOME, "another pool serves this backend server", _RETRY_AFTER_MS
            )
        return self._start_worker(message.backend)

    def retired_worker_of(self, key: TransactionKey) -> BackendWorker | None:
        """Return the worker of a former address that holds an open transaction, if any."""
        return next((worker for worker in self._retired if worker.has_transaction(key)), None)

    def _current_worker(self, service: Service, instance: Instance) -> BackendWorker | None:
        """Return the worker of a backend server, updated to the current configuration, if any.

        A worker whose backend server moved to another address is retired.
        """
        worker = self._workers.get(instance.backend)
        if worker is None or (worker.service is service and worker.instance is instance):
            return worker
        if worker.instance.address != instance.address:
            self._retire(worker)
            return None
        if worker.service != service or worker.instance != instance:
            worker.reconfigure(service, instance)
        return worker

    def _retire(self, worker: BackendWorker) -> None:
        """Let a worker finish its requests and transactions at an address no longer configured."""
        del self._workers[worker.backend]
        monitor = self._monitors.pop(worker.backend)
        self._retired[worker] = (self._worker_tasks.pop(worker.backend), monitor)

    def _is_home(self, backend: BackendId) -> bool:
        home = self._directory.home_of(backend)
        return home is None or home.host == self._host

    def _start_worker(self, backend: BackendId) -> BackendWorker:
        instance = self._directory.instance(backend)
        service = self._directory.service_of(backend)
        dependencies = WorkerDependencies(
            self._clock,
            self._rng,
            self._make_login(service.name, instance.endpoint),
            self._monitor(backend),
            lambda: self._primary_monitor(service.name),
            lambda: self._directory.is_leaving(backend),
            lambda: self._known_term(service.name),
            self._queue_order,
            self._metrics,
        )
        worker = BackendWorker(service, instance, dependencies)
        self._workers[backend] = worker
        self._worker_tasks[backend] = asyncio.create_task(worker.run())
        logger.info("backend_worker_started", extra={"backend": backend})
        return worker

    def _monitor(self, backend: BackendId) -> BackendMonitor:
        monitor = self._monitors.get(backend)
        if monitor is None:
            endpoint = self._directory.instance(backend).endpoint
            monitor = BackendMonitor(backend, lambda: self._connect(endpoint), self._clock)
            self._monitors[backend] = monitor
        return monitor

    def _known_term(self, service: ServiceName) -> Term:
        group = self._directory.group(service)
        return Term(0) if group is None else group.term

    def _primary_monitor(self, service: ServiceName) -> BackendMonitor | None:
        group = self._directory.group(service)
        if group is None or self._directory.instance(group.primary) is None:
            return None
        return self._monitor(group.primary)

    def _stop_worker(self, backend: BackendId) -> None:
        self._workers.pop(backend, None)
        self._close_in_background(
            self._worker_tasks.pop(backend, None), self._monitors.pop(backend, None)
        )

    def _close_in_background(
        self, worker_task: asyncio.Task | None, monitor: BackendMonitor | None
    ) -> None:
        closing = asyncio.create_task(_close(worker_task, monitor))
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)

    def reconcile(self) -> None:
        """Apply directory changes; stop workers and monitors that are idle or handed over."""
        now = self._clock.now()
        for worker in tuple(self._workers.values()):
            self._reconcile_worker(worker, now)
        for worker in tuple(self._retired):
            if worker.is_idle:
                self._close_in_background(*self._retired.pop(worker))
        for backend, monitor in tuple(self._monitors.items()):
            if (
                backend not in self._workers
                and now - monitor.last_used >= self._monitor_idle_limit(backend)
            ):
                self._close_in_background(None, self._monitors.pop(backend))

    def _monitor_idle_limit(self, backend: BackendId) -> timedelta:
        """Return how long a monitor is kept after its last use.

        The limit is short for a service that this pool no longer serves: a backend server accepts
        few control connections, and a change of primary needs them.
        """
        service = self._directory.service_of(backend)
        served = {worker.service.name for worker in self._workers.values()}
        is_needed = service is not None and service.name in served
        return _IDLE_LIMIT if is_needed else _IDLE_LIMIT_AFTER_HANDOVER

    def _reconcile_worker(self, worker: BackendWorker, now: Instant) -> None:
        instance = self._directory.instance(worker.backend)
        service = self._directory.service_of(worker.backend)
        if instance is not None and service is not None:
            self._current_worker(service, instance)
        limit = _IDLE_LIMIT if self._is_home(worker.backend) else _IDLE_LIMIT_AFTER_HANDOVER
        if (
            worker.is_idle
            and now - worker.last_request_at >= limit
            and worker.backend in self._workers
        ):
            logger.info("backend_worker_stopped", extra={"backend": worker.backend})
            self._stop_worker(worker.backend)

    @property
    def all_idle(self) -> bool:
        """Return whether all workers are idle."""
        return all(worker.is_idle for worker in self.workers())

    async def end_requests(self) -> None:
        """Make all workers answer the requests that they hold and roll back open transactions."""
        for worker in self.workers():
            worker.inbox.put_nowait(DrainTimedOut())
        while not all(worker.inbox.empty() for worker in self.workers()):
            await asyncio.sleep(0)

    async def close(self) -> None:
        """Stop all workers and close all monitors."""
        for backend in {*self._workers, *self._monitors}:
            self._stop_worker(backend)
        for worker_task, monitor in self._retired.values():
            self._close_in_background(worker_task, monitor)
        self._retired.clear()
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)


async def _close(worker_task: asyncio.Task | None, monitor: BackendMonitor | None) -> None:
    if worker_task is not None:
        worker_task.cancel()
        await asyncio.gather(worker_task, return_exceptions=True)
    if monitor is not None:
        await monitor.close()
