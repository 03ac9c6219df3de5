"""Allocation of loopback ports that no other cluster or test process uses."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator

from hickorywind.ids import Address

LOOPBACK = "127.0.0.1"


class NoPortsError(Exception):
    """Error raised when every block of ports is in use."""


def is_free(port: int) -> bool:
    """Return whether a loopback TCP port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class PortBlock:
    """Block of ports reserved until it is released or the process ends.

    Every process divides a range of ports into blocks in the same way. The process that has bound
    the last port of a block owns the others, so that two clusters never share ports, even before
    they have started.
    """

    def __init__(self, guard: socket.socket, ports: range) -> None:
        self.ports = ports
        self._guard = guard

    @classmethod
    def claim(cls, rng: random.Random, ports: range, size: int) -> PortBlock:
        """Reserve ``size`` consecutive free ports out of ``ports``; raise ``NoPortsError``."""
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
        """Release the block for other processes."""
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
    """Allocator of the addresses of a block, each of which is returned once."""

    def __init__(self, block: PortBlock) -> None:
        self._block = block
        self._ports: Iterator[int] = iter(block.ports)

    def reserve(self, count: int) -> int:
        """Allocate ``count`` consecutive ports and return the first."""
        return [next(self._ports) for _ in range(count)][0]

    def next_address(self) -> Address:
        """Allocate one port and return its loopback address."""
        return Address(LOOPBACK, next(self._ports))

    def release(self) -> None:
        """Release the ports for other processes."""
        self._block.release()
