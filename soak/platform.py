"""Stand-in platform of the soak: backend servers, store and operators, with faults."""

from __future__ import annotations

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from enum import Enum
from typing import Any

from aiohttp import web

from hickorywind.ids import BackendId, HostId, Revision, ServiceName, StoreEra
from hickorywind.platform.documents import BACKENDS_PREFIX, CONFIGURATION_KEY
from hickorywind.ports.coordination import (
    ChangeBatch,
    Committed,
    Condition,
    Conflict,
    FencingToken,
    HistoryCompacted,
    ItemWritten,
    LeaseId,
    PromotionOutcome,
    Put,
    Snapshot,
)
from hickorywind.store.interface import StoredValue
from soak.changes import SERVED_S, FormerPrimary, Order, PrimaryChange
from soak.relay import replace_ports
from soak.servers import APPLY_S, SERVICE, AnswerFaults, FormerWrite, SoakServer, StatementRun
from soak.statements import ServerStatement
from standins.lineplatform.group import LineGroup
from standins.lineplatform.httpstore import HttpStore
from standins.lineplatform.memorystore import MemoryCoordinationStore, MemoryStore

PROMOTION_S = 0.3  # from the order until the new primary leads
ORDER_S = (0.3, 1.2)  # the same if orders take effect late
_LATE_ORDER_S = (1.2, 4.0)  # and sometimes
_LATE_ORDER_SHARE = 0.25
_TWICE_SHARE = 0.3  # of the orders that take effect late
DEMOTION_S = 1.0  # until a replaced primary learns of it
ENTRY_EXPIRY_S = 1.5  # three heartbeat intervals without a sign of a crashed server
LEAVING_S = 3.0  # how long a leaving server serves after its report, told to the hosts
LEAVING_EXTRA_S = 1.5  # "a little longer", in which nobody may use it
SERVICES = (SERVICE, "archive", "stock")
MAX_STALENESS_S = {"bookings": 0.0, "views": 1.5, "orders": 2.5}
OPTIONAL_DATABASE = "extra"  # its route is added and removed
_BUSY_STATUSES = (429, 503)


class SoakGroup(LineGroup):
    """Servers of the service, whose replaced primaries learn late of a promotion."""

    def __init__(
        self,
        names: tuple[str, ...],
        store: MemoryStore,
        sources: dict[int, str],
        rng: random.Random,
        service: str = SERVICE,
    ) -> None:
        super().__init__(service, names)
        self.servers = {name: SoakServer(self, name) for name in names}
        self.primary = self.servers[names[0]]
        self.primary.role = "primary"
        self.sources = sources
        self.on_statement: Callable[[StatementRun], None] = lambda run: None
        self.on_server_statement: Callable[[ServerStatement], None] = lambda statement: None
        self.on_half_line: Callable[[], None] = lambda: None
        self.on_promotion: Callable[[str, int], None] = lambda holder, token: None
        self.rng = rng
        self.answer_faults = AnswerFaults()
        # Whether a rollback undoes SET and PREPARE, which the platform leaves open.
        self.rolls_back_sessions = rng.random() < 0.5
        # Whether a promoted server has applied what it received, which the platform leaves open.
        self.applies_at_promotion = random.Random(f"promotion {rng.random()}").random() < 0.5
        self.apply_s = APPLY_S
        self.rolled_back: set[str] = set()
        self.changes: list[PrimaryChange] = []
        self.former_writes: list[FormerWrite] = []
        self.state_counts: Counter[str] = Counter()  # of states that are hard to reach
        # Whether orders to promote take effect late, twice, and out of order, whatever their token.
        self.takes_orders_late = False
        self.order_rng = random.Random("orders")
        self.orders_in_effect: list[Order] = []
        self.slot_count = 0  # of each server; 0: no limit
        # Whether a server runs later what it received while it was silent or its sender left.
        self.runs_received_later = False
        self.demotion_s = DEMOTION_S
        self.is_promotion_answer_lost = False
        self._store = store
        self._tasks: set[asyncio.Task] = set()

    def start_task(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def register(self, server: SoakServer) -> None:
        """Write the server's entry into the store."""
        zone = f"z{list(self.servers.values()).index(server)}"
        await self._store.put(BACKENDS_PREFIX + server.backend, server.registration(zone))

    async def promote(
        self,
        service: ServiceName,
        backend: BackendId,
        holder: HostId,
        token: FencingToken,
        may_send: Callable[[], bool] = lambda: True,
    ) -> PromotionOutcome:
        """Make a running server the primary shortly after the order."""
        self.on_promotion(holder, token)
        self.promotions.append((holder, backend, token))
        running = [each for each in self.servers.values() if each.is_running]
        chosen = next((each for each in running if each.backend == backend), None)
        if chosen is None or service != self.service:
            return PromotionOutcome.NOT_RUNNING
        order = self._record_order(chosen, token)
        if not self.takes_orders_late:
            self.start_task(self._lead_soon(chosen, order))
        elif chosen is not self.primary or chosen.role != "primary":
            for delay_s in draw_order_delays(self.order_rng):
                self.start_task(self._lead_late(chosen, order, delay_s))
        return PromotionOutcome.ACCEPTED

    def _record_order(self, chosen: SoakServer, token: int = 0) -> Order:
        now_s, primary = asyncio.get_running_loop().time(), self.primary
        is_planned = primary.leaving_since_s is not None
        was_served = primary.is_running and primary.answered_s >= now_s - SERVED_S
        return Order(now_s, chosen.backend, primary.address, is_planned, was_served, token)

    async def _lead_soon(self, chosen: SoakServer, order: Order) -> None:
        await asyncio.sleep(PROMOTION_S)
        if chosen.is_running and order.token == max(each[2] for each in self.promotions):
            self.make_primary(chosen, order)

    async def _lead_late(self, chosen: SoakServer, order: Order, delay_s: float) -> None:
        """Let a server lead whatever was ordered since, as a platform that checks no token."""
        await asyncio.sleep(delay_s)
        is_there = chosen.is_running and chosen.backend == order.chosen
        if not is_there or (chosen is self.primary and chosen.role == "primary"):
            return
        if order in self.orders_in_effect:
            self.state_counts["orders that took effect twice"] += 1
        if any(each.at_s > order.at_s for each in self.orders_in_effect):
            self.state_counts["orders that took effect after a newer one"] += 1
        if delay_s > ORDER_S[1]:
            self.state_counts["orders that took effect late"] += 1
        self.orders_in_effect.append(order)
        self.make_primary(chosen, order)

    def make_primary(self, new_primary: SoakServer, order: Order | None = None) -> None:
        """Let a server lead the next term; the old primary learns of it later."""
        old = self.primary
        if new_primary is old:
            self._lead_again()
            return
        lost = frozenset(old.received_elements - new_primary.received_elements)
        self.rolled_back |= lost
        self._record_change(old, new_primary, order or self._record_order(new_primary), lost)
        if self.applies_at_promotion:
            new_primary.apply_all()
        learns = {server: server.learns_of_promotions for server in self.servers.values()}
        for server in self.servers.values():
            server.learns_of_promotions = server is not old
        super().make_primary(new_primary)
        for server, value in learns.items():
            server.learns_of_promotions = value
            server.held_term = 0
            if server not in (old, new_primary) and server.is_receiving:
                server.roll_back_to(new_primary)
        self.start_task(self.register(new_primary))
        if old.is_running:
            self.start_task(self._demote_later(old))

    def _lead_again(self) -> None:
        """Let a primary that stepped down lead the next term; a primary goes on."""
        primary = self.primary
        if primary.role == "primary":
            return
        primary.role = "primary"
        primary.term = max(server.term for server in self.servers.values()) + 1
        self.state_counts["primaries that led again after STEPDOWN"] += 1
        for server in self.servers.values():
            server.held_term = 0
            if server is not primary and server.is_receiving:
                server.follow(primary)
        self.start_task(self.register(primary))

    def handle_step_down(self, server: SoakServer) -> None:
        """Register a primary that has become a replica by STEPDOWN."""
        kind = "primaries" if server is self.primary else "former primaries"
        self.state_counts[f"{kind} that stepped down"] += 1
        self.start_task(self.register(server))

    def _record_change(
        self, old: SoakServer, new: SoakServer, order: Order, lost: frozenset[str]
    ) -> None:
        waiting = "writes that stood in a queue while their primary was replaced"
        self.state_counts[waiting] += old.waiting_writes
        if old.is_running and old.refusing_links:
            self.state_counts["changes of primary while it refused connections and ran"] += 1
        # An order that was given for another primary takes effect late; no plan of this one's.
        is_for_this = order.primary == old.address
        match is_for_this and order.was_served, old.is_running:
            case True, True:
                state = FormerPrimary.SERVING
            case True, False:
                state = FormerPrimary.ENDED_SINCE_ORDER
            case False, is_running:
                state = FormerPrimary.UNREACHABLE if is_running else FormerPrimary.GONE
        is_planned = order.is_planned and is_for_this
        now_s = asyncio.get_running_loop().time()
        self.changes.append(PrimaryChange(now_s, old.backend, new.backend, is_planned, state, lost))

    async def _demote_later(self, old: SoakServer) -> None:
        await asyncio.sleep(self.demotion_s)
        is_behind = old is not self.primary and old.term < self.primary.term
        if is_behind and old.is_running and not old.held_term:
            old.roll_back_to(self.primary)
            await self.register(old)

    async def crash_and_expire(self, server: SoakServer) -> None:
        """Crash a server; its entry expires if it stays away."""
        await server.crash()
        self.start_task(self._expire(server, server.born))

    async def _expire(self, server: SoakServer, born: int) -> None:
        await asyncio.sleep(ENTRY_EXPIRY_S)
        if not server.is_running and server.born == born:
            await self._store.delete(BACKENDS_PREFIX + server.backend)

    async def restart(self, server: SoakServer) -> None:
        """Start a crashed server, as a replica if another leads."""
        if server.is_running:
            return
        server.held_term = 0
        server.role = "primary"  # a restart forgets STEPDOWN
        if server is not self.primary:
            server.follow(self.primary)
        server.born += 1
        await server.start()
        await self.register(server)

    async def leave(self, server: SoakServer) -> bool:
        """Let a server leave by plan; return False if it is not there to leave."""
        if not server.is_running or server.leaving_since_s is not None:
            return False
        server.leaving_since_s = asyncio.get_running_loop().time()
        await self.register(server)
        await asyncio.sleep(LEAVING_S + LEAVING_EXTRA_S)
        await server.crash()
        await self._store.delete(BACKENDS_PREFIX + server.backend)
        return True

    async def replace(self, server: SoakServer, backend: str) -> None:
        """Start a new server with the log and at the address of one that left."""
        server.backend = BackendId(backend)
        server.leaving_since_s = None
        await self.restart(server)


def draw_order_delays(rng: random.Random) -> tuple[float, ...]:
    """Return after which seconds an order takes effect, once or twice."""
    times = 2 if rng.random() < _TWICE_SHARE else 1
    return tuple(
        rng.uniform(*(_LATE_ORDER_S if rng.random() < _LATE_ORDER_SHARE else ORDER_S))
        for _ in range(times)
    )


class StoreMode(Enum):
    """Way in which the store treats calls."""

    HEALTHY = "healthy"
    SILENT = "silent, runs calls later"
    SLOW = "slow"
    BUSY = "busy"
    ANSWER_LOST = "answer lost"


class StoreState:
    """Faults of the store and of its control interface that all hosts see."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.modes: list[StoreMode] = []

    @property
    def mode(self) -> StoreMode:
        """Return the treatment of the calls by the newest fault."""
        return self.modes[-1] if self.modes else StoreMode.HEALTHY


class StoreFront(HttpStore):
    """Store as one host sees it: the addresses in it are those of the host's own relay links."""

    def __init__(self, store: MemoryStore, state: StoreState, groups: Iterable[SoakGroup]) -> None:
        super().__init__(store)
        self.view: dict[int, int] = {}  # port of the relay link by true port
        self._state = state
        self._groups = {group.service: group for group in groups}
        self._shared_store = store
        self._store = self  # calls that write go through ``transact``
        self._client = _ViewClient(store, self.view)

    @property
    def era(self) -> StoreEra:
        """Return the era of the store."""
        return self._shared_store.era

    def grant(self) -> LeaseId:
        """Create a lease."""
        return self._shared_store.grant()

    async def transact(
        self, conditions: list[Condition], puts: list[Put], deletes: list[str]
    ) -> Committed | Conflict:
        """Write with the true addresses."""
        true_ports = {relayed: true for true, relayed in self.view.items()}
        puts = [Put(put.key, replace_ports(put.value, true_ports)) for put in puts]
        return await self._shared_store.transact(conditions, puts, deletes)

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        try:
            await request.read()
        except ConnectionError:
            return _lose_answer(request)
        rng = self._state.rng
        match self._state.mode:
            case StoreMode.SILENT:
                while self._state.mode is StoreMode.SILENT:
                    await asyncio.sleep(0.05)
                if request.method == "POST":
                    await handler(request)
                    return _lose_answer(request)
                # Reads and watches get no answer, on a connection that lives on.
                while request.transport is not None:
                    await asyncio.sleep(0.2)
                return web.Response()
            case StoreMode.SLOW:
                await asyncio.sleep(rng.uniform(0.2, 1.5))
            case StoreMode.BUSY if rng.random() < 0.8:
                return web.Response(status=rng.choice(_BUSY_STATUSES))
            case StoreMode.ANSWER_LOST if rng.random() < 0.5:
                await handler(request)
                return _lose_answer(request)
        response = await handler(request)
        is_lost = any(group.is_promotion_answer_lost for group in self._groups.values())
        if request.path == "/failover" and is_lost:
            return _lose_answer(request)
        return response

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        holder, token = request.headers["Lease-Holder"], int(request.headers["Fencing-Token"])
        service = ServiceName(body["backend"])
        if service not in self._groups:
            return web.Response(status=409)
        outcome = await self._groups[service].promote(
            service, BackendId(body["id"]), HostId(holder), FencingToken(token)
        )
        return web.Response(status=409 if outcome is PromotionOutcome.NOT_RUNNING else 200)


def _lose_answer(request: web.Request) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


class _ViewClient(MemoryCoordinationStore):
    """Reader of the store that replaces addresses for one host."""

    def __init__(self, store: MemoryStore, view: Mapping[int, int]) -> None:
        super().__init__(store)
        self._view = view

    async def read_range(self, prefix: str) -> Snapshot:
        snapshot = await super().read_range(prefix)
        return Snapshot(tuple(self._translate(item) for item in snapshot.items), snapshot.as_of)

    async def watch(
        self, prefix: str, after: Revision, wait: timedelta
    ) -> ChangeBatch | HistoryCompacted:
        result = await super().watch(prefix, after, wait)
        if isinstance(result, HistoryCompacted):
            return result
        changes = tuple(
            ItemWritten(self._translate(each.item)) if isinstance(each, ItemWritten) else each
            for each in result.changes
        )
        return ChangeBatch(changes, result.as_of)

    def _translate(self, item: StoredValue) -> StoredValue:
        value = replace_ports(item.value, self._view)
        return StoredValue(item.key, value, item.revision)


class Operators:
    """Operators that change the configuration and know since when it holds."""

    def __init__(
        self, store: MemoryStore, max_connections: int, services: Iterable[str] = (SERVICE,)
    ) -> None:
        self._store = store
        self._max_connections = max_connections
        self._services = tuple(services)
        self._version = 0
        self.has_optional_route = False
        self.changed_at_s = 0.0

    async def change(self, rng: random.Random) -> None:
        """Write the next version, which changes time limits and adds or removes a route."""
        self._version += rng.randint(1, 4)
        self.has_optional_route = not self.has_optional_route
        databases = [
            (each, service) for service in self._services for each in list_databases(service)
        ]
        databases += [(OPTIONAL_DATABASE, SERVICE)] if self.has_optional_route else []
        routes = [_make_route(*each, rng.choice((900, 1000, 1100))) for each in databases]
        services = [{"name": each, "max_conns": self._max_connections} for each in self._services]
        document = {"version": self._version, "routes": routes, "backends": services}
        document["limits"] = {"tx_idle_ms": 1500}
        await self._store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        self.changed_at_s = asyncio.get_running_loop().time()


def list_databases(service: str) -> list[str]:
    """Return the databases of a service, one for each kind of route."""
    return [each if service == SERVICE else f"{each}-{service}" for each in MAX_STALENESS_S]


def find_kind(database: str) -> str:
    """Return the key in ``MAX_STALENESS_S`` of a database."""
    return database.partition("-")[0]


def find_service(database: str) -> str:
    """Return the service to which a database leads."""
    return database.partition("-")[2] or SERVICE


def _make_route(database: str, service: str, timeout_ms: int) -> dict[str, Any]:
    kind = find_kind(database)
    kinds = {"views": "bounded_staleness", "orders": "read_your_writes"}
    return {
        "name": f"r-{database}",
        "database": database,
        "backend": service,
        "route_type": kinds.get(kind, "primary"),
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1500,
        "priority": list(MAX_STALENESS_S).index(kind) if kind in MAX_STALENESS_S else 1,
        "max_staleness_ms": MAX_STALENESS_S.get(kind, 0) * 1000 or 1000,
    }
