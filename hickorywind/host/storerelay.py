"""Make store calls through another host where the store does not answer this one."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any, TypeVar

from hickorywind.host.peers import Peers
from hickorywind.ids import HostId, Revision
from hickorywind.ports.coordination import (
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
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
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.tasks import BackgroundTasks, hedge

logger = logging.getLogger(__name__)

PEERS_ASKED = 3  # hosts asked at once; of a few, one mostly reaches a store that is up
PEER_TIMEOUT = timedelta(milliseconds=1300)  # one call to the store, and the way to the host
HEDGE_AFTER = timedelta(milliseconds=300)  # two round trips between regions

StoreAnswer = Snapshot | Committed | Conflict | LeaseId
Answer = TypeVar("Answer")


class StoreRelay:
    """Call the store itself and, where it is slow, through other hosts; serve other hosts.

    Calls may reach the store more than once: reads and lease ends bear that, and a write follows
    the revision that it names, so that a second try ends in a conflict.
    """

    def __init__(self, coordinator: CoordinationStore, peers: Peers) -> None:
        self._coordinator = coordinator
        self._peers = peers
        self._turn = 0
        self._background = BackgroundTasks()

    async def read_range(self, prefix: str) -> Snapshot:
        """Read all items under a prefix; raise ``StoreUnavailableError``."""
        return await self._call(
            self._coordinator.read_range(prefix), lambda call: StoreRead(call, prefix)
        )

    async def write(self, key: str, after: Revision, value: bytes) -> Committed | Conflict:
        """Write an item that last changed at a revision; raise ``StoreUnavailableError``.

        A conflict may be with an earlier try of the same write whose answer was lost.
        """
        return await self._call(
            self._coordinator.transact([Condition(key, after)], [Put(key, value)]),
            lambda call: StoreWrite(call, key, after, value),
        )

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease; raise ``StoreUnavailableError``."""
        await self._call(self._end(lease), lambda call: LeaseEnd(call, lease))

    async def _end(self, lease: LeaseId) -> LeaseId:
        await self._coordinator.end_lease(lease)
        return lease

    async def _call(
        self, own: Coroutine[Any, Any, Answer], make: Callable[[int], Message]
    ) -> Answer:
        errors: list[StoreUnavailableError] = []

        async def ask_store() -> Answer | None:
            try:
                return await own
            except StoreUnavailableError as error:
                errors.append(error)
                return None

        def ask_peers() -> list[asyncio.Task[Answer | None]]:
            return [self._background.start(self._ask(host, make)) for host in self._next_peers()]

        answer = await hedge(self._background.start(ask_store()), HEDGE_AFTER, ask_peers)
        if answer is None:
            raise errors[0]
        return answer

    def _next_peers(self) -> list[HostId]:
        """Return a few hosts, others each time."""
        hosts = self._peers.staying()
        count = min(PEERS_ASKED, len(hosts))
        self._turn += count
        return [hosts[(self._turn + offset) % len(hosts)] for offset in range(count)]

    async def _ask(self, host: HostId, make: Callable[[int], Message]) -> StoreAnswer | None:
        reply = await self._peers.call(host, make, PEER_TIMEOUT)
        answer = _read_reply(reply)
        if answer is not None:
            logger.info("store_call_through_peer", extra={"peer": host})
        return answer

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
        items = tuple(CopiedItem.from_stored(item) for item in snapshot.items)
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


def _read_reply(reply: Message | None) -> StoreAnswer | None:
    """Translate a host's reply into what the store itself would have answered."""
    match reply:
        case StoreItems(_, as_of, copied):
            return Snapshot(tuple(item.to_stored() for item in copied), as_of)
        case StoreWritten(_, None):
            return Conflict()
        case StoreWritten(_, revision):
            return Committed(revision)
        case LeaseEnded():
            return LeaseId(0)
    return None
