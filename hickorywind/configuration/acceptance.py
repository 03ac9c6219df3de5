"""Acceptance of a reviewed configuration by compare-and-swap in the store.

The store keeps the current document under one key as a ``ChangeEnvelope``; the store revision at
which that key last changed is *the* revision of the configuration. A change is accepted by
compare-and-swap against the revision that was reviewed. The same swap may be sent again after a
lost answer: at most one of them can take effect, and the change id shows whose it was.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType

import msgspec

from hickorywind.configuration.model import Configuration
from hickorywind.ids import Revision
from hickorywind.results import ResultCode, UserError
from hickorywind.util.decoding import MalformedDataError, decode

ChangeId = NewType("ChangeId", str)

NO_CHANGE_ID = ChangeId("")
NOTHING_STORED = Revision(0)
STORED_LIMIT_BYTES = 1_000_000
RECENT_CHANGES_KEPT = 32
_COMPRESSED_ABOVE_BYTES = 16_384
_DECOMPRESSED_LIMIT_BYTES = 67_108_864
_JSON_START = b"{"
_ATTEMPT_LIMIT = 8
_READ_RETRY_LIMIT = 2  # a read changes nothing, and one late answer is not yet an outage
_RETRY_DELAY = timedelta(milliseconds=500)


def config_key(store_prefix: str) -> str:
    """Return the store key of the current configuration."""
    return f"{store_prefix}/config"


class ChangeEnvelope(msgspec.Struct, frozen=True, kw_only=True):
    """Document as stored, with its author, the reason for the change and the reviewed revision.

    ``recent_changes`` lists the ids of the changes that led here, oldest first and without this
    one, so that an operator whose answer was lost can tell later whether the change took effect.
    """

    change_id: ChangeId
    author: str
    note: str
    reviewed_revision: Revision
    recent_changes: tuple[ChangeId, ...]
    document: Configuration


_envelope_decoder = msgspec.json.Decoder(ChangeEnvelope)


@dataclass(frozen=True)
class StoredEnvelope:
    """Envelope and the store revision at which it was written."""

    revision: Revision
    envelope: ChangeEnvelope


def encode_envelope(envelope: ChangeEnvelope) -> bytes:
    """Encode an envelope as JSON, compressed above ``_COMPRESSED_ABOVE_BYTES``.

    Raise ``UserError`` if the result exceeds ``STORED_LIMIT_BYTES``.
    """
    data = msgspec.json.encode(envelope, order="deterministic")
    if len(data) > _COMPRESSED_ABOVE_BYTES:
        data = zlib.compress(data)
    if len(data) > STORED_LIMIT_BYTES:
        raise UserError(
            ResultCode.CONFIG_INVALID,
            f"document takes {len(data)} bytes, the store holds up to {STORED_LIMIT_BYTES}",
        )
    return data


def decode_envelope(data: bytes) -> ChangeEnvelope:
    """Decode an envelope; raise ``UserError`` with ``CONFIG_INVALID`` for malformed data."""
    try:
        return decode(_envelope_decoder, _decompress(data))
    except (MalformedDataError, zlib.error) as error:
        raise UserError(
            ResultCode.CONFIG_INVALID, f"stored configuration is malformed: {error}"
        ) from None


def _decompress(data: bytes) -> bytes:
    if data.startswith(_JSON_START):
        return data
    return zlib.decompressobj().decompress(data, _DECOMPRESSED_LIMIT_BYTES)


@dataclass(frozen=True)
class Proposal:
    """Change that an operator requests to have accepted."""

    change_id: ChangeId
    author: str
    note: str
    reviewed_revision: Revision
    document: Configuration


@dataclass(frozen=True)
class ReadCurrent:
    """Action: wait, then read the current envelope."""

    wait: timedelta = timedelta(0)


@dataclass(frozen=True)
class SwapCurrent:
    """Action: write the envelope if the key last changed at ``expected_revision``."""

    expected_revision: Revision
    envelope: ChangeEnvelope


class Verdict(Enum):
    """Outcome of an attempt to have a change accepted."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Finished:
    """Final action: the attempt has ended with ``verdict``.

    ``SUPERSEDED`` means accepted and later replaced by ``current``. ``CONFLICT`` and
    ``UNAVAILABLE`` mean that the change did not and will not take effect.
    """

    verdict: Verdict
    revision: Revision = NOTHING_STORED
    current: StoredEnvelope | None = None


Action = ReadCurrent | SwapCurrent | Finished


@dataclass(frozen=True)
class SwapDone:
    """Result of a swap: the envelope is stored at ``revision``."""

    revision: Revision


@dataclass(frozen=True)
class SwapConflict:
    """Result of a swap: the key had changed after the expected revision."""


@dataclass(frozen=True)
class SwapUnknown:
    """Result of a swap: no answer came, so it may have taken effect or may still do so."""


SwapEnded = SwapDone | SwapConflict | SwapUnknown


class Acceptance:
    """State machine that decides the next action of one change from the store's answers.

    Call ``start`` once, then report the result of each action by ``on_current``, ``on_swap_ended``
    or ``on_read_failed`` until it returns ``Finished``.
    """

    def __init__(self, proposal: Proposal) -> None:
        self._proposal = proposal
        self._base_change: ChangeId | None = None
        self._in_doubt = False
        self._attempts = 0
        self._failed_reads = 0

    def start(self) -> Action:
        """Return the first action."""
        return ReadCurrent()

    def on_current(self, current: StoredEnvelope | None) -> Action:
        """Return the next action after a read; ``current`` is None if nothing is stored."""
        if current is not None and current.envelope.change_id == self._proposal.change_id:
            is_same_document = current.envelope.document == self._proposal.document
            verdict = Verdict.ACCEPTED if is_same_document else Verdict.CONFLICT
            return Finished(verdict, current.revision, current)
        if current is not None and self._proposal.change_id in current.envelope.recent_changes:
            return Finished(Verdict.SUPERSEDED, current.revision, current)
        revision = current.revision if current is not None else NOTHING_STORED
        if revision == self._proposal.reviewed_revision:
            return self._try_swap(current)
        if self._in_doubt and not self._excludes_own_change(current):
            return Finished(Verdict.UNKNOWN, revision, current)
        return Finished(Verdict.CONFLICT, revision, current)

    def _try_swap(self, current: StoredEnvelope | None) -> Action:
        self._attempts += 1
        if self._attempts > _ATTEMPT_LIMIT:
            return self._give_up(current)
        self._base_change = current.envelope.change_id if current is not None else NO_CHANGE_ID
        return SwapCurrent(self._proposal.reviewed_revision, self._make_envelope(current))

    def _make_envelope(self, current: StoredEnvelope | None) -> ChangeEnvelope:
        recent: tuple[ChangeId, ...] = ()
        if current is not None:
            recent = (*current.envelope.recent_changes, current.envelope.change_id)
        return ChangeEnvelope(
            change_id=self._proposal.change_id,
            author=self._proposal.author,
            note=self._proposal.note,
            reviewed_revision=self._proposal.reviewed_revision,
            recent_changes=recent[-RECENT_CHANGES_KEPT:],
            document=self._proposal.document,
        )

    def _excludes_own_change(self, current: StoredEnvelope | None) -> bool:
        """Return whether the stored list of changes proves that the own change was not accepted.

        It does if the list reaches back to the change that the own swap would have replaced.
        """
        if current is None:
            return False
        recent = current.envelope.recent_changes
        if self._base_change == NO_CHANGE_ID:
            return len(recent) < RECENT_CHANGES_KEPT
        return self._base_change in recent

    def on_swap_ended(self, outcome: SwapEnded) -> Action:
        """Return the next action after a compare-and-swap."""
        match outcome:
            case SwapDone(revision):
                return Finished(Verdict.ACCEPTED, revision)
            case SwapConflict():
                return ReadCurrent()
            case SwapUnknown():
                self._in_doubt = True
                return ReadCurrent(_RETRY_DELAY)

    def on_read_failed(self) -> Action:
        """Return the next action after a failed read."""
        self._attempts += 1
        self._failed_reads += 1
        must_resolve = self._in_doubt and self._attempts <= _ATTEMPT_LIMIT
        if must_resolve or self._failed_reads <= _READ_RETRY_LIMIT:
            return ReadCurrent(_RETRY_DELAY)
        return self._give_up(None)

    def _give_up(self, current: StoredEnvelope | None) -> Finished:
        verdict = Verdict.UNKNOWN if self._in_doubt else Verdict.UNAVAILABLE
        return Finished(verdict, NOTHING_STORED, current)
