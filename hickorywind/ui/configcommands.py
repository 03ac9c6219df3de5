"""Commands ``config print``, ``config check`` and ``config diff``."""

from __future__ import annotations

import argparse
import asyncio
from pathlib import Path

import msgspec

from hickorywind.configuration.difference import Change, compare, format_changes
from hickorywind.configuration.model import Configuration
from hickorywind.configuration.printing import format_document
from hickorywind.configuration.validate import find_problems
from hickorywind.ids import Revision
from hickorywind.ui.applier import read_current_or_fail
from hickorywind.ui.connections import open_store
from hickorywind.ui.console import Console
from hickorywind.ui.documents import read_document, run_script
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.options import add_command, add_store_options

AGAINST_STORE = "store"


class ProblemOutput(msgspec.Struct, frozen=True):
    """JSON output of ``config check`` for one problem of a document."""

    code: int
    path: str
    text: str


class Difference(msgspec.Struct, frozen=True):
    """JSON output of ``config diff``; ``against_revision`` is None for a comparison with a file."""

    against_revision: Revision | None
    changes: tuple[Change, ...]


def add_print(commands: argparse._SubParsersAction) -> None:
    """Add ``config print``."""
    parser = add_command(
        commands,
        "print",
        "run a script and print its configuration in canonical form",
        "config print examples/stepclean.py > stepclean.yaml",
        run_print,
    )
    parser.add_argument("script", type=Path, metavar="SCRIPT.py")


def run_print(arguments: argparse.Namespace, console: Console) -> int:
    """Print the configuration that a script builds."""
    configuration = run_script(arguments.script)
    console.show(format_document(configuration), configuration)
    return ExitCode.OK


def add_check(commands: argparse._SubParsersAction) -> None:
    """Add ``config check``."""
    parser = add_command(
        commands,
        "check",
        "check a document and list every problem",
        "config check stepclean.yaml",
        run_check,
    )
    parser.add_argument("file", type=Path, metavar="FILE")


def run_check(arguments: argparse.Namespace, console: Console) -> int:
    """Print every problem of a document."""
    problems = find_problems(read_document(arguments.file))
    text = "".join(f"{problem}\n" for problem in problems) or f"{arguments.file}: ok\n"
    lines = [ProblemOutput(int(item.code), item.path, item.text) for item in problems]
    console.show(text, lines)
    return ExitCode.REFUSED if problems else ExitCode.OK


def add_diff(commands: argparse._SubParsersAction) -> None:
    """Add ``config diff``."""
    parser = add_command(
        commands,
        "diff",
        "show what a document changes, and against which revision",
        "config diff stepclean.yaml --store 10.0.0.5:2379",
        run_diff,
    )
    parser.add_argument("file", type=Path, metavar="FILE")
    parser.add_argument(
        "--against",
        metavar="FILE|store",
        default=AGAINST_STORE,
        help="the document to compare with, or the accepted one (default)",
    )
    add_store_options(parser)


def run_diff(arguments: argparse.Namespace, console: Console) -> int:
    """Print the differences between two configurations."""
    after = read_document(arguments.file)
    if arguments.against == AGAINST_STORE:
        revision, before = asyncio.run(_read_accepted(arguments))
        heading = f"against revision {revision}\n"
    else:
        revision, before = None, read_document(Path(arguments.against))
        heading = f"against {arguments.against}\n"
    changes = compare(before, after)
    body = format_changes(changes) or "no changes\n"
    console.show(heading + body, Difference(revision, changes))
    return ExitCode.OK


async def _read_accepted(
    arguments: argparse.Namespace,
) -> tuple[Revision, Configuration | None]:
    async with open_store(arguments) as store:
        current = await read_current_or_fail(store, arguments.store_prefix)
    if current is None:
        return Revision(0), None
    return current.revision, current.envelope.document
