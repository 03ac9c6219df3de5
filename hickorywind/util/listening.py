"""Listen for TCP connections before an event loop runs."""

from __future__ import annotations

import socket

from hickorywind.ids import Address

BACKLOG = 1_024  # callers that reconnect at once after a host was lost


def open_listener(address: Address) -> socket.socket:
    """Bind an address and let connections queue there; raise ``OSError`` where it is taken."""
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
