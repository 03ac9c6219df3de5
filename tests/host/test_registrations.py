import unittest

from tests.host.harness import HostTestCase


class RestartedServerTest(HostTestCase):
    async def test_leaving_server_whose_clock_went_back_before_its_restart_gets_no_reads(self):
        host, replica = self.hosts["h0"], self.group.servers["i-b"]
        await self.register(replica, born=5_000)
        await self.wait_until(lambda: self.backends()["i-b"].started_at_ms == 5_000)
        await self.register(replica, born=2_600)
        await self.register(replica, born=2_600, state="draining")
        await self.wait_until(lambda: self.backends()["i-b"].started_at_ms == 2_600, 3.0)
        service = host.role._services["ledger"]
        await self.wait_until(lambda: not service.backends["i-b"].load.is_available, 3.0)
        caller = await self.caller("views")
        replica.statements.clear()
        for _ in range(20):
            await caller.ask("READ x")
        self.assertEqual([text for text in replica.statements if "READ" in text], [])

    def backends(self):
        return self.hosts["h0"].role._fleet.backends


if __name__ == "__main__":
    unittest.main()
