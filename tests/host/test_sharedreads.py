import asyncio
import json

from hickorywind.ids import LogPosition
from hickorywind.platform.documents import CONFIGURATION_KEY
from hickorywind.protocol.messages import SharedRead
from hickorywind.results import ResultCode
from tests.host.harness import SERVICE, HostTestCase, configuration
from tests.host.test_accounts import with_accounts

CONNECTIONS = 10  # of each server, for six hosts
UNCONNECTED_LIMIT_SECONDS = 0.1  # for a read whose home this host has not heard yet
SILENCE_LIMIT_SECONDS = 1.0  # for a read whose home is silent


class SharedReadsTest(HostTestCase):
    host_count = 6
    settings_changes = {"share_reads": True}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.configure(json.loads(configuration(2)))

    async def configure(self, document):
        document["backends"] = [{"name": SERVICE, "max_conns": CONNECTIONS}]
        await self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        await self.wait_until(
            lambda: all(
                host.role._fleet.configuration.version == document["version"]
                for host in self.hosts.values()
            )
        )
        await asyncio.sleep(3.0)

    def connections(self):
        """Return how many connections are open to each server."""
        return {name: len(each._connections) for name, each in self.group.servers.items()}

    def home_of(self, backend):
        return next(
            name
            for name, host in self.hosts.items()
            if host.role._reads.is_home_of(host.role._services[SERVICE].backends[backend])
        )

    async def test_reads_of_all_hosts_run_on_few_connections(self):
        callers = [await self.caller("views", name) for name in self.hosts]
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        for _ in range(10):
            for caller in callers:
                self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
            await asyncio.sleep(0.1)
        self.assertLessEqual(sum(self.connections().values()), len(self.hosts))

    async def test_read_sees_the_sessions_own_write(self):
        caller = await self.caller("orders")
        for value in range(20):
            await caller.ask(f"WRITE kiln {value}")
            self.assertEqual((await caller.ask("READ kiln"))[0], f"ROW {value}")

    async def test_prepared_read_runs_with_the_sessions_values(self):
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        caller = await self.caller("orders")
        await caller.ask("SET lang bn")
        await caller.ask("PREPARE p READ shape")
        for _ in range(3):
            self.assertEqual((await caller.ask("EXECUTE p kiln"))[0], "ROW 1 lang=bn")
        plain = await self.caller("orders", "h1")
        self.assertEqual((await plain.ask("READ kiln"))[0], "ROW 1")

    async def test_read_that_a_home_still_runs_when_its_host_gives_up_is_answered(self):
        document = json.loads(configuration(3))
        for route in document["routes"]:
            route["timeout_ms"] = 10_000
        await self.configure(document)
        homes = {self.home_of(backend) for backend in self.group.servers}
        name = next(name for name in self.hosts if name not in homes)
        caller = await self.caller("orders", name)
        await caller.ask("READ kiln")
        for server in self.group.servers.values():
            server.delay_seconds = 2 * self.hosts[name].settings.stop_grace_seconds
        answer = asyncio.create_task(caller.ask("READ kiln"))
        await asyncio.sleep(0.1)
        await self.hosts[name].role.drain()
        self.assertEqual((await answer)[-1], "READY I -")

    async def test_reads_go_on_when_a_home_is_silent_or_killed(self):
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        silent = self.home_of("i-b")
        name = next(each for each in self.hosts if each != silent)
        caller = await self.caller("views", name)
        self.network.cut_from.add(silent)
        self.network.cut_to.add(silent)
        for _ in range(20):
            started = self.loop.time()
            self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
            self.assertLess(self.loop.time() - started, SILENCE_LIMIT_SECONDS)
            await asyncio.sleep(0.1)

    async def test_reads_of_a_started_host_do_not_wait_for_hosts_that_have_not_started(self):
        """Load: a whole fleet starts at once, and the homes of its servers start last."""
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        for name in self.hosts:
            self.network.cut_from.add(name)
            self.network.cut_to.add(name)
        self.start_host("h9")
        started_host = self.hosts["h9"].role
        await self.wait_until(lambda: started_host.is_ready and started_host._services)
        caller = await self.caller("views", "h9")
        for _ in range(5):
            started = self.loop.time()
            self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
            self.assertLess(self.loop.time() - started, UNCONNECTED_LIMIT_SECONDS)

    async def test_read_at_the_primary_is_not_run_at_one_that_was_replaced(self):
        callers = [await self.caller("bookings", name) for name in self.hosts]
        await callers[0].ask("WRITE kiln 1")
        await self.group.servers["i-a"].crash()
        value = 1
        for _ in range(100):
            lines = await callers[0].ask(f"WRITE kiln {value + 1}")
            if lines[0].startswith("COMPLETE"):
                value += 1
            for caller in callers:
                lines = await caller.ask("READ kiln")
                if lines[0].startswith("ROW"):
                    self.assertEqual(lines[0], f"ROW {value}")
            await asyncio.sleep(0.05)
        self.assertGreater(value, 20)

    async def test_home_refuses_at_once_what_its_server_can_not_serve(self):
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        home = self.hosts[self.home_of("i-b")].role
        backend = home._services[SERVICE].backends["i-b"]
        backend.load.record_missing_position(LogPosition(1, 9), home._clock.now())
        for position, code in (
            (LogPosition(1, 9), ResultCode.REPLICA_BEHIND),
            (None, ResultCode.NO_PRIMARY),
        ):
            read = SharedRead(
                1, "q", SERVICE, "i-b", None, 0, "READ kiln", None, {}, position, 3000, 1000
            )
            started = self.loop.time()
            reply = await home._reads.serve(read)
            self.assertEqual(reply.refusal.code, code)
            self.assertEqual(self.loop.time(), started)

    async def test_read_that_a_server_failed_is_run_at_another_one(self):
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        callers = [await self.caller("views", name) for name in self.hosts]
        self.group.servers["i-b"].fails_reads = True
        for _ in range(5):
            for caller in callers:
                self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
        for server in self.group.servers.values():
            server.fails_reads = True
        self.assertTrue((await callers[0].ask("READ kiln"))[0].startswith("ERROR FAILED"))

    async def test_accounts_stay_on_connections_of_their_own(self):
        await self.configure(json.loads(with_accounts(3, {"acme": ["k1"], "globex": ["k3"]})))
        expected = {}
        for number in range(24):
            name = f"h{number % self.host_count}"
            key, account = (("k1", "acme"), ("k3", "globex"))[number % 2]
            caller = await self.caller("views", name, key)
            caller.number = number
            await caller.ask("READ kiln")
            expected[f"q{number + 1}"] = account
        seen = {}
        for server in self.group.servers.values():
            seen |= server.clients
        seen.pop("-", None)
        self.assertEqual(seen, expected)
