"""Common options of TCP sockets, and probes of TCP addresses."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from datetime import timedelta

from hickorywind.ids import Address

# A connection to a silent peer is closed at the first keepalive timer after USER_TIMEOUT (2.5 s):
# 3 s after the last data received. Linux ignores KEEPALIVE_PROBES while a user timeout is set.
KEEPALIVE_IDLE = timedelta(seconds=1)
KEEPALIVE_INTERVAL = timedelta(seconds=1)
KEEPALIVE_PROBES = 2
CONNECT_PROBE_TIMEOUT = timedelta(milliseconds=300)  # several round trips between regions
USER_TIMEOUT = timedelta(
    milliseconds=2500
)  # for unacknowledged data, then the connection is closed


def enable_keepalive(sock: socket.socket) -> None:
    """Enable TCP keepalive, to detect a silent peer within seconds, and TCP_NODELAY."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE.seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL.seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    timeout_ms = USER_TIMEOUT // timedelta(milliseconds=1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(sock: socket.socket) -> None:
    """Let the close of a socket reset its connection and drop what was not sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


async def refuses_connections(address: Address, timeout: timedelta) -> bool:
    """Return whether connections are refused: by an ended process, a cut or a firewall."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


async def accepts_connections(address: Address, timeout: timedelta) -> bool:
    """Return whether a process accepts TCP connections at an address."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether received bytes, or the end of the stream, wait in a socket's buffer."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


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
        except ConnectionAbortedError:
            continue
        except OSError:
            return  # the queue is empty, or the process has no descriptor left
        connection.setblocking(False)
        await loop.connect_accepted_socket(make_protocol, connection)
