"""Cancellation of a session's waits when its statement is cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from standins.backend.errors import QUERY_CANCELED, SqlError

_T = TypeVar("_T")


class Canceller:
    """Cancellation state of a session's current statement."""

    def __init__(self) -> None:
        self._cancelled = asyncio.Event()

    def cancel(self) -> None:
        """Cancel the current statement and end its wait."""
        self._cancelled.set()

    def clear(self) -> None:
        """Reset the cancellation state before the next statement."""
        self._cancelled.clear()

    async def acquire(self, lock: asyncio.Lock | asyncio.Semaphore) -> None:
        """Acquire a lock or semaphore; raise ``SqlError`` if the statement is cancelled."""
        if lock.locked():
            await self.wait_for(lock.acquire())
        else:
            await lock.acquire()

    async def wait_for(self, coroutine: Coroutine[Any, Any, _T]) -> _T:
        """Await a cancellable coroutine; raise ``SqlError`` if the statement is cancelled."""
        task = asyncio.ensure_future(coroutine)
        cancel_task = asyncio.ensure_future(self._cancelled.wait())
        try:
            await asyncio.wait({task, cancel_task}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            cancel_task.cancel()
            if not task.done():
                task.cancel()
        if task.done():
            return task.result()
        raise SqlError(QUERY_CANCELED, "canceling statement due to user request")

    async def sleep(self, duration_s: float) -> None:
        """Sleep for a duration; raise ``SqlError`` if the statement is cancelled."""
        if duration_s > 0:
            await self.wait_for(asyncio.sleep(duration_s))
