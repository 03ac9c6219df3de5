"""Slots of a server, the queue before them, and lines that wait while a server is paused."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

SLOT_WORDS = frozenset("CONNECT STATUS READ WRITE EXECUTE COMMIT STEPDOWN PAUSE RESUME".split())
TIMED_WORDS = frozenset("READ WRITE EXECUTE COMMIT".split())
SLOT_S = (0.008, 0.04)  # how long each of ``TIMED_WORDS`` occupies a slot


class Slots:
    """Slots of a server, which serves those that wait in no particular order.

    Without a ``count`` nothing waits.
    """

    def __init__(self, count: int, rng: random.Random) -> None:
        self._free = count
        self._is_limited = count > 0
        self._rng = rng
        self._waiting: list[asyncio.Future[None]] = []

    @contextlib.asynccontextmanager
    async def occupy(self) -> AsyncIterator[None]:
        """Wait for a slot and occupy it."""
        if not self._is_limited:
            yield
            return
        if self._free:
            self._free -= 1
        else:
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(turn)
            await turn
        try:
            yield
        finally:
            self._release()

    def _release(self) -> None:
        waiting = [each for each in self._waiting if not each.done()]
        if not waiting:
            self._waiting.clear()
            self._free += 1
            return
        turn = self._rng.choice(waiting)
        self._waiting.remove(turn)
        turn.set_result(None)


class ReceivedLines:
    """Lines that a connection has received, also those that nobody has read when it ends."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._lines: asyncio.Queue[bytes] = asyncio.Queue()
        self.has_ended = False
        self._task = asyncio.create_task(self._receive(reader))

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError):
            while line := await reader.readline():
                self._lines.put_nowait(line)
        self.has_ended = True
        self._lines.put_nowait(b"")

    async def readline(self) -> bytes:
        """Return the next line, or nothing after the last one."""
        return await self._lines.get()

    def close(self) -> None:
        """Receive nothing more."""
        self._task.cancel()
