"""Record of what was sent, answered and run."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path


class Record:
    """Writer of ``record.txt``; times are seconds since the record was opened."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self._started

    def write(self, event: str, *details: object) -> None:
        """Write one line."""
        text = " ".join(str(each) for each in details)
        self._file.write(f"{self.now():9.4f} {event} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Tasks:
    """Background tasks that are cancelled together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, work) -> asyncio.Task:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
