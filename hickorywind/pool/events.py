"""Define the events that the task of one backend server takes from its inbox."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.configuration.model import Instance, Service
from hickorywind.pool.requests import PoolRequest, RequestKey, TransactionKey
from hickorywind.protocol.channel import PeerId


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request came and passed the checks of the dispatcher."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class RequestReady:
    """A read may go into the queue: the data is known to be fresh enough."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class SlotFreed:
    """A started request no longer occupies the backend server."""

    request: PoolRequest


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The entry withdraws a request."""

    key: RequestKey


@dataclass(frozen=True, slots=True)
class RollbackRequested:
    """The session of a transaction is gone."""

    key: TransactionKey


@dataclass(frozen=True, slots=True)
class EntryPresumedDead:
    """An entry is presumed dead."""

    entry_id: PeerId


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Another revision of the configuration is in force."""

    service: Service
    instance: Instance


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines and idle times are to be checked."""


Event = (
    RequestArrived
    | RequestReady
    | SlotFreed
    | CancelRequested
    | RollbackRequested
    | EntryPresumedDead
    | ConfigurationChanged
    | Tick
)
