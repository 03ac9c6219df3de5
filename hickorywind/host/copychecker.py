"""Checks that this host's copies of the store lack nothing, by asking the store."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta

from hickorywind.host.fleet import Fleet, StoreCopy
from hickorywind.host.storesync import StoreSync
from hickorywind.ids import Revision
from hickorywind.membership.storewatch import (
    CHECK_INTERVAL,
    SMALL_COPY_BYTES,
    StoreWatchDuty,
)
from hickorywind.ports.coordination import (
    AnswerTooLargeError,
    ChangeBatch,
    CoordinationStore,
)
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)

# Hosts that hear of no check at the same time must not all make theirs in the same moment.
_DELAY_SPREAD = timedelta(milliseconds=200)


class CopyChecker:
    """Regular comparison of the copies with the store's revision, while it is this host's turn.

    Only the answer to a question that was asked after a change proves whether a copy has it. A
    watch that waits proves nothing, however many other calls are answered meanwhile.
    """

    def __init__(
        self,
        fleet: Fleet,
        coordination_store: CoordinationStore,
        sync: StoreSync,
        watch_duty: StoreWatchDuty,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._coordination_store = coordination_store
        self._sync = sync
        self._watch_duty = watch_duty
        self._rng = rng
        self.on_changes_found: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Check the copies whenever it is due until cancelled."""
        asked_at = self._fleet.now()
        while True:
            due_at = self._watch_duty.check_due_at()
            earliest = asked_at + CHECK_INTERVAL
            due_at = earliest if due_at is None else max(due_at, earliest)
            now = self._fleet.now()
            if now < due_at:
                delay = due_at - now + _DELAY_SPREAD * self._rng.random()
                await asyncio.sleep(delay.total_seconds())
                continue
            asked_at = now
            if self._watch_duty.check_due_at() is not None:
                await self.check()

    async def check(self) -> None:
        """Read what the copies lack at the store's revision, and record which are current."""
        asked_at = self._fleet.now()
        try:
            revision = await self._coordination_store.read_revision()
        except StoreUnavailableError as error:
            self._sync.record_call("check", error)
            return
        self._sync.record_call("check", None)
        copies = self._fleet.copies.values()
        outdated = [copy for copy in copies if copy.as_of < revision]
        found = await asyncio.gather(
            *(
                self._read_changes(copy, revision)
                for copy in outdated
                if not self._sync.is_watch_answering(copy.prefix)
            )
        )
        self._record_current(revision, asked_at)
        if any(found):
            self.on_changes_found()

    async def _read_changes(self, copy: StoreCopy, revision: Revision) -> bool:
        """Bring a copy up to a revision of the store; return whether it lacked changes.

        What is large, or can't be read as changes, is left to the watch, which is sent anew.
        """
        try:
            result = await self._coordination_store.read_changes(
                copy.prefix, copy.as_of, SMALL_COPY_BYTES
            )
        except AnswerTooLargeError:
            self._sync.renew_watch(copy.prefix)
            return False
        except StoreUnavailableError as error:
            self._sync.record_call("check", error)
            return False
        self._sync.record_call("check", None)
        if not isinstance(result, ChangeBatch):
            self._sync.renew_watch(copy.prefix)
            return False
        changed_at = copy.changed_at
        as_of = max(result.as_of, revision)
        self._fleet.apply_changes(copy.prefix, result.changes, as_of, "store")
        has_found = copy.changed_at > changed_at
        if has_found:
            logger.info(
                "changes_found_by_check",
                extra={"prefix": copy.prefix, "changes": len(result.changes)},
            )
        return has_found

    def _record_current(self, revision: Revision, asked_at: Instant) -> None:
        for prefix, copy in self._fleet.copies.items():
            if copy.as_of >= revision:
                self._watch_duty.record_own_contact(prefix, asked_at)
