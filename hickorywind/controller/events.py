"""Define what the controller's helper tasks report to the task that owns its state."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.failover.actions import Answer
from hickorywind.ids import BackendId, ServiceName, Term
from hickorywind.membership.actions import Target
from hickorywind.protocol.messages import Message
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import Instant


@dataclass(frozen=True)
class TickDue:
    """Ask to do what is due."""


@dataclass(frozen=True)
class MessageArrived:
    """Report a message; answers go to ``source``."""

    source: Target
    message: Message


@dataclass(frozen=True)
class StatusAnswered:
    """Report the end of a status call."""

    service: ServiceName
    backend: BackendId
    asked_at: Instant
    answer: Answer


@dataclass(frozen=True)
class AcceptAnswered:
    """Report the end of a call that asked to accept a term."""

    service: ServiceName
    backend: BackendId
    term: Term
    answer: Answer


@dataclass(frozen=True)
class PromoteAnswered:
    """Report the end of a call that ordered a promotion."""

    service: ServiceName
    backend: BackendId
    term: Term
    answer: Answer


@dataclass(frozen=True)
class ConfigRead:
    """Report a value of the configuration's key."""

    stored: StoredValue


@dataclass(frozen=True)
class PlatformListRead:
    """Report the platform's list of hosts."""

    entries: tuple[StoredValue, ...]


@dataclass(frozen=True)
class StoreReachability:
    """Report whether the last call to the store was answered."""

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
