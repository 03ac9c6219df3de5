"""Changes of primary around a server that calls itself primary in an ended term."""

import asyncio
import unittest.mock

from hickorywind.failover.leadership import LeadershipPhase, LeadershipRecord, encode_record
from hickorywind.host.fleet import LEADERSHIP_PREFIX
from hickorywind.host.promotion import PROMOTION_TIMEOUT
from hickorywind.platform.documents import BACKENDS_PREFIX
from hickorywind.ports.coordination import PromotionOutcome
from tests.host.harness import SERVICE, HostTestCase

SETTLE_SECONDS = 6.0
PROMOTION_SECONDS = 0.8  # from the accepted order until the server leads, as on the platform


class PromotionTermTestCase(HostTestCase):
    host_count = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.opened = []
        fleet = self.hosts["h0"].role._fleet
        fleet.leadership_listeners.append(lambda service: self.opened.append(self.record()))
        for name in self.hosts:
            writing = asyncio.create_task(
                self.write_repeatedly(await self.caller("bookings", name))
            )
            self.addCleanup(writing.cancel)

    async def write_repeatedly(self, caller):
        while (await caller.ask("WRITE kiln 1"))[0]:
            await asyncio.sleep(0.02)

    def record(self):
        return self.hosts["h0"].role._fleet.permits.leadership(SERVICE).record

    async def replace_and_return(self):
        """Replace i-a, which comes back as primary in its old term; return the new primary."""
        returned = self.group.servers["i-a"]
        returned.learns_of_promotions = False
        returned.log_offset += 50  # the most advanced log, of which the new primary knows nothing
        await returned.crash()
        await self.wait_until(lambda: self.is_settled(2))
        await returned.start()
        return self.group.primary

    def is_settled(self, term):
        leads = {host.primary() for host in self.hosts.values()} == {self.group.primary.backend}
        return leads and self.record().term == self.group.primary.term >= term

    async def assert_settles(self, term, seconds=SETTLE_SECONDS):
        """Check that all hosts use the actual primary and that no other one got a write."""
        await self.wait_until(lambda: self.is_settled(term), seconds)
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before, 1.0)
        self.assertEqual(self.group.commits_of_former_primary, [])
        terms = [record.term for record in self.opened]
        self.assertEqual(terms, sorted(terms))


class ReturnedPrimaryTest(PromotionTermTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        second = await self.replace_and_return()
        (third,) = {"i-b", "i-c"} - {second.backend}
        await self.group.servers[third].crash()
        self.returned = self.group.servers["i-a"]
        self.group.promotion_delay_seconds = PROMOTION_SECONDS
        await second.crash()
        await self.wait_until(lambda: self.record().candidate == "i-a")

    async def test_accepted_order_opens_nothing_before_the_new_term(self):
        await self.wait_until(lambda: self.group.promotions[-1][1] == "i-a")
        await asyncio.sleep(PROMOTION_SECONDS / 2)
        self.assertEqual(self.group.commits_of_former_primary, [])
        self.assertEqual(self.record().phase, LeadershipPhase.CLOSED)
        await self.assert_settles(3)

    async def test_candidate_that_restarts_before_the_promotion_takes_effect(self):
        await self.wait_until(lambda: self.group.promotions[-1][1] == "i-a")
        await self.returned.crash()
        await asyncio.sleep(PROMOTION_SECONDS + 0.2)
        await self.returned.start()
        await self.assert_settles(3)


class LatePromotionTest(PromotionTermTestCase):
    async def test_promotion_after_the_timeout_is_followed(self):
        self.group.promotion_delay_seconds = PROMOTION_TIMEOUT.total_seconds() + 0.3
        await self.group.servers["i-a"].crash()
        await self.assert_settles(2, 15.0)

    async def test_lost_order_is_repeated(self):
        promote = self.group.promote
        lost = []

        async def lose_the_first(*order):
            if lost:
                return await promote(*order)
            lost.append(order)
            return PromotionOutcome.ACCEPTED

        with unittest.mock.patch.object(self.group, "promote", lose_the_first):
            await self.group.servers["i-a"].crash()
            await self.assert_settles(2)

    async def test_repeated_order_changes_nothing(self):
        promote = self.group.promote

        async def repeat(*order):
            await promote(*order)
            return await promote(*order)

        with unittest.mock.patch.object(self.group, "promote", repeat):
            await self.group.servers["i-a"].crash()
            await self.assert_settles(2)
        self.assertEqual(self.group.primary.term, 2)

    async def test_takeover_opens_the_candidate_that_leads_already(self):
        record = LeadershipRecord("i-a", LeadershipPhase.CLOSED, 1, "gone", "i-b", term=1)
        await self.store.put(LEADERSHIP_PREFIX + SERVICE, encode_record(record))
        self.group.make_primary(self.group.servers["i-b"])
        await self.assert_settles(2)


class RecordedTermTest(PromotionTermTestCase):
    async def test_first_record_holds_the_term_of_the_primary(self):
        self.assertEqual((self.record().change, self.record().term), (0, 1))

    async def test_server_below_the_recorded_term_gets_no_write(self):
        for name in ("i-b", "i-c"):
            self.group.servers[name].is_receiving = False
            self.group.servers[name].term = 4
        record = LeadershipRecord("i-a", LeadershipPhase.OPEN, 5, term=4)
        await self.store.put(LEADERSHIP_PREFIX + SERVICE, encode_record(record))
        await self.wait_until(lambda: self.record().change == 5)
        before = len(self.group.commits)
        await self.wait_until(lambda: self.group.promotions != [])
        # Only writes that were under way.
        self.assertLessEqual(len(self.group.commits), before + len(self.hosts))
        await self.assert_settles(5)

    async def test_record_without_a_term_is_followed_by_one_with_a_term(self):
        record = LeadershipRecord("i-a", LeadershipPhase.OPEN, 5)
        await self.store.put(LEADERSHIP_PREFIX + SERVICE, encode_record(record))
        await self.wait_until(lambda: self.record().change == 5)
        before = len(self.group.commits)
        await self.wait_until(lambda: len(self.group.commits) > before + len(self.hosts), 1.0)
        await self.group.servers["i-a"].crash()
        await self.wait_until(lambda: self.is_settled(2))

    async def test_present_primary_under_a_new_name_does_not_block_the_change(self):
        """The platform accepts an order for it and gives it no new term."""
        server = self.group.servers["i-a"]
        for other in ("i-b", "i-c"):
            self.group.servers[other].is_receiving = False
        server.log_offset += 50
        await server.crash()
        server.backend = "i-d"
        self.group.servers["i-d"] = self.group.servers.pop("i-a")
        await server.start()
        await self.register(server)
        await self.store.delete(BACKENDS_PREFIX + "i-a")
        await self.assert_settles(2, 12.0)


class RecoveredPrimaryTest(PromotionTermTestCase):
    """A primary that is silent, and answers again while the permit of a host expires."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.silent = self.group.servers["i-a"]
        gone = self.hosts.pop("h2")
        await gone.kill()
        address = gone.settings.peers_listen.rsplit(":", 1)
        # A listener at its address that answers nothing: no proof that its process has exited.
        server = await asyncio.start_server(lambda reader, writer: None, *address)
        self.addCleanup(server.close)
        self.silent.is_silent = True
        await self.wait_until(lambda: self.record().phase is LeadershipPhase.CLOSED)

    async def test_primary_in_the_recorded_term_is_used_again(self):
        self.silent.is_silent = False
        await self.wait_until(lambda: self.record().phase is LeadershipPhase.OPEN, 3.0)
        self.assertEqual((self.record().primary, self.record().term), ("i-a", 1))
        self.assertEqual(self.group.promotions, [])

    async def test_primary_in_an_older_term_is_replaced(self):
        self.silent.term = 0
        self.silent.is_silent = False
        await self.assert_settles(2, 15.0)
