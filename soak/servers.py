"""Backend servers of the soak: they keep lists, refuse statements and harm their answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from hickorywind.ids import Address, BackendId
from soak.slots import SLOT_S, SLOT_WORDS, TIMED_WORDS, ReceivedLines, Slots
from soak.statements import (
    OWN_REQUEST_ID,
    ServerStatement,
    ServerTransaction,
    Shape,
    remove_position,
)
from standins.lineplatform.group import LineServer, ServerConnection

if TYPE_CHECKING:
    from soak.platform import SoakGroup

SERVICE = "ledger"
STATEMENT_S = 0.002  # keeps statements in flight while faults strike
PADDING_MARK = "#"  # the text behind it makes a write large, and its row a read
MAX_MESSAGE_BYTES = 1_048_576
BUSY_SPELL_S = (0.1, 0.4)  # "rolled back and busy for a moment"
SETUP_WORDS = ("SET", "RESET", "PREPARE")
NETWORK_S = 0.002  # until a replica receives a commit
APPLY_S = 0.02  # until it has applied the commit, on average
_SILENT_POLL_S = 0.01
_MAX_SLOT_DELAY_S = 0.2  # of a slow server, which has to work off its queue
_PART_PAUSE_S = (0.0005, 0.02)
_MAX_PARTS = 6
_MALFORMED_ANSWER = "ROW \r\nNONSENSE 1 2\r\n"


@dataclass(frozen=True)
class StatementRun:
    """Arrival of a caller's statement at a backend server."""

    request_id: str
    host: str
    backend: BackendId
    leaving_since_s: float | None
    continues_transaction: bool = False


@dataclass(frozen=True, eq=False)
class LogEntry:
    """Commit in the log of a server."""

    term: int
    number: int
    writes: tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class FormerWrite:
    """Statement that writes, or a commit, which a server ran after another one was promoted."""

    at_s: float
    request_id: str
    backend: BackendId
    elements: tuple[str, ...]  # that it committed
    is_answered: bool = True  # its sender was still there


@dataclass(eq=False)
class SoakConnection(ServerConnection):
    """Connection to a server of the soak."""

    is_closed_here: bool = False  # by the server, which runs nothing more from it
    lines: ReceivedLines | None = None

    @property
    def has_ended(self) -> bool:
        """Return whether its sender has left."""
        has_read_end = self.lines is not None and self.lines.has_ended
        return has_read_end or self.writer.transport.is_closing()


@dataclass
class AnswerFaults:
    """Shares of statements and answers that all servers harm."""

    refused: float = 0.0  # with BUSY, or setup of a session with FAILED
    busy_spells: float = 0.0  # after which a server refuses all for a while
    split: float = 0.0  # in several parts
    cut: float = 0.0  # connection closed before or after the statement, or within the answer


class ListData(dict):
    """Items whose values are comma-separated lists that each write extends.

    ``elements`` holds the values of all writes.
    """

    def __init__(self, source: ListData | None = None) -> None:
        super().__init__(source or {})
        self.elements: set[str] = set(source.elements) if source else set()

    def update(self, writes: Any) -> None:
        """Append the value of each write to its item's list."""
        if isinstance(writes, Mapping):
            super().update(writes)
            return
        for item, value in writes:
            self.elements.add(value)
            self[item] = f"{self[item]},{value}" if item in self else value


class SoakServer(LineServer):
    """Backend server that keeps lists, reports its role and records what reaches it."""

    def __init__(self, group: SoakGroup, name: str) -> None:
        super().__init__(group, name)
        self.data = ListData()
        self.delay_seconds = STATEMENT_S
        self.malformed_answers = 0
        self.leaving_since_s: float | None = None
        self.born = 1
        self.slot_rng = random.Random(f"slots {name}")
        self.slots = Slots(0, self.slot_rng)
        self.refusing_links = 0  # of hosts whose new connections are refused while it runs
        self.held_term = 0  # of the PAUSE in force; 0: it receives
        self.waiting_writes = 0  # received, not run yet
        self.answered_s = float("-inf")  # when it last answered a statement
        self._busy_until_s = 0.0
        self.log_term = self.term  # of the last applied commit
        self._unapplied: deque[LogEntry] = deque()  # received, not seen by statements yet
        self._applied_until_s = 0.0  # when all of them will be applied

    async def start(self) -> None:
        """Start listening, after a restart at the same address as before."""
        self.slots = Slots(self.group.slot_count, self.slot_rng)
        self._server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port, limit=2 * MAX_MESSAGE_BYTES
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address("127.0.0.1", port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = SoakConnection(writer)
        self._connections.add(connection)
        rng, faults = self.group.rng, self.group.answer_faults
        if self.group.runs_received_later:
            connection.lines = ReceivedLines(reader)
        lines = connection.lines or reader
        try:
            while line := await lines.readline():
                if not line.endswith(b"\r\n"):
                    self.group.on_half_line()
                    break
                if self.is_silent and not self.group.runs_received_later:
                    continue
                is_cut = line.startswith(b"QUERY") and rng.random() < faults.cut
                is_left_out = is_cut and rng.random() < 0.3
                reply = await self._run_line(connection, line, is_left_out)
                if reply is None or self._loses_answer(line):
                    break
                if is_cut:
                    writer.write(reply.encode()[: rng.randrange(len(reply))])
                    await writer.drain()
                    break
                await self._send(writer, reply.encode())
                self.answered_s = asyncio.get_running_loop().time()
        except ConnectionError:
            pass
        finally:
            if connection.lines is not None:
                connection.lines.close()
            self._connections.discard(connection)
            # Sends what is still buffered, unless the connection is broken.
            writer.close()

    async def _run_line(
        self, connection: SoakConnection, line: bytes, is_left_out: bool
    ) -> str | None:
        """Return the answer to a line, or None if the server ends the connection instead."""
        born, text = self.born, line.decode().removesuffix("\r\n")
        statement = text.split(" ", 2)[-1] if text.startswith("QUERY ") else text
        word = remove_position(statement).partition(" ")[0]
        is_write = self._writes(connection, statement)
        counts = self.group.state_counts
        self.waiting_writes += is_write
        try:
            async with self.slots.occupy() if word in SLOT_WORDS else contextlib.nullcontext():
                await self._spend_time(word)
                if not self.is_running or self.born != born or connection.is_closed_here:
                    return None
                has_ended = connection.has_ended
                if is_left_out or (has_ended and not self.group.runs_received_later):
                    return None
                counts["statements that ran after their sender had left"] += has_ended
                counts["writes that ran after their sender had left"] += has_ended and is_write
                return self._answer(connection, text)
        finally:
            self.waiting_writes -= is_write

    async def _spend_time(self, word: str) -> None:
        delay_s = self.delay_seconds
        if self.group.slot_count and word in TIMED_WORDS:
            delay_s = min(delay_s, _MAX_SLOT_DELAY_S) + self.slot_rng.uniform(*SLOT_S)
        await asyncio.sleep(delay_s)
        if self.group.runs_received_later:
            self.group.state_counts["lines that waited at a silent server"] += self.is_silent
            while self.is_silent:
                await asyncio.sleep(_SILENT_POLL_S)

    def _writes(self, connection: ServerConnection, text: str) -> bool:
        """Return whether a statement is a write, or a COMMIT of writes."""
        match text.split(" ", 2):
            case ["WRITE", *_]:
                return True
            case ["COMMIT"]:
                return bool(connection.transaction)
            case ["EXECUTE", name, *_]:
                return connection.prepared_statements.get(name, ("",))[0] == "WRITE"
        return False

    async def _send(self, writer: asyncio.StreamWriter, reply: bytes) -> None:
        rng = self.group.rng
        if rng.random() < self.group.answer_faults.split:
            places = sorted(rng.randrange(len(reply)) for _ in range(rng.randrange(1, _MAX_PARTS)))
            for start, end in zip([0, *places], places, strict=False):
                writer.write(reply[start:end])
                await writer.drain()
                await asyncio.sleep(rng.uniform(*_PART_PAUSE_S))
            reply = reply[places[-1] :]
        writer.write(reply)
        await writer.drain()

    def close_idle_connections(self) -> None:
        """Close some connections without a transaction; a statement may be on its way."""
        for connection in list(self._connections):
            is_open = not connection.writer.transport.is_closing()
            if is_open and connection.transaction is None and self.group.rng.random() < 0.5:
                connection.is_closed_here = True
                if self.group.rng.random() < 0.3:
                    connection.writer.write(f"ERROR BUSY {self.backend}\r\n".encode())
                connection.writer.close()

    # Statements --------------------------------------------------------------------------------

    def _answer(self, connection: SoakConnection, line: str) -> str | None:
        word, _, rest = line.partition(" ")
        if word != "QUERY" or not connection.is_open:
            return super()._answer(connection, line)
        request_id, _, text = rest.partition(" ")
        port = connection.writer.get_extra_info("peername")[1]
        host, transaction = self.group.sources.get(port, ""), connection.transaction
        if request_id != OWN_REQUEST_ID:
            continues = transaction is not None and transaction.owner is not None
            run = StatementRun(request_id, host, self.backend, self.leaving_since_s, continues)
            self.group.on_statement(run)
        is_write = self._writes(connection, text)
        is_former_write = self is not self.group.primary and is_write
        is_former_primary = self is not self.group.primary and self.role == "primary"
        stray_count = len(self.group.commits_of_former_primary)
        values = dict(connection.settings)
        shape = self._find_shape(connection, text)
        body = self._refuse(connection, remove_position(text))
        if body is None:
            body = self._run_statement(connection, request_id, text)
        words = (body or "").split(" ", 2)
        error_code = words[1] if words[0] == "ERROR" else ""
        if is_former_write and not error_code:
            self._record_former_write(connection, request_id, stray_count)
        has_ended = transaction is not None and connection.transaction is None
        if has_ended and (error_code or text == "ROLLBACK") and self.group.rolls_back_sessions:
            connection.settings, connection.prepared_statements = transaction.session_before
        self.group.on_server_statement(
            ServerStatement(
                request_id,
                host,
                self.backend,
                text,
                error_code,
                values,
                shape,
                transaction,
                self.data.elements,
                is_write,
                is_former_primary,
            )
        )
        if body is None:
            return None
        if request_id != OWN_REQUEST_ID and self.malformed_answers:
            self.malformed_answers -= 1
            return _MALFORMED_ANSWER
        return f"{body}READY {self._state(connection, error_code)} {self.position}\r\n"

    def _record_former_write(
        self, connection: SoakConnection, request_id: str, stray_count: int
    ) -> None:
        strays = self.group.commits_of_former_primary[stray_count:]
        elements = tuple(element for _, element in strays)
        now_s = asyncio.get_running_loop().time()
        is_answered = not connection.has_ended
        write = FormerWrite(now_s, request_id, self.backend, elements, is_answered)
        self.group.former_writes.append(write)

    def _state(self, connection: ServerConnection, error_code: str) -> str:
        """Return the state letter; an error other than BUSY fails an open transaction."""
        if connection.transaction is None:
            return "I"
        connection.has_failed |= error_code not in ("", "BUSY")
        return "E" if connection.has_failed else "T"

    def _find_shape(self, connection: ServerConnection, text: str) -> Shape | None:
        words = remove_position(text).split(" ", 2)
        if words[0] != "EXECUTE" or words[1] not in connection.prepared_statements:
            return None
        return Shape(*connection.prepared_statements[words[1]])

    def _refuse(self, connection: ServerConnection, text: str) -> str | None:
        """Return the refusal of a statement, or None if it may run."""
        transaction, word = connection.transaction, text.partition(" ")[0]
        has_lost_lead = (
            transaction is not None and not transaction.is_read_only and self.role != "primary"
        )
        if has_lost_lead and (word != "COMMIT" or transaction):
            if word in ("COMMIT", "ROLLBACK"):
                connection.transaction, connection.has_failed = None, False
            return f"ERROR READONLY {self.backend}\r\n"
        if not self._is_busy_now():
            return None
        if word in SETUP_WORDS and self.group.rng.random() < 0.2:
            if self.group.rng.random() < 0.5:
                self._run_statement(connection, OWN_REQUEST_ID, text)
            return f"ERROR FAILED {self.backend}\r\n"
        if transaction is not None:
            connection.has_failed |= self.group.rng.random() < 0.5
        if word == "COMMIT" and self.group.rng.random() < 0.5:
            connection.transaction, connection.has_failed = None, False
        return f"ERROR BUSY {self.backend}\r\n"

    def _is_busy_now(self) -> bool:
        rng, faults = self.group.rng, self.group.answer_faults
        if rng.random() < faults.busy_spells:
            self.be_busy_for_a_moment()
        now_s = asyncio.get_running_loop().time()
        return now_s < self._busy_until_s or rng.random() < faults.refused

    def be_busy_for_a_moment(self) -> None:
        """Refuse all statements for a while."""
        now_s = asyncio.get_running_loop().time()
        self._busy_until_s = now_s + self.group.rng.uniform(*BUSY_SPELL_S)

    def _run_statement(
        self, connection: ServerConnection, request_id: str, text: str
    ) -> str | None:
        if text.startswith("PREPARE ") and not connection.has_failed:
            return _prepare(connection, text)
        if text.startswith(("PAUSE", "RESUME")) and not connection.has_failed:
            return self._hold(text)
        was_primary = self.role == "primary"
        text, _, padding = text.partition(PADDING_MARK)
        body = super()._run_statement(connection, request_id, text)
        if body is None or body.startswith("ERROR"):
            return body
        if was_primary and self.role != "primary":
            self.group.handle_step_down(self)
        word, _, rest = remove_position(text).partition(" ")
        if word == "BEGIN":
            connection.transaction = ServerTransaction(self.backend, rest == "READ")
            session = dict(connection.settings), dict(connection.prepared_statements)
            connection.transaction.session_before = session
        if padding and body.startswith("ROW"):
            row, _, completion = body.partition("\r\n")
            return f"{row}\r\nROW {'x' * int(padding)}\r\n{completion}"
        return body

    def _hold(self, text: str) -> str:
        """Stop or resume receiving, and return the status row."""
        word, _, term = text.partition(" ")
        if word == "RESUME":
            self.resume()
        elif not term.isdecimal():
            return "ERROR MALFORMED no such term\r\n"
        elif self.role == "replica" and int(term) > max(self.term, self.held_term):
            self.held_term = int(term)
            self.group.state_counts["replicas that were paused"] += 1
        return self._status_row()

    def resume(self) -> None:
        """Receive again, and first what came meanwhile."""
        was_held, self.held_term = self.held_term, 0
        if was_held and self.is_receiving and self.role == "replica":
            self.follow(self.group.primary)

    def _status_row(self) -> str:
        busy, count = self.waiting_writes, len(self._connections)
        row = f"{self.role} {self.term} {self.received_position} {self.held_term} 0 {busy} {count}"
        return f"ROW {row}\r\nCOMPLETE -\r\n"

    # Replication -------------------------------------------------------------------------------

    @property
    def received_number(self) -> int:
        """Number of the last commit that this server has received."""
        return self.log_offset + len(self._unapplied)

    @property
    def position(self) -> str:
        """Return the position of the last applied commit, in the term in which it ran."""
        return f"{self.log_term}.{self.log_offset}"

    @property
    def received_position(self) -> str:
        """Return the position of the last commit that this server has received."""
        if not self._unapplied:
            return self.position
        return f"{self._unapplied[-1].term}.{self._unapplied[-1].number}"

    def _has_position(self, minimum_position: str) -> bool:
        term, number = minimum_position.split(".")
        return (self.log_term, self.log_offset) >= (int(term), int(number))

    @property
    def received_elements(self) -> set[str]:
        """Values of all writes that this server has received."""
        unapplied = (value for entry in self._unapplied for _, value in entry.writes)
        return self.data.elements.union(unapplied)

    def _commit(self, writes: list[tuple[str, str]]) -> bool:
        if not writes:
            return True
        self.apply_all()
        if self is not self.group.primary:
            self.log_term = self.term
            return super()._commit(writes)
        self.log_term, self.log_offset = self.term, self.log_offset + 1
        self.data.update(writes)
        self.group.commits.extend(writes)
        entry = LogEntry(self.term, self.log_offset, tuple(writes))
        for server in self.group.servers.values():
            if server is not self and server.is_running:
                asyncio.get_running_loop().call_later(NETWORK_S, server.receive, entry)
        return True

    def receive(self, entry: LogEntry) -> None:
        """Receive the next commit of the primary that this replica follows."""
        is_next = entry.term == self.term and entry.number == self.received_number + 1
        receives = self.is_receiving and not self.held_term and self.role == "replica"
        if is_next and receives and self.is_running:
            self._apply_later((entry,))

    def _apply_later(self, entries: Iterable[LogEntry]) -> None:
        loop, rng = asyncio.get_running_loop(), self.group.rng
        for entry in entries:
            self._unapplied.append(entry)
            applied_s = loop.time() + rng.expovariate(1 / self.group.apply_s)
            self._applied_until_s = max(self._applied_until_s, applied_s)
            loop.call_at(self._applied_until_s, self._apply_until, entry)

    def _apply_until(self, entry: LogEntry) -> None:
        while entry in self._unapplied:
            self._apply_next()

    def _apply_next(self) -> None:
        entry = self._unapplied.popleft()
        self.data.update(entry.writes)
        self.log_term, self.log_offset = entry.term, entry.number

    def apply_all(self) -> None:
        """Apply all commits that this server has received."""
        while self._unapplied:
            self._apply_next()

    def follow(self, primary: LineServer) -> None:
        """Become a replica with the primary's lists."""
        applied = self.data.elements  # stays applied
        super().follow(primary)
        self.data, self.log_term = ListData(primary.data), primary.log_term
        self._unapplied = deque(primary._unapplied)
        while self._unapplied and all(value in applied for _, value in self._unapplied[0].writes):
            self._apply_next()
        unapplied = tuple(self._unapplied)
        self._unapplied.clear()
        self._apply_later(unapplied)

    def roll_back_to(self, primary: LineServer) -> None:
        """Become a replica; a server that was ahead is busy for a moment."""
        is_ahead = self.received_number > primary.received_number
        self.follow(primary)
        if is_ahead:
            self.be_busy_for_a_moment()

    def registration(self, zone: str) -> bytes:
        """Return the entry that the server writes into the store."""
        return json.dumps(
            {
                "backend": self.group.service,
                "address": str(self.address),
                "zone": zone,
                "version": "1",
                "slots": 8,
                "state": "ready" if self.leaving_since_s is None else "draining",
                "db_role": self.role,
                "born": self.born,
                "seq": 1,
            }
        ).encode()


def _prepare(connection: ServerConnection, text: str) -> str:
    """Prepare a statement, whose shape extends to the end of the line."""
    match text.split(" ", 3):
        case [_, name, "READ" | "WRITE" as mode, shape]:
            connection.prepared_statements[name] = (mode, shape)
            return "COMPLETE -\r\n"
    return "ERROR MALFORMED no such statement\r\n"
