"""Stand-ins of the instances of one database service, as PROTOCOL.md describes them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

from fleet2.records import Record, Tasks
from fleet2.store import Store

PROMOTE_S = 1.0
FOLLOW_S = 1.0  # until an old primary that reaches the new one follows it
RUN_S = 0.008  # of a slot, for each read, write and commit
CONNECT_S = 0.012
MAX_LINE = 2 * 1_048_576


@dataclass(frozen=True)
class Commit:
    """Entry of a log: the request that committed it and what it wrote."""

    term: int
    number: int
    request: str
    writes: tuple[tuple[str, str], ...]


@dataclass
class _Connection:
    is_open: bool = False
    transaction: list[tuple[str, str]] | None = None
    is_read_only: bool = False
    has_failed: bool = False
    began_in: int = 0
    has_run: bool = False  # a caller's statement in the transaction
    names: dict[str, tuple[str, str]] = field(default_factory=dict)


class Server:
    """One instance: its log, its role and the connections to it."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group = group
        self.id = f"i-{name}"
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.log: list[Commit] = []
        self.is_up = False
        self.address = ("127.0.0.1", 0)
        self.state = "ready"
        self.leaving_since: float | None = None  # when the store had accepted the report
        self.beat_at = 0.0
        self._born = 0
        self._seq = 0
        self._received = asyncio.Condition()
        self._slots = asyncio.Semaphore(3)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beating: asyncio.Task | None = None

    @property
    def position(self) -> str:
        """Position of the last commit in the log."""
        return f"{self.log[-1].term}.{len(self.log)}" if self.log else "1.0"

    # Life ---------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start, or come back with the log, as a replica if another instance was promoted."""
        self._server = await asyncio.start_server(self._serve, *self.address, limit=MAX_LINE)
        self.address = self._server.sockets[0].getsockname()
        self.is_up = True
        self._born = int(time.time() * 1000)
        primary = self.group.primary
        if primary is self:
            self.role = "primary"
        else:
            self.role = "replica"
            self.group.tasks.start(self.catch_up(primary))
        self._beating = self.group.tasks.start(self._beat())

    def crash(self) -> None:
        """End at once, as a killed process does, and send no more."""
        self.is_up = False
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def leave(self, serving_s: float) -> None:
        """Report that this instance leaves, serve on for a while and end."""
        self.state = "draining"
        await self.report()
        self.leaving_since = time.monotonic()
        self.group.record.write("draining", self.id)
        await asyncio.sleep(serving_s)
        self.crash()
        await self.group.store.delete(f"servers/{self.id}")
        self.group.record.write("left", self.id)

    async def _beat(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(self.group.heartbeat_s)

    async def report(self) -> None:
        """Write this instance's entry into the store."""
        self._seq += 1
        self.beat_at = time.monotonic()
        host, port = self.address
        await self.group.store.put(
            f"servers/{self.id}",
            {
                "backend": self.group.service,
                "address": f"{host}:{port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 3,
                "state": self.state,
                "cold_remaining_ms": 0,
                "db_role": self.role,
                "born": self._born,
                "seq": self._seq,
            },
        )

    # Replication --------------------------------------------------------------------------------

    async def commit(self, request: str, writes: list[tuple[str, str]]) -> None:
        """Commit writes, and wait until as many replicas as are required have received them."""
        if not self.is_up:
            await asyncio.Event().wait()
        entry = Commit(self.term, len(self.log) + 1, request, tuple(writes))
        self.log.append(entry)
        self.group.record.write("commit", self.id, self.position, request)
        waiting = [
            self.group.tasks.start(each.receive(self, entry))
            for each in self.group.servers
            if each is not self
        ]
        needed = self.group.sync_replicas
        while needed and waiting:
            done, rest = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            waiting = list(rest)
            needed -= sum(task.result() for task in done)
        if needed > 0:
            await asyncio.Event().wait()  # never acknowledged

    async def receive(self, primary: Server, entry: Commit) -> bool:
        """Receive the next commit over the network; return whether it is in the log."""
        delay_s = self.group.delay_s(primary, self)
        await asyncio.sleep(delay_s)
        is_fed = self.is_up and self.role == "replica" and self.term == primary.term
        if not is_fed or len(self.log) != entry.number - 1:
            return False
        self.log.append(entry)
        await asyncio.sleep(delay_s)
        return True

    async def catch_up(self, primary: Server) -> None:
        """Roll back what the primary's log lacks and receive what this one lacks."""
        await asyncio.sleep(2 * self.group.delay_s(primary, self))
        if self.is_up and primary.is_up and primary.role == "primary":
            self.role, self.term = "replica", primary.term
            self.log = list(primary.log)

    async def lead(self) -> None:
        """Lead the next term with what was received and nothing more."""
        group, old = self.group, self.group.primary
        self.term = max(each.term for each in group.servers) + 1
        self.role = "primary"
        group.primary = self
        group.record.write("promoted", self.id, "term", self.term, "position", self.position)
        group.promoted.append((self.id, {each.request for each in self.log}))
        await self.report()
        for each in group.servers:
            if each.is_up and each is not self and each is not old:
                group.tasks.start(each.catch_up(self))
        if old.is_up:
            await asyncio.sleep(FOLLOW_S)
            await old.catch_up(self)

    # Statements ---------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = _Connection()
        try:
            while line := await reader.readline():
                if not line.endswith(b"\r\n"):
                    break
                reply = await self._answer(connection, line.decode().removesuffix("\r\n"))
                if reply is None or not self.is_up:
                    break
                writer.write(reply.encode())
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the host has left, or the stand-in ends
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, connection: _Connection, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            service, _, backend = rest.split(" ")
            if (service, backend) != (self.group.service, self.id):
                return f"ERROR MISROUTED {self.id}\r\n"
            async with self._slots:
                await asyncio.sleep(CONNECT_S)
            connection.is_open = True
            return f"READY I {self.position}\r\n"
        if word != "QUERY" or not connection.is_open:
            return None
        request, _, text = rest.partition(" ")
        if request != "-":
            is_first = connection.transaction is None or not connection.has_run
            self.group.arrivals.append((time.monotonic(), self, request, is_first))
            connection.has_run = connection.transaction is not None
            self.group.record.write("reaches", self.id, request, text)
        body = await self._run(connection, request, text)
        state = "I"
        if connection.transaction is not None:
            state = "E" if connection.has_failed else "T"
        return f"{body}READY {state} {self.position}\r\n"

    async def _run(self, connection: _Connection, request: str, text: str) -> str:
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            term, number = (int(each) for each in position.split("."))
            own_term, own_number = (int(each) for each in self.position.split("."))
            if (own_term, own_number) < (term, number):
                return f"ERROR LAGGING {self.id}\r\n"
        word, _, rest = text.partition(" ")
        if connection.has_failed and word not in ("COMMIT", "ROLLBACK"):
            return "ERROR MALFORMED the transaction has failed\r\n"
        match word:
            case "STATUS":
                return self._status()
            case "STEPDOWN":
                if self.role == "primary" and self.term < int(rest):
                    self.role = "replica"
                    self.group.record.write("stepped-down", self.id, self.position)
                return self._status()
            case "SET" | "RESET":
                return "COMPLETE -\r\n"
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                connection.names[name] = (mode, shape)
                return "COMPLETE -\r\n"
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in connection.names:
                    return f"ERROR NOSTMT {name}\r\n"
                word, rest = connection.names[name][0], arguments
            case "BEGIN":
                if rest != "READ" and self.role != "primary":
                    return f"ERROR READONLY {self.id}\r\n"
                connection.transaction, connection.is_read_only = [], rest == "READ"
                connection.began_in = self.term
                return "COMPLETE -\r\n"
            case "ROLLBACK":
                connection.transaction, connection.has_failed = None, False
                return "COMPLETE -\r\n"
        async with self._slots:
            await asyncio.sleep(RUN_S)
        return await self._run_work(connection, request, word, rest)

    async def _run_work(self, connection: _Connection, request: str, word: str, rest: str) -> str:
        is_plain = connection.transaction is not None and not connection.is_read_only
        has_lost_lead = is_plain and (self.role, self.term) != ("primary", connection.began_in)
        signature = f"COMPLETE s.{self.id}.{request}\r\n"
        if has_lost_lead and (word != "COMMIT" or connection.transaction):
            connection.has_failed = True
            if word == "COMMIT":
                connection.transaction, connection.has_failed = None, False
            return f"ERROR READONLY {self.id}\r\n"
        match word:
            case "READ":
                values = [data for each in self.log for item, data in each.writes if item == rest]
                return f"ROW {values[-1] if values else 'none'}\r\n{signature}"
            case "WRITE":
                item, _, data = rest.partition(" ")
                if connection.transaction is not None:
                    connection.transaction.append((item, data))
                    return signature
                if self.role != "primary":
                    return f"ERROR READONLY {self.id}\r\n"
                await self.commit(request, [(item, data)])
                return signature
            case "COMMIT" if connection.transaction is not None:
                writes, connection.transaction = connection.transaction, None
                if connection.has_failed:
                    connection.has_failed = False
                    return "ERROR ABORTED the transaction had failed\r\n"
                if writes:
                    await self.commit(request, writes)
                return signature
        return "ERROR MALFORMED unknown statement\r\n"

    def _status(self) -> str:
        row = f"{self.role} {self.term} {self.position} 0 0 0 {len(self._writers)}"
        return f"ROW {row}\r\nCOMPLETE -\r\n"


class Group:
    """Instances of one service, and the platform's side of their registration and promotion."""

    def __init__(
        self,
        service: str,
        store: Store,
        record: Record,
        zones: list[str],
        regions: dict[str, str],
        sync_replicas: int = 0,
        heartbeat_s: float = 1.2,
    ) -> None:
        self.service = service
        self.store = store
        self.record = record
        self.sync_replicas = sync_replicas
        self.heartbeat_s = heartbeat_s
        self.tasks = Tasks()
        self.servers = [Server(self, f"{service}{n}", zone) for n, zone in enumerate(zones, 1)]
        self.primary = self.servers[0]
        self.promoted: list[tuple[str, set[str]]] = []  # id, requests in its log
        self.orders: list[tuple[str, int, str]] = []  # holder, fencing token, id
        # When a caller's request reached an instance; whether it begins a transaction or is alone.
        self.arrivals: list[tuple[float, Server, str, bool]] = []
        self._regions = regions

    def delay_s(self, first: Server, second: Server) -> float:
        """Return how long a message takes from one instance to another."""
        if first.zone == second.zone:
            return 0.0002
        is_near = self._regions[first.zone] == self._regions[second.zone]
        return 0.0014 if is_near else 0.03

    async def start(self) -> None:
        """Start all instances, and remove the entries of those that fall silent."""
        for server in self.servers:
            await server.start()
        self.tasks.start(self._expire_entries())

    async def add(self, name: str, zone: str) -> Server:
        """Start one more instance, a replica with the primary's log."""
        server = Server(self, name, zone)
        self.servers.append(server)
        await server.start()
        return server

    async def _expire_entries(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            for server in self.servers:
                key = f"servers/{server.id}"
                is_silent = time.monotonic() > server.beat_at + 3 * self.heartbeat_s
                if is_silent and key in self.store.items:
                    await self.store.delete(key)
                    self.record.write("entry-removed", server.id)

    async def handle_control(
        self, method: str, path: str, query: dict, headers: dict, body: dict
    ) -> tuple[int, dict]:
        """Handle a call of the platform's control interface."""
        if (method, path) != ("POST", "/failover"):
            return 404, {}
        holder, token = headers["lease-holder"], int(headers["fencing-token"])
        self.orders.append((holder, token, body["id"]))
        self.record.write("order", holder, token, body["backend"], body["id"])
        chosen = next((each for each in self.servers if each.id == body["id"]), None)
        if body["backend"] != self.service or chosen is None or not chosen.is_up:
            return 409, {}
        if chosen is not self.primary:
            self.tasks.start(self._promote(chosen))
        return 200, {}

    async def _promote(self, chosen: Server) -> None:
        await asyncio.sleep(PROMOTE_S)
        if chosen.is_up and chosen is not self.primary:
            await chosen.lead()

    async def stop(self) -> None:
        """End all instances."""
        await self.tasks.cancel()
        for server in self.servers:
            if server.is_up:
                server.crash()
