"""Set the options that all TCP sockets of the program share."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

from hickorywind.ids import Address

# A silent peer is given up after the idle time and the unanswered probes: 2.5 s.
KEEPALIVE_IDLE = timedelta(seconds=1)
KEEPALIVE_INTERVAL = timedelta(seconds=1)
KEEPALIVE_PROBES = 2
CONNECT_PROBE_TIMEOUT = timedelta(milliseconds=300)  # several round trips between regions
USER_TIMEOUT = timedelta(milliseconds=2500)  # unacknowledged data gives a connection up


def enable_keepalive(sock: socket.socket) -> None:
    """Make a TCP socket notice a silent peer within seconds and send without delay."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE.seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL.seconds)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    timeout_ms = USER_TIMEOUT // timedelta(milliseconds=1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


async def refuses_connections(address: Address, timeout: timedelta) -> bool:
    """Tell whether a host that is up refuses connections: its process has ended."""
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
    """Tell whether something accepts TCP connections at an address."""
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.transport.abort()
    return True
