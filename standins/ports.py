"""Hand out loopback ports that no other process of ours uses."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator

from hickorywind.ids import Address

LOOPBACK = "127.0.0.1"


class NoPortsError(Exception):
    """Report that every block of ports is in use."""


def is_free(port: int) -> bool:
    """Tell whether a loopback TCP port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class PortBlock:
    """Claim a block of ports until it is released or the process ends.

    A range of ports is cut into blocks in the same way by every process. Whoever has bound the
    last port of a block owns the others, so that two sites never share ports, also while neither
    of them has started.
    """

    def __init__(self, guard: socket.socket, ports: range) -> None:
        self.ports = ports
        self._guard = guard

    @classmethod
    def claim(cls, rng: random.Random, ports: range, size: int) -> PortBlock:
        """Claim ``size`` free ports in a row out of ``ports``; raise ``NoPortsError``."""
        firsts = list(range(ports.start, ports.stop - size, size + 1))
        rng.shuffle(firsts)
        for first in firsts:
            guard = _bind(first + size)
            if guard is None:
                continue
            block = range(first, first + size)
            if all(is_free(port) for port in block):
                return cls(guard, block)
            guard.close()
        raise NoPortsError(f"all blocks of {size} ports are in use")

    def release(self) -> None:
        """Let other processes use the block."""
        self._guard.close()


def _bind(port: int) -> socket.socket | None:
    guard = socket.socket()
    try:
        guard.bind((LOOPBACK, port))
    except OSError:
        guard.close()
        return None
    return guard


class PortSource:
    """Hand out the addresses of a block, each once."""

    def __init__(self, block: PortBlock) -> None:
        self._block = block
        self._ports: Iterator[int] = iter(block.ports)

    def reserve(self, count: int) -> int:
        """Return the first of ``count`` ports in a row, none of them handed out otherwise."""
        return [next(self._ports) for _ in range(count)][0]

    def next_address(self) -> Address:
        """Return an address not handed out before."""
        return Address(LOOPBACK, next(self._ports))

    def release(self) -> None:
        """Let other processes use the ports."""
        self._block.release()
