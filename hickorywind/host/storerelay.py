"""Store calls through other hosts, for a host whose own calls to the store are slow or fail."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, TypeVar

from hickorywind.host.peers import Peers
from hickorywind.ids import HostId, Revision
from hickorywind.ports.coordination import (
    Change,
    ChangeBatch,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    ItemDeleted,
    ItemWritten,
    Lease,
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.protocol.messages import (
    CopiedItem,
    EndLease,
    EndLeaseReply,
    Message,
    StoreReadReply,
    StoreReadRequest,
    StoreWriteReply,
    StoreWriteRequest,
)
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.tasks import BackgroundTasks, hedge

logger = logging.getLogger(__name__)

RELAY_PEER_COUNT = 3  # asked at once, so that one mostly reaches a store that is up
RELAY_TIMEOUT = timedelta(milliseconds=1300)  # one store call and the round trip to the peer
HEDGE_DELAY = timedelta(milliseconds=300)  # two round trips between regions


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """Answer of the store: a lease has ended."""


StoreAnswer = Snapshot | ChangeBatch | Committed | Conflict | LeaseEnded
Answer = TypeVar("Answer")


class StoreRelay:
    """Store client that hedges each call through other hosts, and executes calls for them.

    A call may reach the store more than once. Reads and lease ends are idempotent, and a write is
    conditional on the item's revision, so that its second execution ends in a conflict.
    """

    def __init__(self, coordination_store: CoordinationStore, peers: Peers) -> None:
        self._coordination_store = coordination_store
        self._peers = peers
        self._next_offset = 0
        self._background = BackgroundTasks()

    async def read_range(self, prefix: str) -> Snapshot:
        """Read all items under a prefix; raise ``StoreUnavailableError``."""
        return await self._call(
            self._coordination_store.read_range(prefix), lambda call: StoreReadRequest(call, prefix)
        )

    async def read_changes(self, prefix: str, after: Revision) -> Snapshot | ChangeBatch:
        """Read what changed under a prefix after a revision, or all if that is not known.

        Raise ``StoreUnavailableError``.
        """
        return await self._call(
            self._read_changes(prefix, after), lambda call: StoreReadRequest(call, prefix, after)
        )

    async def _read_changes(self, prefix: str, after: Revision) -> Snapshot | ChangeBatch:
        if after:
            result = await self._coordination_store.read_changes(prefix, after)
            if isinstance(result, ChangeBatch):
                return result
        return await self._coordination_store.read_range(prefix)

    async def write(
        self, key: str, expected_revision: Revision, value: bytes
    ) -> Committed | Conflict:
        """Write an item that last changed at ``expected_revision``.

        A conflict may be with an earlier attempt of the same write whose answer was lost. Raise
        ``StoreUnavailableError``.
        """
        return await self._call(
            self._coordination_store.transact(
                [Condition(key, expected_revision)], [Put(key, value)]
            ),
            lambda call: StoreWriteRequest(call, key, expected_revision, value),
        )

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; raise ``StoreUnavailableError``."""
        await self._call(
            self._end_lease_at_store(lease), lambda call: EndLease(call, lease.id, lease.era)
        )

    async def _end_lease_at_store(self, lease: Lease) -> LeaseEnded:
        await self._coordination_store.end_lease(lease)
        return LeaseEnded()

    async def _call(
        self, store_call: Coroutine[Any, Any, Answer], make_message: Callable[[int], Message]
    ) -> Answer:
        errors: list[StoreUnavailableError] = []

        async def ask_store() -> Answer | None:
            try:
                return await store_call
            except StoreUnavailableError as error:
                errors.append(error)
                return None

        def ask_peers() -> list[asyncio.Task[Answer | None]]:
            return [
                self._background.start(self._call_through_peer(host, make_message))
                for host in self._next_peers()
            ]

        answer = await hedge(self._background.start(ask_store()), HEDGE_DELAY, ask_peers)
        if answer is None:
            raise errors[0]
        return answer

    def _next_peers(self) -> list[HostId]:
        """Return the next ``RELAY_PEER_COUNT`` hosts in round-robin order."""
        hosts = self._peers.table.active()
        count = min(RELAY_PEER_COUNT, len(hosts))
        self._next_offset += count
        return [hosts[(self._next_offset + offset) % len(hosts)] for offset in range(count)]

    async def _call_through_peer(
        self, host: HostId, make_message: Callable[[int], Message]
    ) -> StoreAnswer | None:
        reply = await self._peers.call(host, make_message, RELAY_TIMEOUT)
        answer = _decode_reply(reply)
        if answer is not None:
            logger.info("store_call_through_peer", extra={"peer": host})
        return answer

    async def serve(
        self, message: StoreReadRequest | StoreWriteRequest | EndLease
    ) -> Message | None:
        """Execute a store call for another host; return None if the store does not answer."""
        try:
            return await self._execute(message)
        except StoreUnavailableError as error:
            logger.info("store_call_for_peer_failed", extra={"reason": str(error)})
            return None

    def _execute(
        self, message: StoreReadRequest | StoreWriteRequest | EndLease
    ) -> Awaitable[Message]:
        match message:
            case StoreReadRequest():
                return self._read_for_peer(message)
            case StoreWriteRequest():
                return self._write_for_peer(message)
            case EndLease():
                return self._end_lease_for_peer(message)

    async def _read_for_peer(self, message: StoreReadRequest) -> Message:
        result = await self._read_changes(message.prefix, message.after)
        if isinstance(result, Snapshot):
            items = tuple(CopiedItem.from_stored(item) for item in result.items)
            return StoreReadReply(message.call, result.as_of, items)
        newest = {_key_of(change): change for change in result.changes}.values()
        return StoreReadReply(
            message.call,
            result.as_of,
            tuple(CopiedItem.from_stored(each.item) for each in newest if _is_write(each)),
            message.after,
            {each.key: each.revision for each in newest if not _is_write(each)},
        )

    async def _write_for_peer(self, message: StoreWriteRequest) -> Message:
        result = await self._coordination_store.transact(
            [Condition(message.key, message.after)], [Put(message.key, message.value)]
        )
        revision = result.revision if isinstance(result, Committed) else None
        return StoreWriteReply(message.call, revision)

    async def _end_lease_for_peer(self, message: EndLease) -> Message:
        await self._coordination_store.end_lease(Lease(LeaseId(message.lease), message.era))
        return EndLeaseReply(message.call)


def _is_write(change: Change) -> bool:
    return isinstance(change, ItemWritten)


def _key_of(change: Change) -> str:
    return change.item.key if isinstance(change, ItemWritten) else change.key


def _decode_reply(reply: Message | None) -> StoreAnswer | None:
    """Return the store answer that the reply of a peer contains, or None."""
    match reply:
        case StoreReadReply(_, as_of, copied, 0):
            return Snapshot(tuple(item.to_stored() for item in copied), as_of)
        case StoreReadReply(_, as_of, copied, _, deleted):
            written = tuple(ItemWritten(item.to_stored()) for item in copied)
            gone = tuple(ItemDeleted(key, revision) for key, revision in deleted.items())
            return ChangeBatch(written + gone, as_of)
        case StoreWriteReply(_, None):
            return Conflict()
        case StoreWriteReply(_, revision):
            return Committed(revision)
        case EndLeaseReply():
            return LeaseEnded()
    return None
