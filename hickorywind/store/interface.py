"""Define the few calls that hickorywind makes to the platform's key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hickorywind.ids import Revision

NEVER_WRITTEN = Revision(0)


@dataclass(frozen=True)
class StoredValue:
    """Pair a value with the store revision at which its key last changed."""

    key: str
    value: bytes
    revision: Revision


class SwapOutcome(Enum):
    """Say how a compare-and-swap ended; an unknown one may have taken effect."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class SwapResult:
    """Report a compare-and-swap; ``revision`` is the new one when done, else NEVER_WRITTEN."""

    outcome: SwapOutcome
    revision: Revision = NEVER_WRITTEN


class StoreUnavailableError(Exception):
    """Report that the store did not answer in time or refused."""


class Store(Protocol):
    """Read, swap and watch keys; every call has its own timeout and no retry."""

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; raise ``StoreUnavailableError``."""
        ...

    async def get_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix in key order; raise ``StoreUnavailableError``."""
        ...

    async def compare_and_swap(
        self, key: str, expected_revision: Revision, value: bytes
    ) -> SwapResult:
        """Write a key if its last change was at ``expected_revision`` (NEVER_WRITTEN: absent)."""
        ...

    async def put_with_lease(self, key: str, value: bytes, ttl_seconds: int) -> None:
        """Write a key that vanishes after ``ttl_seconds``; raise ``StoreUnavailableError``."""
        ...

    def watch_prefix(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield later changes under a prefix; raise ``StoreUnavailableError`` when cut."""
        ...

    async def close(self) -> None:
        """Release the connection."""
        ...
