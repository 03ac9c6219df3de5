"""Decoders of the platform's configurations and registrations of backend servers."""

from __future__ import annotations

import logging
from datetime import timedelta
from types import MappingProxyType
from typing import Annotated, Literal

import msgspec

from hickorywind.ids import (
    AvailabilityZone,
    BackendId,
    InstanceRole,
    Revision,
    ServiceName,
)
from hickorywind.ports.catalog import (
    AccountId,
    AccountKey,
    AccountQuota,
    BackendServer,
    BackendState,
    BoundedStalenessReads,
    ClientAccounts,
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
from hickorywind.util.decoding import (
    NAME,
    CounterValue,
    MalformedDataError,
    Milliseconds,
    convert,
    decode,
)

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = "op/config"
BACKENDS_PREFIX = "servers/"

_DEFAULT_MAX_STALENESS_MS = 1_000  # if the route sets no bound
_DEFAULT_STATEMENT_TIMEOUT_MS = 2_000  # if the route sets no statement timeout
_DEFAULT_LATENCY_OBJECTIVE_MS = 2_000  # if the route sets no latency target
_LAST_UNIX_MS = 253_402_300_799_999  # in the year 9999; greater ones are of another unit

_OperationCount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]


class _WireRoute(msgspec.Struct):
    database: str
    backend: Annotated[str, NAME]  # name of the service, not of a backend server
    route_type: Literal["primary", "bounded_staleness", "read_your_writes"]
    timeout_ms: Milliseconds = _DEFAULT_STATEMENT_TIMEOUT_MS
    target_latency_ms: Milliseconds = _DEFAULT_LATENCY_OBJECTIVE_MS
    priority: CounterValue = 0
    max_staleness_ms: Milliseconds = _DEFAULT_MAX_STALENESS_MS
    public: bool = False


class _WireAccount(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    rate_per_s: _OperationCount | None = None
    burst: _OperationCount | None = None


class _WireService(msgspec.Struct):
    name: Annotated[str, NAME]
    max_conns: CounterValue
    sync_replicas: CounterValue = 0


class _WireLimits(msgspec.Struct):
    tx_idle_ms: Milliseconds = 3_000


class _WireConfiguration(msgspec.Struct):
    version: CounterValue
    routes: list[_WireRoute]
    backends: list[_WireService]
    limits: _WireLimits = msgspec.field(default_factory=_WireLimits)
    tenants: list[_WireAccount] | None = None  # client accounts


class _WireRegistration(msgspec.Struct):
    backend: Annotated[str, NAME]  # name of the service that the backend server belongs to
    address: str
    zone: Annotated[str, NAME]
    slots: CounterValue
    state: Literal["ready", "draining"]
    born: Annotated[int, msgspec.Meta(ge=0, le=_LAST_UNIX_MS)]
    db_role: Literal["primary", "replica"] = "replica"


_configuration_decoder = msgspec.json.Decoder(_WireConfiguration)
_registration_decoder = msgspec.json.Decoder(_WireRegistration)


def _check_name(text: str) -> str:
    return msgspec.convert(text, Annotated[str, NAME])


def decode_configuration(item: StoredValue) -> ProxyConfiguration | None:
    """Decode the operators' configuration; log an error and return None if it is invalid."""
    try:
        wire = decode(_configuration_decoder, item.value)
    except MalformedDataError as error:
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
        accounts=None if wire.tenants is None else _decode_accounts(wire.tenants),
        sync_replicas=MappingProxyType(
            {ServiceName(service.name): service.sync_replicas for service in wire.backends}
        ),
    )


def _decode_accounts(accounts: list[_WireAccount]) -> ClientAccounts:
    holders: dict[AccountKey, set[AccountId]] = {}
    for account in accounts:
        for key in account.api_keys:
            holders.setdefault(AccountKey(key), set()).add(AccountId(account.name))
    shared = {key for key, names in holders.items() if len(names) > 1}
    if shared:
        # A key that several accounts hold identifies none of them.
        logger.error(
            "keys_ambiguous",
            extra={"accounts": ",".join(sorted(set().union(*(holders[key] for key in shared))))},
        )
    return ClientAccounts(
        account_by_key=MappingProxyType(
            {key: next(iter(names)) for key, names in holders.items() if key not in shared}
        ),
        quotas=MappingProxyType(
            {
                AccountId(account.name): _decode_quota(account)
                for account in accounts
                if account.rate_per_s is not None
            }
        ),
    )


def _decode_quota(account: _WireAccount) -> AccountQuota:
    burst = account.rate_per_s if account.burst is None else account.burst
    return AccountQuota(account.rate_per_s, max(1.0, burst))


def _decode_route(wire: _WireRoute) -> Route:
    return Route(
        database=DatabaseName(wire.database),
        service=ServiceName(wire.backend),
        read_policy=_decode_read_policy(wire),
        statement_timeout=milliseconds(wire.timeout_ms),
        latency_objective=milliseconds(wire.target_latency_ms),
        rank=PriorityRank(wire.priority),
        is_public=wire.public,
    )


def _decode_read_policy(wire: _WireRoute) -> ReadPolicy:
    max_staleness: timedelta = milliseconds(wire.max_staleness_ms)
    match wire.route_type:
        case "primary":
            return PrimaryReads()
        case "bounded_staleness":
            return BoundedStalenessReads(max_staleness)
        case "read_your_writes":
            return ReadYourWrites(max_staleness)


def decode_backend(item: StoredValue) -> BackendServer | None:
    """Decode a backend server's registration; log a warning and return None if it is invalid."""
    try:
        wire = decode(_registration_decoder, item.value)
        address = convert(wire.address, parse_address)
        backend = convert(item.key.removeprefix(BACKENDS_PREFIX), _check_name)
    except MalformedDataError as error:
        logger.warning("registration_unreadable", extra={"key": item.key, "error": str(error)})
        return None
    is_ready = wire.state == "ready"
    return BackendServer(
        backend=BackendId(backend),
        service=ServiceName(wire.backend),
        address=address,
        zone=AvailabilityZone(wire.zone),
        slots=max(1, wire.slots),
        state=BackendState.READY if is_ready else BackendState.LEAVING,
        role=InstanceRole(wire.db_role),
        started_at_ms=wire.born,
    )
