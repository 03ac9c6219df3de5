"""Interface to the platform's key-value store: the calls that hickorywind makes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from hickorywind.ids import Revision

NEVER_WRITTEN = Revision(0)


@dataclass(frozen=True)
class StoredValue:
    """Key, its value and the store revision at which it last changed."""

    key: str
    value: bytes
    revision: Revision


class SwapOutcome(Enum):
    """Outcome of a compare-and-swap; an ``UNKNOWN`` one may have taken effect."""

    DONE = "done"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class SwapResult:
    """Result of a compare-and-swap; ``revision`` is NEVER_WRITTEN unless it is ``DONE``."""

    outcome: SwapOutcome
    revision: Revision = NEVER_WRITTEN


class StoreUnavailableError(Exception):
    """Error raised when the store did not answer in time or refused the call."""


class StoreSilentError(StoreUnavailableError):
    """Error raised when the store did not answer in time."""


class Store(Protocol):
    """Key-value store with compare-and-swap and watches; each call has a timeout and no retry."""

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; raise ``StoreUnavailableError``."""
        ...

    async def get_revision(self, key: str) -> Revision:
        """Return the revision at which a key last changed, ``NEVER_WRITTEN`` if it is absent.

        Raise ``StoreUnavailableError``.
        """
        ...

    async def get_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix in key order; raise ``StoreUnavailableError``."""
        ...

    async def compare_and_swap(
        self, key: str, expected_revision: Revision, value: bytes
    ) -> SwapResult:
        """Write a key if it last changed at ``expected_revision``.

        ``NEVER_WRITTEN`` means that the key must not exist.
        """
        ...

    async def put_with_lease(self, key: str, value: bytes, ttl_seconds: int) -> None:
        """Write a key that expires after ``ttl_seconds``; raise ``StoreUnavailableError``."""
        ...

    def watch_prefix(self, prefix: str) -> AsyncIterator[StoredValue]:
        """Yield later changes under a prefix; raise ``StoreUnavailableError`` if the watch ends."""
        ...

    async def close(self) -> None:
        """Close the connection."""
        ...
