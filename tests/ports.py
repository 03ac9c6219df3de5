"""Allocation of ports for test servers.

The ports are below the operating system's range of ephemeral ports and outside those of
``standins.cluster``. No two processes use one at a time. A process uses a port again only after all
others of its ``_BLOCK_LIMIT`` blocks, so that the processes of a run don't take all blocks.
"""

import asyncio
import random

from hickorywind.ids import Address
from standins.ports import LOOPBACK, PortBlock, is_free

_PORTS = range(10_000, 19_000)
_BLOCK_SIZE = 800
_BLOCK_LIMIT = 2
_blocks = []
_unused_ports = []
_RELEASE_TIMEOUT_SECONDS = 10


def free_port() -> int:
    """Return a loopback TCP port that was free when checked."""
    while True:
        if not _unused_ports:
            _claim_block()
        port = _unused_ports.pop()
        if is_free(port):
            return port


def _claim_block() -> None:
    if len(_blocks) < _BLOCK_LIMIT:
        block = PortBlock.claim(random.Random(), _PORTS, _BLOCK_SIZE)
    else:
        block = _blocks.pop(0)
    _blocks.append(block)
    _unused_ports.extend(random.sample(block.ports, _BLOCK_SIZE))


def free_address() -> Address:
    """Return a loopback address whose port was free when checked."""
    return Address(LOOPBACK, free_port())


async def wait_until_free(address: Address) -> None:
    """Wait until an address can be bound again; ZeroMQ closes its sockets in the background."""
    async with asyncio.timeout(_RELEASE_TIMEOUT_SECONDS):
        while not is_free(address.port):
            await asyncio.sleep(0.001)
