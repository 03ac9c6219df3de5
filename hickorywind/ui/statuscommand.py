"""Command ``status``: members, homes, groups, accounts and the revision at each host."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Sequence
from datetime import timedelta

from hickorywind.ids import Address, HostId, Revision
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.protocol.messages import StatusReply, StatusRequest
from hickorywind.protocol.records import MemberRecord, MemberState
from hickorywind.results import UserError
from hickorywind.ui.connections import send_request
from hickorywind.ui.console import Console
from hickorywind.ui.exitcodes import ExitCode
from hickorywind.ui.options import (
    add_command,
    add_controller_options,
    keys_of,
    require_controller,
    timeout_of,
)
from hickorywind.ui.overview import Overview, format_overview, make_directory, make_overview

_MAX_CONCURRENT_REQUESTS = 16
_DEFAULT_HOST_LIMIT = 32


def add_status(commands: argparse._SubParsersAction) -> None:
    """Add ``status``."""
    parser = add_command(
        commands,
        "status",
        "show members, homes, groups, terms, accounts and the revision in force at each host",
        "status --controller 10.0.0.7:7000",
        run_status,
    )
    add_controller_options(parser)
    parser.add_argument(
        "--all-hosts",
        action="store_true",
        help=f"ask each host for its revision also where there are over {_DEFAULT_HOST_LIMIT}",
    )


def run_status(arguments: argparse.Namespace, console: Console) -> int:
    """Print one controller's view of the system, with the revision each host reports."""
    collector = StatusCollector(keys_of(arguments), timeout_of(arguments))
    overview = asyncio.run(
        collector.collect(require_controller(arguments), all_hosts=arguments.all_hosts)
    )
    console.show(format_overview(overview), overview)
    return ExitCode.OK


class StatusCollector:
    """Client that fetches records from one controller and revisions from the others."""

    def __init__(self, keys: ChannelKeys | None, timeout: timedelta) -> None:
        self._keys = keys
        self._timeout = timeout
        self._semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)

    async def fetch_status(self, address: Address) -> StatusReply:
        """Request the status of one controller; raise ``UserError`` if that fails."""
        return await send_request(address, self._keys, StatusRequest(), StatusReply, self._timeout)

    async def collect(self, address: Address, all_hosts: bool) -> Overview:
        """Fetch all statuses and build the overview.

        Above ``_DEFAULT_HOST_LIMIT`` hosts, only the given controller's host is asked for its
        revision unless ``all_hosts`` is set.
        """
        reply = await self.fetch_status(address)
        members = [
            member
            for member in make_directory(reply).members
            if member.state is not MemberState.DEAD
        ]
        if len(members) > _DEFAULT_HOST_LIMIT and not all_hosts:
            members = [member for member in members if member.controller == address]
        return make_overview(reply, await self._fetch_revisions(members))

    async def _fetch_revisions(self, members: Sequence[MemberRecord]) -> dict[HostId, Revision]:
        revisions = await asyncio.gather(*(self._fetch_revision(member) for member in members))
        hosts = [member.host for member in members]
        return {
            host: revision
            for host, revision in zip(hosts, revisions, strict=True)
            if revision is not None
        }

    async def _fetch_revision(self, member: MemberRecord) -> Revision | None:
        async with self._semaphore:
            try:
                reply = await self.fetch_status(member.controller)
            except UserError:
                return None
        return reply.revision_in_force
