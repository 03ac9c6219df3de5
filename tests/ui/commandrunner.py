"""Run the command-line tool inside the test process."""

import contextlib
import gc
import io
from dataclasses import dataclass

from hickorywind.ui.program import run


@dataclass
class CommandResult:
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


def run_tool(*arguments):
    """Run one command; a usage error of argparse counts as its exit code.

    What earlier tests left behind is collected first, as Python reports it on the error output.
    """
    gc.collect()
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = run([str(argument) for argument in arguments])
        except SystemExit as stop:
            code = stop.code
    return CommandResult(code, out.getvalue(), err.getvalue())
