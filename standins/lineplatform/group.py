"""Group of in-process backend servers that speak the platform's line protocol."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from hickorywind.ids import Address, BackendId, HostId, ServiceName
from hickorywind.ports.coordination import FencingToken, PromotionOutcome

MAX_LINE_BYTES = 1_048_576


@dataclass(eq=False)
class ServerConnection:
    """Connection to a backend server, with its session and open transaction."""

    writer: asyncio.StreamWriter
    client: str = ""
    is_open: bool = False
    transaction: list[tuple[str, str]] | None = None
    has_failed: bool = False  # the transaction, which only its end can leave
    is_read_only: bool = False  # the transaction
    settings: dict[str, str] = field(default_factory=dict)
    prepared_statements: dict[str, tuple[str, str]] = field(default_factory=dict)


class LineServer:
    """Backend server whose attributes inject the failures that a host must tolerate."""

    def __init__(self, group: LineGroup, backend: str) -> None:
        self.group = group
        self.backend = BackendId(backend)
        self.role = "replica"
        self.term = 1
        self.log_offset = 0
        self.unapplied_count = 0  # commits at the end of its log that it has only received
        self.data: dict[str, str] = {}
        self.is_receiving = True
        self.learns_of_promotions = True
        self.is_silent = False
        self.delay_seconds = 0.0
        # Unset: callers' statements wait, as they do for a slot; the hosts' own do not.
        self.has_free_slot = asyncio.Event()
        self.has_free_slot.set()
        self.is_busy = False
        self.fails_reads = False
        self.lose_answers = 0
        self.connection_limit = 100
        # Returns the error code with which a statement text is refused, or None.
        self.refuse: Callable[[str], str | None] = lambda text: None
        self.statements: list[str] = []
        self.clients: dict[str, str] = {}  # client of the connection by request id
        self.address = Address("127.0.0.1", 0)
        self._server: asyncio.Server | None = None
        self._connections: set[ServerConnection] = set()

    async def start(self) -> None:
        """Start listening, after a restart at the same address as before."""
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port, limit=MAX_LINE_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def crash(self) -> None:
        """Close the listener and abort all connections at once, as when a process is killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.writer.transport.abort()
        await asyncio.sleep(0)

    @property
    def is_running(self) -> bool:
        """Return whether the server listens."""
        return self._server is not None

    @property
    def position(self) -> str:
        """Return the position of the last applied log entry as ``TERM.OFFSET``."""
        return f"{self.term}.{self.log_offset - self.unapplied_count}"

    @property
    def received_position(self) -> str:
        """Return the position of the last log entry as ``TERM.OFFSET``."""
        return f"{self.term}.{self.log_offset}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ServerConnection(writer)
        self._connections.add(connection)
        try:
            while line := await reader.readline():
                if self.is_silent:
                    continue
                if line.startswith(b"QUERY ") and not line.startswith(b"QUERY - "):
                    await self.has_free_slot.wait()
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                    if writer.transport.is_closing():
                        break
                reply = self._answer(connection, line.decode().rstrip("\r\n"))
                if reply is None or self._loses_answer(line):
                    break
                writer.write(reply.encode())
        except ConnectionError:
            pass
        finally:
            self._connections.discard(connection)
            writer.transport.abort()

    def _loses_answer(self, line: bytes) -> bool:
        if self.lose_answers and b"QUERY - " not in line and b"CONNECT" not in line:
            self.lose_answers -= 1
            return True
        return False

    def _answer(self, connection: ServerConnection, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        if word == "CONNECT":
            return self._connect(connection, rest)
        if word != "QUERY" or not connection.is_open:
            return None
        request_id, _, text = rest.partition(" ")
        body = self._run_statement(connection, request_id, text)
        if body is None:
            return None
        state = "I"
        if connection.transaction is not None:
            state = "E" if connection.has_failed else "T"
        return f"{body}READY {state} {self.position}\r\n"

    def _connect(self, connection: ServerConnection, rest: str) -> str | None:
        service, connection.client, backend = rest.split(" ")
        if service != self.group.service or backend != self.backend:
            connection.writer.write(f"ERROR MISROUTED {self.backend}\r\n".encode())
            return None
        if len(self._connections) > self.connection_limit:
            connection.writer.write(f"ERROR CONNLIMIT {self.backend}\r\n".encode())
            return None
        connection.is_open = True
        return f"READY I {self.position}\r\n"

    def _run_statement(
        self, connection: ServerConnection, request_id: str, text: str
    ) -> str | None:
        self.statements.append(text)
        self.clients[request_id] = connection.client
        if text.startswith("AFTER "):
            _, minimum_position, text = text.split(" ", 2)
            if not self._has_position(minimum_position):
                return f"ERROR LAGGING {self.backend}\r\n"
        word, _, rest = text.partition(" ")
        if self._has_lost_lead(connection) and (word != "COMMIT" or connection.transaction):
            if word in ("COMMIT", "ROLLBACK"):
                connection.transaction, connection.has_failed = None, False
            else:
                connection.has_failed = True
            return f"ERROR READONLY {self.backend}\r\n"
        if connection.has_failed and word not in ("COMMIT", "ROLLBACK"):
            return "ERROR MALFORMED the transaction has failed\r\n"
        if (code := self.refuse(text)) is not None:
            connection.has_failed = connection.transaction is not None
            return f"ERROR {code} {self.backend}\r\n"
        if self.is_busy and word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return f"ERROR BUSY {self.backend}\r\n"
        match word:
            case "STATUS":
                return self._status_row()
            case "STEPDOWN" if not rest.isdecimal():
                return "ERROR MALFORMED no such term\r\n"
            case "STEPDOWN":
                if self.term < int(rest):
                    self.role = "replica"
                return self._status_row()
            case "SET":
                name, _, value = rest.partition(" ")
                connection.settings[name] = value
            case "RESET":
                connection.settings.clear()
                connection.prepared_statements.clear()
            case "PREPARE":
                name, mode, template = rest.split(" ", 2)
                if mode not in ("READ", "WRITE"):
                    return "ERROR MALFORMED unknown mode\r\n"
                connection.prepared_statements[name] = (mode, template)
            case "EXECUTE":
                name, _, arguments = rest.partition(" ")
                if name not in connection.prepared_statements:
                    return f"ERROR NOSTMT {name}\r\n"
                mode = connection.prepared_statements[name][0]
                return self._run_statement(connection, request_id, f"{mode} {arguments}")
            case "BEGIN":
                if rest != "READ" and self.role != "primary":
                    return f"ERROR READONLY {self.backend}\r\n"
                connection.transaction, connection.is_read_only = [], rest == "READ"
            case "ROLLBACK":
                connection.transaction, connection.has_failed = None, False
            case "COMMIT" if connection.has_failed:
                connection.transaction, connection.has_failed = None, False
                return "ERROR ABORTED the transaction had failed\r\n"
            case "COMMIT":
                writes, connection.transaction = connection.transaction or [], None
                return f"COMPLETE s.{request_id}\r\n" if self._commit(writes) else None
            case "READ" if self.fails_reads:
                return f"ERROR FAILED {self.backend}\r\n"
            case "READ":
                settings = ",".join(f"{k}={v}" for k, v in sorted(connection.settings.items()))
                row = f"ROW {self.data.get(rest, 'none')} {settings}".rstrip()
                return f"{row}\r\nCOMPLETE s.{request_id}\r\n"
            case "WRITE":
                return self._write(connection, request_id, rest)
        return "COMPLETE -\r\n"

    def _status_row(self) -> str:
        row = f"{self.role} {self.term} {self.received_position} 0 0 1"
        return f"ROW {row}\r\nCOMPLETE -\r\n"

    def _has_lost_lead(self, connection: ServerConnection) -> bool:
        """Return whether the connection's transaction began at a primary, which this is no more."""
        is_plain = connection.transaction is not None and not connection.is_read_only
        return is_plain and self.role != "primary"

    def _write(self, connection: ServerConnection, request_id: str, rest: str) -> str | None:
        if self.role != "primary":
            return f"ERROR READONLY {self.backend}\r\n"
        item, _, value = rest.partition(" ")
        if connection.transaction is not None:
            connection.transaction.append((item, value))
        elif not self._commit([(item, value)]):
            return None
        return f"COMPLETE s.{request_id}\r\n"

    def _has_position(self, minimum_position: str) -> bool:
        term, log_offset = minimum_position.split(".")
        applied_offset = self.log_offset - self.unapplied_count
        return (self.term, applied_offset) >= (int(term), int(log_offset))

    def follow(self, primary: LineServer) -> None:
        """Become a replica with a copy of the primary's data and log position."""
        self.role = "replica"
        self.data = dict(primary.data)
        self.term, self.log_offset = primary.term, primary.log_offset

    def _commit(self, writes: list[tuple[str, str]]) -> bool:
        """Commit writes; return False if too few replicas receive them to acknowledge them."""
        if not writes:
            return True
        if self is not self.group.primary:
            self.group.commits_of_former_primary.extend(writes)
            self.data.update(writes)
            self.log_offset += 1
            return True
        self.log_offset += 1
        self.data.update(writes)
        replicas = [
            server
            for server in self.group.servers.values()
            if server is not self and server.is_receiving and server.role == "replica"
        ]
        for server in replicas:
            server.data.update(writes)
            server.term, server.log_offset = self.term, self.log_offset
        if len(replicas) < self.group.sync_replicas:
            return False
        self.group.commits.extend(writes)
        return True


class LineGroup:
    """Backend servers of one service, with the platform's call that promotes one of them."""

    def __init__(self, service: str, names: tuple[str, ...]) -> None:
        self.service = ServiceName(service)
        self.servers = {name: LineServer(self, name) for name in names}
        self.primary = self.servers[names[0]]
        self.primary.role = "primary"
        self.commits: list[tuple[str, str]] = []
        self.commits_of_former_primary: list[tuple[str, str]] = []
        self.promotions: list[tuple[str, str, int]] = []
        self.promotion_delay_seconds = 0.0
        self.connect_seconds = 0.0  # until a connection to the platform's control interface is open
        self.sync_replicas = 0  # that have to receive a commit before it is acknowledged

    async def start(self) -> None:
        """Start all backend servers."""
        for server in self.servers.values():
            await server.start()

    async def stop(self) -> None:
        """Crash all backend servers."""
        for server in self.servers.values():
            await server.crash()

    async def promote(
        self,
        service: ServiceName,
        backend: BackendId,
        holder: HostId,
        token: FencingToken,
        may_send: Callable[[], bool] = lambda: True,
    ) -> PromotionOutcome:
        """Record a promotion order and, if the backend server runs, make it the primary.

        With ``promotion_delay_seconds`` an accepted order takes effect that much later, unless the
        server does not run then.
        """
        if self.connect_seconds:
            await asyncio.sleep(self.connect_seconds)
        if not may_send():
            return PromotionOutcome.NOT_SENT
        self.promotions.append((holder, backend, token))
        new_primary = self.servers[backend]
        if not new_primary.is_running:
            return PromotionOutcome.NOT_RUNNING
        if not self.promotion_delay_seconds:
            self.make_primary(new_primary)
            return PromotionOutcome.ACCEPTED

        def take_effect() -> None:
            if new_primary.is_running:
                self.make_primary(new_primary)

        asyncio.get_running_loop().call_later(self.promotion_delay_seconds, take_effect)
        return PromotionOutcome.ACCEPTED

    def make_primary(self, new_primary: LineServer) -> None:
        """Make a backend server the primary of the next term, with the log that it has.

        Servers whose ``learns_of_promotions`` is false keep their role.
        """
        if new_primary is self.primary:
            return
        new_primary.term = max(server.term for server in self.servers.values()) + 1
        new_primary.role = "primary"
        self.primary = new_primary
        for server in self.servers.values():
            if server is not new_primary and server.learns_of_promotions:
                server.role = "replica"
