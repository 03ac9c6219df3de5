"""In-memory key-value store with leases, conditional writes and watches."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence
from datetime import timedelta

from hickorywind.ids import Revision
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
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.store.interface import StoredValue, StoreUnavailableError

_CALL_TIMEOUT_SECONDS = 1.0


class MemoryStore:
    """Items, leases and change history shared by all clients."""

    def __init__(self) -> None:
        self.revision = 0
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
        self._lease_numbers = itertools.count(1)

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
        lease = next(self._lease_numbers)
        self.leases.add(lease)
        return LeaseId(lease)


class MemoryCoordinationStore:
    """Store client of one host, with injected faults.

    While ``is_cut`` is set, every call fails at once; while ``is_silent`` or the store's
    ``is_unavailable`` is set, every call fails after its timeout.
    """

    def __init__(self, store: MemoryStore) -> None:
        self._store = store
        self.is_cut = False
        self.is_silent = False
        self.lose_next_answer = False
        self.calls: list[str] = []

    async def _begin_call(self, call: str) -> None:
        self.calls.append(call)
        if self.is_silent or self._store.is_unavailable:
            await asyncio.sleep(_CALL_TIMEOUT_SECONDS)
            raise StoreUnavailableError(f"{call}: timed out")
        if self._store.delay_seconds:
            await asyncio.sleep(self._store.delay_seconds)
        if self.is_cut:
            raise StoreUnavailableError(f"{call}: cut off")

    async def read_range(
        self, prefix: str, max_bytes: int | None = None, timeout: timedelta | None = None
    ) -> Snapshot:
        """Return all items whose keys start with a prefix."""
        await self._begin_call("range")
        items = tuple(item for key, item in self._store.items.items() if key.startswith(prefix))
        await self._transfer(sum(len(item.value) for item in items), max_bytes)
        return Snapshot(items, Revision(self._store.revision))

    async def _transfer(self, size: int, max_bytes: int | None) -> None:
        """Wait until the link, which carries one answer after the other, has carried one."""
        if max_bytes is not None and size > max_bytes:
            raise AnswerTooLargeError(size)
        self._store.bytes_read += size
        if self._store.bytes_per_second is None:
            return
        now = asyncio.get_running_loop().time()
        start = max(now, self._store.link_free_at)
        self._store.link_free_at = start + size / self._store.bytes_per_second
        await asyncio.sleep(self._store.link_free_at - now)

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta, max_bytes: int | None = None
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision; wait for one up to ``wait``."""
        await self._begin_call("watch")
        try:
            async with asyncio.timeout(wait.total_seconds()), self._store.changed:
                while (
                    not self._changes_after(prefix, after)
                    and after >= self._store.compacted_revision
                ):
                    await self._store.changed.wait()
        except TimeoutError:
            pass
        await self._begin_call("watch answer")
        if after < self._store.compacted_revision:
            return HistoryCompacted()
        batch = ChangeBatch(self._changes_after(prefix, after), Revision(self._store.revision))
        written = [each.item for each in batch.changes if isinstance(each, ItemWritten)]
        await self._transfer(sum(len(item.value) for item in written), max_bytes)
        return batch

    def _changes_after(self, prefix: str, after: Revision) -> tuple[Change, ...]:
        changes = []
        for revision, change in self._store.history:
            key = change.key if isinstance(change, ItemDeleted) else change.item.key
            if revision > after and key.startswith(prefix):
                changes.append(change)
        return tuple(changes)

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Committed | Conflict:
        """Apply all puts and deletes if all conditions hold; lose the answer if so configured."""
        await self._begin_call("transact")
        result = await self._store.transact(conditions, puts, deletes)
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise StoreUnavailableError("transact: the answer was lost")
        return result

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease and return its id."""
        await self._begin_call("grant")
        return self._store.grant()

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Return whether the lease still exists; leases of this store never expire."""
        await self._begin_call("renew")
        return lease in self._store.leases

    async def end_lease(self, lease: LeaseId) -> None:
        """Delete a lease."""
        await self._begin_call("end")
        self._store.leases.discard(lease)

    async def close(self) -> None:
        """Do nothing; the client has no connection to close."""
