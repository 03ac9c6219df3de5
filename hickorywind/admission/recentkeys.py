"""Bounded memory of recent request ids, for example received or cancelled ones."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable
from datetime import timedelta

from hickorywind.util.clock import Instant


class RecentKeys:
    """Set of keys that drops a key after ``max_age``, and the oldest beyond ``max_count`` keys."""

    def __init__(self, max_age: timedelta, max_count: int) -> None:
        self._max_age = max_age
        self._max_count = max_count
        self._added_at: OrderedDict[Hashable, Instant] = OrderedDict()

    def __len__(self) -> int:
        return len(self._added_at)

    def add(self, key: Hashable, now: Instant) -> bool:
        """Add a key; return False if the set contains it already."""
        self._remove_expired(now)
        if key in self._added_at:
            return False
        self._added_at[key] = now
        if len(self._added_at) > self._max_count:
            self._added_at.popitem(last=False)
        return True

    def contains(self, key: Hashable, now: Instant) -> bool:
        """Return whether the set contains a key that has not expired."""
        self._remove_expired(now)
        return key in self._added_at

    def _remove_expired(self, now: Instant) -> None:
        while self._added_at:
            key, added_at = next(iter(self._added_at.items()))
            if now - added_at <= self._max_age:
                return
            del self._added_at[key]
