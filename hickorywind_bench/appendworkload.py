"""Workload of concurrent list-append sessions against entries, with recorded history."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import psycopg

from hickorywind.ids import Address, ServiceName, SessionId
from hickorywind.results import Outcome, ResultCode, sqlstate_for
from hickorywind.util.clock import Clock, MonotonicClock, milliseconds
from hickorywind_bench.callers import (
    Refusal,
    connect_caller,
    read_diagnostic,
    read_refusal,
)
from hickorywind_bench.history import Append, History, Read

_TABLE = "appends"
_CREATE = f"CREATE TABLE IF NOT EXISTS {_TABLE} (seq INTEGER PRIMARY KEY, k TEXT, element TEXT)"
_SHUTDOWN_SQLSTATES = (sqlstate_for(ResultCode.SHUTTING_DOWN),)
_RETRY_DELAY_SECONDS = 0.05
_READ_PROBABILITY = 0.5
_TRANSACTION_PROBABILITY = 0.25
_RECONNECT_PROBABILITY = 0.1
_REPEAT_PROBABILITY = 0.5
_MAX_REPEAT_ATTEMPTS = 40
_MAX_STATEMENT_ATTEMPTS = 200


@dataclass(frozen=True)
class AppendWorkload:
    """Parameters of a workload; each read picks a staleness bound, None for any staleness.

    Sessions continue after ``duration`` until ``may_end`` returns true.
    """

    service: ServiceName
    entries: Sequence[Address]
    session_count: int
    key_count: int
    duration: timedelta
    seed: int
    staleness_ms: Sequence[int | None] = (None, 0, 500)
    timeout_ms: int = 2_000
    may_end: Callable[[], bool] = lambda: True


@dataclass
class RunRecord:
    """Record of a run: its history and the counts of errors by result code."""

    history: History = field(default_factory=History)
    refusals: dict[str, int] = field(default_factory=dict)
    answered_at: list[timedelta] = field(default_factory=list)


async def run_append_workload(workload: AppendWorkload, clock: Clock | None = None) -> RunRecord:
    """Create the table, run all sessions concurrently and read the final lists."""
    clock = clock or MonotonicClock()
    record = RunRecord()
    await _execute_with_retries(workload, _CREATE)
    until = clock.now() + workload.duration
    sessions = [
        _AppendSession(index, workload, record, clock) for index in range(workload.session_count)
    ]
    await asyncio.gather(*(session.run(until) for session in sessions))
    rows = await _execute_with_retries(
        workload,
        f"/* hickorywind max_staleness_ms=0 */ SELECT k, element FROM {_TABLE} ORDER BY seq",
    )
    lists: dict[str, list[str]] = {}
    for key, element in rows:
        lists.setdefault(key, []).append(element)
    record.history.final_lists = {key: tuple(elements) for key, elements in lists.items()}
    return record


async def _execute_with_retries(workload: AppendWorkload, statement: str) -> list[tuple]:
    for attempt in range(_MAX_STATEMENT_ATTEMPTS):
        address = workload.entries[attempt % len(workload.entries)]
        try:
            connection = await connect_caller(address, workload.service)
            async with connection:
                cursor = await connection.execute(statement)
                return await cursor.fetchall() if cursor.description else []
        except psycopg.Error:
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
    raise RuntimeError(f"statement did not succeed in any attempt: {statement}")


class _AppendSession:
    """Session that runs one operation at a time and moves between entries."""

    def __init__(
        self, index: int, workload: AppendWorkload, record: RunRecord, clock: Clock
    ) -> None:
        self._rng = random.Random(f"{workload.seed}/{index}")
        self._session = SessionId(f"s{workload.seed}-{index}")
        self._workload = workload
        self._record = record
        self._clock = clock
        self._count = 0
        self._connection: psycopg.AsyncConnection | None = None
        self._token: str | None = None
        self._shutdown_refusal: Refusal | None = None

    async def run(self, until: timedelta) -> None:
        while self._clock.now() < until or not self._workload.may_end():
            try:
                await self._step()
            except (psycopg.Error, TimeoutError):
                await self._disconnect()
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
        await self._disconnect()

    async def _step(self) -> None:
        if self._connection is None or self._rng.random() < _RECONNECT_PROBABILITY:
            await self._reconnect()
        key = self._pick_key()
        if self._rng.random() < _READ_PROBABILITY:
            await self._read(key)
        elif self._rng.random() < _TRANSACTION_PROBABILITY:
            await self._append_in_transaction()
        else:
            await self._append(key)

    def _pick_key(self) -> str:
        return f"k{self._rng.randrange(self._workload.key_count)}"

    def _next_element(self) -> str:
        self._count += 1
        return f"{self._session}.{self._count}"

    # Connections -------------------------------------------------------------------------------

    async def _reconnect(self) -> None:
        await self._disconnect()
        address = self._rng.choice(self._workload.entries)
        options = {"session_id": self._session}
        if self._token and self._rng.random() < 0.5:
            options["token"] = self._token
        connecting = connect_caller(address, self._workload.service, **options)
        self._connection = await asyncio.wait_for(connecting, 5)
        self._shutdown_refusal = None
        self._connection.add_notice_handler(self._record_shutdown_notice)

    def _record_shutdown_notice(self, notice: psycopg.errors.Diagnostic) -> None:
        """Record a shutdown error sent between requests; libpq reports it as a notice."""
        if notice.sqlstate in _SHUTDOWN_SQLSTATES:
            self._shutdown_refusal = read_diagnostic(notice)

    def _read_refusal(self, error: psycopg.Error) -> Refusal:
        """Return the refusal; an entry doesn't read requests sent after its shutdown error."""
        if error.sqlstate is None and self._shutdown_refusal is not None:
            return self._shutdown_refusal
        return read_refusal(error)

    async def _disconnect(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            self._token = connection.info.parameter_status("hickorywind.token") or self._token
            await connection.close()

    # Operations --------------------------------------------------------------------------------

    async def _execute(self, statement: str) -> list[tuple]:
        limit_seconds = self._workload.timeout_ms / 1000 + 3
        try:
            async with asyncio.timeout(limit_seconds):
                cursor = await self._connection.execute(statement)
                return await cursor.fetchall() if cursor.description else []
        except TimeoutError as error:
            raise psycopg.OperationalError("no answer within the client timeout") from error

    async def _read(self, key: str) -> None:
        bound = self._rng.choice(self._workload.staleness_ms)
        staleness = "" if bound is None else f" max_staleness_ms={bound}"
        nonce = f"n{self._rng.getrandbits(64):x}"
        hint = f"/* hickorywind timeout_ms={self._workload.timeout_ms}{staleness} */"
        statement = (
            f"{hint} SELECT '{nonce}' AS element, 0 AS seq UNION ALL "
            f"SELECT element, seq FROM {_TABLE} WHERE k = '{key}' ORDER BY seq"
        )
        invoked_at = self._clock.now()
        try:
            rows = await self._execute(statement)
        except psycopg.Error as error:
            self._count_refusal(error)
            raise
        elements = tuple(element for element, _ in rows)
        self._record.history.reads.append(
            Read(
                self._session,
                key,
                elements[1:],
                invoked_at,
                self._clock.now(),
                None if bound is None else milliseconds(bound),
                nonce,
                elements[0] if elements else "",
            )
        )

    async def _append(self, key: str) -> None:
        element = self._next_element()
        repeatable = self._rng.random() < _REPEAT_PROBABILITY
        request = f" request_id={element}" if repeatable else ""
        hint = f"/* hickorywind timeout_ms={self._workload.timeout_ms}{request} */"
        statement = f"{hint} INSERT INTO {_TABLE} (k, element) VALUES ('{key}', '{element}')"
        invoked_at = self._clock.now()
        error: psycopg.Error | None = None
        try:
            outcome, error = await self._try_append(statement)
            if repeatable and outcome is not Outcome.RAN:
                outcome = await self._repeat(statement, outcome)
        except asyncio.CancelledError:
            outcome = Outcome.UNKNOWN
            raise
        finally:
            self._record_append(key, element, invoked_at, outcome, None)
        if error is not None:
            raise error

    async def _try_append(self, statement: str) -> tuple[Outcome, psycopg.Error | None]:
        try:
            await self._execute(statement)
        except psycopg.Error as error:
            self._count_refusal(error)
            return self._read_refusal(error).outcome, error
        self._record.answered_at.append(self._clock.now())
        return Outcome.RAN, None

    async def _repeat(self, statement: str, outcome: Outcome) -> Outcome:
        """Send the same request id again, through any entry, until the outcome is definite."""
        for _ in range(_MAX_REPEAT_ATTEMPTS):
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
            try:
                await self._reconnect()
            except (psycopg.Error, TimeoutError):
                continue
            latest, _ = await self._try_append(statement)
            if latest is Outcome.RAN:
                return latest
            if latest is Outcome.UNKNOWN:
                outcome = Outcome.UNKNOWN
        return outcome

    async def _append_in_transaction(self) -> None:
        keys = (self._pick_key(), self._pick_key())
        elements = [self._next_element() for _ in keys]
        invoked_at = self._clock.now()
        outcome = Outcome.UNKNOWN
        committing = False
        try:
            await self._execute("BEGIN")
            for key, element in zip(keys, elements, strict=True):
                await self._execute(
                    f"INSERT INTO {_TABLE} (k, element) VALUES ('{key}', '{element}')"
                )
            committing = True
            await self._execute("COMMIT")
            outcome = Outcome.RAN
            self._record.answered_at.append(self._clock.now())
        except psycopg.Error as error:
            self._count_refusal(error)
            outcome = self._read_refusal(error).outcome if committing else Outcome.NOT_RUN
            raise
        finally:
            for key, element in zip(keys, elements, strict=True):
                self._record_append(key, element, invoked_at, outcome, elements[0])

    def _record_append(
        self, key: str, element: str, invoked_at: timedelta, outcome: Outcome, group: str | None
    ) -> None:
        self._record.history.appends.append(
            Append(self._session, key, element, invoked_at, self._clock.now(), outcome, group)
        )

    def _count_refusal(self, error: psycopg.Error) -> None:
        refusal = self._read_refusal(error)
        name = str(refusal.code or refusal.sqlstate or type(error).__name__)
        self._record.refusals[name] = self._record.refusals.get(name, 0) + 1
