"""Application of configuration changes to the store, and the history of accepted changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from hickorywind.configuration.acceptance import (
    Acceptance,
    Action,
    Finished,
    Proposal,
    ReadCurrent,
    StoredEnvelope,
    SwapConflict,
    SwapCurrent,
    SwapDone,
    SwapEnded,
    SwapUnknown,
    Verdict,
    config_key,
    decode_envelope,
    encode_envelope,
)
from hickorywind.configuration.difference import compare
from hickorywind.configuration.history import (
    HistoryEntry,
    decode_history,
    encode_history,
    history_key,
    make_entry,
    merge_entries,
)
from hickorywind.results import ResultCode, UserError
from hickorywind.store.interface import (
    NEVER_WRITTEN,
    Store,
    StoreUnavailableError,
    SwapOutcome,
    SwapResult,
)

logger = logging.getLogger(__name__)

_MAX_HISTORY_ATTEMPTS = 3

Sleep = Callable[[float], Awaitable[None]]


async def read_current(store: Store, prefix: str) -> StoredEnvelope | None:
    """Read the accepted configuration; raise ``StoreUnavailableError`` or ``UserError``."""
    stored = await store.get(config_key(prefix))
    if stored is None:
        return None
    return StoredEnvelope(stored.revision, decode_envelope(stored.value))


async def read_current_or_fail(store: Store, prefix: str) -> StoredEnvelope | None:
    """Read the accepted configuration; raise ``UserError`` if it can't be read or decoded."""
    try:
        return await read_current(store, prefix)
    except StoreUnavailableError as error:
        raise _store_unavailable_error(error) from None


def _store_unavailable_error(error: StoreUnavailableError) -> UserError:
    return UserError(ResultCode.STORE_UNAVAILABLE, f"the store did not answer: {error}")


@dataclass
class ApplyResult:
    """Outcome of a proposal.

    ``replaced`` is the configuration read before the first write attempt, ``written`` the last
    write attempted.
    """

    finished: Finished
    replaced: StoredEnvelope | None
    written: SwapCurrent | None


class Applier:
    """Driver that executes the actions of ``Acceptance`` against a store."""

    def __init__(self, store: Store, prefix: str, sleep: Sleep = asyncio.sleep) -> None:
        self._store = store
        self._prefix = prefix
        self._sleep = sleep

    async def apply(self, proposal: Proposal, now: datetime) -> Finished:
        """Propose a change and, if it is accepted, record it in the history."""
        applied = await self._run(proposal)
        if applied.finished.verdict is Verdict.ACCEPTED and applied.written is not None:
            await self._record_in_history(applied, applied.written, now)
        return applied.finished

    async def _run(self, proposal: Proposal) -> ApplyResult:
        acceptance = Acceptance(proposal)
        applied = ApplyResult(Finished(Verdict.UNAVAILABLE), None, None)
        action: Action = acceptance.start()
        while True:
            match action:
                case Finished():
                    applied.finished = action
                    return applied
                case ReadCurrent(wait):
                    action = await self._read(acceptance, applied, wait)
                case SwapCurrent():
                    applied.written = action
                    action = acceptance.on_swap_ended(await self._swap(action))

    async def _read(self, acceptance: Acceptance, applied: ApplyResult, wait: timedelta) -> Action:
        if wait:
            await self._sleep(wait.total_seconds())
        try:
            current = await read_current(self._store, self._prefix)
        except StoreUnavailableError:
            return acceptance.on_read_failed()
        if applied.written is None:
            applied.replaced = current
        return acceptance.on_current(current)

    async def _swap(self, action: SwapCurrent) -> SwapEnded:
        data = encode_envelope(action.envelope)
        key = config_key(self._prefix)
        try:
            result = await self._store.compare_and_swap(key, action.expected_revision, data)
        except StoreUnavailableError:
            # The store may have applied the change before the call failed.
            return SwapUnknown()
        return _to_swap_ended(result)

    async def _record_in_history(
        self, applied: ApplyResult, written: SwapCurrent, now: datetime
    ) -> None:
        replaced = applied.replaced
        document = replaced.envelope.document if replaced is not None else None
        changes = compare(document, written.envelope.document)
        accepted_at = now.isoformat(timespec="seconds")
        entry = make_entry(applied.finished.revision, written.envelope, accepted_at, changes)
        entries = (entry,)
        if replaced is not None:
            entries = (make_entry(replaced.revision, replaced.envelope), entry)
        try:
            await self._write_history(entries)
        except StoreUnavailableError as error:
            logger.warning("history_not_written", extra={"error": str(error)})

    async def _write_history(self, entries: tuple[HistoryEntry, ...]) -> None:
        key = history_key(self._prefix)
        for _ in range(_MAX_HISTORY_ATTEMPTS):
            stored = await self._store.get(key)
            stored_entries = decode_history(stored.value) if stored is not None else ()
            revision = stored.revision if stored is not None else NEVER_WRITTEN
            data = encode_history(merge_entries(stored_entries, entries))
            result = await self._store.compare_and_swap(key, revision, data)
            if result.outcome is SwapOutcome.DONE:
                return
        logger.warning("history_not_written", extra={"error": "no compare-and-swap succeeded"})


def _to_swap_ended(result: SwapResult) -> SwapEnded:
    match result.outcome:
        case SwapOutcome.DONE:
            return SwapDone(result.revision)
        case SwapOutcome.CONFLICT:
            return SwapConflict()
        case SwapOutcome.UNKNOWN:
            return SwapUnknown()


async def read_history(store: Store, prefix: str) -> tuple[HistoryEntry, ...]:
    """Return the accepted changes, oldest first, always including the current one.

    Raise ``UserError`` if the store can't be read.
    """
    try:
        stored = await store.get(history_key(prefix))
        current = await read_current(store, prefix)
    except StoreUnavailableError as error:
        raise _store_unavailable_error(error) from None
    stored_entries = decode_history(stored.value) if stored is not None else ()
    if current is None:
        return stored_entries
    return merge_entries(stored_entries, (make_entry(current.revision, current.envelope),))
