"""Define the calls to the platform: its store, and the order to promote a backend server."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType, Protocol

from hickorywind.ids import BackendId, HostId, Revision, ServiceName
from hickorywind.ports.catalog import BackendServer, ProxyConfiguration
from hickorywind.store.interface import StoredValue

LeaseId = NewType("LeaseId", int)
FencingToken = NewType("FencingToken", int)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold all items under a prefix; everything up to revision ``as_of`` is included."""

    items: tuple[StoredValue, ...]
    as_of: Revision


@dataclass(frozen=True, slots=True)
class ItemWritten:
    """Report that an item was written."""

    item: StoredValue


@dataclass(frozen=True, slots=True)
class ItemDeleted:
    """Report that an item was removed."""

    key: str
    revision: Revision


Change = ItemWritten | ItemDeleted


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Hold the changes after a revision; continue from ``as_of``."""

    changes: tuple[Change, ...]
    as_of: Revision


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """Report that the store no longer has the changes asked for; read the prefix anew."""


@dataclass(frozen=True, slots=True)
class Condition:
    """Require that a key last changed at a revision (0: does not exist)."""

    key: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """Write a key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Committed:
    """Report that a transaction took effect."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Report that a condition did not hold; nothing was changed."""


class PromotionOutcome(Enum):
    """Say how the platform answered an order to promote."""

    ACCEPTED = "accepted"
    NOT_RUNNING = "not_running"
    UNKNOWN = "unknown"


class CoordinationStore(Protocol):
    """Call the platform's store; each call raises ``StoreUnavailableError`` without an answer."""

    async def read_range(self, prefix: str) -> Snapshot:
        """Read all items under a prefix, linearizably for each page."""
        ...

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> ChangeBatch | HistoryCompacted:
        """Wait for changes under a prefix; return an empty result after ``wait``."""
        ...

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Committed | Conflict:
        """Apply all changes if all conditions hold."""
        ...

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease."""
        ...

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return False where it has ended."""
        ...

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease; it can't be renewed after this returns."""
        ...

    async def close(self) -> None:
        """Release the connections."""
        ...


class Promoter(Protocol):
    """Order the platform to promote a backend server."""

    async def promote(
        self, service: ServiceName, backend: BackendId, holder: HostId, token: FencingToken
    ) -> PromotionOutcome:
        """Send one order; an unknown outcome may take effect later."""
        ...


@dataclass(frozen=True, slots=True)
class DocumentSchema:
    """Say where the platform keeps its documents in the store and how to read them."""

    configuration_key: str
    backends_prefix: str
    decode_configuration: Callable[[StoredValue], ProxyConfiguration | None]
    decode_backend: Callable[[StoredValue], BackendServer | None]
