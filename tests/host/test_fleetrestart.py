"""A fleet of two regions that loses power and starts at once, behind the link between them."""

import asyncio
import os
import unittest.mock
from collections import Counter
from datetime import timedelta

from hickorywind.failover.leadership import (
    LeadershipPhase,
    LeadershipRecord,
    decode_leadership,
    encode_record,
)
from hickorywind.host.failovermanager import RANK_DELAY
from hickorywind.host.fleet import HOSTS_PREFIX, LEADERSHIP_PREFIX
from hickorywind.ids import BackendId, Revision, Term
from hickorywind.observability.trafficmeter import CONTROL_BYTES_PER_SECOND
from hickorywind.ports.coordination import ItemWritten, Lease, LeaseId
from hickorywind.protocol.messages import CopiedItem, CopyReply, ReachQuery
from tests.host.harness import SERVICE, HostTestCase, RunningHost
from tests.host.regionlink import CALL_BYTES, RegionLink
from tests.host.virtualtime import Gate, VirtualClock, VirtualLoop
from tests.ports import wait_until_free

ZONES = {"z0": "r0", "z1": "r0", "z2": "r1", "z3": "r1"}
SERVER_ZONES = {"i-a": "z2", "i-b": "z0", "i-c": "z1"}
STORE_REGION = "r0"
HOST_COUNT = int(os.environ.get("HICKORYWIND_FLEET_HOSTS", "48"))
FULL_SIZE = 195
FULL_LINK_BYTES_PER_SECOND = 75_000_000 / 8
SERVICE_COUNT = 10
DOWN_SECONDS = 0.8
RECOVERY_SECONDS = 5.0  # the stated aim
SETTLED_SECONDS = 8.0
SUSPICION_SECONDS = 0.25  # between failed connections to a primary whose connections are scarce


class FleetRestartTest(HostTestCase):
    host_count = HOST_COUNT

    def _setupAsyncioRunner(self):  # noqa: N802
        # Without the loop's debug mode, which takes most of the time of a large fleet.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualLoop)

    async def asyncSetUp(self):
        # What a start reads grows with the square of the fleet.
        share = min(1.0, (HOST_COUNT / FULL_SIZE) ** 2)
        loop = asyncio.get_running_loop()
        self.link = RegionLink(loop, FULL_LINK_BYTES_PER_SECOND * share)
        await super().asyncSetUp()
        await asyncio.sleep(SETTLED_SECONDS)
        self.link.sent.clear()

    def start_host(self, name, settings=None, is_cut=False):
        self.network.region_link = self.link
        zone = f"z{int(name[1:]) % len(ZONES)}"
        region = self.link.regions[name] = ZONES[zone]
        host = self.hosts[name] = Gate(name).run(
            RunningHost,
            name,
            self.store,
            self.group,
            settings,
            is_cut,
            VirtualClock(self.loop),
            zone,
            ZONES,
            {"store_watchers_per_zone": 2},
        )

        async def carry_answer(call, size_bytes):
            await self.link.carry_answer(STORE_REGION, region, call, size_bytes or CALL_BYTES)

        host.coordinator.carry_answer = carry_answer

    async def register(self, server, **changes):
        await super().register(server, **{"zone": SERVER_ZONES[server.backend]} | changes)

    async def delay_connection(self, host, address):
        for server in self.group.servers.values():
            if server.address == address:
                region = ZONES[SERVER_ZONES[server.backend]]
                await self.link.connect(self.link.regions[host], region)

    async def restart_all(self):
        for host in self.hosts.values():
            await host.kill()
        await asyncio.sleep(DOWN_SECONDS)
        for name, host in list(self.hosts.items()):
            await wait_until_free(host.settings.address("peers_listen"))
            self.start_host(name, host.settings)

    def closed_records(self):
        """Return the changes of primary that were begun."""
        written = [change.item for _, change in self.store.history if type(change) is ItemWritten]
        records = [
            decode_leadership(item.value)
            for item in written
            if item.key.startswith(LEADERSHIP_PREFIX)
        ]
        return [record for record in records if record.phase is LeadershipPhase.CLOSED]

    def ended_leases(self):
        return sum(host.coordinator.calls.count("end") for host in self.hosts.values())

    def suspect_primary(self, hosts):
        """Report the primary as callers' failed connections do."""
        for host in hosts:
            manager = host.role._failover_manager
            Gate(host.settings.host).run(manager.report_suspect, SERVICE, "connecting failed")

    async def test_hosts_that_start_at_once_take_no_running_process_for_ended(self):
        await self.restart_all()
        started = self.loop.time()
        while self.loop.time() < started + SETTLED_SECONDS:
            await asyncio.sleep(SUSPICION_SECONDS)
            self.suspect_primary(self.hosts.values())
            if self.loop.time() > started + RECOVERY_SECONDS:
                self.assertTrue(self.is_open())
        self.assertEqual((self.closed_records(), self.ended_leases()), ([], 0))

    async def test_primary_behind_a_full_link_is_not_replaced(self):
        """Guards issue 60: the hosts of one region, all behind that link, outvoted the other's."""
        for second in range(4):
            for region in set(ZONES.values()):
                # Held up by more than the time-outs of probes and calls, which go on.
                size_bytes = int(self.link._bytes_per_second * 1.2)
                self.link.carry(region, None, "other traffic", size_bytes)
            self.suspect_primary(list(self.hosts.values())[second::4])
            await asyncio.sleep(1.0)
        await asyncio.sleep(SETTLED_SECONDS)
        self.assertEqual((self.closed_records(), self.ended_leases()), ([], 0))
        self.assertTrue(self.is_open())

    async def test_primary_that_is_back_is_not_replaced_by_hosts_that_left_it_to_others(self):
        """Guards issue 60: a host replaced a primary 26 s after it had found it failed."""

        def rank(name):
            return self.hosts[name].role._failover_manager._rank(SERVICE)

        last = max(self.hosts, key=rank)
        for name in (last, *self.hosts[last].role._peers.table.voters()):
            self.refused.add((name, self.group.servers["i-a"].address))
        self.suspect_primary([self.hosts[last]])
        await asyncio.sleep(0.2)
        self.refused.clear()
        await asyncio.sleep(HOST_COUNT * RANK_DELAY.total_seconds())
        self.assertEqual(self.closed_records(), [])

    async def sent_by_kind(self, seconds):
        """Return the bytes that the link carries in so many seconds, by kind, for each host."""
        self.link.sent.clear()
        await asyncio.sleep(seconds)
        total = Counter()
        for (kind, _), size_bytes in self.link.sent.items():
            total[kind] += size_bytes / len(self.hosts)
        return total

    async def test_hosts_whose_leases_were_ended_do_not_read_all_registrations_again(self):
        """Guards issue 60: what they read filled the link, so that more leases were ended."""
        self.store.leases.clear()
        sent = await self.sent_by_kind(4.0)
        self.assertGreater(sent["grant"], 0)
        far_share = (
            sum(region != STORE_REGION for region in self.link.regions.values()) / HOST_COUNT
        )
        self.assertLess(sent["range items"] / far_share / 4.0, CONTROL_BYTES_PER_SECOND)

    async def test_change_of_one_leadership_record_does_not_send_all_of_them(self):
        for number in range(SERVICE_COUNT):
            await self.put_record(f"s{number}", 0)
        await asyncio.sleep(2.0)
        self.link.sent.clear()
        await self.put_record("s0", 1)
        await self.put_record("s0", 2)
        sent = await self.sent_by_kind(1.0)
        self.assertGreater(sent["CopyReply"], 0)
        self.assertLess(sent["CopyReply"], CONTROL_BYTES_PER_SECOND)

    async def put_record(self, service, change):
        record = LeadershipRecord(BackendId("i-x"), LeadershipPhase.OPEN, change, term=Term(1))
        await self.store.put(LEADERSHIP_PREFIX + service, encode_record(record))

    async def test_host_that_lacks_an_older_record_than_its_newest_gets_it_by_greeting(self):
        host = self.hosts["h7"]
        copy = host.role._fleet.copies[LEADERSHIP_PREFIX]
        await self.put_record("s0", 0)
        await self.put_record("s1", 0)
        await asyncio.sleep(2.0)
        del copy.items[LEADERSHIP_PREFIX + "s0"]
        copy._digest, copy.as_of = None, Revision(1)
        await self.wait_until(lambda: LEADERSHIP_PREFIX + "s0" in copy.items, 3.0)

    async def test_host_that_gets_a_record_by_notice_does_not_count_as_behind(self):
        """It would watch the store itself, as would those that rely on its contact."""
        fleet = self.hosts["h7"].role._fleet
        await self.put_record("s0", 0)
        revision = Revision(self.store.revision)
        fleet.record_peer_revision(LEADERSHIP_PREFIX, revision, "h3")
        self.assertIsNotNone(fleet.behind(LEADERSHIP_PREFIX))
        item = self.store.items[LEADERSHIP_PREFIX + "s0"]
        notice = CopyReply(0, LEADERSHIP_PREFIX, Revision(0), (CopiedItem.from_stored(item),))
        await self.hosts["h7"].role._handle_peer_message(notice)
        self.assertIsNone(fleet.behind(LEADERSHIP_PREFIX))

    async def test_changes_that_wait_do_not_read_all_registrations_again_and_again(self):
        far = next(name for name in self.hosts if self.link.regions[name] != STORE_REGION)
        store = self.hosts[far].role._failover_manager.store

        def read():
            return Gate(far).run(lambda: asyncio.create_task(store.read_hosts()))

        await read()
        self.link.sent.clear()
        for _ in range(10):
            for hosts in await asyncio.gather(*(read() for _ in range(SERVICE_COUNT))):
                self.assertEqual(hosts.keys(), self.hosts.keys())
            await asyncio.sleep(0.3)
        read_bytes = sum(size for (kind, _), size in self.link.sent.items() if "items" in kind)
        self.assertLess(read_bytes / 3.0, CONTROL_BYTES_PER_SECOND)
        await self.store.delete(HOSTS_PREFIX + "h3")
        self.assertNotIn("h3", await read())

    async def test_ended_leases_of_many_hosts_do_not_fill_each_greeting(self):
        calm = await self.sent_by_kind(3.0)
        for host in self.hosts.values():
            store = host.role._failover_manager.store
            ended_at = host.role._fleet.now() - timedelta(seconds=10)
            for number in range(FULL_SIZE):
                store.record_lease_end(Lease(LeaseId(10_000 + number)), ended_at)
        sent = await self.sent_by_kind(3.0)
        self.assertLess(sent["GreetingReply"], calm["GreetingReply"] * 1.2)


class UnknownServerTest(HostTestCase):
    async def test_host_that_has_not_read_the_servers_yet_does_not_call_one_unreachable(self):
        role = self.hosts["h0"].role
        fleet = role._fleet
        with unittest.mock.patch.dict(fleet.backends, clear=True):
            reply = await role._handle_peer_message(ReachQuery(1, "i-a"))
            self.assertFalse(reply.is_reachable)  # it is not registered
            copy = fleet.copies[fleet._schema.backends_prefix]
            with unittest.mock.patch.object(copy, "as_of", 0):
                self.assertIsNone(await role._handle_peer_message(ReachQuery(2, "i-a")))
