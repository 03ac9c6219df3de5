"""Builders of configurations in Python.

Operators write a script that ends with a module-level ``configuration`` and print it with
``hickorywind config print SCRIPT``; see ``examples``.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable
from datetime import timedelta
from typing import Self, TextIO

from hickorywind.configuration.canonical import canonicalize
from hickorywind.configuration.model import (
    Account,
    Configuration,
    Instance,
    Limits,
    Objective,
    Quota,
    RankPolicy,
    ReadKind,
    Service,
    TransactionLimits,
    Zone,
)
from hickorywind.configuration.printing import format_document
from hickorywind.configuration.validate import require_valid
from hickorywind.ids import AvailabilityZone, BackendId, Rank, Region, ServiceName, UserName
from hickorywind.ports.catalog import AccountId
from hickorywind.results import ResultCode, UserError
from hickorywind.util.documents import DocumentError

_MILLISECOND = timedelta(milliseconds=1)


def _to_ms(name: str, duration: timedelta) -> int:
    if not isinstance(duration, timedelta) or duration % _MILLISECOND:
        raise UserError(
            ResultCode.CONFIG_INVALID, f"{name}: expected a timedelta of whole milliseconds"
        )
    return duration // _MILLISECOND


class ServiceBuilder:
    """Builder of one database service; all methods but ``build`` return the builder itself."""

    def __init__(self, name: str) -> None:
        self._name = ServiceName(name)
        self._instances: list[Instance] = []
        self._ranks: list[RankPolicy] = []
        self._read_kinds: list[ReadKind] = []
        self._objectives: list[Objective] = []
        self._transactions = TransactionLimits()

    def instance(self, backend: str, zone: str, address: str, slots: int, connections: int) -> Self:
        """Add a backend server at ``address`` (IP:PORT)."""
        self._instances.append(
            Instance(BackendId(backend), AvailabilityZone(zone), address, slots, connections)
        )
        return self

    def rank(
        self,
        rank: Rank,
        floor_percent: int,
        timeout: timedelta = timedelta(seconds=5),
        queue_limit: int = 1_000,
        queue_limit_bytes: int = 16_777_216,
    ) -> Self:
        """Set the guaranteed share of slots, request timeout and queue limits of a rank."""
        timeout_ms = _to_ms("timeout", timeout)
        self._ranks.append(
            RankPolicy(rank, floor_percent, timeout_ms, queue_limit, queue_limit_bytes)
        )
        return self

    def read_kind(
        self, name: str, max_staleness: timedelta, fallback_staleness: timedelta | None = None
    ) -> Self:
        """Add a kind of read with the maximum age of data it accepts and its fallback age."""
        fallback_ms = None
        if fallback_staleness is not None:
            fallback_ms = _to_ms("fallback_staleness", fallback_staleness)
        self._read_kinds.append(ReadKind(name, _to_ms("max_staleness", max_staleness), fallback_ms))
        return self

    def objective(self, rank: Rank, target_percent: float, latency: timedelta) -> Self:
        """Add an objective: the percentage of a rank's requests to answer within ``latency``."""
        self._objectives.append(Objective(rank, target_percent, _to_ms("latency", latency)))
        return self

    def transactions(
        self,
        open_limit: int = 8,
        idle_timeout: timedelta = timedelta(seconds=5),
        per_session_requests: int = 16,
    ) -> Self:
        """Limit open transactions per backend server and waiting requests per session."""
        idle_timeout_ms = _to_ms("idle_timeout", idle_timeout)
        self._transactions = TransactionLimits(open_limit, idle_timeout_ms, per_session_requests)
        return self

    def build(self) -> Service:
        """Return the service, which is validated as part of the whole configuration."""
        return Service(
            self._name,
            tuple(self._instances),
            tuple(self._ranks),
            tuple(self._read_kinds),
            tuple(self._objectives),
            self._transactions,
        )


class ConfigurationBuilder:
    """Builder of a whole configuration."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._zones: list[Zone] = []
        self._services: list[ServiceBuilder] = []
        self._limits = Limits()
        self._accounts: list[Account] = []

    def zone(self, name: str, region: str) -> Self:
        """Add an availability zone and its region."""
        self._zones.append(Zone(AvailabilityZone(name), Region(region)))
        return self

    def service(self, name: str) -> ServiceBuilder:
        """Add a database service and return its builder."""
        builder = ServiceBuilder(name)
        self._services.append(builder)
        return builder

    def limits(
        self,
        retry_budget_percent: int = 10,
        link_bytes_per_second: int = 200_000,
        caller_connections_per_entry: int = 10_000,
        message_limit_bytes: int = 16_777_216,
    ) -> Self:
        """Set the limits that apply to the whole system."""
        self._limits = Limits(
            retry_budget_percent,
            link_bytes_per_second,
            caller_connections_per_entry,
            message_limit_bytes,
        )
        return self

    def account(
        self,
        name: str,
        users: Iterable[str],
        priority: Rank = Rank.STANDARD,
        rate_per_s: float | None = None,
        burst: int | None = None,
    ) -> Self:
        """Add a client account; ``rate_per_s`` and ``burst`` are its quota, None for no limit.

        ``priority`` is the rank of requests that name none. Passwords are not part of the
        configuration. Raise ``UserError`` if only one of the quota's numbers is given.
        """
        key = f"accounts[{name}]"
        if isinstance(users, str):
            raise UserError(ResultCode.CONFIG_INVALID, f"{key}.users: expected several names")
        if (rate_per_s is None) != (burst is None):
            problem = "expected both rate_per_s and burst, or neither"
            raise UserError(ResultCode.CONFIG_INVALID, f"{key}.quota: {problem}")
        quota = None if rate_per_s is None or burst is None else Quota(rate_per_s, burst)
        names = tuple(UserName(user) for user in users)
        self._accounts.append(Account(AccountId(name), names, priority, quota))
        return self

    def build(self) -> Configuration:
        """Return the validated configuration; raise ``UserError`` that names every problem."""
        services = tuple(builder.build() for builder in self._services)
        built = Configuration(
            self._name, tuple(self._zones), services, self._limits, tuple(self._accounts)
        )
        try:
            configuration = canonicalize(built)
        except DocumentError as error:
            raise UserError(ResultCode.CONFIG_INVALID, str(error)) from None
        require_valid(configuration)
        return configuration


def print_configuration(configuration: Configuration, stream: TextIO | None = None) -> None:
    """Write the canonical document to ``stream`` (standard output by default)."""
    (stream or sys.stdout).write(format_document(configuration))
