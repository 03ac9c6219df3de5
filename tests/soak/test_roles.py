import asyncio
import random
import unittest

from soak.platform import SERVICE, SoakGroup
from soak.statements import CallerSession, ServerStatement, StatementChecker
from standins.lineplatform.memorystore import MemoryCoordinationStore, MemoryStore


class RoleTest(unittest.IsolatedAsyncioTestCase):
    """STEPDOWN and PAUSE, by which a host fences servers."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.group = SoakGroup(("i-a", "i-b"), self.store, {}, random.Random(1))
        self.group.apply_s, self.group.demotion_s = 0.001, 0.02
        await self.group.start()
        self.addAsyncCleanup(asyncio.sleep, 0.02)  # the tasks of the connections end
        self.addAsyncCleanup(self.group.stop)
        self.old, self.new = self.group.servers.values()

    async def ask(self, server, *texts):
        """Return the first line of the last answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", server.address.port)
        writer.write(f"CONNECT {SERVICE} test {server.backend}\r\n".encode())
        await reader.readline()
        for text in texts:
            writer.write(f"QUERY - {text}\r\n".encode())
            lines = [(await reader.readline()).decode().strip()]
            while not lines[-1].startswith("READY"):
                lines.append((await reader.readline()).decode().strip())
        writer.transport.abort()
        return lines[0]

    async def test_former_primary_that_steps_down_runs_no_write_and_follows(self):
        await self.ask(self.old, "WRITE x 1")
        await asyncio.sleep(0.02)
        self.group.make_primary(self.new)
        row = await self.ask(self.old, "STEPDOWN 2")
        self.assertTrue(row.startswith("ROW replica 1 1.1 0 "), row)
        self.assertEqual(len(row.split()), 8)
        self.assertEqual(await self.ask(self.old, "WRITE x 2"), "ERROR READONLY i-a")
        self.new._commit([("x", "3")])
        await asyncio.sleep(0.05)
        self.assertEqual((self.old.term, self.old.data), (2, {"x": "1,3"}))
        self.assertEqual(self.group.state_counts["former primaries that stepped down"], 1)
        snapshot = await MemoryCoordinationStore(self.store).read_range("servers/i-a")
        self.assertIn(b'"db_role": "replica"', snapshot.items[0].value)

    async def test_primary_that_stepped_down_before_the_order_may_lead_again(self):
        await self.ask(self.old, "WRITE x 1", "STEPDOWN 2")
        self.assertEqual(await self.ask(self.old, "WRITE x 2"), "ERROR READONLY i-a")
        self.group.make_primary(self.old)
        self.assertTrue((await self.ask(self.old, "STATUS")).startswith("ROW primary 2 1.1 0 "))
        self.assertEqual(await self.ask(self.old, "WRITE x 3"), "COMPLETE s.-")
        await asyncio.sleep(0.02)
        self.assertEqual(self.new.data, {"x": "1,3"})

    async def test_primary_of_the_term_or_a_newer_one_does_not_step_down(self):
        self.assertTrue((await self.ask(self.old, "STEPDOWN 1")).startswith("ROW primary 1 "))

    async def test_paused_replica_receives_nothing_until_resumed(self):
        row = await self.ask(self.new, "PAUSE 2")
        self.assertTrue(row.startswith("ROW replica 1 1.0 2 "), row)
        self.old._commit([("x", "1")])
        await asyncio.sleep(0.02)
        self.assertEqual(self.new.received_elements, set())
        await self.ask(self.new, "RESUME")
        self.old._commit([("x", "2")])
        await asyncio.sleep(0.02)
        self.assertEqual(self.new.data, {"x": "1,2"})

    async def test_pause_in_the_present_term_and_one_of_a_primary_change_nothing(self):
        self.assertTrue((await self.ask(self.new, "PAUSE 1")).startswith("ROW replica 1 1.0 0 "))
        self.assertTrue((await self.ask(self.old, "PAUSE 2")).startswith("ROW primary 1 1.0 0 "))

    async def test_promotion_ends_a_pause(self):
        await self.ask(self.new, "PAUSE 2")
        self.group.make_primary(self.new)
        self.assertTrue((await self.ask(self.new, "STATUS")).startswith("ROW primary 2 1.0 0 "))

    def test_hosts_may_send_them_and_callers_may_not(self):
        for text in ("STEPDOWN 2", "PAUSE 2", "RESUME"):
            found = []
            checker = StatementChecker(lambda promise, detail, found=found: found.append(promise))
            checker.handle_statement(ServerStatement("-", "h0", "i-a", text, "", {}, None, None))
            self.assertEqual(found, [], text)
            checker.record_sent("1", "READ x", CallerSession())
            checker.handle_statement(ServerStatement("1", "h0", "i-a", text, "", {}, None, None))
            self.assertEqual(len(found), 1, text)
