"""Callers of the hosts: each session keeps its connection until that ends, then goes elsewhere."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NoReturn

from hickorywind.ids import Address, SessionId
from hickorywind.results import Outcome
from hickorywind_bench.checker import Guarantee
from hickorywind_bench.history import Append, Read
from soak.checks import CutKind, CutRequest, Promise, PromiseChecker
from soak.platform import MAX_STALENESS_S, OPTIONAL_DATABASE, Operators, find_kind, find_service
from soak.servers import MAX_MESSAGE_BYTES, PADDING_MARK, SERVICE
from soak.statements import (
    CallerSession,
    CallerTransaction,
    Shape,
    StatementPromise,
)

ANSWER_LIMIT_S = 8.0  # callers close a connection without an answer
CONNECT_LIMIT_S = 2.0  # callers close a connection that is not accepted by then
PAUSE_S = 0.05  # between two operations of a session
RETRY_PAUSE_S = 0.15  # after a refusal
IDLE_PAUSE_S = (0.2, 3.0)  # between two operations of an idle session
TRANSACTION_PAUSE_S = 0.9  # longest pause in a transaction of an idle session, below tx_idle_ms
MAX_TRANSACTION_STATEMENTS = 10  # beside BEGIN and the end, which makes a dozen
VALUE_NAMES = ("lang", "zone", "mode", "path")
STATEMENT_NAMES = ("s1", "s2", "s3")  # the same for all callers
SHAPES = ("q1", "q2", "q2c", "rq1", "wq1", "q4 a", "q4 b", "q1 READ q2")  # up to the line's end
_SESSION_CHANGE_SHARE = 0.15  # of operations
_PREPARED_SHARE = 0.5  # of reads and writes, if a prepared statement fits
_LEAVING_SHARE = 0.08  # of transactions
_ROLLBACK_SHARE = 0.15
_LARGE_SHARE, _LARGE_BYTES = 0.04, (1_000, 60_000)
_HUGE_SHARE, _HUGE_BYTES = 0.002, (900_000, MAX_MESSAGE_BYTES - 500)
_LINGER_NONE = struct.pack("ii", 1, 0)  # closing sends RST instead of FIN
_TCP_CLOSE_WAIT = 8  # tcpi_state of a connection that the other end has closed
MAX_SHOWN_TEXT = 100  # of a statement in a report
ELEMENTS_PER_KEY = 40  # keeps rows short in long runs
# These codes promise that nothing of the attempt is kept.
NOT_RUN_CODES = frozenset(
    "BUSY ABORTED LAGGING READONLY MISROUTED CONNLIMIT NODB NOSTMT MALFORMED".split()
)


class ConnectionEndedError(Exception):
    """Error raised when a connection ends, with or without a request under way."""

    def __init__(self, reason: str, kind: CutKind | None = None) -> None:
        """``kind`` says what became of a request that was under way."""
        super().__init__(reason)
        self.kind = kind


class EndAnnouncedError(Exception):
    """Error raised on a message while no request is outstanding; the caller closes the session."""


class LeftError(Exception):
    """Error raised when a caller has left on purpose."""


class Leaving(Enum):
    """How a caller leaves inside a transaction."""

    CLOSE = "closes the connection"
    RESET = "resets the connection"
    HALF_LINE = "closes the connection after half a statement"
    UNANSWERED = "closes the connection after a statement, without its answer"


class Pace(Enum):
    """How a caller spreads its operations over time and sessions."""

    BUSY = "many operations in each session"
    IDLE = "long pauses between the operations of a session"
    SINGLE = "one operation in each session"


@dataclass(frozen=True)
class Answered:
    """Operation as a caller saw its end, for the report."""

    at_s: float
    host: str
    outcome: Outcome
    is_success: bool
    database: str = ""


@dataclass(frozen=True)
class Answer:
    """Lines of an answer without the final state."""

    lines: tuple[str, ...]
    state: str

    @property
    def is_well_formed(self) -> bool:
        """Return whether rows, if any, are followed by one completion or error."""
        kinds = [line.partition(" ")[0] for line in self.lines]
        return kinds[-1:] in (["COMPLETE"], ["ERROR"]) and set(kinds[:-1]) <= {"ROW"}

    @property
    def outcome(self) -> Outcome:
        """Return what the answer says about whether the request ran."""
        words = self.lines[-1].split(" ")
        if words[0] == "COMPLETE":
            return Outcome.RAN
        return Outcome.NOT_RUN if words[1] in NOT_RUN_CODES else Outcome.UNKNOWN


class Connection:
    """Connection of a caller to one host."""

    def __init__(self, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.host = host
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: str, address: Address, database: str) -> Connection:
        """Open a session; raise ``ConnectionEndedError`` with the reason if it is not accepted."""
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                streams = await asyncio.open_connection(
                    address.host, address.port, limit=2 * MAX_MESSAGE_BYTES
                )
        except (OSError, TimeoutError) as error:
            raise ConnectionEndedError(str(error)) from None
        connection = cls(host, *streams)
        try:
            await connection._connect(database)
        except ConnectionEndedError:
            connection.close()
            raise
        return connection

    async def _connect(self, database: str) -> None:
        try:
            self._writer.write(f"CONNECT {database} soak\r\n".encode())
            async with asyncio.timeout(CONNECT_LIMIT_S):
                greeting = await self._read_line()
        except TimeoutError:
            reason = f"no answer in {CONNECT_LIMIT_S} s"
            raise ConnectionEndedError(reason, CutKind.LATE) from None
        except EOFError as error:
            kind = CutKind.READ if self._was_all_read() else CutKind.UNREAD_CONNECT
            raise ConnectionEndedError(str(error), kind) from None
        except OSError as error:
            raise ConnectionEndedError(str(error), CutKind.UNREAD_CONNECT) from None
        if not greeting.startswith("READY"):
            raise ConnectionEndedError(greeting)

    async def _read_line(self) -> str:
        line = await self._reader.readline()
        if not line.endswith(b"\r\n"):
            raise EOFError("closed")
        return line.decode().rstrip("\r\n")

    async def wait(self, seconds: float) -> None:
        """Wait between two requests; raise an error if the host announces its end or closes."""
        try:
            async with asyncio.timeout(seconds):
                line = await self._read_line()
        except TimeoutError:
            return
        except (EOFError, OSError) as error:
            raise ConnectionEndedError(str(error)) from None
        raise EndAnnouncedError(line)

    async def ask(self, request_id: str, text: str) -> Answer:
        """Send a statement and return its answer; raise ``ConnectionEndedError`` without one."""
        lines: list[str] = []
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while not (line := await self._read_line()).startswith("READY"):
                    lines.append(line)
        except TimeoutError:
            reason = f"no answer in {ANSWER_LIMIT_S} s"
            raise ConnectionEndedError(reason, CutKind.LATE) from None
        except EOFError as error:
            kind = CutKind.READ if self._was_all_read() else CutKind.UNREAD
            raise ConnectionEndedError(str(error), kind) from None
        except OSError as error:
            raise ConnectionEndedError(str(error), CutKind.UNREAD) from None
        return Answer(tuple(lines), line.split(" ")[1])

    def _was_all_read(self) -> bool:
        """Return whether the host's process had read all bytes when it closed the connection.

        The kernel resets a connection that is closed before all is read, or written to afterwards.
        """
        connected = self._writer.get_extra_info("socket")
        try:
            return (
                connected.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == _TCP_CLOSE_WAIT
            )
        except OSError:
            return False

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()

    def leave(self, leaving: Leaving, request_id: str, text: str) -> None:
        """Close the connection; ``text`` is a statement that is under way."""
        line = f"QUERY {request_id} {text}\r\n".encode()
        match leaving:
            case Leaving.RESET:
                connected = self._writer.get_extra_info("socket")
                connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
            case Leaving.HALF_LINE:
                self._writer.write(line[: len(line) // 2])
            case Leaving.UNANSWERED:
                self._writer.write(line)
        self.close()


class Directory:
    """Addresses of the hosts and the keys that sessions write now."""

    def __init__(self, addresses: dict[str, Address]) -> None:
        self.addresses = addresses
        self.keys: dict[str, str] = {}  # current key by caller


class SoakCaller:
    """Caller that writes lists of its own and reads its own and those of others."""

    def __init__(
        self,
        name: str,
        home: str,
        database: str,
        directory: Directory,
        checker: PromiseChecker,
        pace: Pace = Pace.BUSY,
        service: str = SERVICE,
    ) -> None:
        self.name = name
        self.database = database
        self._service = service
        self._kind = find_kind(database)
        self.answered: list[Answered] = []
        self.announcement_count = 0
        self._pace = pace
        self._home = home
        self._directory = directory
        self._checker = checker
        self._rng = random.Random(name)
        self._numbers = itertools.count()
        self._elements = itertools.count()
        self._connection_count = 0
        self._connected_s = 0.0
        self._session = SessionId("")
        self._state = CallerSession()
        self._connection: Connection | None = None

    async def run(self) -> None:
        """Work until cancelled; after a connection has ended, reconnect, mostly elsewhere."""
        host = self._home
        while True:
            stopping = None
            try:
                await self._run_session(host)
            except ConnectionEndedError:
                self._record(host, Outcome.UNKNOWN, False)
            except LeftError:
                pass
            except EndAnnouncedError as error:
                if not str(error).startswith("ERROR "):
                    self._checker.report(
                        Promise.PROTOCOL_KEPT, f"{host} without a request: {error}"
                    )
                self.announcement_count += 1
                stopping = host
            if self._connection is not None:
                self._connection.close()
                self._connection = None
            if self._pace is Pace.SINGLE:
                await asyncio.sleep(self._rng.uniform(*IDLE_PAUSE_S))
            elif stopping is None:
                await asyncio.sleep(RETRY_PAUSE_S)
            hosts = [self._home, *self._directory.addresses]
            host = self._rng.choice([each for each in hosts if each != stopping])

    async def _run_session(self, host: str) -> None:
        address = self._directory.addresses[host]
        self._connected_s = self._checker.now_s()
        try:
            self._connection = await Connection.open(host, address, self.database)
        except ConnectionEndedError as error:
            if error.kind is not None:
                cut = self._make_cut(host, "CONNECT", self._connected_s, "", error)
                self._checker.cuts.append(cut)
            raise
        self._connection_count += 1
        self._session = SessionId(f"{self.name}.{self._connection_count}")
        self._state = CallerSession()
        await self._change(f"SET tag {self._session}")
        while self._rng.random() < 0.5:
            await self._change_session()
        while True:
            is_served = await self._run_operation()
            if self._pace is Pace.SINGLE:
                return
            pause_s = PAUSE_S if is_served else RETRY_PAUSE_S
            if self._pace is Pace.IDLE:
                pause_s = self._rng.uniform(*IDLE_PAUSE_S)
            await self._connection.wait(pause_s)

    async def _run_operation(self) -> bool:
        if self._rng.random() < _SESSION_CHANGE_SHARE:
            await self._change_session()
        others = [key for name, key in self._directory.keys.items() if name != self.name]
        choice = self._rng.random()
        if self._kind != "views" and choice < 0.3:
            return await self._write()
        if self._kind == "bookings" and choice < (0.4 if self._pace is Pace.BUSY else 0.6):
            return await self._run_transaction(is_read_only=False)
        own = self._directory.keys.get(self.name)
        if choice > 0.9 and (own or others):
            return await self._run_transaction(is_read_only=True)
        if own and choice < 0.7:
            return await self._read(own)
        return await self._read(self._rng.choice(others)) if others else True

    # Session state -----------------------------------------------------------------------------

    async def _change_session(self) -> None:
        """Set a value, or prepare or deallocate a statement, under names that others use too."""
        rng, state = self._rng, self._state
        match rng.choice(("SET", "PREPARE", "PREPARE", "DEALLOCATE")):
            case "SET":
                value = f"{rng.choice('abc')}{rng.randrange(3)}" + " x" * rng.randrange(2)
                if rng.random() < _LARGE_SHARE:
                    value += "v" * rng.randrange(4_000)
                await self._change(f"SET {rng.choice(VALUE_NAMES)} {value}")
            case "PREPARE":
                name, mode = rng.choice(STATEMENT_NAMES), rng.choice(("READ", "WRITE"))
                await self._change(f"PREPARE {name} {mode} {rng.choice(SHAPES)}")
            case "DEALLOCATE" if state.shapes:
                await self._change(f"DEALLOCATE {rng.choice(list(state.shapes))}")

    async def _change(self, text: str) -> None:
        """Send a statement that changes the session; an error ends the session."""
        answer = (await self._ask(text))[1]
        if answer.outcome is not Outcome.RAN:
            raise ConnectionEndedError(answer.lines[-1])
        match text.split(" ", 2):
            case ["SET", name, value]:
                self._state.values[name] = value
            case ["PREPARE", name, shape]:
                self._state.shapes[name] = Shape(*shape.split(" ", 1))
            case ["DEALLOCATE", name]:
                del self._state.shapes[name]

    def _make_access(self, mode: str, arguments: str) -> str:
        """Return a read or a write, by a prepared statement of its mode if there is one."""
        names = [name for name, shape in self._state.shapes.items() if shape.mode == mode]
        if names and self._rng.random() < _PREPARED_SHARE:
            return f"EXECUTE {self._rng.choice(names)} {arguments}"
        return f"{mode} {arguments}"

    def _draw_size(self) -> int:
        """Return how many bytes to add to a statement or to its row."""
        choice = self._rng.random()
        if choice < _HUGE_SHARE:
            return self._rng.randrange(*_HUGE_BYTES)
        return self._rng.randrange(*_LARGE_BYTES) if choice < _LARGE_SHARE else 0

    def _make_write(self, key: str, element: str) -> str:
        size = self._draw_size()
        padding = PADDING_MARK + "x" * size if size else ""
        return self._make_access("WRITE", f"{key} {element}{padding}")

    # Statements --------------------------------------------------------------------------------

    async def _ask(self, text: str) -> tuple[str, Answer]:
        request_id = self._next_request_id()
        sent_s = self._checker.now_s()
        self._record_sent(request_id, text, sent_s)
        try:
            answer = await self._connection.ask(request_id, text)
        except ConnectionEndedError as error:
            shown = text[:MAX_SHOWN_TEXT]
            cut = self._make_cut(self._connection.host, request_id, sent_s, shown, error)
            self._checker.handle_cut_request(cut)
            raise
        if not answer.is_well_formed:
            detail = f"{request_id} {text[:MAX_SHOWN_TEXT]}: {str(answer)[-MAX_SHOWN_TEXT:]}"
            self._checker.report(Promise.PROTOCOL_KEPT, detail)
            raise ConnectionEndedError("malformed answer")
        self._record(self._connection.host, answer.outcome, answer.outcome is Outcome.RAN)
        word = text.split(" ")[0]
        if answer.outcome is Outcome.RAN and word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            if answer.lines[-1] != f"COMPLETE s.{request_id}":
                detail = f"{request_id} {text[:MAX_SHOWN_TEXT]}: {answer.lines[-1]}"
                self._checker.report(Promise.SIGNED_ANSWER, detail)
        if word == "EXECUTE" and answer.lines[-1].startswith("ERROR NOSTMT"):
            detail = f"{request_id} {text[:MAX_SHOWN_TEXT]}: {answer.lines[-1]}"
            self._checker.report(StatementPromise.STATEMENT_PINNED, detail)
        if answer.state == "I":
            self._state.transaction = None
        return request_id, answer

    def _record_sent(self, request_id: str, text: str, sent_s: float) -> None:
        self._checker.statements.record_sent(request_id, text, self._state)
        words = text.split(" ", 2)
        mode = words[0]
        if mode == "EXECUTE":
            mode = self._state.shapes[words[1]].mode
        self._checker.freshness.record_sent(
            request_id,
            self._session,
            sent_s,
            MAX_STALENESS_S[self._kind],
            self._kind == "orders",
            self._state.transaction,
            self._service,
            is_write=mode == "WRITE",
        )

    def _next_request_id(self) -> str:
        return f"{self._session}-{next(self._numbers)}"

    def _make_cut(
        self, host: str, request_id: str, sent_s: float, text: str, error: ConnectionEndedError
    ) -> CutRequest:
        now_s, reason = self._checker.now_s(), f"{text}: {error}"
        return CutRequest(
            host, request_id, self._connected_s, sent_s, now_s, reason, error.kind or CutKind.LATE
        )

    def _record(self, host: str, outcome: Outcome, is_success: bool) -> None:
        now_s = self._checker.now_s()
        self.answered.append(Answered(now_s, host, outcome, is_success, self.database))

    def _next_element(self) -> tuple[str, str]:
        number = next(self._elements)
        key = f"{self.name}-{number // ELEMENTS_PER_KEY}"
        self._directory.keys[self.name] = key
        return key, f"{self.name}:{number}"

    async def _write(self) -> bool:
        key, element = self._next_element()
        invoked, outcome = self._now(), Outcome.UNKNOWN
        try:
            outcome = (await self._ask(self._make_write(key, element)))[1].outcome
        finally:
            self._add_append(key, element, invoked, outcome)
        return outcome is Outcome.RAN

    async def _run_transaction(self, is_read_only: bool) -> bool:
        """Run a transaction with pauses; roll it back or leave in it at times."""
        writes: list[tuple[str, str]] = []
        invoked, outcome = self._now(), Outcome.NOT_RUN  # until the commit is sent
        started_s = self._checker.now_s()
        try:
            if (await self._ask("BEGIN READ" if is_read_only else "BEGIN"))[1].state != "T":
                return False
            self._state.transaction = CallerTransaction(started_s, is_read_only)
            leaves = self._rng.random() < _LEAVING_SHARE
            for _ in range(self._draw_statement_count()):
                await self._pause_in_transaction()
                if leaves and self._rng.random() < 0.3:
                    self._leave(writes)
                if not await self._run_in_transaction(is_read_only, writes, invoked):
                    if self._state.transaction is not None:
                        await self._ask("ROLLBACK")
                    return False
            await self._pause_in_transaction()
            if self._rng.random() < _ROLLBACK_SHARE:
                return (await self._ask("ROLLBACK"))[1].outcome is Outcome.RAN
            outcome = Outcome.UNKNOWN
            if leaves:
                self._leave_by(Leaving.UNANSWERED, "COMMIT")
            outcome = (await self._ask("COMMIT"))[1].outcome
        finally:
            for key, element in writes:
                self._add_append(key, element, invoked, outcome, writes[0][1])
        return outcome is Outcome.RAN

    def _draw_statement_count(self) -> int:
        if self._rng.random() < 0.7:
            return self._rng.randint(0, 3)
        return self._rng.randint(4, MAX_TRANSACTION_STATEMENTS)

    async def _pause_in_transaction(self) -> None:
        longest_s = PAUSE_S if self._pace is Pace.BUSY else TRANSACTION_PAUSE_S
        try:
            await self._connection.wait(self._rng.uniform(0, longest_s))
        except EndAnnouncedError:
            self._checker.handle_ended_transaction(self._connection.host)
            raise

    async def _run_in_transaction(
        self, is_read_only: bool, writes: list[tuple[str, str]], invoked: timedelta
    ) -> bool:
        """Run one statement; return whether the transaction goes on."""
        choice, keys = self._rng.random(), list(self._directory.keys.values())
        if choice < 0.2:
            await self._change_session()
            return True
        if not is_read_only and (choice < 0.7 or not keys):
            writes.append(self._next_element())
            return (await self._ask(self._make_write(*writes[-1])))[1].outcome is Outcome.RAN
        return await self._read(self._rng.choice(keys), invoked)

    def _leave(self, writes: list[tuple[str, str]]) -> NoReturn:
        leaving = self._rng.choice(list(Leaving))
        if leaving is Leaving.HALF_LINE and self._rng.random() < 0.5:
            self._leave_by(leaving, "COMMIT")
        writes.append(self._next_element())
        self._leave_by(leaving, self._make_write(*writes[-1]))

    def _leave_by(self, leaving: Leaving, text: str) -> NoReturn:
        request_id = self._next_request_id()
        if leaving is Leaving.UNANSWERED:
            self._record_sent(request_id, text, self._checker.now_s())
        self._connection.leave(leaving, request_id, text)
        raise LeftError

    def _add_append(
        self, key: str, element: str, invoked: timedelta, outcome: Outcome, group: str | None = None
    ) -> None:
        append = Append(self._session, key, element, invoked, self._now(), outcome, group)
        self._checker.history.appends.append(append)
        if outcome is Outcome.RAN:
            now_s = self._checker.now_s()
            self._checker.freshness.record_commit(element, self._session, now_s, self._service)

    async def _read(self, key: str, invoked: timedelta | None = None) -> bool:
        """Read an item; a read in a transaction counts from the start of that."""
        invoked, size = invoked or self._now(), self._draw_size()
        arguments = f"{key}{PADDING_MARK}{size}" if size else key
        _, answer = await self._ask(self._make_access("READ", arguments))
        if answer.outcome is not Outcome.RAN:
            return False
        words = answer.lines[0].split(" ", 2)  # ROW ELEMENTS VALUES
        elements = () if words[1] == "none" else tuple(words[1].split(","))
        values = ",".join(f"{name}={value}" for name, value in sorted(self._state.values.items()))
        if words[2:] != [values]:
            detail = f"{self._session} reads {words[2:]}"
            self._checker.report(Promise.SESSION_STATE_KEPT, detail[:MAX_SHOWN_TEXT])
        if answer.lines[1:-1] != ((f"ROW {'x' * size}",) if size else ()):
            detail = f"{self._session} reads {len(answer.lines)} rows, not {size} bytes"
            self._checker.report(Guarantee.MATCHING_ANSWER, detail)
        if any(not key.startswith(element.partition(":")[0] + "-") for element in elements):
            self._checker.report(Guarantee.MATCHING_ANSWER, f"{key}: {answer.lines[0]}")
        age = timedelta(seconds=MAX_STALENESS_S[self._kind])
        read = Read(self._session, key, elements, invoked, self._now(), age)
        self._checker.history.reads.append(read)
        return True

    def _now(self) -> timedelta:
        return timedelta(seconds=self._checker.now_s())


async def watch_optional_route(
    host: str, address: Address, operators: Operators, checker: PromiseChecker
) -> None:
    """Ask a host for the optional route until cancelled."""
    for number in itertools.count():
        await asyncio.sleep(RETRY_PAUSE_S)
        is_there, changed_s = operators.has_optional_route, operators.changed_at_s
        sent_s = checker.now_s()
        request_id = f"{host}-route-{number}"
        answer = await probe(host, address, OPTIONAL_DATABASE, request_id, "READ x", checker)
        if changed_s == operators.changed_at_s:
            checker.handle_optional_route(host, is_there, changed_s, sent_s, answer)


async def probe(
    host: str,
    address: Address,
    database: str,
    request_id: str,
    text: str,
    checker: PromiseChecker,
) -> str:
    """Return the first line that a host answers on a new connection, or why there is none."""
    checker.statements.record_sent(request_id, text, CallerSession())
    checker.freshness.record_sent(
        request_id,
        SessionId(request_id),
        checker.now_s(),
        MAX_STALENESS_S.get(find_kind(database), 0.0),
        False,
        None,
        find_service(database),
        is_write=text.startswith("WRITE "),
    )
    try:
        connection = await Connection.open(host, address, database)
        try:
            return (await connection.ask(request_id, text)).lines[0]
        finally:
            connection.close()
    except ConnectionEndedError as error:
        return str(error)
