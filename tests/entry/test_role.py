import asyncio
import random
import unittest

from hickorywind.entry.role import EntryRole
from hickorywind.ids import AvailabilityZone, HostId, Region, Role
from hickorywind.results import UserError
from hickorywind.settings.schema import DaemonSettings, EntrySettings
from hickorywind.util.clock import MonotonicClock


def make_settings(entry: EntrySettings | None) -> DaemonSettings:
    return DaemonSettings(
        HostId("h1"),
        AvailabilityZone("adum"),
        Region("ashanti"),
        Role.ENTRY,
        controllers=("127.0.0.1:1",),
        entry=entry,
    )


class EntryRoleTest(unittest.IsolatedAsyncioTestCase):
    def make(self, entry):
        rng = random.Random(1)
        return EntryRole.from_settings(make_settings(entry), MonotonicClock(), rng, None, None)

    async def test_missing_section_is_a_user_error(self):
        with self.assertRaises(UserError):
            self.make(None)

    async def test_without_a_configuration_callers_are_refused_and_drain_ends_the_role(self):
        role = self.make(EntrySettings("127.0.0.1:0", drain_timeout_ms=500))
        running = asyncio.create_task(role.run())
        async with asyncio.timeout(5):
            while role.address is None:
                await asyncio.sleep(0.01)
            reader, writer = await asyncio.open_connection(role.address.host, role.address.port)
            writer.write(b"\0\0\0\x14\0\3\0\0user\0crew\0\0\0")
            answer = await reader.read()
            self.assertIn(b"[5003]", answer)
            writer.close()
            await role.drain()
            await running

    async def test_address_in_use_ends_the_role_with_an_error(self):
        blocker = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        self.addCleanup(blocker.close)
        port = blocker.sockets[0].getsockname()[1]
        with self.assertRaises(OSError):
            await self.make(EntrySettings(f"127.0.0.1:{port}")).run()
