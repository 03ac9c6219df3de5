"""Argument parser and entry point of the command-line tool."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Callable, Sequence

from hickorywind import __version__
from hickorywind.results import UserError
from hickorywind.ui.configcommands import add_check, add_diff, add_print
from hickorywind.ui.console import Console, OutputFormat
from hickorywind.ui.draincommand import add_drain
from hickorywind.ui.exitcodes import ExitCode, exit_code_for
from hickorywind.ui.explaincommand import add_explain
from hickorywind.ui.hostcommand import add_host
from hickorywind.ui.lossescommand import add_losses
from hickorywind.ui.options import UsageError
from hickorywind.ui.reportcommands import add_burn, add_record
from hickorywind.ui.statuscommand import add_status
from hickorywind.ui.storecommands import add_apply, add_history, add_show

_EXIT_CODES = """exit codes:
  0 done   1 refused or problem found   2 wrong usage   3 store or controller unavailable
  4 outcome unknown   70 internal error   130 interrupted

example:
  hickorywind config check examples/stepclean.yaml
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="hickorywind",
        description="Configure and watch a hickorywind system.",
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    commands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    _add_group(
        commands,
        "config",
        "build, check and accept the configuration",
        (add_print, add_check, add_diff, add_apply, add_history, add_show),
    )
    add_status(commands)
    add_drain(commands)
    add_explain(commands)
    add_losses(commands)
    add_host(commands)
    _add_group(commands, "report", "report service-level burn", (add_burn, add_record))
    return parser


def _add_group(
    commands: argparse._SubParsersAction,
    name: str,
    summary: str,
    add_commands: Sequence[Callable[[argparse._SubParsersAction], None]],
) -> None:
    group = commands.add_parser(
        name,
        help=summary,
        description=summary[0].upper() + summary[1:] + ".",
        epilog=f"example:\n  hickorywind {name} --help",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    inner = group.add_subparsers(title="commands", metavar="COMMAND", required=True)
    for add_command in add_commands:
        add_command(inner)


def run(arguments: Sequence[str] | None = None) -> int:
    """Run the command that the arguments name and return its exit code."""
    options = build_parser().parse_args(arguments)
    logging.basicConfig(level=logging.WARNING, format="hickorywind: %(message)s")
    console = Console.standard(OutputFormat(options.output))
    try:
        return int(options.run(options, console))
    except UsageError as error:
        console.print_error(error)
        return int(ExitCode.USAGE)
    except UserError as error:
        console.print_error(error)
        return int(exit_code_for(error.code))
    except KeyboardInterrupt:
        return int(ExitCode.INTERRUPTED)
    except BrokenPipeError:
        # The reader closed the pipe. Redirecting stdout keeps the interpreter's flush at exit
        # from failing too.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return int(ExitCode.OK)
    except Exception:
        logging.getLogger(__name__).exception("internal error, please report it")
        return int(ExitCode.BUG)
