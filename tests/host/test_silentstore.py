"""Calls that a silent store swallowed, on connections that live on."""

import asyncio

from hickorywind.platform.documents import CONFIGURATION_KEY
from hickorywind.ports.catalog import BackendState
from tests.host.harness import HostTestCase, configuration

SILENCE_SECONDS = 4.4  # as on the standard days
QUIET_SECONDS = 9.6  # from the end of the silence to the next change, beyond ``contact_ms``
CONFIGURATION_SECONDS = 4.0  # the stated limit
LEAVING_SECONDS = 2.0  # well within the stated limit for leaving servers


class SilentStoreTest(HostTestCase):
    """Guards review/3: watches sent to a silent store hid all changes for 32 s."""

    host_count = 3

    async def swallow_watches(self):
        """Let all hosts send their watches to a silent store, which answers again later."""
        for host in self.hosts.values():
            host.coordinator.calls.clear()
        await self.change_all()
        for host in self.hosts.values():
            host.coordinator.is_silent = True
        await asyncio.sleep(SILENCE_SECONDS)
        for host in self.hosts.values():
            self.assertGreaterEqual(host.coordinator.calls.count("watch"), 2)
            host.coordinator.is_silent = False
        await asyncio.sleep(QUIET_SECONDS)

    async def change_all(self):
        """Change configuration and servers, so that each host watches them anew soon after."""
        await self.store.put(CONFIGURATION_KEY, configuration(2))
        await self.register(self.group.servers["i-c"], born=2)
        await self.wait_until(lambda: self.all_have(2) and self.all_know("i-c", 2), 1.0)

    def all_have(self, version):
        fleets = [host.role._fleet for host in self.hosts.values()]
        return all(fleet.configuration.version == version for fleet in fleets)

    def all_know(self, backend, born):
        fleets = [host.role._fleet for host in self.hosts.values()]
        return all(fleet.backends[backend].started_at_ms == born for fleet in fleets)

    async def test_configuration_comes_into_force_in_time(self):
        await self.swallow_watches()
        await self.store.put(CONFIGURATION_KEY, configuration(3))
        await self.wait_until(lambda: self.all_have(3), CONFIGURATION_SECONDS)

    async def test_leaving_server_is_known_in_time(self):
        await self.swallow_watches()
        await self.register(self.group.servers["i-b"], state="draining")
        await self.wait_until(
            lambda: all(
                host.role._fleet.backends["i-b"].state is BackendState.LEAVING
                for host in self.hosts.values()
            ),
            LEAVING_SECONDS,
        )

    async def test_store_that_fails_at_once_has_its_watches_sent_once(self):
        """An error is an answer: the watches that wait at the store lose nothing."""
        await self.change_all()
        await asyncio.sleep(1.0)
        coordinator = self.hosts["h0"].coordinator
        waiting = dict(self.hosts["h0"].role._sync._watches)
        coordinator.is_cut = True
        await asyncio.sleep(SILENCE_SECONDS)
        coordinator.is_cut = False
        await asyncio.sleep(2.0)
        self.assertEqual(self.hosts["h0"].role._sync._watches, waiting)
