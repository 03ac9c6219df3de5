"""Revisions of store copies that other hosts have and this host does not have yet."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import Revision
from hickorywind.util.clock import Instant


@dataclass(frozen=True, slots=True)
class HeardRevision:
    """Revision that a copy lacks, and when this host first heard of it."""

    revision: Revision
    heard_at: Instant


class CopyLag:
    """By prefix, the newer revisions that this host has heard of, from the oldest to the newest."""

    def __init__(self) -> None:
        self._heard: dict[str, list[HeardRevision]] = {}

    def record_heard(self, prefix: str, revision: Revision, now: Instant) -> bool:
        """Record a revision that the copy lacks; return whether it is newer than those known."""
        heard = self._heard.setdefault(prefix, [])
        if heard and heard[-1].revision >= revision:
            return False
        heard.append(HeardRevision(revision, now))
        return True

    def record_copied(self, prefix: str, as_of: Revision, now: Instant) -> timedelta | None:
        """Forget the revisions that the copy includes now.

        Return how long ago this host heard of the oldest of them, or None if there are none.
        """
        heard = self._heard.get(prefix, [])
        included = [each for each in heard if each.revision <= as_of]
        if not included:
            return None
        self._heard[prefix] = heard[len(included) :]
        return now - included[0].heard_at

    def newest_missing(self, prefix: str) -> Revision | None:
        """Return the newest revision that a copy lacks, or None."""
        heard = self._heard.get(prefix)
        return heard[-1].revision if heard else None

    def age(self, prefix: str, now: Instant) -> timedelta | None:
        """Return for how long this host has known that a copy is behind, or None if it is not."""
        heard = self._heard.get(prefix)
        return now - heard[0].heard_at if heard else None
