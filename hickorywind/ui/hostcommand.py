"""Command ``host``: the current status of one host."""

from __future__ import annotations

import argparse
import asyncio

from hickorywind.protocol.hoststatus import (
    HostStatus,
    HostStatusReply,
    HostStatusRequest,
    PeerStatus,
    QuotaStatus,
)
from hickorywind.report.table import format_table
from hickorywind.ui.connections import send_request
from hickorywind.ui.console import Console
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.options import add_command, add_timeout_option, timeout_of, to_address

_NOT_GREETED = "reported"  # known from other hosts only
_UNKNOWN = "-"


def add_host(commands: argparse._SubParsersAction) -> None:
    """Add ``host``."""
    parser = add_command(
        commands,
        "host",
        "show the status of a host: permit, peers, primaries, queues, configuration in force",
        "host 127.0.0.1:9465",
        run_host,
    )
    parser.add_argument(
        "address", type=to_address, metavar="IP:PORT", help="status_listen of the host's settings"
    )
    add_timeout_option(parser)


def run_host(arguments: argparse.Namespace, console: Console) -> int:
    """Ask a host on this machine for its status and print it."""
    request = send_request(
        arguments.address,
        None,
        HostStatusRequest(),
        HostStatusReply,
        timeout_of(arguments),
        role="host",
    )
    status = asyncio.run(request).status
    console.show(format_host(status), status)
    return ExitCode.OK


def format_host(status: HostStatus) -> str:
    """Return a host's status as text tables."""
    tables = (
        _format_zones(status),
        _format_peers(status),
        _format_services(status),
        _format_backends(status),
    )
    if status.quotas.accounts:
        tables = (*tables, _format_quotas(status.quotas))
    return "\n".join((_format_head(status), *tables))


def _format_head(status: HostStatus) -> str:
    state = "stopping" if status.is_stopping else "ready" if status.is_ready else "not ready"
    version = status.configuration_version
    return (
        f"host {status.host} in {status.availability_zone}: {state},"
        f" permit for {status.permit_ms} ms, {status.sessions} sessions,"
        f" configuration {_UNKNOWN if version is None else version}\n"
    )


def _format_zones(status: HostStatus) -> str:
    """Return the number of other hosts by availability zone and state."""
    by_zone: dict[str, list[PeerStatus]] = {}
    for peer in status.peers:
        by_zone.setdefault(peer.availability_zone, []).append(peer)
    rows = [
        (
            zone,
            str(len(peers)),
            str(sum(peer.is_alive for peer in peers)),
            str(sum(peer.is_leaving for peer in peers)),
            str(sum(peer.heard_ms is not None for peer in peers)),
        )
        for zone, peers in sorted(by_zone.items())
    ]
    return format_table(("zone", "other hosts", "alive", "leaving", "greeted"), rows)


def _format_peers(status: HostStatus) -> str:
    """Return the hosts that this one greets, and those that are silent or leaving."""
    rows = [
        (
            peer.host,
            peer.availability_zone,
            _NOT_GREETED if peer.heard_ms is None else str(peer.heard_ms),
            _format_bool(peer.is_alive),
            _format_bool(peer.holds_permit),
            _format_bool(peer.is_leaving),
        )
        for peer in status.peers
        if peer.heard_ms is not None or not peer.is_alive or peer.is_leaving
    ]
    return format_table(("peer", "zone", "heard ms ago", "alive", "permit", "leaving"), rows)


def _format_services(status: HostStatus) -> str:
    rows = [
        (
            service.service,
            service.primary or _UNKNOWN,
            service.primary_state,
            str(service.change),
            _UNKNOWN if service.sample_age_ms is None else str(service.sample_age_ms),
            str(service.waiting),
        )
        for service in status.services
    ]
    headings = ("service", "usable primary", "state", "change", "sample age ms", "waiting")
    return format_table(headings, rows)


def _format_backends(status: HostStatus) -> str:
    rows = [
        (
            backend.backend,
            service.service,
            backend.availability_zone,
            backend.role,
            backend.state,
            _format_bool(backend.is_available),
            str(backend.connections),
            str(backend.in_flight),
        )
        for service in status.services
        for backend in service.backends
    ]
    headings = ("backend server", "service", "zone", "role", "state")
    return format_table((*headings, "available", "connections", "in flight"), rows)


def _format_quotas(quotas: QuotaStatus) -> str:
    """Return the client accounts whose quota this host keeps or that it refuses now."""
    rows = [
        (
            account.account,
            _UNKNOWN if account.tokens is None else str(account.tokens),
            _format_bool(account.is_refused),
            str(account.refused),
        )
        for account in quotas.accounts
    ]
    table = format_table(("client account", "tokens here", "refused now", "refused"), rows)
    unreachable = ", ".join(quotas.unreachable_homes)
    return table + (
        f"\nhosts that keep quotas and don't answer: {unreachable}\n" if unreachable else ""
    )


def _format_bool(value: bool) -> str:
    return "yes" if value else "no"
