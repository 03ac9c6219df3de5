"""Status requests to running controllers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

from hickorywind.ids import Address
from hickorywind.membership.directory import Directory
from hickorywind.protocol.channel import Link
from hickorywind.protocol.messages import StatusReply, StatusRequest

_ANSWER_SECONDS = 1.0
_POLL_SECONDS = 0.05


async def ask_status(controller: Address) -> StatusReply | None:
    """Return a controller's status reply, or None if it does not reply within 1 s."""
    link = Link(controller)
    try:
        async with asyncio.timeout(_ANSWER_SECONDS):
            while not await link.send(StatusRequest()):
                await asyncio.sleep(_POLL_SECONDS)
            message = await link.receive()
    except TimeoutError:
        return None
    finally:
        link.close()
    return message if isinstance(message, StatusReply) else None


async def read_directory(controller: Address) -> Directory:
    """Return a controller's directory, or an empty one if it does not reply in time."""
    reply = await ask_status(controller)
    directory = Directory()
    directory.merge(reply.records if reply is not None else ())
    return directory


async def wait_for_directory(
    controller: Address, condition: Callable[[Directory], bool], limit: timedelta
) -> None:
    """Wait until a controller's directory meets a condition; raise ``TimeoutError``."""
    async with asyncio.timeout(limit.total_seconds()):
        while not condition(await read_directory(controller)):
            await asyncio.sleep(_POLL_SECONDS)
