"""Listening TCP sockets that are opened before the event loop starts."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from hickorywind.ids import Address

BACKLOG = 1_024  # allows for many callers reconnecting at once after a host failure


def open_listener(address: Address) -> socket.socket:
    """Return a listening socket bound to an address; raise ``OSError`` where it is in use."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((address.host, address.port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


async def accept_waiting(
    listener: socket.socket, make_protocol: Callable[[], asyncio.Protocol]
) -> None:
    """Accept the connections in the listen queue of a server that is about to be closed.

    Closing the listening socket would reset them.
    """
    loop = asyncio.get_running_loop()
    loop.remove_reader(listener.fileno())
    while True:
        try:
            connection, _ = listener.accept()
        except BlockingIOError:
            return
        connection.setblocking(False)
        await loop.connect_accepted_socket(make_protocol, connection)
