import asyncio
import socket
import unittest

from pygwire.messages import Query

from hickorywind.entry.callerstream import CallerReader, CallerStream, StreamStoppedError

LIMIT_BYTES = 1_048_576
QUERY = Query("SELECT 1").to_wire()


class CallerStreamTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        near, self.far = socket.socketpair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        self.addCleanup(self.far.close)
        self.far.setblocking(False)
        loop = asyncio.get_running_loop()
        self.reader = CallerReader()
        transport, protocol = await loop.create_connection(
            lambda: asyncio.StreamReaderProtocol(self.reader), sock=near
        )
        self.addCleanup(transport.abort)
        writer = asyncio.StreamWriter(transport, protocol, self.reader, loop)
        self.stream = CallerStream(self.reader, writer, LIMIT_BYTES)

    async def start_reading(self, inside_batch: bool) -> asyncio.Task:
        reading = asyncio.create_task(self.stream.next_frame(inside_batch))
        await asyncio.sleep(0)
        return reading

    async def test_message_received_before_a_stop_is_returned(self):
        reading = await self.start_reading(inside_batch=False)
        self.reader.feed_data(QUERY)
        self.stream.stop_if_idle()
        self.assertEqual((await reading).kind, b"Q")

    async def test_stop_ends_the_wait_for_the_rest_of_a_batch(self):
        reading = await self.start_reading(inside_batch=True)
        self.stream.stop_if_idle()
        await asyncio.sleep(0)
        self.assertFalse(reading.done())
        self.stream.stop()
        with self.assertRaises(StreamStoppedError):
            await reading

    async def test_write_waits_until_no_byte_is_left_in_the_process(self):
        data = b"x" * 50_000
        writing = asyncio.create_task(self.stream.write(data))
        await asyncio.sleep(0.1)
        self.assertFalse(writing.done())
        loop = asyncio.get_running_loop()
        received = 0
        while received < len(data):
            received += len(await loop.sock_recv(self.far, 65_536))
        await writing
