"""Define the events that the task of one backend server takes from its inbox."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.configuration.model import Instance, Service
from hickorywind.pool.jobs import Job, JobKey, TransactionKey
from hickorywind.protocol.channel import PeerId


@dataclass(frozen=True, slots=True)
class Submitted:
    """A request came and passed the checks of the dispatcher."""

    job: Job


@dataclass(frozen=True, slots=True)
class Prepared:
    """A read may go into the queue: the data is known to be fresh enough."""

    job: Job


@dataclass(frozen=True, slots=True)
class SlotFreed:
    """A started request no longer occupies the backend server."""

    job: Job


@dataclass(frozen=True, slots=True)
class CancelAsked:
    """The entry withdraws a request."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class TransactionEnded:
    """The session of a transaction is gone."""

    key: TransactionKey


@dataclass(frozen=True, slots=True)
class EntrySilent:
    """An entry is presumed dead."""

    entry: PeerId


@dataclass(frozen=True, slots=True)
class Reconfigured:
    """Another revision of the configuration is in force."""

    service: Service
    instance: Instance


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; deadlines and idle times are to be checked."""


Event = (
    Submitted
    | Prepared
    | SlotFreed
    | CancelAsked
    | TransactionEnded
    | EntrySilent
    | Reconfigured
    | Tick
)
