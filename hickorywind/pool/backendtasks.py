"""Start and end the tasks of the backend servers that a pool serves."""

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
from hickorywind.pool.backend import BackendTask, BackendTools
from hickorywind.pool.backendconnection import Login
from hickorywind.pool.dispatch import is_term_stale, unknown_backend
from hickorywind.pool.groupwatch import ControlCalls, GroupWatch
from hickorywind.pool.jobs import TransactionKey
from hickorywind.protocol.messages import Execute
from hickorywind.results import Result, ResultCode
from hickorywind.settings.template import QueueOrder
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_IDLE_TASK_LIMIT = timedelta(seconds=60)
_HANDED_OVER_LIMIT = timedelta(seconds=2)
_RETRY_AFTER_MS = 100


class BackendTasks:
    """Start and end the tasks of backend servers as requests and the directory ask for it."""

    def __init__(
        self,
        host: HostId,
        directory: Directory,
        make_login: Callable[[ServiceName, Address], Login],
        connect: Callable[[Address], ControlCalls],
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
        self._tasks: dict[BackendId, BackendTask] = {}
        self._runners: dict[BackendId, asyncio.Task] = {}
        self._watches: dict[BackendId, GroupWatch] = {}
        self._retired: dict[BackendTask, tuple[asyncio.Task, GroupWatch]] = {}
        self._closing: set[asyncio.Task] = set()

    def tasks(self) -> tuple[BackendTask, ...]:
        """Return all tasks."""
        return (*self._tasks.values(), *self._retired)

    def task_for(self, message: Execute) -> BackendTask | Result:
        """Return the task that serves a request, or why there is none."""
        instance = self._directory.instance(message.backend)
        service = self._directory.service_of(message.backend)
        if instance is None or service is None or service.name != message.service:
            return unknown_backend(message)
        refusal = is_term_stale(self._directory, message)
        if refusal is not None and message.transaction_id is None:
            return refusal
        task = self._current_task(service, instance)
        if task is not None:
            return task
        if not self._is_home(message.backend):
            return Result.not_run(ResultCode.NOT_HOME, "another pool is home", _RETRY_AFTER_MS)
        return self._start(message.backend)

    def retired_task_of(self, key: TransactionKey) -> BackendTask | None:
        """Return the task of a former address that holds an open transaction."""
        return next((task for task in self._retired if task.holds(key)), None)

    def _current_task(self, service: Service, instance: Instance) -> BackendTask | None:
        """Return a backend server's task with the configuration in force."""
        task = self._tasks.get(instance.backend)
        if task is None or (task.service is service and task.instance is instance):
            return task
        if task.instance.address != instance.address:
            self._retire(task)
            return None
        if task.service != service or task.instance != instance:
            task.reconfigure(service, instance)
        return task

    def _retire(self, task: BackendTask) -> None:
        """Let a task finish what it has in hand at an address that is no longer in force."""
        del self._tasks[task.backend]
        watch = self._watches.pop(task.backend)
        self._retired[task] = (self._runners.pop(task.backend), watch)

    def _is_home(self, backend: BackendId) -> bool:
        home = self._directory.home_of(backend)
        return home is None or home.host == self._host

    def _start(self, backend: BackendId) -> BackendTask:
        instance = self._directory.instance(backend)
        service = self._directory.service_of(backend)
        tools = BackendTools(
            self._clock,
            self._rng,
            self._make_login(service.name, instance.endpoint),
            self._watch(backend),
            lambda: self._primary_watch(service.name),
            lambda: self._directory.is_leaving(backend),
            lambda: self._known_term(service.name),
            self._queue_order,
            self._metrics,
        )
        task = BackendTask(service, instance, tools)
        self._tasks[backend] = task
        self._runners[backend] = asyncio.create_task(task.run())
        logger.info("backend_taken", extra={"backend": backend})
        return task

    def _watch(self, backend: BackendId) -> GroupWatch:
        watch = self._watches.get(backend)
        if watch is None:
            endpoint = self._directory.instance(backend).endpoint
            watch = GroupWatch(backend, lambda: self._connect(endpoint), self._clock)
            self._watches[backend] = watch
        return watch

    def _known_term(self, service: ServiceName) -> Term:
        group = self._directory.group(service)
        return Term(0) if group is None else group.term

    def _primary_watch(self, service: ServiceName) -> GroupWatch | None:
        group = self._directory.group(service)
        if group is None or self._directory.instance(group.primary) is None:
            return None
        return self._watch(group.primary)

    def _stop(self, backend: BackendId) -> None:
        self._tasks.pop(backend, None)
        self._close_later(self._runners.pop(backend, None), self._watches.pop(backend, None))

    def _close_later(self, runner: asyncio.Task | None, watch: GroupWatch | None) -> None:
        closing = asyncio.create_task(_close(runner, watch))
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    def review(self) -> None:
        """Follow the directory and end what is unused or handed over to another pool."""
        now = self._clock.now()
        for task in tuple(self._tasks.values()):
            self._review_task(task, now)
        for task in tuple(self._retired):
            if task.is_idle:
                self._close_later(*self._retired.pop(task))
        for backend, watch in tuple(self._watches.items()):
            if backend not in self._tasks and now - watch.last_used >= self._watch_limit(backend):
                self._close_later(None, self._watches.pop(backend))

    def _watch_limit(self, backend: BackendId) -> timedelta:
        """Return how long a primary's watch outlasts its last use, short once nobody needs it.

        A backend server keeps room for few control connections, and changes of primary need it.
        """
        service = self._directory.service_of(backend)
        served = {task.service.name for task in self._tasks.values()}
        is_needed = service is not None and service.name in served
        return _IDLE_TASK_LIMIT if is_needed else _HANDED_OVER_LIMIT

    def _review_task(self, task: BackendTask, now: Instant) -> None:
        instance = self._directory.instance(task.backend)
        service = self._directory.service_of(task.backend)
        if instance is not None and service is not None:
            self._current_task(service, instance)
        limit = _IDLE_TASK_LIMIT if self._is_home(task.backend) else _HANDED_OVER_LIMIT
        if task.is_idle and now - task.last_used >= limit and task.backend in self._tasks:
            logger.info("backend_released", extra={"backend": task.backend})
            self._stop(task.backend)

    @property
    def all_idle(self) -> bool:
        """Tell whether no task has anything in hand."""
        return all(task.is_idle for task in self.tasks())

    async def close(self) -> None:
        """End all tasks and close all connections."""
        for backend in {*self._tasks, *self._watches}:
            self._stop(backend)
        for runner, watch in self._retired.values():
            self._close_later(runner, watch)
        self._retired.clear()
        await asyncio.gather(*self._closing, return_exceptions=True)


async def _close(runner: asyncio.Task | None, watch: GroupWatch | None) -> None:
    if runner is not None:
        runner.cancel()
        await asyncio.gather(runner, return_exceptions=True)
    if watch is not None:
        await watch.close()
