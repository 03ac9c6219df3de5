import asyncio
import unittest

from standins.relay import Relay, Route


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        port = self.server.sockets[0].getsockname()[1]
        self.relay = Relay((Route("way", "127.0.0.1:0", f"127.0.0.1:{port}", 20),))
        await self.relay.start()
        self.addAsyncCleanup(self.relay.close)

    async def echo(self, reader, writer):
        while data := await reader.read(65_536):
            writer.write(data)
        writer.close()

    async def connect(self):
        address = self.relay.address("way")
        reader, writer = await asyncio.open_connection(address.host, address.port)
        self.addCleanup(writer.close)
        return reader, writer

    async def test_delay_applies_to_each_direction_and_large_data_arrives_completely(self):
        reader, writer = await self.connect()
        loop = asyncio.get_running_loop()
        started = loop.time()
        writer.write(b"ping")
        self.assertEqual(await reader.readexactly(4), b"ping")
        self.assertGreaterEqual(loop.time() - started, 0.04)
        data = bytes(range(256)) * 8_000
        writer.write(data)
        self.assertEqual(await asyncio.wait_for(reader.readexactly(len(data)), 10), data)

    async def test_cut_route_buffers_bytes_and_end_of_stream_until_healed(self):
        reader, writer = await self.connect()
        writer.write(b"one")
        await reader.readexactly(3)
        self.relay.cut("way")
        writer.write(b"two")
        writer.write_eof()
        fresh_reader, fresh_writer = await self.connect()
        fresh_writer.write(b"new")
        for waiting in (reader, fresh_reader):
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(waiting.read(1), 0.2)
        self.relay.heal("way")
        self.assertEqual(await asyncio.wait_for(reader.read(), 5), b"two")
        self.assertEqual(await asyncio.wait_for(fresh_reader.readexactly(3), 5), b"new")

    async def test_commands_answer_ok_or_an_error(self):
        self.assertEqual(self.relay.run_command("cut way"), "ok")
        self.assertEqual(self.relay.run_command("heal way"), "ok")
        self.assertEqual(self.relay.run_command("delay way 5"), "ok")
        for line in ("cut other", "delay way soon", "dance"):
            self.assertTrue(self.relay.run_command(line).startswith("error"), line)
