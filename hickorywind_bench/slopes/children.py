"""Child processes for measurements, so that their cost is counted separately."""

from __future__ import annotations

import contextlib
import socket
import subprocess
import sys
from collections.abc import Iterator


def free_port() -> int:
    """Return a loopback TCP port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@contextlib.contextmanager
def running_module(module: str, *arguments: str) -> Iterator[int]:
    """Run ``python -m MODULE`` during the ``with`` block and yield its process id."""
    child = subprocess.Popen([sys.executable, "-m", module, *arguments])
    try:
        yield child.pid
    finally:
        child.terminate()
        child.wait()
