"""Events in the inbox of a backend server's worker."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.configuration.model import Instance, Service
from hickorywind.pool.requests import PoolRequest, RequestKey, TransactionKey
from hickorywind.protocol.channel import PeerId


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Arrival of a request that passed the checks of the dispatcher."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class RequestReady:
    """End of a request's wait for a newer status or a fresh replica; it may be enqueued."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class SlotFreed:
    """Release of the slot that a started request occupied at the backend server."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """Cancel request of an entry for one of its requests."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class RollbackRequested:
    """End of the session of an open transaction, which is to be rolled back."""

    key: TransactionKey


@dataclass(frozen=True, slots=True)
class EntryPresumedDead:
    """Presumed death of an entry, whose requests and transactions are to be ended."""

    entry_id: PeerId


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """New revision of the configuration of the service and its backend server."""

    service: Service
    instance: Instance


@dataclass(frozen=True, slots=True)
class DrainTimedOut:
    """End of the time that a stopping pool gives the requests that it holds."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event to check deadlines, idle times and the status of the backend server."""


Event = (
    RequestArrived
    | RequestReady
    | SlotFreed
    | CancelRequested
    | RollbackRequested
    | EntryPresumedDead
    | ConfigurationChanged
    | DrainTimedOut
    | Tick
)
