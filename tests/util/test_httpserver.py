import asyncio
import unittest
from datetime import timedelta

from hickorywind.ids import Address
from hickorywind.util.httpclient import HttpCallError, HttpClient
from hickorywind.util.httpserver import HttpServer, Page
from tests.ports import free_address

TIMEOUT = timedelta(seconds=2)


class HttpServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = free_address()
        self.server = HttpServer({"/ready": lambda: Page(200, b"yes")})
        await self.server.start(self.address)
        self.addCleanup(self.server.close)
        self.client = HttpClient()
        self.addAsyncCleanup(self.client.close)

    async def send(self, data):
        """Send raw bytes on a new connection; return what comes back, nothing if it is reset."""
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        writer.write(data)
        writer.write_eof()
        try:
            async with asyncio.timeout(2.0):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def get(self, target, method="GET"):
        return await self.client.call(self.address, method, target, TIMEOUT)

    async def test_page_is_served_again_on_the_same_connection(self):
        for _ in range(3):
            answer = await self.get("/ready")
            self.assertEqual((answer.status, answer.body), (200, b"yes"))
        (connections,) = self.client._idle.values()
        self.assertEqual(len(connections), 1)

    async def test_other_paths_and_methods_are_refused(self):
        self.assertEqual((await self.get("/other")).status, 404)
        self.assertEqual((await self.get("/ready", "POST")).status, 405)
        self.assertEqual((await self.get("/ready?verbose=1")).status, 200)

    async def test_malformed_requests_end_only_their_connection(self):
        for data in (
            b"",
            b"\x00\xff\r\n\r\n",
            b"GET\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"A" * 200_000,
        ):
            with self.subTest(data=data[:20]):
                self.assertNotIn(b" 200 ", await self.send(data))
        self.assertEqual((await self.get("/ready")).status, 200)

    async def test_probe_of_an_old_client_is_answered(self):
        answer = await self.send(b"GET /ready HTTP/1.0\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)


class HttpClientTest(unittest.IsolatedAsyncioTestCase):
    async def call_server(self, answer, timeout=timedelta(milliseconds=300)):
        """Call a server that sends fixed bytes and closes the connection if they end."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            if answer.endswith(b"END"):
                await asyncio.sleep(0.05)
                writer.transport.abort()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = HttpClient()
        try:
            address = Address(*server.sockets[0].getsockname())
            return await client.call(address, "GET", "/", timeout)
        finally:
            await client.close()
            server.close()

    async def test_answers_that_are_no_http_or_end_early_are_errors(self):
        for answer in (
            b"",
            b"\x00\x01\x02\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nEND",
        ):
            with self.subTest(answer=answer), self.assertRaises(HttpCallError):
                await self.call_server(answer)

    async def test_refused_connection_is_an_error(self):
        client = HttpClient()
        with self.assertRaises(HttpCallError):
            await client.call(free_address(), "GET", "/", timedelta(milliseconds=300))
