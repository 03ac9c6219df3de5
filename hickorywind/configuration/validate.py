"""Validation of a whole configuration, which reports every problem at once."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from hickorywind.configuration.model import (
    OTHER_ACCOUNTS,
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
)
from hickorywind.ids import RANKS_BY_URGENCY, Rank, UserName
from hickorywind.observability.latencybuckets import OBJECTIVE_BOUNDS_MS
from hickorywind.ports.catalog import AccountId
from hickorywind.results import ResultCode, UserError
from hickorywind.util.addresses import parse_address

_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}\Z")
_HUNDRED_PERCENT = 100
_NUMBER_MAX = 10**12  # milliseconds of it are 31 years, far below the limit of timedelta
_MAX_USER_NAME_BYTES = 63  # PostgreSQL cuts longer names
_MIN_RATE_PER_S = 0.001  # one operation in 17 minutes; less is taken for a mistake


@dataclass(frozen=True)
class Problem:
    """Problem of a configuration and its location, such as ``services[sign-offs].ranks``."""

    path: str
    text: str
    code: ResultCode = ResultCode.CONFIG_INVALID

    def __str__(self) -> str:
        return f"{int(self.code)} {self.path}: {self.text}"


def find_problems(configuration: Configuration) -> tuple[Problem, ...]:
    """Return every problem of a configuration, in document order."""
    return tuple(_check_configuration(configuration))


def require_valid(configuration: Configuration) -> None:
    """Raise ``UserError`` with all problems on one line if the configuration has any."""
    problems = find_problems(configuration)
    if problems:
        text = "; ".join(f"{problem.path}: {problem.text}" for problem in problems)
        raise UserError(ResultCode.CONFIG_INVALID, text)


def _check_configuration(configuration: Configuration) -> Iterator[Problem]:
    if not configuration.name.strip() or not configuration.name.isprintable():
        yield Problem("name", "expected one line of text")
    yield from _check_zones(configuration)
    if not configuration.services:
        yield Problem("services", "expected at least one database service")
    yield from _check_unique("services", (service.name for service in configuration.services))
    yield from _check_unique_instances(configuration)
    zones = {zone.name for zone in configuration.zones}
    for service in configuration.services:
        yield from _check_service(service, zones)
    yield from _check_limits(configuration.limits)
    yield from _check_accounts(configuration.accounts)


def _check_zones(configuration: Configuration) -> Iterator[Problem]:
    if not configuration.zones:
        yield Problem("zones", "expected at least one availability zone")
    yield from _check_unique("zones", (zone.name for zone in configuration.zones))
    for zone in configuration.zones:
        yield from _check_name(f"zones[{zone.name}].name", zone.name)
        yield from _check_name(f"zones[{zone.name}].region", zone.region)


def _check_unique_instances(configuration: Configuration) -> Iterator[Problem]:
    instances = [instance for service in configuration.services for instance in service.instances]
    yield from _check_unique("instances", (instance.backend for instance in instances))
    yield from _check_unique("instances.address", (instance.address for instance in instances))


def _check_service(service: Service, zones: set[str]) -> Iterator[Problem]:
    path = f"services[{service.name}]"
    yield from _check_name(f"{path}.name", service.name)
    if not service.instances:
        yield Problem(f"{path}.instances", "expected at least one backend server")
    for instance in service.instances:
        yield from _check_instance(f"{path}.instances[{instance.backend}]", instance, zones)
    yield from _check_ranks(f"{path}.ranks", service.ranks)
    yield from _check_unique(f"{path}.read_kinds", (kind.name for kind in service.read_kinds))
    for kind in service.read_kinds:
        yield from _check_read_kind(f"{path}.read_kinds[{kind.name}]", kind)
    yield from _check_objectives(f"{path}.objectives", service)
    yield from _check_transactions(f"{path}.transactions", service.transactions, service.instances)


def _check_instance(path: str, instance: Instance, zones: set[str]) -> Iterator[Problem]:
    yield from _check_name(f"{path}.backend", instance.backend)
    if instance.availability_zone not in zones:
        yield Problem(
            f"{path}.availability_zone", f"{instance.availability_zone!r} is not in zones"
        )
    try:
        parse_address(instance.address)
    except ValueError:
        yield Problem(f"{path}.address", f"expected IP:PORT, got {instance.address!r}")
    yield from _check_positive(f"{path}.slots", instance.slots)
    yield from _check_not_huge(f"{path}.connections", instance.connections)
    if pool_connection_limit(instance) <= instance.slots:
        yield Problem(
            f"{path}.connections",
            f"expected at least {2 * instance.slots + 3} for {instance.slots} slots: a pool stays"
            " under half, so that two pools fit during a handover",
        )


def pool_connection_limit(instance: Instance) -> int:
    """Return how many connections one pool may hold.

    It is less than half of the instance's limit, so that two pools fit during a handover.
    """
    return (instance.connections - 1) // 2


def _check_ranks(path: str, policies: tuple[RankPolicy, ...]) -> Iterator[Problem]:
    yield from _check_unique(path, (policy.rank.value for policy in policies))
    present = {policy.rank for policy in policies}
    for rank in RANKS_BY_URGENCY:
        if rank not in present:
            yield Problem(path, f"rank {rank.value} is missing")
    total = sum(policy.floor_percent for policy in policies)
    if total > _HUNDRED_PERCENT:
        yield Problem(path, f"floors add up to {total} percent, expected at most 100")
    for policy in policies:
        yield from _check_rank(f"{path}[{policy.rank.value}]", policy)


def _check_rank(path: str, policy: RankPolicy) -> Iterator[Problem]:
    yield from _check_percent(f"{path}.floor_percent", policy.floor_percent)
    yield from _check_positive(f"{path}.timeout_ms", policy.timeout_ms)
    yield from _check_positive(f"{path}.queue_limit", policy.queue_limit)
    yield from _check_positive(f"{path}.queue_limit_bytes", policy.queue_limit_bytes)


def _check_read_kind(path: str, kind: ReadKind) -> Iterator[Problem]:
    yield from _check_name(f"{path}.name", kind.name)
    if kind.max_staleness_ms < 0:
        yield Problem(f"{path}.max_staleness_ms", "expected 0 or more milliseconds")
    yield from _check_not_huge(f"{path}.max_staleness_ms", kind.max_staleness_ms)
    fallback = kind.fallback_staleness_ms
    if fallback is not None and fallback < kind.max_staleness_ms:
        yield Problem(
            f"{path}.fallback_staleness_ms",
            f"expected at least max_staleness_ms ({kind.max_staleness_ms}), got {fallback}",
        )
    yield from _check_not_huge(f"{path}.fallback_staleness_ms", fallback or 0)


def _check_objectives(path: str, service: Service) -> Iterator[Problem]:
    yield from _check_unique(path, (objective.rank.value for objective in service.objectives))
    timeouts = {policy.rank: policy.timeout_ms for policy in service.ranks}
    for objective in service.objectives:
        yield from _check_objective(f"{path}[{objective.rank.value}]", objective, timeouts)


def _check_objective(
    path: str, objective: Objective, timeouts: dict[Rank, int]
) -> Iterator[Problem]:
    if not 0 < objective.target_percent < _HUNDRED_PERCENT:
        yield Problem(f"{path}.target_percent", "expected more than 0 and less than 100")
    if objective.latency_ms not in OBJECTIVE_BOUNDS_MS:
        bounds = ", ".join(map(str, OBJECTIVE_BOUNDS_MS))
        yield Problem(f"{path}.latency_ms", f"expected one of {bounds}")
    if objective.latency_ms > timeouts.get(objective.rank, objective.latency_ms):
        yield Problem(f"{path}.latency_ms", "expected at most the timeout of the rank")


def _check_transactions(
    path: str, limits: TransactionLimits, instances: tuple[Instance, ...]
) -> Iterator[Problem]:
    for key in ("open_limit", "idle_timeout_ms", "per_session_requests"):
        yield from _check_positive(f"{path}.{key}", getattr(limits, key))
    connection_limit = min(map(pool_connection_limit, instances), default=limits.open_limit)
    if limits.open_limit > connection_limit:
        yield Problem(
            f"{path}.open_limit",
            f"expected at most {connection_limit}: each open transaction holds one of a pool's"
            " connections",
        )


def _check_limits(limits: Limits) -> Iterator[Problem]:
    yield from _check_percent("limits.retry_budget_percent", limits.retry_budget_percent)
    for key in ("link_bytes_per_second", "caller_connections_per_entry", "message_limit_bytes"):
        yield from _check_positive(f"limits.{key}", getattr(limits, key))


def _check_accounts(accounts: tuple[Account, ...]) -> Iterator[Problem]:
    yield from _check_unique("accounts", (account.name for account in accounts))
    holders: dict[UserName, AccountId] = {}
    for account in accounts:
        path = f"accounts[{account.name}]"
        yield from _check_name(f"{path}.name", account.name)
        if account.name == OTHER_ACCOUNTS:
            yield Problem(f"{path}.name", "is reserved for the accounts that metrics don't name")
        if not account.users:
            yield Problem(f"{path}.users", "expected at least one user name")
        for user in account.users:
            yield from _check_user_name(f"{path}.users[{user}]", user)
            if user in holders:
                yield Problem(f"{path}.users[{user}]", f"is in account {holders[user]!r} already")
            holders.setdefault(user, account.name)
        if account.quota is not None:
            yield from _check_quota(f"{path}.quota", account.quota)


def _check_user_name(path: str, name: UserName) -> Iterator[Problem]:
    if not name.isprintable() or name != name.strip() or not name:
        yield Problem(path, "expected printable characters without spaces at the ends")
    if len(name.encode(errors="replace")) > _MAX_USER_NAME_BYTES:
        yield Problem(path, f"expected at most {_MAX_USER_NAME_BYTES} bytes")


def _check_quota(path: str, quota: Quota) -> Iterator[Problem]:
    # The comparison is false for NaN; JSON, in which sections travel, has no infinity.
    if not _MIN_RATE_PER_S <= quota.rate_per_s <= _NUMBER_MAX:
        yield Problem(
            f"{path}.rate_per_s",
            f"expected a number from {_MIN_RATE_PER_S} to {_NUMBER_MAX}, got {quota.rate_per_s:g}",
        )
    if quota.burst < 1:
        yield Problem(f"{path}.burst", f"expected at least 1, got {quota.burst}")
    yield from _check_not_huge(f"{path}.burst", quota.burst)


def _check_unique(path: str, names: Iterable[str]) -> Iterator[Problem]:
    for name, count in sorted(Counter(names).items()):
        if count > 1:
            yield Problem(path, f"{name!r} appears {count} times")


def _check_name(path: str, name: str) -> Iterator[Problem]:
    if not _NAME.match(name):
        yield Problem(
            path, "expected up to 63 of a-z, 0-9, '-', '_' and '.', a letter or digit first"
        )


def _check_positive(path: str, value: int) -> Iterator[Problem]:
    if value <= 0:
        yield Problem(path, f"expected more than 0, got {value}")
    yield from _check_not_huge(path, value)


def _check_not_huge(path: str, value: float) -> Iterator[Problem]:
    if value > _NUMBER_MAX:
        yield Problem(path, f"expected at most {_NUMBER_MAX}")


def _check_percent(path: str, value: int) -> Iterator[Problem]:
    if not 0 <= value <= _HUNDRED_PERCENT:
        yield Problem(path, f"expected 0 to 100 percent, got {value}")
