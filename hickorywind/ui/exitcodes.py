"""Exit codes of the command-line tool."""

from __future__ import annotations

from enum import IntEnum

from hickorywind.results import ResultCode


class ExitCode(IntEnum):
    """Exit code of a command; listed in ``docs/operators.md``."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    OUTCOME_UNKNOWN = 4
    BUG = 70
    INTERRUPTED = 130


_UNAVAILABLE = frozenset({ResultCode.STORE_UNAVAILABLE, ResultCode.CONTROLLER_UNREACHABLE})


def exit_code_for(code: ResultCode) -> ExitCode:
    """Return the exit code for the result code of a user error."""
    if code is ResultCode.STORE_OUTCOME_UNKNOWN:
        return ExitCode.OUTCOME_UNKNOWN
    if code in _UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return ExitCode.REFUSED
