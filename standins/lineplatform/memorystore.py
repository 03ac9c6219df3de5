"""In-memory key-value store with leases, conditional writes and watches."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from copy import deepcopy
from datetime import timedelta
from typing import Any

from hickorywind.ids import Revision, StoreEra
from hickorywind.ports.coordination import (
    AnswerTooLargeError,
    Change,
    ChangeBatch,
    Committed,
    Condition,
    Conflict,
    HistoryCompacted,
    ItemDeleted,
    ItemWritten,
    Lease,
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.store.era import era_of, make_revision, number_of
from hickorywind.store.interface import StoredValue, StoreSilentError, StoreUnavailableError

ITEM_BYTES = 120  # of an item in an answer beside its value
_CALL_TIMEOUT_SECONDS = 1.0
_WATCH_TIMEOUT_MARGIN_SECONDS = 2.0
_KEPT = ("revision", "items", "history", "compacted_revision", "leases", "next_lease")


class MemoryStore:
    """Items, leases and change history shared by all clients.

    Revisions in it are the store's own numbers, without the era.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.era = StoreEra(0)  # of a store without eras
        self.is_unavailable = False
        self.delay_seconds = 0.0
        self.bytes_per_second: float | None = (
            None  # of the link that all hosts share, None: no limit
        )
        self.bytes_read = 0  # by range reads and watches
        self.link_free_at = 0.0
        self.items: dict[str, StoredValue] = {}
        self.history: list[tuple[int, Change]] = []
        self.compacted_revision = 0
        self.leases: set[int] = set()
        self.changed = asyncio.Condition()
        self.next_lease = 1

    def copy(self) -> dict[str, Any]:
        """Return a copy of all that the store keeps, for ``restore``."""
        return deepcopy({name: getattr(self, name) for name in _KEPT})

    async def restore(self, copy: dict[str, Any]) -> None:
        """Come back with the contents of a copy, in the next era if the store has eras."""
        for name, value in deepcopy(copy).items():
            setattr(self, name, value)
        self.era = StoreEra(self.era + 1 if self.era else 0)
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key: str, value: bytes) -> int:
        """Write an item without conditions and return the new revision."""
        await self.transact([], [Put(key, value)], [])
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete an item without conditions."""
        await self.transact([], [], [key])

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str]
    ) -> Committed | Conflict:
        """Apply all puts and deletes in one revision if all conditions hold."""
        for condition in conditions:
            item = self.items.get(condition.key)
            if (item.revision if item else 0) != condition.revision:
                return Conflict()
        self.revision += 1
        for put in puts:
            item = StoredValue(put.key, put.value, Revision(self.revision))
            self.items[put.key] = item
            self.history.append((self.revision, ItemWritten(item)))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, ItemDeleted(key, Revision(self.revision))))
        async with self.changed:
            self.changed.notify_all()
        return Committed(Revision(self.revision))

    def compact_history(self) -> None:
        """Discard the change history up to the current revision."""
        self.compacted_revision = self.revision
        self.history.clear()

    def grant(self) -> LeaseId:
        """Create a lease and return its id."""
        lease = self.next_lease
        self.next_lease += 1
        self.leases.add(lease)
        return LeaseId(lease)


class MemoryCoordinationStore:
    """Store client of one host, with injected faults.

    While ``is_cut`` is set, every call fails at once. Calls that are sent or were to be answered
    while ``is_silent`` or the store's ``is_unavailable`` is set get no answer and fail after their
    timeout, watches some time after their wait. While ``is_deaf`` is set, watches that wait get no
    answer, as if it were lost, and while ``refuses_reads`` is set, reads and watches fail at once;
    other calls are answered. Revisions carry the store's era.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_cut = False
        self.is_silent = False
        self.is_deaf = False
        self.refuses_reads = False
        self.lose_next_answer = False
        # Waits until the link of this host has carried an answer to a call, of so many bytes.
        self.carry_answer: Callable[[str, int], Awaitable[None]] | None = None
        self.calls: list[str] = []

    async def _begin_call(self, call: str, timeout_seconds: float = _CALL_TIMEOUT_SECONDS) -> None:
        self.calls.append(call)
        if self.is_silent or self._store.is_unavailable:
            await asyncio.sleep(timeout_seconds)
            raise StoreSilentError(f"{call}: timed out")
        if self._store.delay_seconds:
            await asyncio.sleep(self._store.delay_seconds)
        if self.is_cut or (self.refuses_reads and call in ("range", "watch", "changes")):
            raise StoreUnavailableError(f"{call}: cut off")
        if self.carry_answer is not None:
            await self.carry_answer(call, 0)

    async def read_range(
        self, prefix: str, max_bytes: int | None = None, timeout: timedelta | None = None
    ) -> Snapshot:
        """Return all items whose keys start with a prefix."""
        await self._begin_call("range")
        items = tuple(
            self._qualify(item) for key, item in self._store.items.items() if key.startswith(prefix)
        )
        as_of = self._in_era(self._store.revision)
        await self._transfer("range items", items, max_bytes)
        return Snapshot(items, as_of)

    async def read_revision(self) -> Revision:
        """Return the store's revision."""
        await self._begin_call("revision")
        return self._in_era(self._store.revision)

    def _in_era(self, number: int) -> Revision:
        return make_revision(number, self._store.era)

    def _qualify(self, item: StoredValue) -> StoredValue:
        return StoredValue(item.key, item.value, self._in_era(item.revision))

    async def _transfer(
        self, kind: str, items: Sequence[StoredValue], max_bytes: int | None
    ) -> None:
        """Wait until the link, which carries one answer after the other, has carried one."""
        size = sum(len(item.value) for item in items)
        if max_bytes is not None and size > max_bytes:
            raise AnswerTooLargeError(size)
        self._store.bytes_read += size
        if self.carry_answer is not None:
            await self.carry_answer(kind, size * 4 // 3 + len(items) * ITEM_BYTES)
        if self._store.bytes_per_second is None:
            return
        now = asyncio.get_running_loop().time()
        start = max(now, self._store.link_free_at)
        self._store.link_free_at = start + size / self._store.bytes_per_second
        await asyncio.sleep(self._store.link_free_at - now)

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait: timedelta,
        max_bytes: int | None = None,
        on_answer: Callable[[], None] = lambda: None,
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision; wait for one up to ``wait``."""
        now = asyncio.get_running_loop().time
        deadline = now() + wait.total_seconds() + _WATCH_TIMEOUT_MARGIN_SECONDS
        await self._begin_call("watch", deadline - now())
        try:
            async with asyncio.timeout(wait.total_seconds()), self._store.changed:
                while self._has_history(after) and not self._changes_after(prefix, after):
                    await self._store.changed.wait()
        except TimeoutError:
            pass
        if self.is_deaf:
            await asyncio.sleep(deadline - now())
            raise StoreSilentError("watch: timed out")
        await self._begin_call("watch answer", deadline - now())
        on_answer()
        return await self._read_history(prefix, after, max_bytes)

    async def read_changes(
        self, prefix: str, after: Revision, max_bytes: int | None = None
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision."""
        await self._begin_call("changes")
        return await self._read_history(prefix, after, max_bytes)

    async def _read_history(
        self, prefix: str, after: Revision, max_bytes: int | None
    ) -> ChangeBatch | HistoryCompacted:
        if not self._has_history(after):
            return HistoryCompacted()
        batch = ChangeBatch(self._changes_after(prefix, after), self._in_era(self._store.revision))
        written = [each.item for each in batch.changes if isinstance(each, ItemWritten)]
        await self._transfer("watch items", written, max_bytes)
        return batch

    def _has_history(self, after: Revision) -> bool:
        is_of_this_era = era_of(after) == self._store.era
        return is_of_this_era and (
            self._store.compacted_revision <= number_of(after) <= self._store.revision
        )

    def _changes_after(self, prefix: str, after: Revision) -> tuple[Change, ...]:
        changes: list[Change] = []
        for revision, change in self._store.history:
            if revision <= number_of(after):
                continue
            match change:
                case ItemWritten(item) if item.key.startswith(prefix):
                    changes.append(ItemWritten(self._qualify(item)))
                case ItemDeleted(key, _) if key.startswith(prefix):
                    changes.append(ItemDeleted(key, self._in_era(revision)))
        return tuple(changes)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Committed | Conflict:
        """Apply all puts and deletes if all conditions hold; lose the answer if so configured."""
        await self._begin_call("transact")
        revisions = [condition.revision for condition in conditions if condition.revision]
        if any(era_of(revision) != self._store.era for revision in revisions):
            return Conflict()
        result = await self._store.transact(
            [Condition(each.key, Revision(number_of(each.revision))) for each in conditions],
            puts,
            deletes,
        )
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise StoreUnavailableError("transact: the answer was lost")
        if isinstance(result, Conflict):
            return result
        return Committed(self._in_era(result.revision))

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Create a lease."""
        await self._begin_call("grant")
        return Lease(self._store.grant(), self._store.era)

    async def renew_lease(self, lease: Lease) -> bool:
        """Return whether the lease still exists; leases of this store never expire."""
        await self._begin_call("renew")
        return lease.era == self._store.era and lease.id in self._store.leases

    async def end_lease(self, lease: Lease) -> None:
        """Delete a lease."""
        await self._begin_call("end")
        if lease.era == self._store.era:
            self._store.leases.discard(lease.id)

    async def close(self) -> None:
        """Do nothing; the client has no connection to close."""
