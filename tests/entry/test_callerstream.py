import asyncio
import socket
import unittest

from hickorywind.entry.callerstream import CallerReader, CallerStream

LIMIT_BYTES = 1_048_576


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
