"""Rendezvous hashing: assignment of keys to members.

Every process that knows the same members computes the same owner, and a change of one member moves
only the keys of that member. See Thaler and Ravishankar, "A Name-Based Mapping Scheme for
Rendezvous", 1996.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash


def _weight(key: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def rank_members(key: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members in descending order of their rank for ``key``."""
    return sorted(members, key=lambda member: (_weight(key, member), member), reverse=True)


def owner_of(key: str, members: Iterable[str]) -> str | None:
    """Return the member of highest rank for ``key``, or None if there are no members."""
    return max(members, key=lambda member: (_weight(key, member), member), default=None)


def outranks(key: str, challenger: str, holder: str) -> bool:
    """Return whether ``challenger`` ranks higher for ``key`` than ``holder``."""
    return (_weight(key, challenger), challenger) > (_weight(key, holder), holder)
