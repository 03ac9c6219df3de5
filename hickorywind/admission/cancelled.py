"""Remember request ids for a bounded time: the cancelled ones and those already received."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from datetime import timedelta

from hickorywind.util.clock import Instant


class RecentKeys:
    """Hold keys until they are older than ``keep`` or more than ``limit`` are younger."""

    def __init__(self, keep: timedelta, limit: int) -> None:
        self._keep = keep
        self._limit = limit
        self._added: OrderedDict[Hashable, Instant] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added)

    def add(self, key: Hashable, now: Instant) -> bool:
        """Remember a key; return False where it is held already."""
        self._forget_old(now)
        if key in self._added:
            return False
        self._added[key] = now
        if len(self._added) > self._limit:
            self._added.popitem(last=False)
        return True

    def holds(self, key: Hashable, now: Instant) -> bool:
        """Tell whether a key is remembered."""
        self._forget_old(now)
        return key in self._added

    def _forget_old(self, now: Instant) -> None:
        while self._added:
            key, added = next(iter(self._added.items()))
            if now - added <= self._keep:
                return
            del self._added[key]
