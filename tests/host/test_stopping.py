import asyncio

from tests.host.harness import HostTestCase


class StoppingTest(HostTestCase):
    async def test_host_stops_within_its_grace_while_the_store_is_silent(self):
        """The soak found it: the host waited a second for the store after nearly all its grace."""
        host = self.hosts["h0"]
        caller = await self.caller("bookings")
        busy = asyncio.create_task(self.keep_busy(caller))
        await asyncio.sleep(0.2)
        host.coordinator.is_silent = True
        started = self.loop.time()
        await host.role.drain()
        busy.cancel()
        self.assertLessEqual(self.loop.time() - started, host.settings.stop_grace_seconds)

    async def keep_busy(self, caller):
        while "READY" in (await caller.ask("READ x"))[-1]:
            await asyncio.sleep(0.05)
