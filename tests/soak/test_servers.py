import asyncio
import random
import unittest

from soak.platform import SERVICE, SoakGroup
from soak.statements import Shape
from standins.lineplatform.memorystore import MemoryStore


class SoakServerTest(unittest.IsolatedAsyncioTestCase):
    """Servers refuse statements and harm answers as the platform allows."""

    async def asyncSetUp(self):
        self.group = SoakGroup(("i-a", "i-b"), MemoryStore(), {}, random.Random(1))
        self.faults = self.group.answer_faults
        self.statements = []
        self.group.on_server_statement = self.statements.append
        await self.group.start()
        self.server = self.group.primary
        await self.connect()

    async def asyncTearDown(self):
        self.writer.transport.abort()
        await self.group.stop()
        await asyncio.sleep(0.02)  # the tasks of the connections end

    async def connect(self):
        address = self.server.address
        self.reader, self.writer = await asyncio.open_connection(address.host, address.port)
        self.writer.write(f"CONNECT {SERVICE} test {self.server.backend}\r\n".encode())
        self.assertTrue((await self.reader.readline()).startswith(b"READY I"))

    async def ask(self, *texts):
        """Return the error code or word, and the state, of the last answer."""
        for text in texts:
            self.writer.write(f"QUERY q {text}\r\n".encode())
            words, line = b"", b""
            while not line.startswith(b"READY"):
                words, line = line, await self.reader.readline()
                self.assertTrue(line.endswith(b"\r\n"), "connection closed")
        code = words.split(b" ")[1] if words.startswith(b"ERROR") else words.split(b" ")[0]
        return code.decode().strip(), line.split(b" ")[1].decode()

    def replace_primary(self):
        self.server.follow(self.group.servers["i-b"])

    async def test_failed_transaction_accepts_only_its_end(self):
        self.assertEqual(await self.ask("BEGIN", "WRITE x y", "EXECUTE s1 x"), ("NOSTMT", "E"))
        for text in ("SET a b", "PREPARE s1 READ q1", "READ x", "BEGIN"):
            self.assertEqual(await self.ask(text), ("MALFORMED", "E"), text)
        self.assertEqual(await self.ask("COMMIT"), ("ABORTED", "I"))
        self.assertEqual(self.server.data, {})
        self.assertEqual(await self.ask("BEGIN", "EXECUTE s1 x", "ROLLBACK"), ("COMPLETE", "I"))

    async def test_plain_transaction_of_a_replaced_primary_is_read_only(self):
        for text in ("SET a b", "PREPARE s1 READ q1", "READ x"):
            self.server.role = "primary"
            await self.ask("BEGIN", "WRITE x y")
            self.replace_primary()
            self.assertEqual(await self.ask(text), ("READONLY", "E"), text)
            self.assertEqual(await self.ask("ROLLBACK"), ("READONLY", "I"))
        self.server.role = "primary"
        await self.ask("BEGIN")
        self.replace_primary()
        self.assertEqual(await self.ask("COMMIT"), ("COMPLETE", "I"))  # it wrote nothing
        self.assertEqual(await self.ask("BEGIN READ", "READ x"), ("COMPLETE", "T"))

    async def test_busy_server_refuses_statements_of_every_kind(self):
        texts = ("SET a b", "RESET", "PREPARE s1 READ q1", "BEGIN", "STATUS", "READ x")
        self.faults.refused = 1.0
        for text in texts:
            self.assertIn((await self.ask(text))[0], ("BUSY", "FAILED"), text)
        self.faults.refused, self.faults.busy_spells = 0.0, 1.0
        self.assertEqual((await self.ask("STATUS"))[0], "BUSY")
        self.faults.busy_spells = 0.0
        self.assertEqual((await self.ask("STATUS"))[0], "BUSY")
        await asyncio.sleep(0.5)
        self.assertEqual((await self.ask("RESET", "SET a b"))[0], "COMPLETE")
        self.assertEqual(self.statements[-1].values, {})  # as it was before the statement
        self.server.log_offset += 1  # ahead of the new primary
        self.server.roll_back_to(self.group.servers["i-b"])
        self.assertEqual((await self.ask("STATUS"))[0], "BUSY")

    async def test_setup_that_fails_may_have_run(self):
        self.faults.refused = 1.0
        results = set()
        for number in range(60):
            code, _ = await self.ask(f"SET a {number}")
            connection = next(iter(self.server._connections))
            results.add((code, connection.settings.get("a") == str(number)))
        self.assertEqual(results, {("BUSY", False), ("FAILED", False), ("FAILED", True)})

    async def test_shape_extends_to_the_end_of_the_line(self):
        await self.ask("PREPARE s1 READ q1 x y", "EXECUTE s1 x")
        self.assertEqual(self.statements[-1].shape, Shape("READ", "q1 x y"))
        self.assertEqual(await self.ask("PREPARE q1 x READ q1 x"), ("MALFORMED", "I"))

    async def test_rollback_undoes_session_changes_at_some_servers(self):
        for undoes, expected in ((True, {"a": "1"}), (False, {"a": "2"})):
            self.group.rolls_back_sessions = undoes
            await self.ask("RESET", "SET a 1", "BEGIN", "SET a 2", "ROLLBACK", "READ x")
            self.assertEqual(self.statements[-1].values, expected)
            await self.ask("BEGIN", "SET a 3", "COMMIT", "READ x")
            self.assertEqual(self.statements[-1].values, {"a": "3"})

    async def test_split_answers_are_whole(self):
        self.faults.split = 1.0
        for _ in range(10):
            self.assertEqual(await self.ask("READ x#3000"), ("COMPLETE", "I"))

    async def test_cut_answers_end_before_they_are_complete(self):
        self.faults.cut = 1.0
        for _ in range(10):
            self.writer.write(b"QUERY q READ x\r\n")
            answer = await self.reader.read()
            self.assertFalse(answer.endswith(b"\r\n") and b"READY" in answer, answer)
            await self.connect()

    async def test_half_a_line_does_not_run(self):
        half_lines = []
        self.group.on_half_line = lambda: half_lines.append(1)
        self.writer.write(b"QUERY q WRITE x y")
        self.writer.close()
        await asyncio.sleep(0.05)
        self.assertEqual((half_lines, self.statements), ([1], []))

    async def test_idle_connections_are_closed_and_open_transactions_kept(self):
        await self.ask("BEGIN")
        for _ in range(20):
            self.server.close_idle_connections()
        self.assertEqual(await self.ask("READ x", "ROLLBACK"), ("COMPLETE", "I"))
        for _ in range(20):
            self.server.close_idle_connections()
        with self.assertRaises((AssertionError, ConnectionError)):
            await self.ask("READ x")

    async def test_replica_applies_what_it_received_later(self):
        self.group.apply_s = 60.0
        replica = self.group.servers["i-b"]
        await self.ask("WRITE x 1", "WRITE x 2")
        await asyncio.sleep(0.05)
        self.assertEqual((replica.received_position, replica.position), ("1.2", "1.0"))
        self.assertEqual(replica.received_elements, {"1", "2"})
        self.assertEqual(replica.data, {})

    async def test_promoted_server_keeps_what_it_received_and_may_apply_it_later(self):
        for applies_at_promotion, applied in ((False, {}), (True, {"x": "1"})):
            with self.subTest(applies_at_promotion=applies_at_promotion):
                group = SoakGroup(("i-a", "i-b"), MemoryStore(), {}, random.Random(1))
                group.applies_at_promotion, group.apply_s = applies_at_promotion, 60.0
                await group.start()
                self.addAsyncCleanup(group.stop)
                old, new = group.servers.values()
                old._commit([("x", "1")])
                await asyncio.sleep(0.05)
                old._commit([("x", "2")])  # that the other one hasn't received
                group.make_primary(new)
                self.assertEqual((new.data, group.rolled_back), (applied, {"2"}))
                self.assertEqual((new.term, new.received_position), (2, "1.1"))
                new._commit([("x", "3")])
                self.assertEqual((new.data, new.position), ({"x": "1,3"}, "2.2"))
