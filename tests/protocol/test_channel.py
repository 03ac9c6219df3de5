import asyncio
import unittest

import zmq

from hickorywind.ids import RequestId
from hickorywind.protocol.channel import ChannelKeys, Link, Listener
from hickorywind.protocol.codec import encode
from hickorywind.protocol.messages import Cancel, Refused
from hickorywind.results import ResultCode
from tests.ports import free_address

WAIT_SECONDS = 3
NO_MESSAGE_SECONDS = 0.5


async def send_when_connected(link, message):
    async with asyncio.timeout(WAIT_SECONDS):
        while not await link.send(message):
            await asyncio.sleep(0.01)


class ChannelTest(unittest.IsolatedAsyncioTestCase):
    def open_pair(self, listener_keys=None, link_keys=None):
        address = free_address()
        listener = Listener(address, listener_keys)
        self.addCleanup(listener.close)
        link = Link(address, link_keys)
        self.addCleanup(link.close)
        return listener, link

    async def test_message_and_reply(self):
        listener, link = self.open_pair()
        await send_when_connected(link, Cancel(RequestId(7)))
        received = await asyncio.wait_for(listener.receive(), WAIT_SECONDS)
        self.assertEqual(received.message, Cancel(RequestId(7)))
        self.assertTrue(await listener.send(received.peer, Cancel(RequestId(8))))
        self.assertEqual(await asyncio.wait_for(link.receive(), WAIT_SECONDS), Cancel(RequestId(8)))

    async def test_unknown_protocol_version_is_refused_with_its_result_code(self):
        listener, link = self.open_pair()
        await send_when_connected(link, Cancel(RequestId(1)))
        await link._socket.send(b"\xff" + encode(Cancel(RequestId(2)))[1:])
        await asyncio.wait_for(listener.receive(), WAIT_SECONDS)
        receiving = asyncio.create_task(listener.receive())
        answer = await asyncio.wait_for(link.receive(), WAIT_SECONDS)
        receiving.cancel()
        self.assertIsInstance(answer, Refused)
        self.assertEqual(answer.result.code, ResultCode.VERSION_REFUSED)

    async def test_nothing_is_queued_for_an_unconnected_peer(self):
        link = Link(free_address())
        self.addCleanup(link.close)
        await asyncio.sleep(0.05)
        self.assertFalse(await link.send(Cancel(RequestId(1))))

    async def test_peer_with_the_same_keys_is_accepted(self):
        keys = ChannelKeys(*zmq.curve_keypair())
        listener, link = self.open_pair(keys, keys)
        await send_when_connected(link, Cancel(RequestId(7)))
        received = await asyncio.wait_for(listener.receive(), WAIT_SECONDS)
        self.assertEqual(received.message, Cancel(RequestId(7)))

    async def test_peers_with_other_keys_or_none_are_rejected(self):
        keys = ChannelKeys(*zmq.curve_keypair())
        public, secret = zmq.curve_keypair()
        address = free_address()
        listener = Listener(address, keys)
        self.addCleanup(listener.close)
        peer_without_keys = Link(address)
        self.addCleanup(peer_without_keys.close)
        # Knows the installation's public key, but has a key pair of its own.
        peer_with_other_keys = Link.__new__(Link)
        peer_with_other_keys._socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        peer_with_other_keys._socket.setsockopt(zmq.CURVE_SERVERKEY, keys.public)
        peer_with_other_keys._socket.setsockopt(zmq.CURVE_PUBLICKEY, public)
        peer_with_other_keys._socket.setsockopt(zmq.CURVE_SECRETKEY, secret)
        peer_with_other_keys._socket.connect(f"tcp://{address}")
        self.addCleanup(peer_with_other_keys.close)
        receiving = asyncio.create_task(listener.receive())
        for link in (peer_without_keys, peer_with_other_keys):
            for _ in range(5):
                await link.send(Cancel(RequestId(1)))
                await asyncio.sleep(0.02)
        done, _ = await asyncio.wait((receiving,), timeout=NO_MESSAGE_SECONDS)
        receiving.cancel()
        self.assertFalse(done)
