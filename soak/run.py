"""One run of the soak: stand-ins, host processes, callers, and the faults of a plan."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import signal
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from soak.callers import Directory, Pace, SoakCaller, probe, watch_optional_route
from soak.checks import GRACE_S, STALL_TICK_S, Disturbances, Promise, PromiseChecker
from soak.hosts import HostAddresses, HostProcess, translate_peer_links
from soak.malformed import send_malformed
from soak.plan import LINK_KINDS, Fault, FaultKind, LinkEnd, Plan
from soak.platform import (
    DEMOTION_S,
    SERVICES,
    Operators,
    SoakGroup,
    StoreFront,
    StoreMode,
    StoreState,
    find_kind,
    list_databases,
)
from soak.relay import Direction, RelayLink
from soak.servers import APPLY_S, STATEMENT_S, SoakServer
from standins.lineplatform.memorystore import MemoryStore
from standins.ports import PortBlock, PortSource

RECOVERY_S = 15.0  # a permit expires, then a primary change and its takeover
START_LIMIT_S = 20.0
SLOW_ANSWER_S = 0.5
LATE_APPLY_S = (0.5, 3.0)
LINK_DELAY_S = (0.02, 0.4)
STARVED_STOPPED_S = (0.1, 0.3)  # a starved host stands still this long
STARVED_RUNNING_S = 0.05  # and runs this long, in turn
REFUSED_SHARES = (0.01, 0.05, 0.3)  # of all statements
SPLIT_SHARE = 0.5  # of all answers
CUT_SHARES = (0.005, 0.05)
IDLE_CLOSE_INTERVAL_S = 0.3
LOW_CONNECTION_LIMIT = 2
# Of each service.
SERVERS = (("i-a", "i-b", "i-c"), ("i-d", "i-e", "i-f"), ("i-g", "i-h", "i-j"))
_MIN_BUSY_CALLERS = 6  # of each host; at least one for each database
# Apart from tests.ports, tests.standins.test_ports, standins.cluster and ephemeral ports.
_PORTS = range(31_300, 32_700)
MAX_HOST_COUNT = 8
_BLOCK_SIZE = 140  # eight hosts with 11 links each
_POLL_S = 0.05
_STORE_STOP_LIMIT_S = 0.5
_REFUSED_CONNECTION = re.compile(r" ts=(\S+)Z .*Connect call failed \('127\.0\.0\.1', (\d{5})\)")
_STORE_MODES = {
    FaultKind.STORE_SILENT: StoreMode.SILENT,
    FaultKind.STORE_BLINKS: StoreMode.SILENT,
    FaultKind.STORE_SLOW: StoreMode.SLOW,
    FaultKind.STORE_BUSY: StoreMode.BUSY,
    FaultKind.STORE_ANSWER_LOST: StoreMode.ANSWER_LOST,
}

EndFault = Callable[[], Awaitable[None]]


class SoakRun:
    """Processes, stand-ins and callers of one run."""

    def __init__(self, plan: Plan, duration_s: float, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.callers: list[SoakCaller] = []
        self.started_at = datetime.now(UTC)
        self.now_s = asyncio.get_running_loop().time
        self._duration_s = duration_s
        self._rng = random.Random(plan.seed)
        self._store = MemoryStore()
        self._store_state = StoreState(self._rng)
        self._sources: dict[int, str] = {}
        self._groups = [self._make_group(number) for number in range(plan.services)]
        self._servers = {
            name: server for group in self._groups for name, server in group.servers.items()
        }
        self._disturbances = Disturbances()
        self.checker = PromiseChecker(self._disturbances, *self._groups)
        self.checker.now_s = self.now_s
        self.checker.stopping_since_s = lambda name: self._hosts[name].stopping_since_s
        services = [group.service for group in self._groups]
        self._operators = Operators(self._store, plan.max_connections, services)
        self._ports = PortSource(PortBlock.claim(random.Random(), _PORTS, _BLOCK_SIZE))
        self._hosts: dict[str, HostProcess] = {}
        self._fronts: list[StoreFront] = []
        self._tasks: list[asyncio.Task] = []
        self._names = 0

    def _make_group(self, number: int) -> SoakGroup:
        plan, service = self.plan, SERVICES[number]
        names = SERVERS[number]
        rng = random.Random(f"{service} {plan.seed}" if number else plan.seed)
        group = SoakGroup(names, self._store, self._sources, rng, service)
        group.slot_count = plan.slots
        group.runs_received_later = plan.runs_received_later
        group.takes_orders_late = plan.takes_orders_late
        group.order_rng = random.Random(f"orders {number} {plan.seed}")
        return group

    async def run(self) -> None:
        """Play the plan; the findings are in ``checker``."""
        try:
            await self._start()
            self.checker.started_s = self.now_s()
            self.started_at = datetime.now(UTC)
            async with asyncio.TaskGroup() as group:
                for fault in self.plan.faults:
                    group.create_task(self._inject(fault))
                await asyncio.sleep(self._duration_s)
            await self._check_recovery()
            await self._stop_hosts()
            for task in self._tasks:
                if task.done():
                    task.result()  # raises the error of a caller or watcher that failed
            self.checker.finish()
            self.checker.state_counts += self._count_refusals()
        finally:
            await self._clean_up()

    @property
    def promotion_count(self) -> int:
        """Return the number of orders to promote."""
        return sum(len(group.promotions) for group in self._groups)

    @property
    def rolled_back_count(self) -> int:
        """Return the number of writes that a promoted server lacked."""
        return sum(len(group.rolled_back) for group in self._groups)

    def _count_refusals(self) -> Counter[str]:
        """Return how many links to running targets refused, and the connections logged as such."""
        counts: Counter[str] = Counter()
        for host in self._hosts.values():
            logged = _REFUSED_CONNECTION.findall(host.process.log_path.read_text())
            logged_s = [(int(port), self._to_run_time(time)) for time, port in logged]
            for name, link in host.links.items():
                target = "hosts" if name in self._hosts else "servers"
                target = "store" if name == "store" else target
                counts[f"times that links to running {target} refused"] += len(link.refused_periods)
                counts[f"refused connections to running {target} logged"] += sum(
                    port == link.listen.port and from_s <= at_s <= until_s
                    for port, at_s in logged_s
                    for from_s, until_s in link.refused_periods
                )
        return counts

    def _to_run_time(self, logged_at: str) -> float:
        at = datetime.fromisoformat(logged_at).replace(tzinfo=UTC)
        return self.checker.started_s + (at - self.started_at).total_seconds()

    # Start and stop ----------------------------------------------------------------------------

    async def _start(self) -> None:
        for server in self._servers.values():
            server.address = self._ports.next_address()
            server.connection_limit = self.plan.max_connections
        for group in self._groups:
            await group.start()
        await self._operators.change(self._rng)
        for server in self._servers.values():
            await server.group.register(server)
        for number in range(self.plan.host_count):
            host = HostProcess(number, HostAddresses.from_ports(self._ports), self.folder)
            host.on_kill = self.checker.handle_kill
            self._hosts[host.name] = host
        await self._open_links()
        for host in self._hosts.values():
            host.write_settings()
            host.start()
        await self._wait_until_open(START_LIMIT_S)
        self._start_callers()
        self._start_task(self._watch_stalls())
        self._start_task(self._watch_processes())
        self._start_task(self._match_links_to_processes())

    async def _open_links(self) -> None:
        servers = {name: server.address for name, server in self._servers.items()}
        peers = {name: host.addresses.peers for name, host in self._hosts.items()}
        for host in self._hosts.values():
            front = StoreFront(self._store, self._store_state, self._groups)
            self._fronts.append(front)
            front_address = self._ports.next_address()
            await front.start(front_address.host, front_address.port)
            targets = {"store": front_address, **servers, **peers}
            del targets[host.name]
            for name, target in targets.items():
                link = RelayLink(self._ports.next_address(), target, self._sources, host.name)
                host.links[name] = link
                await link.open()
            front.view.update(
                {
                    target.port: host.links[name].listen.port
                    for name, target in targets.items()
                    if name != "store"
                }
            )
        translate_peer_links(self._hosts, {**servers, **peers})

    def _start_callers(self) -> None:
        addresses = {name: host.addresses.callers for name, host in self._hosts.items()}
        directories = {group.service: Directory(addresses) for group in self._groups}
        for name, host in self._hosts.items():
            databases = self._databases()
            busy_count = max(len(databases), _MIN_BUSY_CALLERS)
            paces = [(databases[each % len(databases)], Pace.BUSY) for each in range(busy_count)]
            paces += [
                (databases[number % len(databases)], Pace.IDLE if number % 4 else Pace.SINGLE)
                for number in range(self.plan.idle_callers)
            ]
            for number, ((database, service), pace) in enumerate(paces):
                # Without hyphens, which end the name of the caller in a key.
                caller_name = f"{name}.{database.replace('-', '.')}.{number}"
                directory = directories[service]
                caller = SoakCaller(
                    caller_name, name, database, directory, self.checker, pace, service
                )
                self.callers.append(caller)
                self._start_task(caller.run())
            callers = host.addresses.callers
            self._start_task(watch_optional_route(name, callers, self._operators, self.checker))

    def _databases(self) -> list[tuple[str, str]]:
        """Return the databases, each with its service."""
        services = [group.service for group in self._groups]
        return [(each, service) for service in services for each in list_databases(service)]

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _wait_until_open(self, limit_s: float) -> None:
        for name in self._hosts:
            for database, _ in self._databases():
                await self._wait_for_answer(name, database, limit_s)

    async def _wait_for_answer(self, name: str, database: str, limit_s: float) -> None:
        host, text, until_s = self._hosts[name], "READ probe", self.now_s() + limit_s
        answers: list[str] = []
        while not answers or not answers[-1].startswith("ROW") or not await host.is_ready():
            if self.now_s() > until_s:
                detail = f"{database} at {name} after {limit_s} s: {answers[-3:]}"
                self.checker.report(Promise.SERVICE_RETURNS, detail)
                return
            self._names += 1
            request_id = f"probe-{self._names}"
            answers.append(await self._probe(host, database, request_id, text))
            await asyncio.sleep(_POLL_S)

    async def _check_recovery(self) -> None:
        checks = [
            self._wait_for_answer(name, database, RECOVERY_S)
            for name in self._hosts
            for database, _ in self._databases()
        ]
        written = [each for each, _ in self._databases() if find_kind(each) == "bookings"]
        checks += [self._wait_for_write(name, each) for name in self._hosts for each in written]
        await asyncio.gather(*checks)

    async def _wait_for_write(self, name: str, database: str) -> None:
        host, until_s, answers = self._hosts[name], self.now_s() + RECOVERY_S, [""]
        while not answers[-1].startswith("COMPLETE"):
            if self.now_s() > until_s:
                detail = f"no write to {database} at {name} after {RECOVERY_S} s: {answers[-3:]}"
                self.checker.report(Promise.SERVICE_RETURNS, detail)
                return
            self._names += 1
            text = f"WRITE probe-{name} probe:{self._names}"
            request_id = f"probe-{self._names}"
            answers.append(await self._probe(host, database, request_id, text))
            await asyncio.sleep(_POLL_S)

    async def _probe(self, host: HostProcess, database: str, request_id: str, text: str) -> str:
        address = host.addresses.callers
        return await probe(host.name, address, database, request_id, text, self.checker)

    async def _stop_hosts(self) -> None:
        """Stop all hosts by plan while the callers go on."""
        stop = Fault(FaultKind.HOST_STOPPED, 0, 0)
        for name, host in self._hosts.items():
            self._disturbances.begin(stop, name, self.now_s())
            host.terminate(self.now_s())
        await self._wait_for_ends(list(self._hosts.values()))

    async def _wait_for_ends(self, hosts: list[HostProcess]) -> None:
        for host in hosts:
            while host.stopping_since_s is not None:
                await asyncio.sleep(_POLL_S)

    async def _clean_up(self) -> None:
        for task in self._tasks:
            task.cancel()
        for host in self._hosts.values():  # first, so that no error leaves one behind
            if host.process.is_running:
                host.kill()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self._hosts.values():
            for link in host.links.values():
                link.close()
                link.reset()
        for group in self._groups:
            await group.stop()
        for front in self._fronts:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(front.stop(), _STORE_STOP_LIMIT_S)
        self._ports.release()

    # Watching ----------------------------------------------------------------------------------

    async def _watch_stalls(self) -> None:
        while True:
            self.checker.stalls.tick(self.now_s())
            await asyncio.sleep(STALL_TICK_S)

    async def _watch_processes(self) -> None:
        while True:
            await asyncio.sleep(_POLL_S)
            for host in self._hosts.values():
                self._check_process(host)

    def _check_process(self, host: HostProcess) -> None:
        if host.is_expected_to_run and not host.process.is_running:
            self.checker.report(Promise.STAYS_UP, f"{host.name}: {host.process.log_tail(5)}")
            self.checker.handle_kill(host.name)
            host.start()
        if host.stopping_since_s is None:
            return
        stopping_s = self.now_s() - host.stopping_since_s
        if not host.process.is_running:
            host.stopping_since_s = None
            code = host.process.wait(0)
            if code != 0:
                self.checker.handle_kill(host.name)
            # Before the process handles signals, SIGTERM ends it at once; it has read no request.
            if code != 0 and (code != -signal.SIGTERM or host.has_started):
                detail = f"{host.name}: exit code {code}: {host.process.log_tail(5)}"
                self.checker.report(Promise.STAYS_UP, detail)
        elif stopping_s > GRACE_S + _POLL_S:
            # A paused process can't stop; the platform kills it as any other.
            if not host.was_paused:
                detail = f"{host.name}: {host.process.log_tail(5)}"
                self.checker.report(Promise.STOPS_WITHIN_GRACE, detail)
            host.kill()

    async def _match_links_to_processes(self) -> None:
        """Refuse connections to processes that are gone, as the kernel would."""
        while True:
            for host in self._hosts.values():
                for name, link in host.links.items():
                    if self._is_running(name):
                        await link.open()
                    else:
                        link.close()
            await asyncio.sleep(_POLL_S / 10)

    def _is_running(self, target: str) -> bool:
        if target in self._hosts:
            return self._hosts[target].process.is_running
        return target == "store" or self._servers[target].is_running

    # Faults ------------------------------------------------------------------------------------

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        host = self._hosts[f"h{fault.host}"]
        disturbance = self._disturbances.begin(fault, host.name, self.now_s())
        end_fault = await self._begin(fault, host)
        await asyncio.sleep(max(0.0, self.checker.started_s + fault.until_s - self.now_s()))
        if end_fault is not None:
            await end_fault()
        disturbance.until_s = self.now_s()

    async def _begin(self, fault: Fault, host: HostProcess) -> EndFault | None:
        group = self._groups[fault.service]
        server = list(group.servers.values())[fault.server]
        if fault.kind in LINK_KINDS:
            names = tuple(self._servers)
            return self._harm_links(fault, host.select_links(fault.link_end, names))
        if fault.kind in _STORE_MODES:
            return self._set_store_mode(_STORE_MODES[fault.kind])
        match fault.kind:
            case FaultKind.HOST_STOPPED:
                return await self._stop_and_restart(host)
            case FaultKind.HOST_KILLED:
                host.kill()
                return _undo(self._restart, host)
            case FaultKind.HOST_PAUSED:
                host.pause()
                return _undo(host.resume)
            case FaultKind.HOST_STARVED:
                work = host.starve(self._rng.uniform(*STARVED_STOPPED_S), STARVED_RUNNING_S)
                return _undo(asyncio.create_task(work).cancel)
            case FaultKind.HOST_RELOADED:
                host.reload_settings()
            case FaultKind.STORE_HISTORY_LOST:
                self._store.compact_history()
            case FaultKind.CONFIGURATION_CHANGED:
                await self._operators.change(self._rng)
            case FaultKind.PRIMARY_CRASHES:
                primary = group.primary
                await group.crash_and_expire(primary)
                return _undo(_restart_server, group, primary)
            case FaultKind.SERVER_CRASHES:
                await group.crash_and_expire(server)
                return _undo(_restart_server, group, server)
            case FaultKind.PRIMARY_LEAVES:
                primary = group.primary
                self._names += 1
                if await group.leave(primary):
                    return _undo(group.replace, primary, f"{primary.backend}-{self._names}")
            case FaultKind.SERVERS_RELEASED:
                return await self._release(fault.server)
            case FaultKind.PRIMARY_CUT_OFF:
                cut = [each for each in self._hosts.values() if fault.server == 0 or each != host]
                name = _find_name(group, group.primary)
                return self._hold_links([each.links[name] for each in cut], tuple(Direction))
            case FaultKind.HOST_CUT_OFF:
                return self._hold_links(self._links_between_hosts(host), tuple(Direction))
            case FaultKind.HOST_REFUSES:
                return self._refuse_links(fault, host.name, None)
            case FaultKind.STORE_REFUSES:
                return self._refuse_links(fault, "store", host)
            case FaultKind.SERVER_REFUSES:
                return self._refuse_links(fault, _find_name(group, server), host, server)
            case FaultKind.PRIMARY_REFUSES:
                primary = group.primary
                return self._refuse_links(fault, _find_name(group, primary), host, primary)
            case FaultKind.PRIMARY_SILENT:
                return _set(group.primary, "is_silent", True, False)
            case FaultKind.PRIMARY_SLOW:
                return _set(group.primary, "delay_seconds", SLOW_ANSWER_S, STATEMENT_S)
            case FaultKind.FORMER_PRIMARY_NOT_TOLD:
                return _set(group, "demotion_s", DEMOTION_S + fault.for_s, DEMOTION_S)
            case FaultKind.SERVER_LAGS if server is not group.primary:
                return _stop_receiving(group, server)
            case FaultKind.REPLICAS_APPLY_LATE:
                return _set(group, "apply_s", self._rng.uniform(*LATE_APPLY_S), APPLY_S)
            case FaultKind.ANSWERS_LOST:
                return _set(group.primary, "lose_answers", self._rng.randint(1, 20), 0)
            case FaultKind.ANSWERS_MALFORMED:
                return _set(server, "malformed_answers", self._rng.randint(1, 5), 0)
            case FaultKind.STATEMENTS_REFUSED:
                share, is_single = self._rng.choice(REFUSED_SHARES), self._rng.random() < 0.5
                attribute = "refused" if is_single else "busy_spells"
                return _set(group.answer_faults, attribute, share if is_single else share / 10, 0.0)
            case FaultKind.ANSWERS_SPLIT:
                return _set(group.answer_faults, "split", SPLIT_SHARE, 0.0)
            case FaultKind.ANSWERS_CUT:
                return _set(group.answer_faults, "cut", self._rng.choice(CUT_SHARES), 0.0)
            case FaultKind.IDLE_CONNECTIONS_CLOSED:
                return _undo(asyncio.create_task(_close_idle(server)).cancel)
            case FaultKind.CONNECTIONS_LIMITED:
                plan_limit = self.plan.max_connections
                return _set(server, "connection_limit", LOW_CONNECTION_LIMIT, plan_limit)
            case FaultKind.PROMOTION_ANSWER_LOST:
                return _set(group, "is_promotion_answer_lost", True, False)
            case FaultKind.MALFORMED_INPUT:
                self._names += 1
                await send_malformed(self._rng, host.addresses, self._store, self._names)
        return None

    def _harm_links(self, fault: Fault, links: list[RelayLink]) -> EndFault:
        match fault.kind:
            case FaultKind.LINK_DELAYED:
                return self._delay_links(links)
            case FaultKind.LINK_CUT_OUTWARD:
                return self._hold_links(links, (Direction.OUTWARD,))
            case FaultKind.LINK_CUT_INWARD:
                return self._hold_links(links, (Direction.INWARD,))
            case FaultKind.LINK_SILENT:
                return self._hold_links(links, tuple(Direction))
        return self._reset_links(links)

    def _delay_links(self, links: list[RelayLink]) -> EndFault:
        delay_s = self._rng.uniform(*LINK_DELAY_S)
        for link in links:
            link.delay_s += delay_s

        async def end_fault() -> None:
            for link in links:
                link.delay_s = max(0.0, link.delay_s - delay_s)

        return end_fault

    def _hold_links(self, links: list[RelayLink], directions: tuple[Direction, ...]) -> EndFault:
        held = [(link, direction) for link in links for direction in directions]
        for link, direction in held:
            link.hold(direction)

        async def end_fault() -> None:
            for link, direction in held:
                link.release(direction)

        return end_fault

    def _links_between_hosts(self, host: HostProcess) -> list[RelayLink]:
        """Return the links between a host and the others, and between it and the store."""
        inward = [each.links[host.name] for each in self._hosts.values() if each is not host]
        return [*host.select_links(LinkEnd.PEERS, self._servers), host.links["store"], *inward]

    def _refuse_links(
        self,
        fault: Fault,
        target: str,
        keeping: HostProcess | None,
        server: SoakServer | None = None,
    ) -> EndFault:
        """Refuse connections to a target, and reset the open ones of all hosts but one."""
        spared = {f"h{number}" for number in fault.spared}
        concerned = [each for each in self._hosts.values() if each.name not in spared]
        links = [each.links[target] for each in concerned if target in each.links]
        for link in links:
            link.refuse()
            if keeping is None or link is not keeping.links[target]:
                link.reset()
        if server is not None:
            server.refusing_links += len(links)

        async def end_fault() -> None:
            for link in links:
                link.accept()
            if server is not None:
                server.refusing_links -= len(links)

        return end_fault

    def _reset_links(self, links: list[RelayLink]) -> EndFault:
        async def reset() -> None:
            for link in links:
                link.reset()

        for link in links:
            link.reset()
        return reset

    def _set_store_mode(self, mode: StoreMode) -> EndFault:
        self._store_state.modes.append(mode)
        return _undo(self._store_state.modes.remove, mode)

    async def _stop_and_restart(self, host: HostProcess) -> EndFault:
        if host.is_expected_to_run:
            host.terminate(self.now_s())
            await self._wait_for_ends([host])
        return _undo(self._restart, host)

    def _restart(self, host: HostProcess) -> None:
        if not host.process.is_running:
            host.start()

    async def _release(self, replica_count: int) -> EndFault:
        """Let the primary and some replicas of each service leave; new servers take their logs."""
        released = []
        for group in self._groups:
            replicas = [each for each in group.servers.values() if each is not group.primary]
            released += [group.primary, *replicas[:replica_count]]
        left = await asyncio.gather(*(server.group.leave(server) for server in released))
        gone = [server for server, has_left in zip(released, left, strict=True) if has_left]

        async def end_fault() -> None:
            for server in gone:
                self._names += 1
                await server.group.replace(server, f"{server.backend}-{self._names}")

        return end_fault


def _find_name(group: SoakGroup, server: SoakServer) -> str:
    """Return the name that a server keeps when another takes its place."""
    return next(name for name, each in group.servers.items() if each is server)


async def _restart_server(group: SoakGroup, server: SoakServer) -> None:
    if server.leaving_since_s is None:
        await group.restart(server)


def _stop_receiving(group: SoakGroup, server: SoakServer) -> EndFault:
    server.is_receiving = False

    async def end_fault() -> None:
        server.is_receiving = True
        if server.role == "replica" and not server.held_term:
            server.follow(group.primary)

    return end_fault


async def _close_idle(server: SoakServer) -> None:
    while True:
        server.close_idle_connections()
        await asyncio.sleep(IDLE_CLOSE_INTERVAL_S)


def _undo(function: Callable[..., Any], *arguments: Any) -> EndFault:
    async def end_fault() -> None:
        result = function(*arguments)
        if isinstance(result, Awaitable):
            await result

    return end_fault


def _set(target: Any, attribute: str, value: Any, normal: Any) -> EndFault:
    setattr(target, attribute, value)
    return _undo(setattr, target, attribute, normal)
