"""Remember request ids for a bounded time: the cancelled ones and those already received."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from datetime import timedelta

from hickorywind.util.clock import Instant


class RecentKeys:
    """Hold keys until they are older than ``max_age`` or more than ``max_count`` are younger."""

    def __init__(self, max_age: timedelta, max_count: int) -> None:
        self._max_age = max_age
        self._max_count = max_count
        self._added_at: OrderedDict[Hashable, Instant] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_at)

    def add(self, key: Hashable, now: Instant) -> bool:
        """Remember a key; return False where it is held already."""
        self._remove_expired(now)
        if key in self._added_at:
            return False
        self._added_at[key] = now
        if len(self._added_at) > self._max_count:
            self._added_at.popitem(last=False)
        return True

    def contains(self, key: Hashable, now: Instant) -> bool:
        """Tell whether a key is remembered."""
        self._remove_expired(now)
        return key in self._added_at

    def _remove_expired(self, now: Instant) -> None:
        while self._added_at:
            key, added_at = next(iter(self._added_at.items()))
            if now - added_at <= self._max_age:
                return
            del self._added_at[key]
