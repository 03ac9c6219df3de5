"""Child processes of a demonstration or test: start, signals and stop."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path


@dataclass
class ManagedProcess:
    """Child process whose output is written to a log file."""

    name: str
    arguments: Sequence[str]
    log_path: Path
    environment: Mapping[str, str]
    _child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process, also again after it has ended."""
        with self.log_path.open("ab") as log:
            self._child = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={**os.environ, **self.environment},
                start_new_session=True,
            )

    @property
    def process_id(self) -> int:
        """Return the process id of the running child."""
        return self._require_child().pid

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def _require_child(self) -> subprocess.Popen:
        if self._child is None:
            raise RuntimeError(f"{self.name} was never started")
        return self._child

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.is_running:
            self._require_child().send_signal(number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait(timeout_seconds=10)

    def freeze(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Resume the process if paused and send SIGTERM, without waiting for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)

    def wait(self, timeout_seconds: float) -> int | None:
        """Wait for the end and return the exit code; after the timeout, kill and return None."""
        child = self._require_child()
        try:
            return child.wait(timeout_seconds)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
            return None

    def log_tail(self, line_count: int = 20) -> str:
        """Return the last lines of the process's output."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        return "\n".join(lines[-line_count:])
