import asyncio
import random
import time
import unittest
from datetime import timedelta
from unittest import mock

from hickorywind.failover.leadership import HostRecord
from hickorywind.host import peers as module
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import FIRST_CONTACT_LIMIT, Peers
from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation
from hickorywind.protocol.messages import Greeting, GreetingReply
from hickorywind.util.clock import MonotonicClock

ZONE = AvailabilityZone("z")
ADDRESS = Address("127.0.0.1", 1)
OTHER = HostRecord(HostId("other"), Incarnation(1), ZONE, ADDRESS, 0)


class SlowLink:
    """Link that refuses messages until it has connected, and then answers each greeting."""

    refusals = 0

    def __init__(self, address, with_heartbeats):
        self.answers = asyncio.Queue()

    async def send(self, message):
        if SlowLink.refusals:
            SlowLink.refusals -= 1
            return False
        reply = GreetingReply(message.call, "other", 1, "z", {}, (), False, holds_permit=True)
        self.answers.put_nowait(reply)
        return True

    async def receive(self):
        return await self.answers.get()

    def close(self):
        pass


def start_peers(test_case, link):
    """Return the peers of a host whose connections are instances of ``link``."""
    patch = mock.patch.object(module, "Link", link)
    patch.start()
    test_case.addCleanup(patch.stop)
    identity = HostIdentity(HostId("own"), Incarnation(1), ZONE, ADDRESS)
    peers = Peers(identity, MonotonicClock(), random.Random(1))
    test_case.addCleanup(peers.close)
    peers.make_greeting = lambda call: Greeting(call, "own", 1, "z", ADDRESS, {})
    return peers


class FirstContactTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peers = start_peers(self, SlowLink)
        self.answered = asyncio.Event()
        self.peers.on_greeting_reply = lambda reply, sent: self.answered.set()

    async def test_new_peer_is_greeted_as_soon_as_it_is_connected(self):
        SlowLink.refusals = 3
        started = time.monotonic()
        self.peers.add(OTHER)
        await asyncio.wait_for(self.answered.wait(), 5)
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertTrue(self.peers.table.any_holds_permit())

    async def test_peer_that_never_answers_is_greeted_often_only_at_first(self):
        SlowLink.refusals = 1_000
        self.peers.add(OTHER)
        await asyncio.sleep(FIRST_CONTACT_LIMIT.total_seconds() + 0.1)
        left = SlowLink.refusals
        await asyncio.sleep(1.0)
        self.assertLessEqual(left - SlowLink.refusals, 2)
        self.assertFalse(self.peers.table.any_holds_permit())


class SparseLink(SlowLink):
    """Link of a large fleet; hosts with an address in ``silent`` answer nothing."""

    silent = set()
    opened = []

    def __init__(self, address, with_heartbeats):
        super().__init__(address, with_heartbeats)
        self.address = address
        SparseLink.opened.append(address)

    async def send(self, message):
        if self.address in SparseLink.silent:
            return True
        return await super().send(message)


class SparseGreetingTest(unittest.IsolatedAsyncioTestCase):
    """A host among 40, of which it greets three."""

    async def asyncSetUp(self):
        SparseLink.silent, SparseLink.opened, SlowLink.refusals = set(), [], 0
        self.peers = start_peers(self, SparseLink)
        self.peers.on_greeting_reply = lambda reply, sent: None
        self.records = [
            HostRecord(HostId(f"h{number}"), Incarnation(1), ZONE, Address("127.0.0.1", number), 0)
            for number in range(2, 41)
        ]
        self.peers.add(*self.records)
        await asyncio.sleep(0.1)

    def greeted(self):
        return {host for host, state in self.peers.table.states.items() if state.is_greeted}

    async def test_connection_that_went_silent_is_not_used_for_the_next_call(self):
        record = next(each for each in self.records if each.host not in self.greeted())
        SparseLink.silent.add(record.address)
        for _ in range(2):
            reply = await self.peers.call(
                record.host, self.peers.make_greeting, timedelta(milliseconds=20)
            )
            self.assertIsNone(reply)
        self.assertEqual(SparseLink.opened.count(record.address), 2)

    async def test_substitute_that_is_still_connecting_has_missed_no_greeting(self):
        before = self.greeted()
        await asyncio.sleep(FIRST_CONTACT_LIMIT.total_seconds())
        SlowLink.refusals = 3
        self.peers.table.states[sorted(before)[0]].missed_greetings = 2
        self.peers.update_neighbours()
        (substitute,) = self.greeted() - before
        await asyncio.sleep(0.05)
        self.assertEqual(self.peers.table.states[substitute].missed_greetings, 0)
