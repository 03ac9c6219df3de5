import asyncio
import random
import unittest

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    ServiceName,
    Term,
)
from hickorywind.membership.reconcile import answer_digests, answer_stamps, start_comparison
from hickorywind.membership.subscriber import DirectorySubscriber
from hickorywind.membership.table import RecordTable
from hickorywind.protocol.channel import Listener
from hickorywind.protocol.messages import BucketDigests, BucketStamps, RecordBatch, Subscribe
from hickorywind.protocol.records import GroupRecord, MemberRecord, MemberState
from hickorywind.util.clock import MonotonicClock
from tests.ports import free_port, wait_until_free


class FakeController:
    """Controller that answers subscribers from its own record table."""

    def __init__(self, address, records=()):
        self.address = address
        self.listener = Listener(address)
        self.table = RecordTable()
        self.table.merge(records)
        self.subscribes = 0
        self.saw_drain = False
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            received = await self.listener.receive()
            for answer in self.answers(received.message):
                await self.listener.send(received.peer, answer)

    def answers(self, message):
        match message:
            case Subscribe():
                self.subscribes += 1
                self.saw_drain |= message.draining
                if message.table_digest == self.table.digest:
                    return (RecordBatch(()),)
                return (start_comparison(self.table),)
            case BucketDigests():
                return filter(None, (answer_digests(self.table, message),))
            case BucketStamps():
                return answer_stamps(self.table, message)
            case RecordBatch(records):
                self.table.merge(records)
        return ()

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.listener.close()
        await wait_until_free(self.address)


def group(service, term):
    return GroupRecord(ServiceName(service), Term(term), BackendId(f"{service}-1"))


class SubscriberTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.addresses = [Address("127.0.0.1", free_port()) for _ in range(2)]
        self.subscriber = DirectorySubscriber(
            HostId("h1"),
            "pool",
            self.addresses[:1],
            Incarnation(1),
            MonotonicClock(),
            random.Random(1),
            None,
        )
        task = asyncio.create_task(self.subscriber.run())
        self.addCleanup(task.cancel)

    async def wait_for(self, condition):
        async with asyncio.timeout(8):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_receives_records_and_moves_on_to_a_learned_controller(self):
        other = MemberRecord(
            HostId("h2"),
            AvailabilityZone("z"),
            Incarnation(1),
            MemberState.ALIVE,
            self.addresses[1],
        )
        first = FakeController(self.addresses[0], (other, group("a", 1)))
        directory = self.subscriber.directory
        await self.wait_for(lambda: directory.group(ServiceName("a")))
        self.assertTrue(self.subscriber.changed.is_set())
        await first.stop()
        second = FakeController(self.addresses[1], (group("b", 2),))
        await self.wait_for(lambda: directory.group(ServiceName("b")))
        # The new controller lacked service a, so the subscriber sends the record.
        await self.wait_for(lambda: second.table.get("group/a"))
        self.assertEqual(second.table.digest, directory.table.digest)
        await second.stop()

    async def test_returns_to_a_restarted_controller(self):
        first = FakeController(self.addresses[0], (group("a", 1),))
        await self.wait_for(lambda: self.subscriber.directory.group(ServiceName("a")))
        await first.stop()
        again = FakeController(self.addresses[0])
        await self.wait_for(lambda: again.table.get("group/a"))
        await again.stop()

    async def test_returns_to_its_own_controller_and_reports_a_drain_at_once(self):
        other = MemberRecord(
            HostId("h2"),
            AvailabilityZone("z"),
            Incarnation(1),
            MemberState.ALIVE,
            self.addresses[1],
        )
        second = FakeController(self.addresses[1])
        own = FakeController(self.addresses[0], (other,))
        await self.wait_for(lambda: self.subscriber.directory.members)
        await own.stop()
        await self.wait_for(lambda: second.subscribes)
        own = FakeController(self.addresses[0])
        await self.wait_for(lambda: own.subscribes >= 3)
        seen = second.subscribes
        await asyncio.sleep(0.7)
        self.assertLessEqual(second.subscribes - seen, 1)
        self.subscriber.draining = True
        await self.wait_for(lambda: own.saw_drain)
        await own.stop()
        await second.stop()
