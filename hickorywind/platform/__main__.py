"""Start of a host on the platform that provides the store and the backend servers.

The command is ``python3 -m hickorywind.platform``.

Only the modules needed to listen are imported here. The others take a good part of a second to
import; meanwhile callers of a restarted host wait in the listen queue instead of being refused.
"""

from __future__ import annotations

import gc
import importlib
import os
import signal
import socket
import sys
from types import ModuleType

from hickorywind.results import ResultCode, UserError
from hickorywind.settings.host import HostSettings, load_host_settings
from hickorywind.util.clock import BoottimeClock
from hickorywind.util.listening import open_listener

SETTINGS_VARIABLE = "HICKORYWIND_SETTINGS"
_PROGRAM_MODULE = "hickorywind.platform.program"
_EXIT_USAGE_ERROR = 2


def main() -> int:
    """Run the program and return its exit code."""
    entered_at = BoottimeClock().now()
    # Until the program handles them: a changed settings file must not end the process, and a stop
    # must not reset the callers in the listen queue.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stop_signals: list[int] = []
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda number, frame: stop_signals.append(number))
    settings_path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_host_settings(settings_path)
        listener = _listen(settings)
    except UserError as error:
        print(f"hickorywind: {error}", file=sys.stderr)
        return _EXIT_USAGE_ERROR
    program = _import_program()
    return program.run(settings, settings_path, listener, entered_at, stop_signals)


def _import_program() -> ModuleType:
    """Import the rest of the program, without searching its modules for garbage."""
    gc.disable()
    program = importlib.import_module(_PROGRAM_MODULE)
    gc.freeze()
    gc.enable()
    return program


def _listen(settings: HostSettings) -> socket.socket:
    try:
        return open_listener(settings.address("callers_listen"))
    except OSError as error:
        reason = f"callers_listen: can't listen at {settings.callers_listen} ({error.strerror})"
        raise UserError(ResultCode.SETTINGS_INVALID, reason) from None


if __name__ == "__main__":
    sys.exit(main())
