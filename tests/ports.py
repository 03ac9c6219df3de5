"""Pick ports for test servers.

They lie below the range from which the system takes ports for outgoing connections, and apart from
those of ``standins.cluster``; none is handed out twice by one process.
"""

import asyncio
import random

from hickorywind.ids import Address
from standins.cluster import LOOPBACK, is_free

_PORTS = range(10_000, 19_000)
_handed_out = set()
_RELEASE_LIMIT_SECONDS = 10


def free_port() -> int:
    """Return a loopback TCP port that was free a moment ago."""
    while True:
        port = random.choice(_PORTS)
        if port not in _handed_out and is_free(port):
            _handed_out.add(port)
            return port


def free_address() -> Address:
    """Return a loopback address whose port was free a moment ago."""
    return Address(LOOPBACK, free_port())


async def wait_until_free(address: Address) -> None:
    """Wait until an address can be bound again; ZeroMQ closes its sockets in the background."""
    async with asyncio.timeout(_RELEASE_LIMIT_SECONDS):
        while not is_free(address.port):
            await asyncio.sleep(0.001)
