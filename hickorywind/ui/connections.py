"""Connections from commands to the store, controllers and hosts."""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import TypeVar

from hickorywind.ids import Address
from hickorywind.protocol.channel import ChannelKeys, Link
from hickorywind.protocol.messages import Message, Refused
from hickorywind.results import HickorywindError, ResultCode, UserError
from hickorywind.store.interface import Store
from hickorywind.ui.options import require_store, timeout_of

_CONNECT_POLL_SECONDS = 0.02

Reply = TypeVar("Reply")


@asynccontextmanager
async def open_store(arguments: argparse.Namespace) -> AsyncIterator[Store]:
    """Connect to the store given by the options; close the connection on exit."""
    # Imported here because grpc loads slowly and most commands don't use it.
    from hickorywind.store.etcd import EtcdStore

    store = EtcdStore.from_address(require_store(arguments), timeout_of(arguments))
    try:
        yield store
    finally:
        await store.close()


async def send_request(
    address: Address,
    keys: ChannelKeys | None,
    request: Message,
    reply_type: type[Reply],
    timeout: timedelta,
    role: str = "controller",
) -> Reply:
    """Send one request to a controller or host and return its reply.

    ``role`` names the receiver in errors. Raise ``UserError`` with ``CONTROLLER_UNREACHABLE`` if no
    reply arrives within ``timeout``, and with the code of the refusal if the request is refused.
    """
    link = Link(address, keys)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            await _send(link, request)
            return await _receive(link, reply_type)
    except TimeoutError:
        raise _unreachable(role, address, timeout) from None
    except HickorywindError as error:
        raise UserError(error.result.code, error.result.reason) from None
    finally:
        link.close()


async def _send(link: Link, request: Message) -> None:
    while not await link.send(request):
        await asyncio.sleep(_CONNECT_POLL_SECONDS)


async def _receive(link: Link, reply_type: type[Reply]) -> Reply:
    while True:
        match await link.receive():
            case Refused(result):
                raise HickorywindError(result)
            case reply if isinstance(reply, reply_type):
                return reply


def _unreachable(role: str, address: Address, timeout: timedelta) -> UserError:
    waited_ms = timeout // timedelta(milliseconds=1)
    return UserError(
        ResultCode.CONTROLLER_UNREACHABLE,
        f"{role} {address} did not answer within {waited_ms} ms (check address and keys)",
    )
