"""Let a session's waits end when its statement is cancelled."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from standins.backend.errors import QUERY_CANCELED, SqlError

_T = TypeVar("_T")


class Canceller:
    """Remember whether the current statement was cancelled and end its waits."""

    def __init__(self) -> None:
        self._cancelled = asyncio.Event()

    def cancel(self) -> None:
        """Cancel the current statement."""
        self._cancelled.set()

    def clear(self) -> None:
        """Begin another statement."""
        self._cancelled.clear()

    async def acquire(self, lock: asyncio.Lock | asyncio.Semaphore) -> None:
        """Wait for a lock or slot; raise ``SqlError`` when cancelled meanwhile."""
        if lock.locked():
            await self.wait_for(lock.acquire())
        else:
            await lock.acquire()

    async def wait_for(self, waiting: Coroutine[Any, Any, _T]) -> _T:
        """Await something that is safe to give up; raise ``SqlError`` when cancelled meanwhile."""
        task = asyncio.ensure_future(waiting)
        cancelling = asyncio.ensure_future(self._cancelled.wait())
        try:
            await asyncio.wait({task, cancelling}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            cancelling.cancel()
            if not task.done():
                task.cancel()
        if task.done():
            return task.result()
        raise SqlError(QUERY_CANCELED, "canceling statement due to user request")

    async def sleep(self, duration_s: float) -> None:
        """Let time pass; raise ``SqlError`` when cancelled meanwhile."""
        if duration_s > 0:
            await self.wait_for(asyncio.sleep(duration_s))
