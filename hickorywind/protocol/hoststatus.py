"""Describe what one host believes, for the command line."""

from __future__ import annotations

import msgspec

from hickorywind.ids import AvailabilityZone, BackendId, HostId, Incarnation, ServiceName


class PeerStatus(msgspec.Struct, frozen=True):
    """Describe another host as last heard of, ``heard_ms`` ago."""

    host: HostId
    availability_zone: AvailabilityZone
    heard_ms: int
    is_leaving: bool
    holds_permit: bool


class BackendServerStatus(msgspec.Struct, frozen=True):
    """Describe a backend server; ``connections`` and ``in_flight`` are this host's own."""

    backend: BackendId
    availability_zone: AvailabilityZone
    role: str
    state: str
    is_available: bool
    connections: int
    in_flight: int


class ServiceStatus(msgspec.Struct, frozen=True):
    """Describe a service; ``primary`` is the one that this host may use now."""

    service: ServiceName
    primary: BackendId | None
    primary_state: str
    change: int
    sample_age_ms: int | None
    waiting: int
    backends: tuple[BackendServerStatus, ...]


class HostStatus(msgspec.Struct, frozen=True):
    """Describe a host; ``configuration_version`` is None before the first was read."""

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


class HostStatusRequest(msgspec.Struct, frozen=True, tag="host", array_like=True):
    """Ask a host for its status."""


class HostStatusReply(msgspec.Struct, frozen=True, tag="host_ok", array_like=True):
    """Hold the status that was asked for."""

    status: HostStatus
