"""Work at a primary that a few hosts, its holders, run for all."""

import asyncio
import json

from hickorywind.failover.leadership import EVERY_HOST
from hickorywind.placement.primaryholders import HOLDER_COUNT
from hickorywind.platform.documents import CONFIGURATION_KEY
from tests.host.harness import SERVICE, HostTestCase, RunningHost, configuration
from tests.host.virtualtime import Gate, VirtualClock

CONNECTIONS = 10  # of each server, for six hosts
PRIMARY_CHANGE_SECONDS = 5.0  # the stated limit
NAMING_SECONDS = 12.0  # from the start until the record names the holders


class PrimaryHoldersTest(HostTestCase):
    host_count = 6

    def start_host(self, name, settings=None, is_cut=False):
        clock = VirtualClock(self.loop)
        changes = {"share_reads": True}
        self.hosts[name] = Gate(name).run(
            lambda: RunningHost(
                name, self.store, self.group, settings, is_cut, clock, changes=changes
            )
        )

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.loads(configuration(2))
        document["backends"] = [{"name": SERVICE, "max_conns": CONNECTIONS}]
        await self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        await self.wait_until(self.are_holders_settled, NAMING_SECONDS)

    def record(self, name="h0"):
        return self.hosts[name].role._fleet.permits.leadership(SERVICE).record

    def are_holders_settled(self):
        return all(
            len(self.record(name).holders) == HOLDER_COUNT
            and EVERY_HOST not in self.record(name).former_holders
            for name in self.hosts
        )

    @property
    def holders(self):
        return self.record(next(iter(self.hosts))).holders

    def others(self):
        return [name for name in self.hosts if name not in self.holders]

    def connections(self, backend="i-a"):
        return len(self.group.servers[backend]._connections)

    async def test_work_of_all_hosts_takes_few_connections(self):
        callers = [await self.caller("bookings", name) for name in self.hosts for _ in range(3)]

        async def work(number, caller):
            for value in range(10):
                self.assertEqual((await caller.ask("BEGIN"))[-1].split()[1], "T")
                await caller.ask(f"WRITE k{number} {value}")
                self.assertTrue((await caller.ask("COMMIT"))[0].startswith("COMPLETE"))
                self.assertEqual((await caller.ask(f"READ k{number}"))[0], f"ROW {value}")

        await asyncio.gather(*(work(*each) for each in enumerate(callers)))
        self.assertLessEqual(self.connections(), CONNECTIONS)
        for name in self.others():
            service = self.hosts[name].role._services[SERVICE]
            # One may be kept for reads, whose home is another host than the holders.
            self.assertLessEqual(service.backends["i-a"].connections.open_count, 1, name)

    async def test_session_values_and_prepared_statements_go_along(self):
        caller = await self.caller("bookings", self.others()[0])
        await caller.ask("SET lang bn")
        await caller.ask("PREPARE w WRITE shape")
        await caller.ask("PREPARE r READ shape")
        self.assertTrue((await caller.ask("EXECUTE w kiln 7"))[0].startswith("COMPLETE"))
        self.assertEqual((await caller.ask("EXECUTE r kiln"))[0], "ROW 7 lang=bn")
        await caller.ask("BEGIN")
        await caller.ask("EXECUTE w kiln 8")
        self.assertEqual((await caller.ask("EXECUTE r kiln"))[0], "ROW 7 lang=bn")
        await caller.ask("COMMIT")
        self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 8 lang=bn")

    async def test_rollback_and_a_caller_that_leaves_keep_nothing(self):
        name = self.others()[0]
        caller, leaver = await self.caller("bookings", name), await self.caller("bookings", name)
        await caller.ask("WRITE kiln 1")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 2")
        self.assertEqual((await caller.ask("ROLLBACK"))[-1].split()[1], "I")
        await leaver.ask("BEGIN")
        await leaver.ask("WRITE kiln 3")
        leaver.close()
        await asyncio.sleep(0.3)
        self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
        self.assertEqual(sum(host.role._relay.held_count for host in self.hosts.values()), 0)

    async def test_transaction_of_a_host_that_was_killed_is_rolled_back(self):
        name = self.others()[0]
        caller = await self.caller("bookings", name)
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 3")
        await self.hosts.pop(name).kill()
        await asyncio.sleep(3.0)
        self.assertEqual(sum(host.role._relay.held_count for host in self.hosts.values()), 0)

    async def write_until(self, caller, seconds):
        """Write increasing values; return those acknowledged and those in doubt."""
        acknowledged, doubtful, value = [], [], 0
        until = self.loop.time() + seconds
        while self.loop.time() < until:
            value += 1
            lines = await caller.ask(f"WRITE kiln {value}")
            if lines[0].startswith("COMPLETE"):
                acknowledged.append((self.loop.time(), value))
            elif lines[0].startswith("ERROR INDOUBT"):
                doubtful.append(value)
            await asyncio.sleep(0.02)
        return acknowledged, doubtful

    async def test_killed_holder_is_replaced_and_no_write_runs_twice(self):
        callers = [await self.caller("bookings", name) for name in self.others()]
        killed = self.holders[0]
        work = [asyncio.create_task(self.write_until(caller, 8.0)) for caller in callers]
        await asyncio.sleep(1.0)
        await self.hosts.pop(killed).kill()
        results = await asyncio.gather(*work)
        for acknowledged, doubtful in results:
            times = [at for at, _ in acknowledged]
            gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
            self.assertLess(max(gaps), 1.0)
            self.assertLessEqual(len(doubtful), 1)
        self.assertNotIn(killed, self.holders)
        self.assertEqual(len(self.holders), HOLDER_COUNT)

    async def test_write_whose_reply_is_lost_is_in_doubt_and_not_repeated(self):
        caller = await self.caller("bookings", self.others()[0])
        await caller.ask("WRITE kiln 1")
        written = self.group.servers["i-a"].log_offset
        for holder in self.holders:
            self.network.cut_from.add(holder)
        started = self.loop.time()
        lines = await caller.ask("WRITE kiln 2")
        self.assertTrue(lines[0].startswith("ERROR INDOUBT"), lines)
        self.assertLess(self.loop.time() - started, 1.0)
        await asyncio.sleep(3.0)
        self.assertEqual(self.group.servers["i-a"].log_offset, written + 1)

    async def test_crashed_primary_is_replaced_although_another_host_is_silent(self):
        """Nobody waits for the permit of a host that is no holder."""
        silent, *others = self.others()
        caller = await self.caller("bookings", others[0])
        writes = asyncio.create_task(self.write_until(caller, 12.0))
        await asyncio.sleep(1.0)
        self.network.cut_from.add(silent)
        self.network.cut_to.add(silent)
        self.hosts[silent].coordinator.is_cut = True
        await asyncio.sleep(0.5)
        self.group.servers["i-a"].is_silent = True
        acknowledged, _ = await writes
        times = [at for at, _ in acknowledged]
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        self.assertLess(max(gaps), PRIMARY_CHANGE_SECONDS)
        self.assertNotEqual(self.record(others[0]).primary, "i-a")

    async def test_holders_are_named_anew_after_the_loss_of_all_hosts(self):
        holders = self.holders
        for name in list(self.hosts):
            await self.restart_host(name)
        await self.wait_until(lambda: all(h.role.is_ready for h in self.hosts.values()))
        caller = await self.caller("bookings", self.others()[0])
        started = self.loop.time()
        self.assertTrue((await caller.ask("WRITE kiln 1"))[0].startswith("COMPLETE"))
        self.assertLess(self.loop.time() - started, 1.0)
        self.assertEqual(self.holders, holders)
