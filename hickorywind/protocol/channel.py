"""ZeroMQ sockets that carry messages between hickorywind processes.

``Listener`` owns a ROUTER socket and replies to any peer that connects. ``Link`` owns a DEALER
socket to one peer. Neither queues messages for a peer that is not connected: a message queued for
a dead process must never reach its successor.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

import zmq
import zmq.asyncio

from hickorywind.ids import Address
from hickorywind.protocol.codec import decode, encode
from hickorywind.protocol.messages import Message, Refused
from hickorywind.protocol.peerauth import start_peer_authentication
from hickorywind.results import HickorywindError

PeerId = NewType("PeerId", bytes)

_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000
_HEARTBEAT_INTERVAL_MS = 500
_HEARTBEAT_TIMEOUT_MS = 2000
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True)
class ChannelKeys:
    """CURVE key pair (Z85 text) shared by the processes of one installation."""

    public: bytes
    secret: bytes


@dataclass(frozen=True)
class ReceivedMessage:
    """Message and the peer that sent it."""

    peer: PeerId
    message: Message


def _set_common_options(socket: zmq.asyncio.Socket, with_heartbeats: bool) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, 0)
    socket.setsockopt(zmq.RCVHWM, 0)
    socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
    if with_heartbeats:
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS)


class Listener:
    """ROUTER socket that receives messages from many peers and replies to each of them."""

    def __init__(
        self, address: Address, keys: ChannelKeys | None = None, with_heartbeats: bool = True
    ) -> None:
        """Bind ``address``; raise ``zmq.ZMQError`` if it is in use.

        With ``keys``, only peers that hold the same keys are accepted.
        """
        # A ZAP handler covers a whole ZeroMQ context, so a listener with keys has its own context.
        self._context = zmq.asyncio.Context() if keys else zmq.asyncio.Context.instance()
        self._authenticator = None
        if keys is not None:
            self._authenticator = start_peer_authentication(self._context, keys.public)
        self._socket = self._context.socket(zmq.ROUTER)
        _set_common_options(self._socket, with_heartbeats)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if keys is not None:
            self._socket.setsockopt(zmq.CURVE_SERVER, 1)
            self._socket.setsockopt(zmq.CURVE_PUBLICKEY, keys.public)
            self._socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secret)
        self._socket.bind(f"tcp://{address}")

    async def receive(self) -> ReceivedMessage:
        """Wait for the next message that can be decoded; refuse others with their result code."""
        while True:
            peer, data = await self._receive_frames()
            try:
                return ReceivedMessage(peer, decode(data))
            except HickorywindError as error:
                await self.send(peer, Refused(error.result))

    async def _receive_frames(self) -> tuple[PeerId, bytes]:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) == 2:
                return PeerId(frames[0]), frames[1]

    async def send(self, peer: PeerId, message: Message) -> bool:
        """Send a message to a peer; return False if the peer is no longer connected."""
        try:
            await self._socket.send_multipart((peer, encode(message)))
        except zmq.ZMQError:
            return False
        return True

    def close(self) -> None:
        """Close the socket and drop unsent messages."""
        self._socket.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
            self._context.term()


class Link:
    """DEALER socket that exchanges messages with the peer at one address.

    ``on_transfer`` is called with each message that was sent or received and its size in bytes.
    """

    on_transfer: Callable[[Message, int], None] = staticmethod(lambda message, size_bytes: None)

    def __init__(
        self, address: Address, keys: ChannelKeys | None = None, with_heartbeats: bool = True
    ) -> None:
        """Start connecting in the background.

        Heartbeats are not needed if the messages themselves show whether the peer is alive.
        """
        self._socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        _set_common_options(self._socket, with_heartbeats)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MIN_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS)
        if keys is not None:
            self._socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public)
            self._socket.setsockopt(zmq.CURVE_PUBLICKEY, keys.public)
            self._socket.setsockopt(zmq.CURVE_SECRETKEY, keys.secret)
        self._socket.connect(f"tcp://{address}")

    async def send(self, message: Message) -> bool:
        """Send a message without waiting; return False if the peer is not connected."""
        data = encode(message)
        try:
            await self._socket.send(data, flags=zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.on_transfer(message, len(data))
        return True

    async def receive(self) -> Message:
        """Wait for the next message; raise ``HickorywindError`` for one that can't be decoded."""
        data = await self._socket.recv()
        message = decode(data)
        self.on_transfer(message, len(data))
        return message

    def close(self) -> None:
        """Close the socket and drop unsent messages."""
        self._socket.close(linger=0)
