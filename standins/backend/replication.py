"""Replication between the instances of a group over TCP, one request at a time per peer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import struct

import msgspec

from hickorywind.ids import InstanceRole
from standins.backend.member import Append, AppendAnswer, Member, RefusedError
from standins.backend.settings import Peer

logger = logging.getLogger(__name__)

_LENGTH = struct.Struct("!I")
_ANSWER_TIMEOUT_S = 1.0


class ChangeSignal:
    """Signal that wakes all tasks waiting for the next change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def current(self) -> asyncio.Event:
        """Return the event that the next ``notify`` sets."""
        return self._event

    def notify(self) -> None:
        """Set the current event and replace it with a new one."""
        self._event.set()
        self._event = asyncio.Event()


async def wait_with_timeout(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for an event, at most for a timeout in seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()


async def _read_message(reader: asyncio.StreamReader, kind: type) -> msgspec.Struct:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    return msgspec.msgpack.decode(await reader.readexactly(length), type=kind)


async def _write_message(writer: asyncio.StreamWriter, message: msgspec.Struct) -> None:
    data = msgspec.msgpack.encode(message)
    writer.write(_LENGTH.pack(len(data)) + data)
    await writer.drain()


async def serve_appends(
    member: Member, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer the append requests of one connection until it ends."""
    try:
        while True:
            message = await _read_message(reader, Append)
            await _write_message(writer, member.receive_append(message))
    except (OSError, asyncio.IncompleteReadError, msgspec.DecodeError, RefusedError) as error:
        logger.debug("replication_connection_ended", extra={"reason": repr(error)})
    finally:
        writer.close()


class PeerReplicator:
    """Sender of a primary's log to one peer; idle while the instance is a replica."""

    def __init__(
        self, member: Member, peer: Peer, change_signal: ChangeSignal, heartbeat_ms: float
    ) -> None:
        self._member = member
        self._peer = peer
        self._change_signal = change_signal
        self._heartbeat_s = heartbeat_ms / 1000
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Send append requests and heartbeats until cancelled."""
        while True:
            change_event = self._change_signal.current()
            if self._member.role is InstanceRole.REPLICA:
                await change_event.wait()
                continue
            reached = await self._try_exchange()
            if reached and self._member.has_entries_for(self._peer.backend):
                continue
            wake = change_event if reached else asyncio.Event()
            await wait_with_timeout(wake, self._heartbeat_s)

    async def _try_exchange(self) -> bool:
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                await self._exchange()
            return True
        except (OSError, TimeoutError, asyncio.IncompleteReadError, msgspec.DecodeError):
            self._disconnect()
            return False

    async def _exchange(self) -> None:
        if self._writer is None:
            endpoint = self._peer.endpoint
            self._reader, self._writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        message = self._member.build_append(self._peer.backend)
        if self._member.role is InstanceRole.REPLICA:
            return
        await _write_message(self._writer, message)
        answer = await _read_message(self._reader, AppendAnswer)
        self._member.receive_answer(self._peer.backend, message.term, answer)

    def _disconnect(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None
