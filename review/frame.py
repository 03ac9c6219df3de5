"""Frame of a script: runs a case and turns its outcome into an exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from caller import Record

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 115.0


def run_case(file: str, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Run a case, which returns how the rule was broken; write the record and exit."""
    record = Record(Path(file).parent)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends the hosts first
    try:
        faults = asyncio.run(asyncio.wait_for(play(record), TIME_LIMIT_S))
    except Exception:
        traceback.print_exc()
        record.add("the case could not run")
        record.write()
        os._exit(COULD_NOT_RUN)
    for fault in faults:
        record.add(f"BROKEN {fault}")
    record.add(f"the rule was {'broken' if faults else 'kept'}")
    record.write()
    print(f"{len(faults)} faults", *faults[:3], sep="\n", flush=True)
    os._exit(BROKEN if faults else HELD)  # connections of the stand-ins may still be open
