"""Set the options that all TCP sockets of the program share."""

from __future__ import annotations

import socket
from datetime import timedelta

# A silent peer is given up after the idle time and the unanswered probes: 2.5 s.
KEEPALIVE_IDLE = timedelta(seconds=1)
KEEPALIVE_INTERVAL = timedelta(seconds=1)
KEEPALIVE_PROBES = 2
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
