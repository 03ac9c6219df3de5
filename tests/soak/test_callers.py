import asyncio
import contextlib
import unittest

from hickorywind.ids import Address
from soak.callers import (
    Answer,
    Connection,
    ConnectionEndedError,
    EndAnnouncedError,
    Leaving,
)
from soak.checks import CutKind


class ConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def connect(self, lines, reads_request):
        async def serve(reader, writer):
            await reader.readline()
            writer.writelines((b"READY I -\r\n", lines))
            with contextlib.suppress(ConnectionError):
                if reads_request is None:
                    writer.transport.pause_reading()
                    await asyncio.sleep(0.1)
                elif reads_request:
                    await reader.readline()
                    writer.write(b"READY I -\r\n" if lines else b"ROW half")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addAsyncCleanup(asyncio.sleep, 0.02)  # the server's tasks end
        self.addCleanup(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        connection = await Connection.open("h0", address, "bookings")
        self.addCleanup(connection.close)
        return connection

    async def test_close_tells_whether_a_request_was_read(self):
        for reads_request, expected in (
            (True, CutKind.READ),
            (None, CutKind.UNREAD),  # closed with unread bytes
            (False, CutKind.UNREAD),  # closed before the request was sent
        ):
            connection = await self.connect(b"", reads_request)
            await asyncio.sleep(0.05)
            with self.assertRaises(ConnectionEndedError) as caught:
                await connection.ask("q1", "READ x")
            self.assertIs(caught.exception.kind, expected, reads_request)

    async def test_error_without_a_request_ends_the_session_and_answers_one_that_crosses_it(self):
        connection = await self.connect(b"ERROR BUSY stopping\r\n", True)
        with self.assertRaises(EndAnnouncedError):
            await connection.wait(2.0)
        connection = await self.connect(b"ERROR BUSY stopping\r\n", True)
        answer = await connection.ask("q1", "READ x")
        self.assertEqual(answer.lines, ("ERROR BUSY stopping",))
        self.assertTrue(answer.is_well_formed)

    async def test_caller_that_leaves_sends_no_whole_statement_unless_it_is_unanswered(self):
        for leaving, expected in (
            (Leaving.CLOSE, b""),
            (Leaving.RESET, ConnectionResetError),
            (Leaving.HALF_LINE, b"QUERY q1"),
            (Leaving.UNANSWERED, b"QUERY q1 COMMIT\r\n"),
        ):
            received = asyncio.get_running_loop().create_future()

            async def serve(reader, writer, received=received):
                await reader.readline()
                writer.write(b"READY I -\r\n")
                try:
                    received.set_result(await reader.read())
                except ConnectionResetError as error:
                    received.set_result(type(error))
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.addCleanup(server.close)
            address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
            connection = await Connection.open("h0", address, "bookings")
            connection.leave(leaving, "q1", "COMMIT")
            async with asyncio.timeout(2):
                self.assertEqual(await received, expected, leaving)

    def test_two_answers_to_one_request_break_the_protocol(self):
        for lines in ((), ("ROW x",), ("ERROR BUSY stopping", "COMPLETE -")):
            self.assertFalse(Answer(lines, "I").is_well_formed, lines)
