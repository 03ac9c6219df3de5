"""Play a schedule of faults against hosts in one thread, with time that is moved by hand."""

import asyncio
import contextlib
import functools
import unittest.mock

import hickorywind.host.peers
from hickorywind.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY
from hickorywind.ports.coordination import PromotionOutcome
from standins.lineplatform.group import LineGroup
from standins.lineplatform.memorystore import MemoryStore
from tests.host.faults import HOST_COUNT, FaultKind
from tests.host.harness import SERVERS, SERVICE, Caller, RunningHost, configuration, registration
from tests.host.histories import STALENESS_SECONDS, History
from tests.host.memorypeers import MemoryNetwork
from tests.host.virtualtime import Gate, VirtualClock, VirtualLoop
from tests.ports import free_address

STARTING_SECONDS = 12.0
STEP_SECONDS = 0.12
PATIENCE_SECONDS = 8.0  # callers leave a connection that answers nothing for so long
LATE_SECONDS = 1.5
SLOW_SECONDS = 0.5  # near what a status question may take
ZONES = {"z0": "r1", "z1": "r1", "z2": "r2"}
SERVER_ZONES = dict(zip(SERVERS, ZONES, strict=True))

_settings = {}  # of hosts by their names: sites in turn use the same addresses
_server_addresses = {}


def play(schedule, recovery_seconds):
    """Play a schedule and return the problems found."""
    return play_history(schedule, recovery_seconds).problems


def play_history(schedule, recovery_seconds):
    """Play a schedule and return what callers saw."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_play(schedule, recovery_seconds))


async def _play(schedule, recovery_seconds):
    site = Site()
    network = site.network
    with (
        unittest.mock.patch.object(hickorywind.host.peers, "Link", network.make_link),
        unittest.mock.patch.object(hickorywind.host.peers, "Listener", network.make_listener),
    ):
        await site.start()
        try:
            await site.suffer(schedule)
            await site.recover(recovery_seconds)
        finally:
            await site.stop()
    return site.history


class Site:
    """Run hosts, servers and callers, and cause faults."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.clock = VirtualClock(loop)
        self.now = loop.time
        self.network = MemoryNetwork()
        self.store = MemoryStore()
        self.group = LineGroup(SERVICE, SERVERS)
        self.history = History(self.group, self.now)
        self.hosts = {}
        self.gates = {}
        self.is_ending = False
        self._callers = []
        self._values = {}
        self._late_seconds = None
        self._is_order_lost = False
        self._lead = self.group.lead
        self.group.lead = self._lead_and_note
        self._promote = self.group.promote
        self.group.promote = self._promote_as_ordered

    # Life --------------------------------------------------------------------------------------

    async def start(self):
        for name, server in self.group.servers.items():
            server.address = _server_addresses.setdefault(name, free_address())
        await self.group.start()
        await self.store.put(CONFIGURATION_KEY, configuration(1))
        for server in self.group.servers.values():
            await self.register(server)
        for number in range(HOST_COUNT):
            self.start_host(f"h{number}")
        async with asyncio.timeout(STARTING_SECONDS):
            while not all(host.primary() for host in self.hosts.values()):
                await asyncio.sleep(0.05)
        for name in self.hosts:
            for work in (self._write_and_read, self._read_others, self._read_stale):
                self._callers.append(asyncio.create_task(self._call(name, work)))

    def start_host(self, name):
        gate = self.gates[name] = Gate(name)
        make = functools.partial(
            RunningHost,
            settings=_settings.get(name),
            clock=self.clock,
            zone=name.replace("h", "z"),
            zones=ZONES,
        )
        host = gate.run(make, name, self.store, self.group)
        _settings[name] = host.settings
        self.hosts[name] = host

    async def register(self, server, state="ready"):
        value = registration(server, state, zone=SERVER_ZONES[server.backend])
        await self.store.put(BACKENDS_PREFIX + server.backend, value)

    async def stop(self):
        self.is_ending = True
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        for name, host in self.hosts.items():
            self.gates[name].open()
            await host.kill()
        await self.group.stop()
        self.history.check_end()

    async def recover(self, limit_seconds):
        """Check that writes flow again through every host."""
        begun = self.now()
        for name in self.hosts:
            answers = []
            while not answers or not answers[-1].startswith("COMPLETE"):
                if self.now() > begun + limit_seconds:
                    told = f"no write through {name} within {limit_seconds} s: {answers[-3:]}"
                    self.history.problems.append(told)
                    return
                answers.append(await self._probe(name, len(answers)))
                await asyncio.sleep(STEP_SECONDS)

    async def _probe(self, name, number):
        with contextlib.suppress(OSError, TimeoutError):
            caller = await self._connect(name, "bookings")
            try:
                async with asyncio.timeout(1.0):
                    return (await caller.ask(f"WRITE probe-{name} {number}"))[0]
            finally:
                caller.close()
        return ""

    # Callers -----------------------------------------------------------------------------------

    async def _connect(self, name, database):
        return await Caller.connect(self.hosts[name].settings.callers_listen, database)

    async def _call(self, name, work):
        while not self.is_ending:
            with contextlib.suppress(OSError, TimeoutError):
                await work(name)
            await asyncio.sleep(STEP_SECONDS)

    async def _ask(self, caller, text):
        async with asyncio.timeout(PATIENCE_SECONDS):
            return (await caller.ask(text))[0]

    async def _write_and_read(self, name):
        """Count up an item, and read it in the same session."""
        item = f"own-{name}"
        caller = await self._connect(name, "orders")
        try:
            while True:
                value = self._next_value(item)
                answer = await self._write(caller, item, value)
                if not answer:
                    return
                floor, begun = self.history.floor(item), self.now()
                answer = await self._ask(caller, f"READ {item}")
                self.history.check_read("own", item, floor, begun, answer)
                await asyncio.sleep(STEP_SECONDS)
        finally:
            caller.close()

    async def _write(self, caller, item, value):
        self.history.note_write(item, value, "")
        answer = await self._ask(caller, f"WRITE {item} {value}")
        self.history.note_write(item, value, answer)
        return answer

    def _next_value(self, item):
        self._values[item] = self._values.get(item, 0) + 1
        return self._values[item]

    async def _read_others(self, name):
        """Read at the primary what another host's callers wrote."""
        await self._read_items(name, "bookings", "newest", 0.0)

    async def _read_stale(self, name):
        """Read within the bound of age what another host's callers wrote."""
        await self._read_items(name, "views", "bounded", STALENESS_SECONDS)

    async def _read_items(self, name, database, what, age_seconds):
        others = [other for other in self.hosts if other != name]
        caller = await self._connect(name, database)
        try:
            while True:
                for other in others:
                    item = f"own-{other}"
                    floor, begun = self.history.floor(item, age_seconds), self.now()
                    answer = await self._ask(caller, f"READ {item}")
                    self.history.check_read(what, item, floor, begun, answer)
                    if not answer:
                        return
                    await asyncio.sleep(STEP_SECONDS)
        finally:
            caller.close()

    # Faults ------------------------------------------------------------------------------------

    async def suffer(self, schedule):
        """Cause the faults of a schedule and return when the last has ended."""
        await asyncio.gather(*(self._suffer_one(fault) for fault in schedule))

    async def _suffer_one(self, fault):
        await asyncio.sleep(fault.at_ms / 1000)
        heal = await self._cause(fault)
        await asyncio.sleep(fault.for_ms / 1000)
        await heal()

    async def _cause(self, fault):
        """Cause a fault and return what ends it."""
        name = f"h{fault.victim}"
        server = self.group.servers[SERVERS[fault.victim]]
        match fault.kind:
            case FaultKind.SERVER_CRASHES:
                return await self._crash(server)
            case FaultKind.PRIMARY_CRASHES:
                return await self._crash(self.group.leader)
            case FaultKind.SERVER_SILENT:
                return self._switch(server, "is_silent", True)
            case FaultKind.PRIMARY_SILENT:
                return self._switch(self.group.leader, "is_silent", True)
            case FaultKind.PRIMARY_SLOW:
                return self._switch(self.group.leader, "delay_seconds", SLOW_SECONDS, 0.0)
            case FaultKind.SERVER_DEAF:
                return self._switch(server, "is_receiving", False)
            case FaultKind.PRIMARY_NOT_TOLD:
                return self._switch(self.group.leader, "is_told", False)
            case FaultKind.PRIMARY_LEAVES:
                return await self._leave(self.group.leader)
            case FaultKind.HOST_PAUSED:
                return self._pause(name)
            case FaultKind.HOST_KILLED:
                return await self._kill(name)
            case FaultKind.HOST_WITHOUT_STORE:
                return self._switch(self.hosts[name].coordinator, "is_cut", True)
            case FaultKind.HOST_STORE_SILENT:
                return self._switch(self.hosts[name].coordinator, "is_silent", True)
            case FaultKind.HOST_UNHEARD:
                return self._cut(self.network.cut_from, name)
            case FaultKind.HOST_DEAF:
                return self._cut(self.network.cut_to, name)
            case FaultKind.HOST_CUT_OFF:
                return self._cut_off(name)
            case FaultKind.STORE_DARK:
                return self._switch(self.store, "is_dark", True)
            case FaultKind.STORE_SLOW:
                return self._switch(self.store, "delay_seconds", SLOW_SECONDS, 0.0)
            case FaultKind.STORE_ANSWER_LOST:
                return self._switch(self.hosts[name].coordinator, "lose_next_answer", True)
            case FaultKind.LEASE_REVOKED:
                return await self._revoke(name)
            case FaultKind.ORDER_LOST:
                return self._switch(self, "_is_order_lost", True)
            case FaultKind.ORDER_LATE:
                return self._switch(self, "_late_seconds", LATE_SECONDS)

    def _switch(self, target, attribute, value, normal=None):
        if normal is None and isinstance(value, bool):
            normal = not value
        setattr(target, attribute, value)

        async def heal():
            setattr(target, attribute, normal)
            self._catch_up()

        return heal

    async def _crash(self, server):
        was_running = server.is_running
        await server.crash()

        async def heal():
            if was_running:
                if server is not self.group.leader:
                    server.follow(self.group.leader)
                await server.start()

        return heal

    async def _leave(self, server):
        await self.register(server, state="draining")

        async def heal():
            await self.register(server)

        return heal

    def _pause(self, name):
        gate = self.gates[name]
        gate.close()

        async def heal():
            gate.open()

        return heal

    async def _kill(self, name):
        host = self.hosts[name]
        self.gates[name].open()
        await host.kill()

        async def heal():
            if self.hosts[name] is host:
                self.start_host(name)

        return heal

    def _cut(self, ways, name):
        ways.add(name)

        async def heal():
            ways.discard(name)

        return heal

    def _cut_off(self, name):
        heals = [
            self._cut(self.network.cut_from, name),
            self._cut(self.network.cut_to, name),
            self._switch(self.hosts[name].coordinator, "is_cut", True),
        ]

        async def heal():
            for each in heals:
                await each()

        return heal

    async def _revoke(self, name):
        sync = self.hosts[name].role._sync
        self.store.leases.discard(sync._lease)

        async def heal():
            pass

        return heal

    # Servers -----------------------------------------------------------------------------------

    def _catch_up(self):
        """Let replicas that receive again take what the leader holds."""
        for server in self.group.servers.values():
            is_replica = server.is_told or server.role == "replica"
            if server is not self.group.leader and server.is_receiving and is_replica:
                server.follow(self.group.leader)

    def _lead_and_note(self, chosen):
        if chosen is not self.group.leader:
            self._lead(chosen)
            self.history.note_promotion(chosen.data)
            self._catch_up()

    async def _promote_as_ordered(self, service, backend, holder, token):
        if self._late_seconds is not None:
            asyncio.get_running_loop().call_later(
                self._late_seconds, self._carry_out, service, backend, holder, token
            )
            self.group.promotions.append((holder, backend, token))
            return PromotionOutcome.UNKNOWN
        outcome = await self._promote(service, backend, holder, token)
        return PromotionOutcome.UNKNOWN if self._is_order_lost else outcome

    def _carry_out(self, service, backend, holder, token):
        if token == max(each for _, _, each in self.group.promotions):
            if self.group.servers[backend].is_running:
                self.group.lead(self.group.servers[backend])
