import asyncio
import socket
import unittest
from datetime import timedelta

from hickorywind.host.backendconnection import BackendConnection, ConnectionLostError
from hickorywind.ids import Address, BackendId, InstanceRole, ServiceName
from hickorywind.platform.lineprotocol import LineBackendCodec
from hickorywind.ports.catalog import BackendServer, BackendState

TIMEOUT = timedelta(seconds=1)
GREETING = b"READY I -\r\n"
ANSWER = b"ROW 1\r\nCOMPLETE s.q1\r\nREADY I -\r\n"
READ = b"QUERY q1 READ x\r\n"


class ScriptedServerTestCase(unittest.IsolatedAsyncioTestCase):
    async def connect(self, *script):
        """Connect to a server that answers each line with the next bytes of a script."""
        self.script = [GREETING, *script]
        listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        return await self.open(listener.sockets[0])

    async def open(self, listener):
        connection = await BackendConnection.open(
            BackendServer(
                BackendId("i-a"),
                ServiceName("s"),
                Address("127.0.0.1", listener.getsockname()[1]),
                "z1",
                BackendState.READY,
                3,
                InstanceRole.PRIMARY,
                1,
            ),
            LineBackendCodec(),
            TIMEOUT,
        )
        self.addCleanup(connection.close)
        return connection

    async def _serve(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.addCleanup(writer.transport.abort)
        while self.script and await reader.readline():
            writer.write(self.script.pop(0))

    async def wait_until(self, condition):
        async with asyncio.timeout(1.0):
            while not condition():
                await asyncio.sleep(0.005)


class OutOfStepTest(ScriptedServerTestCase):
    async def test_error_of_no_statement_is_not_the_error_of_the_next_one(self):
        connection = await self.connect(ANSWER)
        self.writer.write(b"ERROR BUSY i-a\r\n")
        with self.assertLogs("hickorywind.host.backendconnection", "WARNING") as logs:
            await self.wait_until(lambda: connection.is_lost)
        self.assertEqual(logs.records[0].getMessage(), "backend_message_unexpected")

    async def test_half_a_message_of_no_statement_ends_the_connection(self):
        connection = await self.connect(ANSWER)
        self.writer.write(b"RO")
        await self.wait_until(lambda: connection.is_lost)

    async def test_answer_too_many_is_not_taken_for_the_last_one(self):
        connection = await self.connect(ANSWER + b"COMPLETE -\r\nREADY T -\r\n")
        with self.assertRaises(ConnectionLostError):
            await connection.exchange(READ, 1, TIMEOUT, is_signed=True)
        self.assertTrue(connection.is_lost)

    async def test_row_behind_an_answer_does_not_join_the_next_one(self):
        connection = await self.connect(ANSWER + b"ROW 2\r\n", ANSWER)
        (answer,) = await connection.exchange(READ, 1, TIMEOUT, is_signed=True)
        self.assertEqual(answer.rows, ("1",))
        self.assertTrue(connection.is_lost)

    async def test_answer_too_many_right_behind_the_last_one_is_not_taken(self):
        connection = await self.connect(b"")
        exchange = asyncio.create_task(connection.exchange(READ, 1, TIMEOUT, is_signed=True))
        await self.wait_until(lambda: not self.script)
        connection.data_received(ANSWER)
        connection.data_received(b"ROW 2\r\nCOMPLETE s.q2\r\nREADY I -\r\n")
        self.assertEqual([answer.rows for answer in await exchange], [("1",)])
        self.assertTrue(connection.is_lost)

    async def test_answer_in_many_pieces_is_whole(self):
        connection = await self.connect(ANSWER[:3])
        exchange = asyncio.create_task(connection.exchange(READ, 1, TIMEOUT, is_signed=True))
        await self.wait_until(lambda: not self.script)
        for number in range(3, len(ANSWER)):
            self.writer.write(ANSWER[number : number + 1])
            await asyncio.sleep(0.001)
        (answer,) = await exchange
        self.assertEqual((answer.rows, answer.completion_tag), (("1",), "s.q1"))
        self.assertFalse(connection.is_lost)


class CutStatementTest(ScriptedServerTestCase):
    async def test_statement_that_was_sent_in_part_is_not_ended_in_order(self):
        connection = await self.connect()
        payload = b"QUERY q1 WRITE x " + b"y" * 8_000_000 + b"\r\n"
        with self.assertRaises(ConnectionLostError):
            await connection.exchange(payload, 1, timedelta(milliseconds=50), is_signed=True)
        with self.assertRaises(ConnectionResetError):
            while await self.reader.read(1_000_000):
                pass


class AbandonedStatementTest(ScriptedServerTestCase):
    async def test_write_that_the_server_has_not_received_is_not_delivered_after_its_timeout(self):
        loop = asyncio.get_running_loop()
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        opening = asyncio.create_task(self.open(listener))
        server, _ = await loop.sock_accept(listener)
        self.addCleanup(server.close)
        await loop.sock_recv(server, 4096)
        await loop.sock_sendall(server, GREETING)
        connection = await opening
        write = b"QUERY q1 WRITE x " + b"v" * 150_000 + b"\r\n"
        with self.assertRaises(ConnectionLostError):
            await connection.exchange(write, 1, timedelta(milliseconds=50), is_signed=True)
        await asyncio.sleep(0.01)  # the transport closes its socket in the next iteration
        received = b""
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(1.0):
                while data := await loop.sock_recv(server, 65536):
                    received += data
        self.assertLess(len(received), len(write))


if __name__ == "__main__":
    unittest.main()
