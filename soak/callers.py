"""Callers of the hosts: each session keeps its connection until that ends, then goes elsewhere."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hickorywind.ids import Address, SessionId
from hickorywind.results import Outcome
from hickorywind_bench.checker import Guarantee
from hickorywind_bench.history import Append, Read
from soak.checks import CutKind, CutRequest, Promise, PromiseChecker
from soak.platform import MAX_STALENESS_S, OPTIONAL_DATABASE, Operators

ANSWER_LIMIT_S = 8.0  # callers close a connection without an answer
CONNECT_LIMIT_S = 2.0  # callers close a connection that is not accepted by then
PAUSE_S = 0.05  # between two operations of a session
RETRY_PAUSE_S = 0.15  # after a refusal
IDLE_PAUSE_S = (0.2, 3.0)  # between two operations of an idle session
TRANSACTION_PAUSE_S = 0.9  # longest pause in a transaction of an idle session, below tx_idle_ms
_TCP_CLOSE_WAIT = 8  # tcpi_state of a connection that the other end has closed
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
                streams = await asyncio.open_connection(address.host, address.port)
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
    ) -> None:
        self.name = name
        self.database = database
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
        await self._ask(f"SET tag {self._session}")
        while True:
            is_served = await self._run_operation()
            if self._pace is Pace.SINGLE:
                return
            pause_s = PAUSE_S if is_served else RETRY_PAUSE_S
            if self._pace is Pace.IDLE:
                pause_s = self._rng.uniform(*IDLE_PAUSE_S)
            await self._connection.wait(pause_s)

    async def _run_operation(self) -> bool:
        others = [key for name, key in self._directory.keys.items() if name != self.name]
        choice = self._rng.random()
        if self.database != "views" and choice < 0.3:
            return await self._write()
        if self.database == "bookings" and choice < (0.4 if self._pace is Pace.BUSY else 0.6):
            return await self._write_transaction()
        own = self._directory.keys.get(self.name)
        if own and choice < 0.7:
            return await self._read(own)
        return await self._read(self._rng.choice(others)) if others else True

    # Statements --------------------------------------------------------------------------------

    async def _ask(self, text: str) -> tuple[str, Answer]:
        request_id = f"{self._session}-{next(self._numbers)}"
        sent_s = self._checker.now_s()
        try:
            answer = await self._connection.ask(request_id, text)
        except ConnectionEndedError as error:
            cut = self._make_cut(self._connection.host, request_id, sent_s, text, error)
            self._checker.handle_cut_request(cut)
            raise
        if not answer.is_well_formed:
            self._checker.report(Promise.PROTOCOL_KEPT, f"{request_id} {text}: {answer}")
            raise ConnectionEndedError("malformed answer")
        self._record(self._connection.host, answer.outcome, answer.outcome is Outcome.RAN)
        if answer.outcome is Outcome.RAN and text.split(" ")[0] in ("READ", "WRITE", "COMMIT"):
            if answer.lines[-1] != f"COMPLETE s.{request_id}":
                self._checker.report(Promise.SIGNED_ANSWER, f"{request_id} {text}: {answer.lines}")
        return request_id, answer

    def _make_cut(
        self, host: str, request_id: str, sent_s: float, text: str, error: ConnectionEndedError
    ) -> CutRequest:
        now_s, reason = self._checker.now_s(), f"{text}: {error}"
        return CutRequest(
            host, request_id, self._connected_s, sent_s, now_s, reason, error.kind or CutKind.LATE
        )

    def _record(self, host: str, outcome: Outcome, is_success: bool) -> None:
        self.answered.append(Answered(self._checker.now_s(), host, outcome, is_success))

    def _next_element(self) -> tuple[str, str]:
        number = next(self._elements)
        key = f"{self.name}-{number // ELEMENTS_PER_KEY}"
        self._directory.keys[self.name] = key
        return key, f"{self.name}:{number}"

    async def _write(self) -> bool:
        key, element = self._next_element()
        invoked, outcome = self._now(), Outcome.UNKNOWN
        try:
            outcome = (await self._ask(f"WRITE {key} {element}"))[1].outcome
        finally:
            self._add_append(key, element, invoked, outcome)
        return outcome is Outcome.RAN

    async def _write_transaction(self) -> bool:
        writes = [self._next_element() for _ in range(2)]
        longest_s = PAUSE_S if self._pace is Pace.BUSY else TRANSACTION_PAUSE_S
        invoked, outcome = self._now(), Outcome.NOT_RUN  # until the commit is sent
        try:
            for text in ("BEGIN", *(f"WRITE {key} {element}" for key, element in writes)):
                answer = (await self._ask(text))[1]
                if answer.outcome is not Outcome.RAN:
                    if answer.state != "I":
                        await self._ask("ROLLBACK")
                    return False
                try:
                    await self._connection.wait(self._rng.uniform(0, longest_s))
                except EndAnnouncedError:
                    self._checker.handle_ended_transaction(self._connection.host)
                    raise
            outcome = Outcome.UNKNOWN
            outcome = (await self._ask("COMMIT"))[1].outcome
        finally:
            for key, element in writes:
                self._add_append(key, element, invoked, outcome, writes[0][1])
        return outcome is Outcome.RAN

    def _add_append(
        self, key: str, element: str, invoked: timedelta, outcome: Outcome, group: str | None = None
    ) -> None:
        append = Append(self._session, key, element, invoked, self._now(), outcome, group)
        self._checker.history.appends.append(append)

    async def _read(self, key: str) -> bool:
        invoked = self._now()
        _, answer = await self._ask(f"READ {key}")
        if answer.outcome is not Outcome.RAN:
            return False
        words = answer.lines[0].split(" ")  # ROW ELEMENTS tag=SESSION
        elements = () if words[1] == "none" else tuple(words[1].split(","))
        if words[2:] != [f"tag={self._session}"]:
            detail = f"{self._session} reads {answer.lines[0][-80:]}"
            self._checker.report(Promise.SESSION_STATE_KEPT, detail)
        if any(not key.startswith(element.partition(":")[0] + "-") for element in elements):
            self._checker.report(Guarantee.MATCHING_ANSWER, f"{key}: {answer.lines[0]}")
        age = timedelta(seconds=MAX_STALENESS_S[self.database])
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
        answer = await probe(host, address, OPTIONAL_DATABASE, f"{host}-route-{number}", "READ x")
        if changed_s == operators.changed_at_s:
            checker.handle_optional_route(host, is_there, changed_s, sent_s, answer)


async def probe(host: str, address: Address, database: str, request_id: str, text: str) -> str:
    """Return the first line that a host answers on a new connection, or why there is none."""
    try:
        connection = await Connection.open(host, address, database)
        try:
            return (await connection.ask(request_id, text)).lines[0]
        finally:
            connection.close()
    except ConnectionEndedError as error:
        return str(error)
