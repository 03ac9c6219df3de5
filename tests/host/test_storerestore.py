"""A store that comes back from an older copy and gives its revisions and leases out again."""

import asyncio

from hickorywind.failover.leadership import (
    PERMIT_END_DELAY,
    LeadershipPhase,
    LeadershipRecord,
    decode_leadership,
    encode_record,
)
from hickorywind.host.fleet import LEADERSHIP_PREFIX
from hickorywind.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY
from hickorywind.store.era import era_of
from tests.host.harness import SERVICE, HostTestCase, configuration
from tests.ports import wait_until_free

CONFIRMED_SECONDS = PERMIT_END_DELAY.total_seconds() + 4.0
RECOVERY_SECONDS = 12.0  # the stated limit for serving again after the loss of all hosts
WRITES_BETWEEN = 20  # give the store revisions out that it gives out again
OUTAGE_SECONDS = 1.0


class RestoredStoreTestCase(HostTestCase):
    host_count = 3
    store_era = 1

    async def rewrite(self, version=1):
        """Write again what operators and servers had written."""
        await self.store.put(CONFIGURATION_KEY, configuration(version))
        for server in self.group.servers.values():
            if server.is_running:
                await self.register(server)

    async def restore(self, copy, version=1):
        await self.store.restore(copy)
        await self.rewrite(version)

    def stored_record(self):
        return decode_leadership(self.store.items[LEADERSHIP_PREFIX + SERVICE].value)

    def is_confirmed(self):
        record = self.stored_record()
        return record.era == self.store.era and record.phase is LeadershipPhase.OPEN

    async def change_primary(self):
        """Replace the primary, which comes back as a replica; return both."""
        before = self.group.primary
        await before.crash()
        await self.wait_until(lambda: self.group.primary is not before and self.is_open())
        before.follow(self.group.primary)
        await before.start()
        await self.register(before)
        return before, self.group.primary

    async def restart_all(self):
        for host in self.hosts.values():
            await host.kill()
        for name, host in list(self.hosts.items()):
            await wait_until_free(host.settings.address("peers_listen"))
            self.start_host(name, host.settings)


class FencingTokenTest(RestoredStoreTestCase):
    """Guards review/2: failover orders carried lower tokens after the store came back."""

    def assert_tokens_increase(self):
        tokens = [token for _, _, token in self.group.promotions]
        self.assertEqual(tokens, sorted(set(tokens)))

    async def test_token_of_hosts_that_started_after_the_restore_is_higher(self):
        copy = self.store.copy()
        for _ in range(WRITES_BETWEEN):
            await self.store.put(CONFIGURATION_KEY, configuration(1))
        _, primary = await self.change_primary()
        await self.restore(copy)
        await primary.crash()
        await self.store.delete(BACKENDS_PREFIX + primary.backend)
        await self.restart_all()
        await self.wait_until(lambda: self.group.primary is not primary, RECOVERY_SECONDS)
        await self.wait_until(self.is_open)
        self.assertEqual(len(self.group.promotions), 2)
        self.assert_tokens_increase()

    async def test_token_of_a_later_change_by_the_same_hosts_is_higher(self):
        copy = self.store.copy()
        await self.change_primary()
        await self.restore(copy)
        await self.wait_until(self.is_confirmed, CONFIRMED_SECONDS)
        await self.change_primary()
        self.assertGreaterEqual(len(self.group.promotions), 2)
        self.assert_tokens_increase()


class RecordOfFormerPrimaryTest(RestoredStoreTestCase):
    """Guards against the use of a primary that only the older copy of the store names."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.copy = self.store.copy()
        self.former, self.primary = await self.change_primary()

    async def test_hosts_keep_the_primary_and_confirm_it(self):
        """Nobody is refused meanwhile for longer than a planned change takes."""
        caller = await self.caller("bookings")
        await self.restore(self.copy)
        used, refused = set(), 0
        until = self.loop.time() + CONFIRMED_SECONDS
        while self.loop.time() < until:
            used |= {host.primary() for host in self.hosts.values()}
            refused += not (await caller.ask("WRITE kiln 1"))[0].startswith("COMPLETE")
            await asyncio.sleep(0.05)
        self.assertLessEqual(used, {self.primary.backend, None})
        self.assertEqual(refused, 0)
        self.assertTrue(self.is_confirmed())
        self.assertEqual(self.stored_record().primary, self.primary.backend)
        self.assertEqual(self.group.commits_of_former_primary, [])

    async def test_hosts_that_know_no_record_ask_the_servers_who_leads(self):
        await self.restore(self.copy)
        before = len(self.group.promotions)
        await self.restart_all()
        used = set()
        async with asyncio.timeout(RECOVERY_SECONDS):
            while not self.is_open():
                used |= {host.primary() for host in self.hosts.values()}
                await asyncio.sleep(0.05)
        self.assertLessEqual(used, {self.primary.backend, None})
        self.assertEqual(len(self.group.promotions), before)

    async def test_change_that_the_copy_shows_as_unfinished_is_not_done_again(self):
        record = LeadershipRecord(
            "i-a", LeadershipPhase.CLOSED, 0, "h0", self.former.backend, term=1, era=1
        )
        self.copy["items"] |= {
            LEADERSHIP_PREFIX + SERVICE: self.store.items[LEADERSHIP_PREFIX + SERVICE]
        }
        await self.store.restore(self.copy)
        await self.store.put(LEADERSHIP_PREFIX + SERVICE, encode_record(record))
        await self.rewrite()
        before = len(self.group.promotions)
        await self.wait_until(self.is_confirmed, CONFIRMED_SECONDS)
        self.assertEqual(self.stored_record().primary, self.primary.backend)
        self.assertEqual(len(self.group.promotions), before)

    async def test_restored_record_of_a_planned_change_costs_no_commits(self):
        candidate = self.former  # a replica by now
        for server in self.group.servers.values():
            server.is_receiving = False
        caller = await self.caller("bookings")
        self.assertTrue((await caller.ask("WRITE kiln kept"))[0].startswith("COMPLETE"))
        record = LeadershipRecord(
            self.primary.backend,
            LeadershipPhase.CLOSED,
            self.stored_record().change,
            "gone",
            candidate.backend,
            True,
            self.primary.term,
            era=1,
        )
        await self.register(self.primary, state="draining")
        await self.store.put(LEADERSHIP_PREFIX + SERVICE, encode_record(record))
        await self.wait_until(lambda: not any(host.primary() for host in self.hosts.values()))
        await self.restore(self.store.copy())
        await asyncio.sleep(CONFIRMED_SECONDS)
        self.assertIs(self.group.primary, self.primary)
        candidate.is_receiving = True
        candidate.follow(self.primary)
        await self.wait_until(self.is_confirmed, RECOVERY_SECONDS)
        self.assertIs(self.group.primary, candidate)
        self.assertEqual(candidate.data.get("kiln"), "kept")

    async def test_record_that_the_copy_lacks_is_written_again(self):
        del self.copy["items"][LEADERSHIP_PREFIX + SERVICE]
        await self.restore(self.copy)
        await self.wait_until(lambda: LEADERSHIP_PREFIX + SERVICE in self.store.items, 3.0)
        self.assertEqual(self.stored_record().primary, self.primary.backend)
        await self.wait_until(self.is_open)


class LostRegistrationTest(RestoredStoreTestCase):
    """Guards against permits of hosts that the older copy of the store does not know."""

    async def test_hosts_register_again_although_their_leases_are_given_out_again(self):
        copy = self.store.copy()
        await self.restart_host("h2")
        await self.wait_until(self.is_open)
        registered = self.hosts["h2"].role._sync._lease
        await self.store.restore(copy)
        self.store.grant()  # the id of the lease of h2, which is somebody else's from now on
        await self.rewrite()
        await self.wait_until(
            lambda: all(host.role._sync._lease.era == 2 for host in self.hosts.values()), 3.0
        )
        self.assertEqual(registered.era, 1)

    async def restart_host(self, name, is_cut=False):
        await super().restart_host(name, is_cut)
        await self.wait_until(lambda: self.hosts[name].role._sync._lease is not None)

    async def test_records_are_confirmed_after_the_last_permit_of_the_earlier_era(self):
        copy = self.store.copy()
        await self.restore(copy)
        restored_at = self.loop.time()
        await self.wait_until(self.is_confirmed, CONFIRMED_SECONDS)
        waited = self.loop.time() - restored_at
        self.assertGreaterEqual(waited, PERMIT_END_DELAY.total_seconds())


class NewEraTest(RestoredStoreTestCase):
    async def test_changes_of_the_new_era_come_into_force_at_once(self):
        """Guards against copies that take the revisions of a restored store for old ones."""
        copy = self.store.copy()
        for version in range(2, WRITES_BETWEEN):
            await self.store.put(CONFIGURATION_KEY, configuration(version))
        await self.restore(copy, version=WRITES_BETWEEN)
        await self.store.put(CONFIGURATION_KEY, configuration(WRITES_BETWEEN + 1, ("views",)))
        await self.wait_until(
            lambda: all(
                host.role._fleet.configuration.version == WRITES_BETWEEN + 1
                for host in self.hosts.values()
            ),
            2.0,
        )

    async def test_restored_store_is_read_a_few_times(self):
        await self.check_calls()

    async def check_calls(self):
        copy = self.store.copy()
        for _ in range(WRITES_BETWEEN):
            await self.store.put(CONFIGURATION_KEY, configuration(1))
        await asyncio.sleep(OUTAGE_SECONDS)
        await self.store.restore(copy)
        before = {name: len(host.coordinator.calls) for name, host in self.hosts.items()}
        await asyncio.sleep(OUTAGE_SECONDS * 5)
        for name, host in self.hosts.items():
            self.assertLess(len(host.coordinator.calls) - before[name], 50)

    async def test_era_is_kept_with_the_revision(self):
        leadership = self.hosts["h0"].role._fleet.permits.leadership(SERVICE)
        self.assertEqual(era_of(leadership.revision), 1)


class StoreWithoutErasTest(NewEraTest):
    """A store that goes back without telling is not believed, and not called without a pause."""

    store_era = 0

    async def test_changes_of_the_new_era_come_into_force_at_once(self):
        self.assertEqual(self.store.era, 0)

    async def test_era_is_kept_with_the_revision(self):
        leadership = self.hosts["h0"].role._fleet.permits.leadership(SERVICE)
        self.assertEqual(era_of(leadership.revision), 0)
