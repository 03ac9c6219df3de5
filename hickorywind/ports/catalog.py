"""Routes, backend servers and availability zones in the form that routing decisions use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import NewType

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    InstanceRole,
    Region,
    Revision,
    ServiceName,
)

DatabaseName = NewType("DatabaseName", str)
PriorityRank = NewType("PriorityRank", int)
AccountId = NewType("AccountId", str)
AccountKey = NewType("AccountKey", str)  # a secret: it is never logged or sent to another process


@dataclass(frozen=True, slots=True)
class PrimaryReads:
    """Read policy that sends every read to the primary."""


@dataclass(frozen=True, slots=True)
class BoundedStalenessReads:
    """Read policy that allows any server holding every commit older than ``max_staleness``."""

    max_staleness: timedelta


@dataclass(frozen=True, slots=True)
class ReadYourWrites:
    """Read policy that also requires the session's own commits.

    A server may serve the read if it holds them and every commit older than ``max_staleness``.
    """

    max_staleness: timedelta


ReadPolicy = PrimaryReads | BoundedStalenessReads | ReadYourWrites


@dataclass(frozen=True, slots=True)
class Route:
    """Rules by which the statements for one database are served.

    ``latency_objective`` is the target latency of a whole operation, from its arrival at the host;
    ``statement_timeout`` limits a single statement at a backend server. ``rank`` is the priority
    of the work; rank 0 is the most urgent. Callers of a public route need no key of a client
    account.
    """

    database: DatabaseName
    service: ServiceName
    read_policy: ReadPolicy
    statement_timeout: timedelta
    latency_objective: timedelta
    rank: PriorityRank
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class AccountQuota:
    """Quota of a client account, in operations summed over all hosts.

    An operation is a statement outside a transaction, or a whole transaction.
    """

    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class ClientAccounts:
    """Client accounts of a configuration, with the account that holds each key.

    ``quotas`` lacks the accounts that have no limit.
    """

    account_by_key: Mapping[AccountKey, AccountId]
    quotas: Mapping[AccountId, AccountQuota]


@dataclass(frozen=True, slots=True)
class ProxyConfiguration:
    """Configuration that is in force.

    ``version`` is the version number written in the configuration document, ``revision`` the store
    revision at which it was read; ``connection_limits`` holds, for each service, how many
    connections one of its backend servers accepts from all hosts together, and ``sync_replicas``
    how many replicas have received a commit when it is acknowledged, if any. ``accounts`` is None
    if the deployment has no client accounts.
    """

    version: int
    revision: Revision
    routes: Mapping[DatabaseName, Route]
    connection_limits: Mapping[ServiceName, int]
    transaction_idle_timeout: timedelta
    accounts: ClientAccounts | None = None
    sync_replicas: Mapping[ServiceName, int] = field(default_factory=dict)


class BackendState(Enum):
    """Whether a backend server accepts new work, as its registration says."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Registration of one backend server.

    ``started_at_ms`` changes when the server restarts under the same id; a restarted server has
    lost all connections and session state.
    """

    backend: BackendId
    service: ServiceName
    address: Address
    zone: AvailabilityZone
    slots: int
    state: BackendState
    role: InstanceRole
    started_at_ms: int


@dataclass(frozen=True, slots=True)
class Topology:
    """Region of each availability zone."""

    regions: Mapping[AvailabilityZone, Region] = field(default_factory=dict)

    def is_same_region(self, first: AvailabilityZone, second: AvailabilityZone) -> bool:
        """Return whether two zones are in one region."""
        return self.distance(first, second) < 2

    def distance(self, first: AvailabilityZone, second: AvailabilityZone) -> int:
        """Return 0 for two servers of one zone, 1 within one region, 2 between regions."""
        if first == second:
            return 0
        region = self.regions.get(first)
        return 1 if region is not None and region == self.regions.get(second) else 2
