"""In-memory network between hosts, which can lose messages in either direction."""

import asyncio
import socket

from hickorywind.protocol.channel import ReceivedMessage
from hickorywind.protocol.codec import decode, encode
from tests.host.virtualtime import CURRENT_GATE

ROUND_TRIP_SECONDS = 0.002


class MemoryNetwork:
    """Network of listeners by address.

    Messages from the hosts in ``cut_from`` and to those in ``cut_to`` are lost, and those between
    the hosts in ``separated`` and all others.
    """

    def __init__(self):
        self.listeners = {}
        self.separated = set()
        self.cut_from = set()
        self.cut_to = set()
        self.bytes_sent = 0
        self.region_link = None  # between hosts of different regions, None: no limit

    def make_link(self, address, with_heartbeats=True):
        """Return a link; replaces the class ``Link`` of the hosts."""
        return MemoryLink(self, CURRENT_GATE.get().name, address)

    def make_listener(self, address, with_heartbeats=True):
        """Return a listener; replaces the class ``Listener`` of the hosts."""
        return MemoryListener(self, CURRENT_GATE.get().name, address)

    def deliver(self, source, target, kind, size, handler, *arguments):
        """Deliver a message after half a round trip, unless it is lost by then."""

        def arrive():
            is_cut = source in self.cut_from or target in self.cut_to
            if not is_cut and (source in self.separated) == (target in self.separated):
                handler(*arguments)

        delay = ROUND_TRIP_SECONDS / 2
        if self.region_link is not None:
            regions = self.region_link.regions
            delay += self.region_link.carry(regions[source], regions[target], kind, size)[1]
        asyncio.get_running_loop().call_later(delay, arrive)


class MemoryLink:
    """Connection to the host at an address; it carries nothing while ``is_silent`` is set."""

    def __init__(self, network, host, address):
        self.host = host
        self._network = network
        self._address = address
        self._inbox = asyncio.Queue()
        self._is_closed = False
        self.is_silent = False
        self.on_transfer = lambda message, size_bytes: None

    async def send(self, message):
        listener = self._network.listeners.get(self._address)
        if listener is None or self._is_closed:
            return False
        if self.is_silent:
            return True
        data = encode(message)
        self.on_transfer(message, len(data))
        self._network.bytes_sent += len(data)
        kind = type(message).__name__
        self._network.deliver(
            self.host, listener.host, kind, len(data), listener.inbox.put_nowait, (self, data)
        )
        return True

    def enqueue(self, data):
        if not self._is_closed and not self.is_silent:
            self._inbox.put_nowait(data)

    async def receive(self):
        data = await self._inbox.get()
        message = decode(data)
        self.on_transfer(message, len(data))
        return message

    def close(self):
        self._is_closed = True


class MemoryListener:
    """Receiver of the messages for one host.

    Its real socket lets other hosts check whether the process of the host runs.
    """

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
        return ReceivedMessage(link, decode(data))

    async def send(self, peer, message):
        data = encode(message)
        self._network.bytes_sent += len(data)
        kind = type(message).__name__
        self._network.deliver(self.host, peer.host, kind, len(data), peer.enqueue, data)
        return True

    def refuse(self):
        """Refuse connections from now on, as a cut may do."""
        self._socket.close()

    def close(self):
        self._socket.close()
        self._network.listeners.pop(self._address, None)
