"""Log handler that limits the log volume and never blocks."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable

from hickorywind.util.clock import Clock

BURST_SECONDS = 5.0  # seconds of unused volume that may be written in one burst


class BoundedLogHandler(logging.Handler):
    """Handler that writes log lines to a file descriptor.

    Lines beyond the rate limit, or that don't fit into the pipe's buffer, are dropped and counted.
    """

    def __init__(
        self,
        descriptor: int,
        bytes_per_second: int,
        clock: Clock,
        on_drop: Callable[[], None],
    ) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rate = float(bytes_per_second)
        self._budget = self._rate * BURST_SECONDS
        self._clock = clock
        self._refilled = clock.now()
        self._on_drop = on_drop
        self._dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, preceded by the number of lines dropped since the last one written."""
        line = self.format(record)
        if self._dropped:
            line = f"event=log_lines_dropped count={self._dropped}\n{line}"
        data = (line + "\n").encode("utf-8", "backslashreplace")
        if not self._consume_budget(len(data)):
            self._count_dropped_line()
            return
        try:
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            self._count_dropped_line()
            return
        self._dropped = 0 if written == len(data) else 1

    def _consume_budget(self, size: int) -> bool:
        now = self._clock.now()
        elapsed = (now - self._refilled).total_seconds()
        self._refilled = now
        self._budget = min(self._budget + elapsed * self._rate, self._rate * BURST_SECONDS)
        if self._budget < size:
            return False
        self._budget -= size
        return True

    def _count_dropped_line(self) -> None:
        self._dropped += 1
        self._on_drop()
