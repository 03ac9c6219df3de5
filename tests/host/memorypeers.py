"""Carry the messages between hosts in memory, with cuts in either direction."""

import asyncio
import socket

from hickorywind.protocol.channel import Received
from hickorywind.protocol.codec import decode, encode
from tests.host.virtualtime import CURRENT_GATE

ROUND_TRIP_SECONDS = 0.002


class MemoryNetwork:
    """Know the listeners by address, and from and to which hosts the ways are cut."""

    def __init__(self):
        self.listeners = {}
        self.cut_from = set()
        self.cut_to = set()

    def make_link(self, address, with_heartbeats=True):
        """Stand in for the product's ``Link``."""
        return MemoryLink(self, CURRENT_GATE.get().name, address)

    def make_listener(self, address, with_heartbeats=True):
        """Stand in for the product's ``Listener``."""
        return MemoryListener(self, CURRENT_GATE.get().name, address)

    def deliver(self, source, target, handler, *arguments):
        """Hand a message over after its way, unless the way is cut by then."""

        def arrive():
            if source not in self.cut_from and target not in self.cut_to:
                handler(*arguments)

        asyncio.get_running_loop().call_later(ROUND_TRIP_SECONDS / 2, arrive)


class MemoryLink:
    """Exchange messages with the one host at an address."""

    def __init__(self, network, host, address):
        self.host = host
        self._network = network
        self._address = address
        self._inbox = asyncio.Queue()
        self._is_closed = False

    async def send(self, message):
        listener = self._network.listeners.get(self._address)
        if listener is None or self._is_closed:
            return False
        data = encode(message)
        self._network.deliver(self.host, listener.host, listener.inbox.put_nowait, (self, data))
        return True

    def enqueue(self, data):
        if not self._is_closed:
            self._inbox.put_nowait(data)

    async def receive(self):
        return decode(await self._inbox.get())

    def close(self):
        self._is_closed = True


class MemoryListener:
    """Receive the messages for one host; a real socket shows whether its process lives."""

    def __init__(self, network, host, address):
        self.host = host
        self.inbox = asyncio.Queue()
        self._network = network
        self._address = address
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((address.host, address.port))
        self._socket.listen(1024)
        network.listeners[address] = self

    async def receive(self):
        link, data = await self.inbox.get()
        return Received(link, decode(data))

    async def send(self, peer, message):
        data = encode(message)
        self._network.deliver(self.host, peer.host, peer.enqueue, data)
        return True

    def close(self):
        self._socket.close()
        self._network.listeners.pop(self._address, None)
