"""Contents and text form of the ``status`` output, computed from a controller's records."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from hickorywind.ids import (
    AvailabilityZone,
    BackendId,
    HostId,
    Revision,
    ServiceName,
    Term,
    UserName,
)
from hickorywind.membership.directory import Directory
from hickorywind.membership.table import RecordTable
from hickorywind.ports.catalog import AccountId
from hickorywind.protocol.messages import StatusReply
from hickorywind.report.table import format_table

_UNKNOWN = "-"


class HostRow(msgspec.Struct, frozen=True):
    """One host; ``revision_in_force`` is None if its controller did not answer."""

    host: HostId
    availability_zone: AvailabilityZone
    state: str
    incarnation: int
    controller: str
    pool: str
    entry: str
    revision_in_force: Revision | None


class GroupRow(msgspec.Struct, frozen=True):
    """Replication group of one database service; ``primary`` is empty if unknown."""

    service: ServiceName
    term: Term
    primary: str


class BackendRow(msgspec.Struct, frozen=True):
    """One backend server; ``home`` is empty if no host's pool can serve it."""

    backend: BackendId
    service: ServiceName
    availability_zone: AvailabilityZone
    role: str
    home: str
    leaving: bool


class AccountRow(msgspec.Struct, frozen=True):
    """One client account; ``rate_per_s`` and ``burst`` are None if it has no quota."""

    account: AccountId
    priority: str
    rate_per_s: float | None
    burst: int | None
    users: tuple[UserName, ...]


class Overview(msgspec.Struct, frozen=True):
    """Output of ``status``."""

    revision_in_force: Revision
    store_reachable: bool
    hosts: tuple[HostRow, ...]
    groups: tuple[GroupRow, ...]
    backends: tuple[BackendRow, ...]
    accounts: tuple[AccountRow, ...]


def make_overview(reply: StatusReply, revisions: Mapping[HostId, Revision]) -> Overview:
    """Combine a controller's reply with the revisions that hosts themselves reported."""
    directory = make_directory(reply)
    return Overview(
        revision_in_force=reply.revision_in_force,
        store_reachable=reply.store_reachable,
        hosts=_list_hosts(directory, revisions),
        groups=_list_groups(directory),
        backends=_list_backends(directory),
        accounts=_list_accounts(directory),
    )


def make_directory(reply: StatusReply) -> Directory:
    """Build a directory from the records of a reply."""
    table = RecordTable()
    table.merge(reply.records)
    return Directory(table)


def _list_hosts(directory: Directory, revisions: Mapping[HostId, Revision]) -> tuple[HostRow, ...]:
    members = sorted(directory.members, key=lambda member: member.host)
    return tuple(
        HostRow(
            host=member.host,
            availability_zone=member.availability_zone,
            state=member.state.value,
            incarnation=member.incarnation,
            controller=str(member.controller),
            pool=str(member.pool) if member.pool else "",
            entry=str(member.entry) if member.entry else "",
            revision_in_force=revisions.get(member.host),
        )
        for member in members
    )


def _list_groups(directory: Directory) -> tuple[GroupRow, ...]:
    in_force = directory.in_force
    services = in_force.configuration.services if in_force else ()
    lines = []
    for service in services:
        group = directory.group(service.name)
        term = group.term if group else Term(0)
        lines.append(GroupRow(service.name, term, group.primary if group else ""))
    return tuple(lines)


def _list_backends(directory: Directory) -> tuple[BackendRow, ...]:
    return tuple(_describe_backend(directory, name) for name in sorted(directory.backends))


def _describe_backend(directory: Directory, backend: BackendId) -> BackendRow:
    service = directory.service_of(backend)
    instance = directory.instance(backend)
    group = directory.group(service.name)
    home = directory.home_of(backend)
    is_primary = group is not None and group.primary == backend
    return BackendRow(
        backend=backend,
        service=service.name,
        availability_zone=instance.availability_zone,
        role="primary" if is_primary else "replica" if group else "",
        home=home.host if home else "",
        leaving=directory.is_leaving(backend),
    )


def _list_accounts(directory: Directory) -> tuple[AccountRow, ...]:
    in_force = directory.in_force
    accounts = in_force.configuration.accounts if in_force else ()
    return tuple(
        AccountRow(
            account=account.name,
            priority=account.priority.value,
            rate_per_s=account.quota.rate_per_s if account.quota else None,
            burst=account.quota.burst if account.quota else None,
            users=account.users,
        )
        for account in accounts
    )


def format_overview(overview: Overview) -> str:
    """Return the overview as text."""
    store = "reachable" if overview.store_reachable else "not reachable"
    head = f"revision in force {overview.revision_in_force}, store {store} from this controller\n"
    tables = [_format_hosts(overview), _format_groups(overview), _format_backends(overview)]
    if overview.accounts:
        tables.append(_format_accounts(overview))
    return "\n".join((head, *tables))


def _format_hosts(overview: Overview) -> str:
    headings = ("host", "zone", "state", "revision", "controller", "pool", "entry")
    rows = [
        (
            line.host,
            line.availability_zone,
            line.state,
            _UNKNOWN if line.revision_in_force is None else str(line.revision_in_force),
            line.controller,
            line.pool or _UNKNOWN,
            line.entry or _UNKNOWN,
        )
        for line in overview.hosts
    ]
    return format_table(headings, rows)


def _format_groups(overview: Overview) -> str:
    rows = [(line.service, str(line.term), line.primary or _UNKNOWN) for line in overview.groups]
    return format_table(("service", "term", "primary"), rows)


def _format_backends(overview: Overview) -> str:
    headings = ("backend server", "service", "zone", "role", "home", "leaving")
    rows: Sequence[tuple[str, ...]] = [
        (
            line.backend,
            line.service,
            line.availability_zone,
            line.role or _UNKNOWN,
            line.home or _UNKNOWN,
            "yes" if line.leaving else "no",
        )
        for line in overview.backends
    ]
    return format_table(headings, rows)


def _format_accounts(overview: Overview) -> str:
    rows = [
        (
            line.account,
            line.priority,
            _UNKNOWN if line.rate_per_s is None else f"{line.rate_per_s:g}",
            _UNKNOWN if line.burst is None else str(line.burst),
            str(len(line.users)),
        )
        for line in overview.accounts
    ]
    return format_table(("account", "priority", "operations/s", "burst", "users"), rows)
