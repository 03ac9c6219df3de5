"""Processor time and memory of processes, read from /proc."""

from __future__ import annotations

import os
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_RESIDENT_FIELD = 1

Built = TypeVar("Built")


def cpu_seconds(process_id: int) -> float:
    """Return the user and system time used by all threads of a process."""
    # The command name may contain spaces, so fields are counted after its closing parenthesis.
    text = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2]
    fields = text.split()
    return (int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])) / _TICKS_PER_SECOND


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    fields = Path(f"/proc/{process_id}/statm").read_text().split()
    return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES


def measure_allocation(build: Callable[[], Built]) -> tuple[Built, int]:
    """Return the result of a call and the bytes that Python keeps allocated for it."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return built, after - before
