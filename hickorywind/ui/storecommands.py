"""Commands ``config apply``, ``config history`` and ``config show``."""

from __future__ import annotations

import argparse
import asyncio
import secrets
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from hickorywind.configuration.acceptance import (
    ChangeEnvelope,
    ChangeId,
    Finished,
    Proposal,
    StoredEnvelope,
    Verdict,
)
from hickorywind.configuration.history import HistoryEntry
from hickorywind.configuration.printing import format_document
from hickorywind.configuration.validate import require_valid
from hickorywind.ids import Revision
from hickorywind.results import ResultCode, UserError
from hickorywind.ui.applier import Applier, read_current_or_fail, read_history
from hickorywind.ui.applyerrors import error_for_outcome
from hickorywind.ui.connections import open_store
from hickorywind.ui.console import Console
from hickorywind.ui.documents import read_document
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.options import add_command, add_store_options, to_revision

_CHANGE_ID_BYTES = 8


class AcceptedOutput(msgspec.Struct, frozen=True):
    """JSON output of ``config apply``."""

    verdict: str
    revision: Revision
    change_id: ChangeId


def add_apply(commands: argparse._SubParsersAction) -> None:
    """Add ``config apply``."""
    parser = add_command(
        commands,
        "apply",
        "have a reviewed document accepted, unless another change came first",
        "config apply stepclean.yaml --reviewed-revision 41 --author ama --note 'more slots'"
        " --store 10.0.0.5:2379",
        run_apply,
    )
    parser.add_argument("file", type=Path, metavar="FILE")
    parser.add_argument(
        "--reviewed-revision",
        type=to_revision,
        required=True,
        metavar="N",
        help="the revision that config diff compared with; 0 for the first configuration",
    )
    parser.add_argument("--author", type=_to_line, required=True, metavar="NAME")
    parser.add_argument("--note", type=_to_line, required=True, metavar="TEXT")
    parser.add_argument(
        "--change-id",
        type=_to_line,
        metavar="ID",
        help="repeat an earlier apply whose outcome is unknown",
    )
    add_store_options(parser)


def _to_line(text: str) -> str:
    if not text.strip() or not text.isprintable():
        raise argparse.ArgumentTypeError("expected one line of text")
    return text


def run_apply(arguments: argparse.Namespace, console: Console) -> int:
    """Apply a document and print the accepted revision."""
    document = read_document(arguments.file)
    require_valid(document)
    proposal = Proposal(
        change_id=ChangeId(arguments.change_id or secrets.token_hex(_CHANGE_ID_BYTES)),
        author=arguments.author,
        note=arguments.note,
        reviewed_revision=Revision(arguments.reviewed_revision),
        document=document,
    )
    finished = asyncio.run(_apply(arguments, proposal))
    error = error_for_outcome(finished, proposal)
    if error is not None:
        raise error
    console.show(
        _describe(finished, proposal),
        AcceptedOutput(finished.verdict.value, finished.revision, proposal.change_id),
    )
    return ExitCode.OK


async def _apply(arguments: argparse.Namespace, proposal: Proposal) -> Finished:
    async with open_store(arguments) as store:
        applier = Applier(store, arguments.store_prefix)
        return await applier.apply(proposal, datetime.now(UTC))


def _describe(finished: Finished, proposal: Proposal) -> str:
    if finished.verdict is Verdict.SUPERSEDED:
        return f"change {proposal.change_id} was accepted and replaced since, see config history"
    return f"accepted revision {finished.revision}, change {proposal.change_id}"


def add_history(commands: argparse._SubParsersAction) -> None:
    """Add ``config history``."""
    parser = add_command(
        commands,
        "history",
        "list the accepted changes, latest first",
        "config history --store 10.0.0.5:2379",
        run_history,
    )
    add_store_options(parser)


def run_history(arguments: argparse.Namespace, console: Console) -> int:
    """Print the accepted changes, latest first."""
    entries = asyncio.run(_read_history(arguments))[::-1]
    text = "".join(map(_format_entry, entries)) or "no configuration was accepted yet\n"
    console.show(text, entries)
    return ExitCode.OK


async def _read_history(arguments: argparse.Namespace) -> tuple[HistoryEntry, ...]:
    async with open_store(arguments) as store:
        return await read_history(store, arguments.store_prefix)


def _format_entry(entry: HistoryEntry) -> str:
    accepted_at = entry.accepted_at or "time not noted"
    head = f"revision {entry.revision}  {accepted_at}  {entry.author}  {entry.note}"
    changes = "".join(f"    {line}\n" for line in entry.changes)
    return f"{head}  (change {entry.change_id}, reviewed {entry.reviewed_revision})\n{changes}"


def add_show(commands: argparse._SubParsersAction) -> None:
    """Add ``config show``."""
    parser = add_command(
        commands,
        "show",
        "print the accepted document",
        "config show --store 10.0.0.5:2379 > accepted.yaml",
        run_show,
    )
    add_store_options(parser)


def run_show(arguments: argparse.Namespace, console: Console) -> int:
    """Print the accepted document, preceded by a comment with its revision."""
    current = asyncio.run(_read_current(arguments))
    if current is None:
        raise UserError(ResultCode.CONFIG_INVALID, "no configuration was accepted yet")
    envelope = current.envelope
    head = f"# revision {current.revision}, change {envelope.change_id} by {envelope.author}\n"
    text = head + format_document(envelope.document)
    console.show(text, ShowOutput(current.revision, envelope))
    return ExitCode.OK


class ShowOutput(msgspec.Struct, frozen=True):
    """JSON output of ``config show``."""

    revision: Revision
    envelope: ChangeEnvelope


async def _read_current(arguments: argparse.Namespace) -> StoredEnvelope | None:
    async with open_store(arguments) as store:
        return await read_current_or_fail(store, arguments.store_prefix)
