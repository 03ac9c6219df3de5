"""Status messages in which one host describes itself and its view of others."""

from __future__ import annotations

import msgspec

from hickorywind.ids import AvailabilityZone, BackendId, HostId, Incarnation, ServiceName
from hickorywind.ports.catalog import AccountId


class PeerStatus(msgspec.Struct, frozen=True):
    """Status of another host as of its last message, received ``heard_ms`` ago.

    ``heard_ms`` is None for a host that is not greeted: it counts as alive until others report it.
    """

    host: HostId
    availability_zone: AvailabilityZone
    heard_ms: int | None
    is_leaving: bool
    holds_permit: bool
    is_alive: bool = True


class BackendServerStatus(msgspec.Struct, frozen=True):
    """Status of a backend server; ``connections`` and ``in_flight`` count this host's only."""

    backend: BackendId
    availability_zone: AvailabilityZone
    role: str
    state: str
    is_available: bool
    connections: int
    in_flight: int


class ServiceStatus(msgspec.Struct, frozen=True):
    """Status of a database service; ``primary`` is the one that this host may use now.

    ``change`` counts the primary changes begun for the service.
    """

    service: ServiceName
    primary: BackendId | None
    primary_state: str
    change: int
    sample_age_ms: int | None
    waiting: int
    backends: tuple[BackendServerStatus, ...]


class AccountQuotaStatus(msgspec.Struct, frozen=True):
    """Status of a client account's quota at one host.

    ``tokens`` is what the host's own bucket holds, None if another host is the account's home.
    ``refused`` counts the operations refused here since ``is_refused`` became true.
    """

    account: AccountId
    tokens: float | None
    is_refused: bool
    refused: int


class QuotaStatus(msgspec.Struct, frozen=True):
    """Status of the quotas at one host: accounts kept or refused here, homes without a reply."""

    accounts: tuple[AccountQuotaStatus, ...]
    unreachable_homes: tuple[HostId, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """Status of a host; ``configuration_version`` is None until a configuration was read."""

    host: HostId
    incarnation: Incarnation
    availability_zone: AvailabilityZone
    is_ready: bool
    is_stopping: bool
    permit_ms: int
    configuration_version: int | None
    sessions: int
    peers: tuple[PeerStatus, ...]
    services: tuple[ServiceStatus, ...]
    quotas: QuotaStatus = QuotaStatus((), ())


class HostStatusRequest(msgspec.Struct, frozen=True, tag="host", array_like=True):
    """Request for the status of a host."""


class HostStatusReply(msgspec.Struct, frozen=True, tag="host_ok", array_like=True):
    """Reply to ``HostStatusRequest``."""

    status: HostStatus
