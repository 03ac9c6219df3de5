"""Stand-in of a service's servers: one primary and its replicas, with a log each."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standin_store import Store

HEARTBEAT_S = 1.2
RECEIVE_S = 0.002  # until a replica has received a commit
APPLY_S = 0.02  # until it has applied it
STATEMENT_S = 0.004
DEMOTION_S = 1.0  # until a primary that another one replaced steps down
_LINE_LIMIT = 2 << 20


@dataclass(frozen=True)
class Entry:
    """Commit in the log: its term and the writes, each with the id of its request."""

    term: int
    writes: tuple[tuple[str, str, str], ...]  # item, data and id of the request


@dataclass(eq=False)
class _Session:
    writer: asyncio.StreamWriter
    is_open: bool = False
    transaction: list[tuple[str, str, str]] | None = None
    is_read_only: bool = False
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class Server:
    """Server of the service. ``is_deaf``: as a replica it receives nothing."""

    def __init__(self, group: Group, name: str, zone: str) -> None:
        self.group = group
        self.name = name
        self.zone = zone
        self.role = "replica"
        self.term = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.term_ends: dict[int, int] = {}  # by term that has ended: its last number
        self.is_deaf = False
        self.state = "ready"
        self.address = ""
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.statements: list[tuple[float, str, str]] = []  # time, id and text
        self._server: asyncio.Server | None = None
        self._sessions: set[_Session] = set()
        self._heartbeat: asyncio.Task | None = None
        self._received = asyncio.Condition()

    @property
    def is_running(self) -> bool:
        """Return whether the server runs."""
        return self._server is not None

    async def start(self) -> None:
        """Listen, and report to the store from now on."""
        host, _, port = self.address.partition(":")
        self._server = await asyncio.start_server(
            self._serve, host or self.group.host, int(port or 0), limit=_LINE_LIMIT
        )
        self.address = f"{self.group.host}:{self._server.sockets[0].getsockname()[1]}"
        self._heartbeat = asyncio.create_task(self._report_regularly())

    async def crash(self) -> None:
        """End at once; the entry in the store goes after three heartbeats."""
        self._server.close()
        self._server = None
        self._heartbeat.cancel()
        for session in list(self._sessions):
            session.writer.transport.abort()
        asyncio.get_running_loop().create_task(self._vanish(self.born_ms))

    async def _vanish(self, born_ms: int) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not self.is_running and self.born_ms == born_ms:
            await self.group.store.delete(f"servers/{self.name}")

    async def _report_regularly(self) -> None:
        while True:
            if not self.group.store.is_down:
                await self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def report(self) -> None:
        """Write the entry into the store, if more than its count has changed."""
        self.sequence += 1
        entry = {
            "backend": self.group.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_remaining_ms": 0,
            "db_role": self.role,
            "born": self.born_ms,
        }
        key = f"servers/{self.name}"
        known = self.group.store.contents.items.get(key)
        if known is not None and json.loads(known.value) | {"seq": 0} == entry | {"seq": 0}:
            return
        await self.group.store.put(key, json.dumps(entry | {"seq": self.sequence}).encode())

    # Log ---------------------------------------------------------------------------------------

    @property
    def position(self) -> str:
        """Return the position up to which the log is applied."""
        return f"{self.term}.{self.applied}"

    def holds(self, position: str) -> bool:
        """Return whether the applied log holds a position."""
        term, number = (int(part) for part in position.split("."))
        if term > self.term or number > self.applied:
            return False
        return number <= self.term_ends.get(term, number)

    def read(self, item: str) -> str:
        """Return the data of an item in the applied log."""
        for entry in reversed(self.log[: self.applied]):
            for written, data, _ in reversed(entry.writes):
                if written == item:
                    return data
        return self.group.initial_data

    async def receive(self, entry: Entry, number: int) -> None:
        """Receive a commit of the primary, as a replica, and apply it later."""
        await asyncio.sleep(RECEIVE_S)
        if self.is_deaf or not self.is_running or self.role != "replica":
            return
        if entry.term != self.term or number != len(self.log) + 1:
            return
        self.log.append(entry)
        async with self._received:
            self._received.notify_all()
        await asyncio.sleep(APPLY_S)
        if len(self.log) >= number and self.log[number - 1] is entry:
            self.applied = max(self.applied, number)

    async def follow(self, primary: Server) -> None:
        """Take over the log of a primary; what it lacks is rolled back."""
        self.role = "replica"
        self.term, self.log = primary.term, list(primary.log)
        self.term_ends = dict(primary.term_ends)
        self.applied = len(self.log)
        if self.is_running:
            await self.report()

    async def _commit(self, writes: list[tuple[str, str, str]]) -> None:
        if not writes:
            return
        entry = Entry(self.term, tuple(writes))
        self.log.append(entry)
        self.applied = number = len(self.log)
        others = [each for each in self.group.servers if each is not self]
        deliveries = [asyncio.create_task(each.receive(entry, number)) for each in others]
        self.group.tasks.update(deliveries)
        if self.group.sync_replicas:
            while not any(
                len(each.log) >= number and each.log[number - 1] is entry for each in others
            ):
                await asyncio.sleep(RECEIVE_S / 2)

    # Statements --------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = _Session(writer)
        self._sessions.add(session)
        try:
            while line := await reader.readline():
                reply = await self._answer(session, line.decode().rstrip("\r\n"))
                if reply is None:
                    break
                writer.write(reply.encode())
                await writer.drain()
        except (OSError, ValueError):
            pass
        finally:
            self._sessions.discard(session)
            writer.close()

    async def _answer(self, session: _Session, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            fields = rest.split(" ")
            if fields[0] != self.group.service or fields[2:3] not in ([], [self.name]):
                session.writer.write(f"ERROR MISROUTED {self.name}\r\n".encode())
                return None
            session.is_open = True
            return f"READY I {self.position}\r\n"
        if word != "QUERY" or not session.is_open:
            return None
        request_id, _, text = rest.partition(" ")
        if request_id != "-":
            self.statements.append((time.monotonic(), request_id, text))
            await asyncio.sleep(STATEMENT_S)
        body = await self._run(session, request_id, text)
        state = "I" if session.transaction is None else "T"
        return f"{body}READY {state} {self.position}\r\n"

    async def _run(self, session: _Session, request_id: str, text: str) -> str:
        word, _, rest = text.partition(" ")
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            if not self.holds(position):
                return f"ERROR LAGGING {self.name}\r\n"
            word, _, rest = text.partition(" ")
        done, read_only = "COMPLETE -\r\n", f"ERROR READONLY {self.name}\r\n"
        signature = f"COMPLETE {self.name}.{self.term}.{request_id}\r\n"
        match word:
            case "STATUS":
                status = f"{self.role} {self.term} {self.term}.{len(self.log)} {self.term} 0 0 1"
                return f"ROW {status}\r\n{done}"
            case "BEGIN":
                if rest != "READ" and self.role != "primary":
                    return read_only
                session.transaction = []
            case "ROLLBACK":
                session.transaction = None
            case "COMMIT":
                writes, session.transaction = session.transaction or [], None
                if writes and self.role != "primary":
                    return read_only
                await self._commit(writes)
                return signature
            case "READ":
                return f"ROW {self.read(rest)}\r\n{signature}"
            case "WRITE":
                if self.role != "primary":
                    return read_only
                item, _, data = rest.partition(" ")
                if session.transaction is not None:
                    session.transaction.append((item, data, request_id))
                else:
                    await self._commit([(item, data, request_id)])
                return signature
            case "PREPARE":
                name, mode, shape = rest.split(" ", 2)
                session.prepared[name] = (mode, shape)
            case "RESET":
                session.prepared.clear()
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in session.prepared:
                    return f"ERROR NOSTMT {name}\r\n"
                return await self._run(
                    session, request_id, f"{session.prepared[name][0]} {arguments}"
                )
        return done


class Group:
    """Servers of one service, which the platform's failover call gives a new primary."""

    def __init__(self, service: str, host: str, store: Store, sync_replicas: int = 0) -> None:
        self.service = service
        self.host = host
        self.store = store
        self.sync_replicas = sync_replicas
        self.initial_data = "none"
        self.promote_s = 1.0
        self.servers: list[Server] = []
        self.tasks: set[asyncio.Task] = set()
        self.orders: list[tuple[float, str, str, int]] = []  # time, server, holder and token
        self.promotions: list[tuple[float, Server, tuple[Entry, ...]]] = []
        self.on_promotion: Callable[[Server], None] = lambda server: None
        store.on_failover = self.fail_over

    def add(self, name: str, zone: str) -> Server:
        """Add a server; the first one is the primary."""
        server = Server(self, name, zone)
        server.role = "replica" if self.servers else "primary"
        self.servers.append(server)
        return server

    async def start(self) -> None:
        """Start all servers."""
        for server in self.servers:
            await server.start()

    async def fail_over(self, service: str, name: str, holder: str, token: int) -> int:
        """Let a running server lead the next term a little later; return the status code."""
        self.orders.append((time.monotonic(), name, holder, token))
        chosen = next((each for each in self.servers if each.name == name), None)
        if service != self.service or chosen is None or not chosen.is_running:
            return 409
        if chosen.role != "primary":
            self.tasks.add(asyncio.create_task(self._promote(chosen)))
        return 200

    async def _promote(self, chosen: Server) -> None:
        await asyncio.sleep(self.promote_s)
        if not chosen.is_running or chosen.role == "primary":
            return
        former = [each for each in self.servers if each.role == "primary" and each.is_running]
        newest = max(each.term for each in self.servers)
        for term in range(chosen.term, newest + 1):
            chosen.term_ends[term] = len(chosen.log)
        chosen.term, chosen.role = newest + 1, "primary"
        chosen.applied = len(chosen.log)
        self.promotions.append((time.monotonic(), chosen, tuple(chosen.log)))
        self.on_promotion(chosen)
        await chosen.report()
        for server in self.servers:
            if server.is_running and server.role == "replica" and not server.is_deaf:
                await server.follow(chosen)
        await asyncio.sleep(DEMOTION_S)
        for server in former:
            if server.is_running and server.term < chosen.term:
                await server.follow(chosen)
