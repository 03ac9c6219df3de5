"""History of the last accepted changes, for operators.

The list is stored under one key and is written after a change was accepted. It is informational: a
lost entry loses no configuration. It contains no documents, which are kept where they were
reviewed.
"""

from __future__ import annotations

import msgspec

from hickorywind.configuration.acceptance import ChangeEnvelope, ChangeId
from hickorywind.configuration.difference import Change
from hickorywind.ids import Revision
from hickorywind.util.decoding import MalformedDataError, decode

ENTRY_LIMIT = 100
CHANGE_LINE_LIMIT = 30
CHANGE_LINE_MAX_CHARACTERS = 200


def history_key(store_prefix: str) -> str:
    """Return the store key of the history."""
    return f"{store_prefix}/history"


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted change in the history.

    ``accepted_at`` is the time by the operator's clock in ISO form, empty if the operator's own
    entry was lost and a later command added this one. ``changes`` are the first lines of the
    difference, each truncated to ``CHANGE_LINE_MAX_CHARACTERS``.
    """

    revision: Revision
    change_id: ChangeId
    author: str
    note: str
    reviewed_revision: Revision
    accepted_at: str = ""
    changes: tuple[str, ...] = ()


def make_entry(
    revision: Revision,
    envelope: ChangeEnvelope,
    accepted_at: str = "",
    changes: tuple[Change, ...] = (),
) -> HistoryEntry:
    """Return the history entry of an accepted change."""
    return HistoryEntry(
        revision=revision,
        change_id=envelope.change_id,
        author=envelope.author,
        note=envelope.note,
        reviewed_revision=envelope.reviewed_revision,
        accepted_at=accepted_at,
        changes=_shorten(changes),
    )


def _shorten(changes: tuple[Change, ...]) -> tuple[str, ...]:
    lines = [str(change)[:CHANGE_LINE_MAX_CHARACTERS] for change in changes[:CHANGE_LINE_LIMIT]]
    omitted = len(changes) - len(lines)
    if omitted:
        lines.append(f"and {omitted} more")
    return tuple(lines)


def merge_entries(
    stored: tuple[HistoryEntry, ...], new: tuple[HistoryEntry, ...]
) -> tuple[HistoryEntry, ...]:
    """Return the newest entries of both; the stored entry wins if revisions are equal."""
    by_revision = {entry.revision: entry for entry in (*new, *stored)}
    ordered = sorted(by_revision.values(), key=lambda entry: entry.revision)
    return tuple(ordered[-ENTRY_LIMIT:])


_history_decoder = msgspec.json.Decoder(tuple[HistoryEntry, ...])


def encode_history(entries: tuple[HistoryEntry, ...]) -> bytes:
    """Encode a history as JSON."""
    return msgspec.json.encode(entries, order="deterministic")


def decode_history(data: bytes) -> tuple[HistoryEntry, ...]:
    """Decode a history; return an empty one for malformed data."""
    try:
        return decode(_history_decoder, data)
    except MalformedDataError:
        return ()
