"""Command ``drain``: take a host out of service gracefully."""

from __future__ import annotations

import argparse
import asyncio
from datetime import timedelta

import msgspec

from hickorywind.ids import Address, HostId
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.protocol.messages import DrainReply, DrainRequest, StatusReply, StatusRequest
from hickorywind.results import ResultCode, UserError
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
from hickorywind.ui.overview import make_directory


class DrainOutput(msgspec.Struct, frozen=True):
    """JSON output of ``drain``."""

    host: HostId
    draining: bool


def add_drain(commands: argparse._SubParsersAction) -> None:
    """Add ``drain``."""
    parser = add_command(
        commands,
        "drain",
        "take a host out of service gracefully",
        "drain adum-1 --controller 10.0.0.7:7000",
        run_drain,
    )
    parser.add_argument("host", metavar="HOST")
    add_controller_options(parser)


def run_drain(arguments: argparse.Namespace, console: Console) -> int:
    """Request the drain of a host from the controller on that host."""
    host = HostId(arguments.host)
    address = require_controller(arguments)
    asyncio.run(drain_host(host, address, keys_of(arguments), timeout_of(arguments)))
    console.show(f"{host} is draining, see status", DrainOutput(host, True))
    return ExitCode.OK


async def drain_host(
    host: HostId, controller: Address, keys: ChannelKeys | None, timeout: timedelta
) -> None:
    """Look up the controller of ``host`` at another controller and request the drain there.

    Raise ``UserError`` if the host is unknown, or its controller is unreachable or refuses.
    """
    status = await send_request(controller, keys, StatusRequest(), StatusReply, timeout)
    member = make_directory(status).member(host)
    if member is None:
        raise UserError(ResultCode.SETTINGS_INVALID, f"host {host} is not known, see status")
    reply = await send_request(member.controller, keys, DrainRequest(host), DrainReply, timeout)
    if not reply.result.is_ok:
        raise UserError(reply.result.code, f"{host}: {reply.result.reason}")
