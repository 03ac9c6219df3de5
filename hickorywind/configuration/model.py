"""Define the operators' configuration as typed, validated values.

Operators build a ``Configuration`` in a Python script and print it (``printing.py``); the document
is what gets reviewed and accepted.
"""

from __future__ import annotations

import msgspec

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    Rank,
    Region,
    ServiceName,
)


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one backend server of a database service.

    ``slots`` bounds the statements that run at once, ``connections`` the open connections.
    """

    backend: BackendId
    availability_zone: AvailabilityZone
    address: str
    slots: int
    connections: int

    @property
    def endpoint(self) -> Address:
        """Return the address in its parsed form."""
        return Address.from_text(self.address)


class RankPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set what one rank of work may use and expects.

    ``floor_percent`` is the share of a backend server's slots that the rank keeps in any flood.
    ``timeout_ms`` is the deadline of a request that names none. ``queue_limit`` bounds the waiting
    requests per backend server and ``queue_limit_bytes`` their size.
    """

    rank: Rank
    floor_percent: int
    timeout_ms: int = 5_000
    queue_limit: int = 1_000
    queue_limit_bytes: int = 16_777_216


class ReadKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set the greatest age of data that one named kind of read accepts.

    ``fallback_staleness_ms``, where given, is the age accepted when the first cannot be met.
    """

    name: str
    max_staleness_ms: int
    fallback_staleness_ms: int | None = None


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State a service-level objective: the share of a rank's requests answered in time."""

    rank: Rank
    target_percent: float
    latency_ms: int


class TransactionLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound open transactions per backend server and session."""

    open_limit: int = 8
    idle_timeout_ms: int = 5_000
    per_session_requests: int = 16


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one database service: a replicated group of backend servers."""

    name: ServiceName
    instances: tuple[Instance, ...]
    ranks: tuple[RankPolicy, ...]
    read_kinds: tuple[ReadKind, ...] = ()
    objectives: tuple[Objective, ...] = ()
    transactions: TransactionLimits = TransactionLimits()


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Place an availability zone in its region."""

    name: AvailabilityZone
    region: Region


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Set limits that apply to the whole system.

    ``retry_budget_percent`` bounds retries as a share of requests; ``link_bytes_per_second`` is
    the volume that a host may send to other regions.
    """

    retry_budget_percent: int = 10
    link_bytes_per_second: int = 200_000
    caller_connections_per_entry: int = 10_000
    message_limit_bytes: int = 16_777_216


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a whole accepted configuration."""

    name: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
