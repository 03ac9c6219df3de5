import asyncio
import unittest

from hickorywind.pool.backendconnection import BackendConnection, ConnectionFailedError
from hickorywind.pool.connectionpool import ConnectionPool
from hickorywind.pool.frontend import cstring, message, query
from hickorywind.postgres.frames import Frame
from hickorywind.util.clock import ManualClock
from tests.pool.harness import eventually
from tests.pool.scriptedbackend import READY, ScriptedBackend, complete, error

PARAMETER_STATUS = message(b"S", cstring("TimeZone") + cstring("UTC"))
NOTICE = message(b"N", b"SNOTICE\0\0")
ADMIN_SHUTDOWN = error("57P01", "FATAL")


async def run(connection: BackendConnection, sql: str) -> bytes:
    """Return the kinds of the messages that a query returned to its caller."""
    kinds = []
    async with asyncio.timeout(5):
        async for frames in connection.exchange([Frame(b"Q", query(sql))]):
            kinds.extend(frame.kind for frame in frames)
    return b"".join(kinds)


async def answer_parse_complete(frame: Frame, writer: asyncio.StreamWriter) -> None:
    writer.write(message(b"1", b""))


class SurplusMessageTest(unittest.IsolatedAsyncioTestCase):
    """A pool with one connection to a server that sends more than the answers to statements."""

    async def asyncSetUp(self) -> None:
        self.backend = ScriptedBackend(self.respond)
        await self.enterAsyncContext(self.backend)
        self.connections = ConnectionPool(self.backend.login, 1, ManualClock())
        self.addCleanup(self.connections.close_all)
        self.surplus = b""

    async def respond(self, frame: Frame, writer: asyncio.StreamWriter) -> None:
        if frame.kind == b"Q":
            sql = bytes(frame.payload).rstrip(b"\0").decode()
            writer.write(complete(sql) + READY + self.surplus)

    async def run_then_receive(self, data: bytes) -> BackendConnection:
        """Run a statement, give the connection back and let bytes arrive while it is idle."""
        connection = await self.connections.acquire()
        await run(connection, "first")
        self.connections.release(connection)
        self.backend.writers[0].write(data)
        await eventually(lambda: connection._reader._buffer)
        return connection

    async def test_late_answer_on_an_idle_connection_is_not_given_to_the_next_session(self) -> None:
        for data in (complete("late") + READY, error("57014"), complete("late")[:4]):
            with self.subTest(data):
                idle = await self.run_then_receive(data)
                connection = await self.connections.acquire()
                self.connections.discard(connection)
                self.backend.writers.clear()
                self.assertIsNot(connection, idle)

    async def test_parameter_status_and_notice_on_an_idle_connection_are_not_relayed(self) -> None:
        idle = await self.run_then_receive(NOTICE + PARAMETER_STATUS)
        connection = await self.connections.acquire()
        self.assertIs(connection, idle)
        self.assertEqual(await run(connection, "second"), b"CZ")

    async def test_notice_of_which_a_part_has_arrived_leaves_the_connection_in_use(self) -> None:
        idle = await self.run_then_receive(NOTICE[:3])
        connection = await self.connections.acquire()
        self.assertIs(connection, idle)
        self.backend.writers[0].write(NOTICE[3:])
        self.assertEqual(await run(connection, "second"), b"NCZ")

    async def test_connection_that_was_shut_down_while_idle_is_not_used(self) -> None:
        idle = await self.run_then_receive(ADMIN_SHUTDOWN)
        self.backend.writers[0].close()
        connection = await self.connections.acquire()
        self.assertIsNot(connection, idle)
        self.assertEqual(await run(connection, "second"), b"CZ")

    async def test_messages_behind_the_end_of_an_answer_are_not_relayed(self) -> None:
        connection = await self.connections.acquire()
        self.surplus = ADMIN_SHUTDOWN
        self.assertEqual(await run(connection, "first"), b"CZ")
        self.connections.release(connection)
        self.assertIsNot(await self.connections.acquire(), connection)

    async def test_answer_that_no_message_of_the_batch_can_have_fails_the_connection(self) -> None:
        connection = await self.connections.acquire()
        self.backend.respond = answer_parse_complete
        with self.assertRaises(ConnectionFailedError):
            await run(connection, "first")
        self.assertFalse(connection.is_reusable)
