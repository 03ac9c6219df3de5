import asyncio
import random
import unittest

from soak.platform import SERVICE, SoakGroup
from soak.slots import Slots
from standins.lineplatform.memorystore import MemoryStore


class SlotsTest(unittest.IsolatedAsyncioTestCase):
    async def test_work_beyond_the_slots_waits_and_runs_in_no_particular_order(self):
        slots, running, order = Slots(2, random.Random(2)), [], []

        async def work(number):
            async with slots.occupy():
                running.append(number)
                self.assertLessEqual(len(running), 2)
                await asyncio.sleep(0.001)
                running.remove(number)
                order.append(number)

        await asyncio.gather(*(work(number) for number in range(20)))
        self.assertEqual(sorted(order), list(range(20)))
        self.assertNotEqual(order, sorted(order))


class QueueTest(unittest.IsolatedAsyncioTestCase):
    """Statements that a server has received before it runs them."""

    async def start(self, slot_count, runs_received_later):
        self.group = SoakGroup(("i-a", "i-b"), MemoryStore(), {}, random.Random(1))
        self.group.slot_count, self.group.runs_received_later = slot_count, runs_received_later
        await self.group.start()
        self.addAsyncCleanup(asyncio.sleep, 0.05)  # the tasks of the connections end
        self.addAsyncCleanup(self.group.stop)
        self.old, self.new = self.group.servers.values()
        self.writers = [await self.connect() for _ in range(12)]

    async def connect(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.old.address.port)
        self.addCleanup(writer.transport.abort)
        writer.write(f"CONNECT {SERVICE} test {self.old.backend}\r\n".encode())
        self.assertTrue((await reader.readline()).startswith(b"READY I"))
        return writer

    def send(self):
        for number, writer in enumerate(self.writers):
            writer.write(f"QUERY q{number} WRITE x {number}\r\n".encode())

    async def test_writes_in_the_queue_run_after_the_change_of_primary(self):
        await self.start(slot_count=3, runs_received_later=True)
        self.send()
        await asyncio.sleep(0.005)
        for writer in self.writers:
            writer.transport.abort()
        self.group.make_primary(self.new)
        await asyncio.sleep(0.4)
        self.assertEqual(len(self.group.commits_of_former_primary), 12)
        self.assertEqual(self.old.waiting_writes, 0)
        counts = self.group.state_counts
        self.assertEqual(
            counts["writes that stood in a queue while their primary was replaced"], 12
        )
        self.assertEqual(counts["writes that ran after their sender had left"], 12)

    async def test_silent_server_runs_later_what_it_received(self):
        for runs_later, expected in ((True, 12), (False, 0)):
            with self.subTest(runs_later=runs_later):
                await self.start(slot_count=0, runs_received_later=runs_later)
                self.old.is_silent = True
                self.send()
                await asyncio.sleep(0.05)
                for writer in self.writers:
                    writer.transport.abort()
                await asyncio.sleep(0.05)
                self.assertEqual(self.group.commits, [])
                self.old.is_silent = False
                await asyncio.sleep(0.05)
                self.assertEqual(len(self.group.commits), expected)

    async def test_crash_ends_what_was_received(self):
        await self.start(slot_count=3, runs_received_later=True)
        self.send()
        await asyncio.sleep(0.005)
        await self.old.crash()
        self.old.born += 1
        await self.old.start()
        await asyncio.sleep(0.2)
        self.assertEqual(self.group.commits, [])

    async def test_connection_that_the_server_closes_runs_nothing_more(self):
        await self.start(slot_count=3, runs_received_later=True)
        self.send()
        await asyncio.sleep(0.005)
        for _ in range(20):
            self.old.close_idle_connections()
        await asyncio.sleep(0.3)
        self.assertEqual(self.group.commits, [])
