"""Interfaces to the platform: its coordination store and the promotion of backend servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType, Protocol

from hickorywind.ids import BackendId, HostId, Revision, ServiceName, StoreEra
from hickorywind.ports.catalog import BackendServer, ProxyConfiguration
from hickorywind.store.interface import StoredValue
from hickorywind.util.decoding import CounterValue

LeaseId = NewType("LeaseId", CounterValue)
FencingToken = NewType("FencingToken", int)


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease of the store, which gives ids out again in a later era."""

    id: LeaseId
    era: StoreEra = StoreEra(0)


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All items under a key prefix, including every change up to revision ``as_of``."""

    items: tuple[StoredValue, ...]
    as_of: Revision


@dataclass(frozen=True, slots=True)
class ItemWritten:
    """Event: an item was created or overwritten."""

    item: StoredValue


@dataclass(frozen=True, slots=True)
class ItemDeleted:
    """Event: an item was deleted."""

    key: str
    revision: Revision


Change = ItemWritten | ItemDeleted


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes after a requested revision; the next watch continues after ``as_of``."""

    changes: tuple[Change, ...]
    as_of: Revision


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer has the requested changes; the prefix must be read again."""


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition that a key last changed at ``revision`` (0: the key does not exist)."""

    key: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """Write of one key in a store transaction."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Committed:
    """Outcome of a store transaction that took effect at ``revision``."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Outcome of a store transaction whose conditions did not hold; it changed nothing."""


class AnswerTooLargeError(Exception):
    """A call was abandoned because its answer has more bytes than the caller wanted."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes")
        self.size_bytes = size_bytes


class PromotionOutcome(Enum):
    """Platform's answer to a promotion order, or why there is none.

    ``NOT_SENT``: it was withdrawn; ``UNREACHABLE``: this host could not connect; ``UNKNOWN``: it
    may take effect.
    """

    ACCEPTED = "accepted"
    NOT_RUNNING = "not_running"
    NOT_SENT = "not_sent"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


class CoordinationStore(Protocol):
    """Client of the platform's coordination store.

    Every call raises ``StoreUnavailableError`` if the store does not answer. Revisions carry the
    era of the store, see ``hickorywind.store.era``.
    """

    async def read_range(
        self, prefix: str, max_bytes: int | None = None, timeout: timedelta | None = None
    ) -> Snapshot:
        """Return all items under a prefix; each page of the read is linearizable by itself.

        An answer has to begin within ``timeout``, or the client's own one. Raise
        ``AnswerTooLargeError`` as soon as an answer is known to exceed ``max_bytes``.
        """
        ...

    async def read_revision(self) -> Revision:
        """Return the store's revision, which rises with each change of any item."""
        ...

    async def read_changes(
        self, prefix: str, after: Revision, max_bytes: int | None = None
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision without waiting for one.

        For the rest it is like ``watch``.
        """
        ...

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait: timedelta,
        max_bytes: int | None = None,
        on_answer: Callable[[], None] = ...,
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision.

        If there are none, wait for one and return an empty batch after ``wait``. A revision of an
        earlier era gives ``HistoryCompacted``. Call ``on_answer`` when the answer begins. Raise
        ``AnswerTooLargeError`` as soon as the answer is known to exceed ``max_bytes``.
        """
        ...

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Committed | Conflict:
        """Apply all writes and deletes atomically if all conditions hold.

        A condition with a revision of an earlier era does not hold. Raise
        ``StoreUnavailableError`` if the store came back from an older copy during the call: it may
        have taken effect there.
        """
        ...

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Create a lease that ends ``ttl`` after its last renewal."""
        ...

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has already ended, at the latest with its era."""
        ...

    async def end_lease(self, lease: Lease) -> None:
        """Revoke a lease; it can't be renewed after this returns."""
        ...

    async def close(self) -> None:
        """Close the connections to the store."""
        ...


class Promoter(Protocol):
    """Client of the platform's call that promotes a backend server."""

    async def promote(
        self,
        service: ServiceName,
        backend: BackendId,
        holder: HostId,
        token: FencingToken,
        may_send: Callable[[], bool],
    ) -> PromotionOutcome:
        """Send one promotion order; an order with an unknown outcome may take effect later.

        ``may_send`` is asked just before the order leaves this host, which may have to connect
        first; if it says no, the outcome is ``NOT_SENT``.
        """
        ...


@dataclass(frozen=True, slots=True)
class DocumentSchema:
    """Keys and decoders of the platform's documents in the store.

    A decoder returns None for a document that can't be read.
    """

    configuration_key: str
    backends_prefix: str
    decode_configuration: Callable[[StoredValue], ProxyConfiguration | None]
    decode_backend: Callable[[StoredValue], BackendServer | None]
