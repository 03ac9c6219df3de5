"""Stand-in for a pool that answers heartbeats of entries: ``python -m ...responder PORT``."""

from __future__ import annotations

import asyncio
import sys

from hickorywind.ids import Address, HostId, Incarnation
from hickorywind.protocol.channel import Listener
from hickorywind.protocol.messages import EntryHeartbeat, PoolHeartbeat

_ANSWER = PoolHeartbeat(HostId("host-000"), Incarnation(1), False)


async def answer_heartbeats(address: Address) -> None:
    """Answer heartbeats on ``address`` until cancelled."""
    listener = Listener(address)
    while True:
        received = await listener.receive()
        if isinstance(received.message, EntryHeartbeat):
            await listener.send(received.peer, _ANSWER)


if __name__ == "__main__":
    asyncio.run(answer_heartbeats(Address("127.0.0.1", int(sys.argv[1]))))
