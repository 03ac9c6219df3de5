"""Decode the platform's documents: configurations and registrations of backend servers."""

from __future__ import annotations

import logging
from datetime import timedelta
from types import MappingProxyType
from typing import Literal

import msgspec

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    InstanceRole,
    Revision,
    ServiceName,
)
from hickorywind.ports.catalog import (
    BackendServer,
    BackendState,
    BoundedStalenessReads,
    DatabaseName,
    PrimaryReads,
    PriorityRank,
    ProxyConfiguration,
    ReadPolicy,
    ReadYourWrites,
    Route,
)
from hickorywind.store.interface import StoredValue
from hickorywind.util.addresses import parse_address
from hickorywind.util.clock import milliseconds

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
BACKENDS_PREFIX = "servers/"

_DEFAULT_STALENESS_MS = 1_000  # for a bounded route without a bound of its own
_DEFAULT_TIMEOUT_MS = 2_000  # for a route without a statement timeout
_DEFAULT_OBJECTIVE_MS = 2_000  # for a route without a latency target


class _WireRoute(msgspec.Struct):
    database: str
    backend: str  # the service, not one backend server
    route_type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: float = _DEFAULT_TIMEOUT_MS
    target_latency_ms: float = _DEFAULT_OBJECTIVE_MS
    priority: int = 0
    max_staleness_ms: float = _DEFAULT_STALENESS_MS


class _WireService(msgspec.Struct):
    name: str
    max_conns: int


class _WireLimits(msgspec.Struct):
    tx_idle_ms: float = 3_000


class _WireConfiguration(msgspec.Struct):
    version: int
    routes: list[_WireRoute]
    backends: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)


class _WireRegistration(msgspec.Struct):
    backend: str  # the service that the server belongs to
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    born: int
    db_role: Literal["primary", "replica"] = "replica"


_configurations = msgspec.json.Decoder(_WireConfiguration)
_registrations = msgspec.json.Decoder(_WireRegistration)


def decode_configuration(item: StoredValue) -> ProxyConfiguration | None:
    """Decode the operators' configuration; None, with a log line, where it can't be read."""
    try:
        wire = _configurations.decode(item.value)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        logger.error(
            "configuration_unreadable", extra={"revision": item.revision, "error": str(error)}
        )
        return None
    return ProxyConfiguration(
        version=wire.version,
        revision=Revision(item.revision),
        routes=MappingProxyType(
            {DatabaseName(route.database): _decode_route(route) for route in wire.routes}
        ),
        connection_limits=MappingProxyType(
            {ServiceName(service.name): service.max_conns for service in wire.backends}
        ),
        transaction_idle_timeout=milliseconds(wire.limits.tx_idle_ms),
    )


def _decode_route(wire: _WireRoute) -> Route:
    return Route(
        database=DatabaseName(wire.database),
        service=ServiceName(wire.backend),
        read_policy=_decode_reads(wire),
        statement_timeout=milliseconds(wire.timeout_ms),
        latency_objective=milliseconds(wire.target_latency_ms),
        rank=PriorityRank(wire.priority),
    )


def _decode_reads(wire: _WireRoute) -> ReadPolicy:
    staleness: timedelta = milliseconds(wire.max_staleness_ms)
    match wire.route_type:
        case "primary":
            return PrimaryReads()
        case "bounded_staleness":
            return BoundedStalenessReads(staleness)
        case "read_your_writes":
            return ReadYourWrites(staleness)


def decode_backend(item: StoredValue) -> BackendServer | None:
    """Decode a registration; None, with a log line, where it names no usable backend server."""
    try:
        wire = _registrations.decode(item.value)
        address: Address = parse_address(wire.address)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        logger.warning("registration_unreadable", extra={"key": item.key, "error": str(error)})
        return None
    is_ready = wire.state == "ready"
    return BackendServer(
        backend=BackendId(item.key.removeprefix(BACKENDS_PREFIX)),
        service=ServiceName(wire.backend),
        address=address,
        zone=AvailabilityZone(wire.zone),
        slots=max(1, wire.slots),
        state=BackendState.READY if is_ready else BackendState.LEAVING,
        role=InstanceRole(wire.db_role),
        started_at_ms=wire.born,
    )
