"""Listening TCP sockets that are opened before the event loop starts."""

from __future__ import annotations

import socket

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
