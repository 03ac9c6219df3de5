import asyncio
import unittest
import unittest.mock
from datetime import timedelta

import hickorywind.host.session
from tests.host.harness import HostTestCase

ROW = "y" * 200_000


class SlowReaderTest(HostTestCase):
    """Callers who send requests and take no replies."""

    async def slow_caller(self, *texts):
        caller = await self.caller("orders")
        caller.writer.transport.pause_reading()
        for number, text in enumerate(texts):
            caller.writer.write(f"QUERY s{number} {text}\r\n".encode())
        return caller

    def buffered_bytes(self):
        sessions = self.hosts["h0"].role._sessions
        return sum(session._transport.get_write_buffer_size() for session in sessions)

    async def test_replies_that_nobody_takes_do_not_fill_the_memory(self):
        writer = await self.caller("orders")
        await writer.ask(f"WRITE big {ROW}")
        await self.slow_caller(*["READ big"] * 400)
        await asyncio.sleep(2.0)
        self.assertLess(self.buffered_bytes(), 3 * len(ROW))
        self.assertEqual((await writer.ask("READ x"))[-1], "READY I -")

    async def test_caller_who_reads_late_gets_all_replies(self):
        writer = await self.caller("orders")
        await writer.ask(f"WRITE big {ROW}")
        caller = await self.slow_caller(*["READ big"] * 100)
        await asyncio.sleep(2.0)
        caller.writer.transport.resume_reading()
        caller.reader._limit = 2**20
        answers = []
        while len(answers) < 100:
            line = await caller.reader.readline()
            answers += [line] if line.startswith(b"COMPLETE") else []
        self.assertEqual(answers[-1], b"COMPLETE s.s99\r\n")

    async def test_caller_who_takes_nothing_is_disconnected_and_holds_no_transaction(self):
        writer = await self.caller("orders")
        await writer.ask(f"WRITE big {ROW}")
        host = self.hosts["h0"].role
        with unittest.mock.patch.object(
            hickorywind.host.session, "UNREAD_REPLY_TIMEOUT", timedelta(seconds=1)
        ):
            with self.assertLogs("hickorywind.host.requestlog", "INFO") as logs:
                await self.slow_caller("BEGIN", *["READ big"] * 60)
                await self.wait_until(lambda: len(host._sessions) == 1)
        self.assertIn(2011, [getattr(record, "code", None) for record in logs.records])
        open_transactions = [
            connection.transaction
            for server in self.group.servers.values()
            for connection in server._connections
            if connection.transaction is not None
        ]
        self.assertEqual(open_transactions, [])


if __name__ == "__main__":
    unittest.main()
