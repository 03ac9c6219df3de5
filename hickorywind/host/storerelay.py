"""Make store calls through another host where the store does not answer this one."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

from hickorywind.host.peers import Peers
from hickorywind.ids import Revision
from hickorywind.ports.coordination import (
    Committed,
    Condition,
    Conflict,
    Coordinator,
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.protocol.messages import (
    CopiedItem,
    LeaseEnd,
    LeaseEnded,
    Message,
    StoreItems,
    StoreRead,
    StoreWrite,
    StoreWritten,
)
from hickorywind.store.interface import StoredValue, StoreUnavailableError

logger = logging.getLogger(__name__)

PEERS_ASKED = 3  # hosts asked, one after the other
PEER_TIMEOUT = timedelta(milliseconds=1300)  # one call to the store, and the way to the host

Reply = TypeVar("Reply")


class StoreRelay:
    """Call the store itself, else through a host that reaches it, and serve other hosts."""

    def __init__(self, coordinator: Coordinator, peers: Peers) -> None:
        self._coordinator = coordinator
        self._peers = peers

    async def read_range(self, prefix: str) -> Snapshot:
        """Read all items under a prefix; raise ``StoreUnavailableError``."""
        try:
            return await self._coordinator.read_range(prefix)
        except StoreUnavailableError as error:
            reply = await self._ask(lambda call: StoreRead(call, prefix), StoreItems)
            if reply is None:
                raise error
            items = tuple(StoredValue(each.key, each.value, each.revision) for each in reply.items)
            return Snapshot(items, reply.as_of)

    async def write(self, key: str, after: Revision, value: bytes) -> Committed | Conflict:
        """Write an item that last changed at a revision; raise ``StoreUnavailableError``.

        A conflict may be with an earlier try of the same write whose answer was lost.
        """
        try:
            return await self._coordinator.transact([Condition(key, after)], [Put(key, value)])
        except StoreUnavailableError as error:
            reply = await self._ask(lambda call: StoreWrite(call, key, after, value), StoreWritten)
            if reply is None:
                raise error
            return Conflict() if reply.revision is None else Committed(reply.revision)

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease; raise ``StoreUnavailableError``."""
        try:
            await self._coordinator.end_lease(lease)
        except StoreUnavailableError as error:
            if await self._ask(lambda call: LeaseEnd(call, lease), LeaseEnded) is None:
                raise error

    async def _ask(self, make: Callable[[int], Message], expected: type[Reply]) -> Reply | None:
        for host in self._peers.staying()[:PEERS_ASKED]:
            reply = await self._peers.call(host, make, PEER_TIMEOUT)
            if isinstance(reply, expected):
                logger.info("store_call_through_peer", extra={"peer": host})
                return reply
        return None

    async def serve(self, message: StoreRead | StoreWrite | LeaseEnd) -> Message | None:
        """Make a call for another host; None where the store does not answer this one either."""
        try:
            return await self._carry_out(message)
        except StoreUnavailableError as error:
            logger.info("store_call_for_peer_failed", extra={"reason": str(error)})
            return None

    def _carry_out(self, message: StoreRead | StoreWrite | LeaseEnd) -> Awaitable[Message]:
        match message:
            case StoreRead():
                return self._read_for(message)
            case StoreWrite():
                return self._write_for(message)
            case LeaseEnd():
                return self._end_for(message)

    async def _read_for(self, message: StoreRead) -> Message:
        snapshot = await self._coordinator.read_range(message.prefix)
        items = tuple(CopiedItem(item.key, item.value, item.revision) for item in snapshot.items)
        return StoreItems(message.call, snapshot.as_of, items)

    async def _write_for(self, message: StoreWrite) -> Message:
        result = await self._coordinator.transact(
            [Condition(message.key, message.after)], [Put(message.key, message.value)]
        )
        revision = result.revision if isinstance(result, Committed) else None
        return StoreWritten(message.call, revision)

    async def _end_for(self, message: LeaseEnd) -> Message:
        await self._coordinator.end_lease(LeaseId(message.lease))
        return LeaseEnded(message.call)
