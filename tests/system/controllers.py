"""Ask running controllers what they know."""

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
    """Return a controller's reply, or None where it does not answer in time."""
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
    """Return a controller's directory, an empty one where it does not answer."""
    reply = await ask_status(controller)
    directory = Directory()
    directory.merge(reply.records if reply is not None else ())
    return directory


async def wait_for_directory(
    controller: Address, condition: Callable[[Directory], bool], limit: timedelta
) -> None:
    """Return once a controller's directory meets a condition; raise TimeoutError."""
    async with asyncio.timeout(limit.total_seconds()):
        while not condition(await read_directory(controller)):
            await asyncio.sleep(_POLL_SECONDS)
