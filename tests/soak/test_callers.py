import asyncio
import contextlib
import unittest

from hickorywind.ids import Address
from soak.callers import Answer, Connection, ConnectionEndedError, EndAnnouncedError
from soak.checks import CutKind


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    """What a caller learns from the end of its connection."""

    async def connect(self, serve_session):
        async def serve(reader, writer):
            await reader.readline()
            writer.write(b"READY I -\r\n")
            with contextlib.suppress(ConnectionError):
                await serve_session(reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(asyncio.sleep, 0.02)  # the server's tasks end
        self.addCleanup(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        connection = await Connection.open("h0", address, "bookings")
        self.addCleanup(connection.close)
        return connection

    async def ask_until_end(self, connection):
        with self.assertRaises(ConnectionEndedError) as caught:
            await connection.ask("q1", "READ x")
        return caught.exception.kind

    async def test_request_that_was_read_before_the_close(self):
        async def read_and_close(reader, writer):
            await reader.readline()
            writer.write(b"ROW half")

        connection = await self.connect(read_and_close)
        self.assertIs(await self.ask_until_end(connection), CutKind.READ)

    async def test_request_that_was_not_read_before_the_close(self):
        async def close_unread(reader, writer):
            writer.transport.pause_reading()
            await asyncio.sleep(0.1)

        connection = await self.connect(close_unread)
        self.assertIs(await self.ask_until_end(connection), CutKind.UNREAD)

    async def test_request_that_was_sent_after_the_close(self):
        async def close(reader, writer):
            pass

        connection = await self.connect(close)
        await asyncio.sleep(0.05)
        self.assertIs(await self.ask_until_end(connection), CutKind.UNREAD)

    async def test_message_without_a_request_ends_the_session(self):
        async def announce(reader, writer):
            writer.write(b"ERROR BUSY stopping\r\n")
            await reader.read()

        connection = await self.connect(announce)
        with self.assertRaises(EndAnnouncedError):
            await connection.wait(2.0)

    async def test_message_that_crosses_a_request_is_its_answer(self):
        async def announce(reader, writer):
            writer.write(b"ERROR BUSY stopping\r\n")
            await reader.readline()
            writer.write(b"READY I -\r\n")
            await reader.read()

        connection = await self.connect(announce)
        answer = await connection.ask("q1", "READ x")
        self.assertEqual(answer.lines, ("ERROR BUSY stopping",))
        self.assertTrue(answer.is_well_formed)

    def test_two_answers_to_one_request_break_the_protocol(self):
        for lines in ((), ("ROW x",), ("ERROR BUSY stopping", "COMPLETE -")):
            self.assertFalse(Answer(lines, "I").is_well_formed, lines)
