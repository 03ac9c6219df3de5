"""Events that the controller's I/O tasks send to the task that owns its state."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.failover.actions import Answer
from hickorywind.ids import BackendId, ServiceName, Term
from hickorywind.membership.actions import Endpoint
from hickorywind.protocol.messages import Message
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import Instant


@dataclass(frozen=True)
class TickDue:
    """Request to run the periodic work that is due."""


@dataclass(frozen=True)
class MessageArrived:
    """Message from another process; answers to it go to ``source``."""

    source: Endpoint
    message: Message


@dataclass(frozen=True)
class StatusAnswered:
    """Answer to a status call, or its failure."""

    service: ServiceName
    backend: BackendId
    asked_at: Instant
    answer: Answer


@dataclass(frozen=True)
class AcceptAnswered:
    """Answer to a call to accept a term, or its failure."""

    service: ServiceName
    backend: BackendId
    term: Term
    answer: Answer


@dataclass(frozen=True)
class PromoteAnswered:
    """Answer to a call to promote a backend server, or its failure."""

    service: ServiceName
    backend: BackendId
    term: Term
    answer: Answer


@dataclass(frozen=True)
class ConfigRead:
    """Value of the configuration's key in the store."""

    stored: StoredValue


@dataclass(frozen=True)
class PlatformListRead:
    """Entries of the platform's list of hosts."""

    entries: tuple[StoredValue, ...]


@dataclass(frozen=True)
class StoreReachability:
    """Whether the store answered the last call to it."""

    is_reachable: bool


Event = (
    TickDue
    | MessageArrived
    | StatusAnswered
    | AcceptAnswered
    | PromoteAnswered
    | ConfigRead
    | PlatformListRead
    | StoreReachability
)
