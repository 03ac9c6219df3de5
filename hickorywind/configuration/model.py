"""Data model of the operators' configuration.

Operators build a ``Configuration`` in a Python script and print it (``printing.py``); the printed
document is reviewed and accepted.
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
    UserName,
)
from hickorywind.ports.catalog import AccountId

OTHER_ACCOUNTS = AccountId("other")  # metrics count the accounts that they don't name as this one


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Backend server of a database service.

    ``slots`` limits the statements that run at once, ``connections`` the open connections.
    """

    backend: BackendId
    availability_zone: AvailabilityZone
    address: str
    slots: int
    connections: int

    @property
    def endpoint(self) -> Address:
        """Return the parsed address."""
        return Address.from_text(self.address)


class RankPolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of one rank of work.

    ``floor_percent`` is the share of a backend server's slots that the rank keeps under overload
    by other ranks. ``timeout_ms`` is the timeout of a request that names none. ``queue_limit``
    limits the waiting requests per backend server and ``queue_limit_bytes`` their total size.
    """

    rank: Rank
    floor_percent: int
    timeout_ms: int = 5_000
    queue_limit: int = 1_000
    queue_limit_bytes: int = 16_777_216


class ReadKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Named kind of read and the maximum age of data that it accepts.

    ``fallback_staleness_ms``, if given, is the age accepted when no server meets the first.
    """

    name: str
    max_staleness_ms: int
    fallback_staleness_ms: int | None = None


class Objective(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Service-level objective: the share of a rank's requests answered within ``latency_ms``."""

    rank: Rank
    target_percent: float
    latency_ms: int


class TransactionLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of open transactions per backend server, and of waiting requests per session."""

    open_limit: int = 8
    idle_timeout_ms: int = 5_000
    per_session_requests: int = 16


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Database service: a replicated group of backend servers."""

    name: ServiceName
    instances: tuple[Instance, ...]
    ranks: tuple[RankPolicy, ...]
    read_kinds: tuple[ReadKind, ...] = ()
    objectives: tuple[Objective, ...] = ()
    transactions: TransactionLimits = TransactionLimits()


class Zone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Availability zone and its region."""

    name: AvailabilityZone
    region: Region


class Quota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Quota of a client account, in operations summed over all entries.

    An operation is a statement outside a transaction, or a whole transaction.
    """

    rate_per_s: float
    burst: int


class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Client account: the users that belong to it, and how their work is ranked and limited.

    ``priority`` is the rank of requests that name none. An account without ``quota`` has no limit.
    """

    name: AccountId
    users: tuple[UserName, ...]
    priority: Rank = Rank.STANDARD
    quota: Quota | None = None


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that apply to the whole system.

    ``retry_budget_percent`` limits retries as a share of requests; ``link_bytes_per_second``
    limits the volume that a host may send to other regions.
    """

    retry_budget_percent: int = 10
    link_bytes_per_second: int = 200_000
    caller_connections_per_entry: int = 10_000
    message_limit_bytes: int = 16_777_216


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Whole configuration of the system, as operators review and accept it.

    A configuration without accounts serves any user. It is encoded without the key ``accounts``,
    which earlier versions of the program refuse as unknown.
    """

    name: str
    zones: tuple[Zone, ...]
    services: tuple[Service, ...]
    # A factory, because omit_defaults would leave out a shared default object.
    limits: Limits = msgspec.field(default_factory=Limits)
    accounts: tuple[Account, ...] = ()
