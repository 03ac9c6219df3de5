"""Offer ``status``: members, homes, groups and the revision in force at each host."""

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
from hickorywind.ui.console import Console
from hickorywind.ui.exits import ExitCode
from hickorywind.ui.options import (
    add_command,
    add_controller_options,
    keys_of,
    require_controller,
    timeout_of,
)
from hickorywind.ui.overview import Overview, format_overview, make_directory, make_overview
from hickorywind.ui.reaching import ask_controller

_ASKED_AT_ONCE = 16
_ASKED_BY_DEFAULT = 32


def add_status(commands: argparse._SubParsersAction) -> None:
    """Add ``status``."""
    parser = add_command(
        commands,
        "status",
        "show members, homes, groups, terms and the revision in force at each host",
        "status --controller 10.0.0.7:7000",
        run_status,
    )
    add_controller_options(parser)
    parser.add_argument(
        "--all-hosts",
        action="store_true",
        help=f"ask each host for its revision also where there are over {_ASKED_BY_DEFAULT}",
    )


def run_status(arguments: argparse.Namespace, console: Console) -> int:
    """Show the system as one controller sees it, with the revision each host reports."""
    asker = StatusAsker(keys_of(arguments), timeout_of(arguments))
    overview = asyncio.run(
        asker.collect(require_controller(arguments), everyone=arguments.all_hosts)
    )
    console.show(format_overview(overview), overview)
    return ExitCode.OK


class StatusAsker:
    """Ask one controller for its records and the others for their revision."""

    def __init__(self, keys: ChannelKeys | None, timeout: timedelta) -> None:
        self._keys = keys
        self._timeout = timeout
        self._slots = asyncio.Semaphore(_ASKED_AT_ONCE)

    async def ask(self, address: Address) -> StatusReply:
        """Ask one controller; raise ``UserError``."""
        return await ask_controller(
            address, self._keys, StatusRequest(), StatusReply, self._timeout
        )

    async def collect(self, address: Address, everyone: bool) -> Overview:
        """Build the overview."""
        reply = await self.ask(address)
        members = [
            member
            for member in make_directory(reply).members
            if member.state is not MemberState.DEAD
        ]
        if len(members) > _ASKED_BY_DEFAULT and not everyone:
            members = [member for member in members if member.controller == address]
        return make_overview(reply, await self._ask_members(members))

    async def _ask_members(self, members: Sequence[MemberRecord]) -> dict[HostId, Revision]:
        answers = await asyncio.gather(*(self._ask_member(member) for member in members))
        hosts = [member.host for member in members]
        return {
            host: revision
            for host, revision in zip(hosts, answers, strict=True)
            if revision is not None
        }

    async def _ask_member(self, member: MemberRecord) -> Revision | None:
        async with self._slots:
            try:
                reply = await self.ask(member.controller)
            except UserError:
                return None
        return reply.revision_in_force
