"""Background tasks, and waiting for the first result of several tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from datetime import timedelta
from typing import Any, Generic, TypeVar

logger = logging.getLogger(__name__)

Value = TypeVar("Value")


async def first_result(tasks: Iterable[asyncio.Task[Value | None]]) -> Value | None:
    """Return the first result that is not None, or None where all are; other tasks keep running."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task.result() is not None:
                return task.result()
    return None


async def hedge(
    first: asyncio.Task[Value | None],
    after: timedelta,
    start_others: Callable[[], Iterable[asyncio.Task[Value | None]]],
) -> Value | None:
    """Return the first result that is not None of ``first`` and of further tasks.

    The further tasks are started only if ``first`` takes longer than ``after`` or returns None."""
    await asyncio.wait((first,), timeout=after.total_seconds())
    if first.done() and first.result() is not None:
        return first.result()
    return await first_result((first, *start_others()))


class JoinedCall(Generic[Value]):
    """Call that is made once for all that ask for it while an earlier one runs."""

    def __init__(self, call: Callable[[], Coroutine[Any, Any, Value]]) -> None:
        self._call = call
        self._background = BackgroundTasks()
        self._running: asyncio.Task[Value] | None = None
        self._next: asyncio.Task[Value] | None = None

    async def run(self) -> Value:
        """Return the result of a call that begins after this one; raise its error."""
        if self._next is None:
            self._next = self._background.start_shared(self._run_next(self._running))
        return await asyncio.shield(self._next)

    async def _run_next(self, previous: asyncio.Task[Value] | None) -> Value:
        if previous is not None:
            await asyncio.wait((previous,))
        self._running, self._next = self._next, None
        return await self._call()


class BackgroundTasks:
    """Set of running tasks; the event loop alone keeps only weak references to them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, work: Coroutine[Any, Any, Value]) -> asyncio.Task[Value]:
        """Run a coroutine in the background and log its failure."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def start_shared(self, work: Coroutine[Any, Any, Value]) -> asyncio.Task[Value]:
        """Run a coroutine in the background, whose failure those that wait for it handle."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def _finish(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("background_task_failed", exc_info=task.exception())

    def cancel(self) -> None:
        """Cancel every task."""
        for task in list(self._tasks):
            task.cancel()
