"""Changes of primary where commits are acknowledged once one replica has received them."""

import asyncio

from hickorywind.failover.leadership import PERMIT_END_DELAY, LeadershipPhase
from hickorywind.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY
from tests.host.harness import SERVICE, HostTestCase, configuration

CHANGE_SECONDS = 5.0  # the stated limit for a change of primary
STANDSTILL_SECONDS = 6.0  # longer than a change, so that none is made
LEFT_SECONDS = PERMIT_END_DELAY.total_seconds() + CHANGE_SECONDS


class SyncReplicaTestCase(HostTestCase):
    host_count = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.group.sync_replicas = 1
        await self.store.put(CONFIGURATION_KEY, configuration(2, sync_replicas=1))
        await self.wait_until(
            lambda: all(
                host.role._services[SERVICE].sync_replicas == 1 for host in self.hosts.values()
            )
        )
        self.primary, self.second, self.deaf = (
            self.group.servers[name] for name in ("i-a", "i-b", "i-c")
        )
        self.numbers = iter(range(1_000_000))
        for name in self.hosts:
            writing = asyncio.create_task(self.write_repeatedly(name))
            self.addCleanup(writing.cancel)
        await self.wait_until(lambda: len(self.group.commits) > 10)

    async def write_repeatedly(self, host):
        while True:
            caller = await self.caller("bookings", host)
            while (await caller.ask(f"WRITE row-{next(self.numbers)} 1"))[0]:
                await asyncio.sleep(0.02)

    def record(self):
        return self.hosts["h0"].role._fleet.permits.leadership(SERVICE).record

    def assert_holds_all(self, server):
        """Check that a server has all acknowledged commits."""
        lost = [item for item, _ in self.group.commits if item not in server.data]
        self.assertEqual(lost, [])

    async def let_only_second_receive(self):
        self.deaf.is_receiving = False
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before + 5)

    def promoted(self):
        return [backend for _, backend, _ in self.group.promotions]

    async def stand_still(self):
        await asyncio.sleep(STANDSTILL_SECONDS)
        self.assertEqual(self.promoted(), [])


class FailedPrimaryTest(SyncReplicaTestCase):
    async def test_leaving_replica_with_all_commits_is_promoted(self):
        """Guards review/1: one that had received nothing was promoted over it."""
        await self.register(self.second, state="draining")
        await self.let_only_second_receive()
        await self.primary.crash()
        await self.wait_until(lambda: self.group.primary is self.second, CHANGE_SECONDS)
        self.assert_holds_all(self.second)

    async def test_replica_that_may_hold_commits_is_waited_for(self):
        await self.let_only_second_receive()
        self.second.is_silent = True
        await self.primary.crash()
        await self.stand_still()
        self.second.is_silent = False
        await self.wait_until(lambda: self.group.primary is self.second, CHANGE_SECONDS)
        self.assert_holds_all(self.second)

    async def test_replica_that_is_no_longer_registered_is_not_waited_for(self):
        await self.second.crash()
        await self.primary.crash()
        await self.store.delete(BACKENDS_PREFIX + self.second.backend)
        await self.wait_until(lambda: self.group.primary is self.deaf, 2 * CHANGE_SECONDS)
        self.assert_holds_all(self.deaf)

    async def test_primary_that_returns_meanwhile_is_used_again(self):
        await self.let_only_second_receive()
        self.second.is_silent = True
        await self.primary.crash()
        await self.stand_still()
        await self.primary.start()
        self.deaf.is_receiving = True
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before, CHANGE_SECONDS)
        self.assertEqual(self.promoted(), [])

    async def test_candidate_that_falls_behind_after_its_choice_is_not_promoted(self):
        """Commits are acknowledged until the last host has stopped using the primary."""
        self.second.is_receiving = False
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before + 5)
        self.second.is_receiving, self.deaf.is_receiving = True, False
        self.second.log_offset, self.second.data = self.primary.log_offset, dict(self.primary.data)
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before + 5)
        await self.primary.crash()
        await self.wait_until(lambda: self.group.primary is not self.primary, CHANGE_SECONDS)
        self.assert_holds_all(self.group.primary)


class LeavingPrimaryTest(SyncReplicaTestCase):
    async def test_silent_replica_does_not_hold_up_a_successor_that_has_caught_up(self):
        self.deaf.is_silent = True
        await self.register(self.primary, state="draining")
        await self.wait_until(lambda: self.group.primary is self.second, CHANGE_SECONDS)
        self.assert_holds_all(self.second)

    async def test_primary_is_used_again_if_no_successor_is_known_to_hold_its_log(self):
        """The successor falls behind and the other replica falls silent once the record closes."""
        closed = []

        def fall_behind(service):
            if self.record().phase is LeadershipPhase.CLOSED and not closed:
                closed.append(self.record())
                self.second.is_receiving, self.deaf.is_silent = False, True
                self.primary.log_offset += 1

        self.hosts["h0"].role._fleet.leadership_listeners.append(fall_behind)
        await self.register(self.primary, state="draining")
        await self.wait_until(
            lambda: closed and self.record().phase is LeadershipPhase.OPEN, 2 * CHANGE_SECONDS
        )
        self.assertEqual((self.record().primary, self.promoted()), (self.primary.backend, []))

    async def test_primary_stays_until_a_successor_has_received_its_log(self):
        for server in (self.second, self.deaf):
            server.is_receiving = False
        self.primary.log_offset += 1  # of which no replica knows
        await self.register(self.primary, state="draining")
        await asyncio.sleep(CHANGE_SECONDS / 2)
        self.assertEqual(self.promoted(), [])
        self.assertEqual(self.record().phase, LeadershipPhase.OPEN)
        self.second.is_receiving = True
        self.second.follow(self.primary)
        await self.wait_until(lambda: self.group.primary is self.second, LEFT_SECONDS)
        self.assert_holds_all(self.second)
