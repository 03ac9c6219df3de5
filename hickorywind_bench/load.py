"""Open-loop load generator: requests are sent on schedule regardless of answers.

Latency is measured from the scheduled arrival, so it includes time spent waiting for a free
connection. Refused requests are not retried.
"""

from __future__ import annotations

import asyncio
import random
import re
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

import asyncpg
from hdrh.histogram import HdrHistogram

from hickorywind.ids import Address, ServiceName
from hickorywind.util.clock import Clock, to_milliseconds
from hickorywind_bench.experiment import Stream, StreamKind

TABLE = "load"
_KEY_COUNT = 100
_LOWEST_LATENCY_US = 1
_HIGHEST_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1_000
_CLIENT_TIMEOUT_MARGIN_SECONDS = 1.0
_RECONNECT_DELAY_SECONDS = 0.05
_CODE = re.compile(r"code=(\d+)")


class LatencyHistogram:
    """Histogram of latencies with percentiles in milliseconds."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS)

    def record(self, latency: timedelta) -> None:
        """Add one latency."""
        self._histogram.record_value(max(1, int(to_milliseconds(latency) * _US_PER_MS)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile, or 0 if nothing was recorded."""
        return self._histogram.get_value_at_percentile(percentile) / _US_PER_MS


@dataclass
class StreamRecord:
    """Results of a stream's requests in the measured time."""

    stream: Stream
    sent: int = 0
    answered: int = 0
    errors: Counter[str] = field(default_factory=Counter)
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    refusal_latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    answered_at: list[timedelta] = field(default_factory=list)


@dataclass(frozen=True)
class LoadPlan:
    """Targets, duration and seed of a load run."""

    entries: Sequence[Address]
    service: ServiceName
    warm_up: timedelta
    duration: timedelta
    seed: int


async def create_table(plan: LoadPlan) -> None:
    """Create and fill the table that the streams use."""
    connection = await _connect(plan.entries[0], plan.service)
    try:
        await connection.execute(
            f"CREATE TABLE IF NOT EXISTS {TABLE} (k INTEGER PRIMARY KEY, v INTEGER)"
        )
        values = ", ".join(f"({key}, 0)" for key in range(_KEY_COUNT))
        await connection.execute(f"INSERT INTO {TABLE} VALUES {values}")
    finally:
        await connection.close()


async def run_load(
    plan: LoadPlan, streams: Sequence[Stream], clock: Clock
) -> tuple[timedelta, list[StreamRecord]]:
    """Run all streams concurrently; return the start of the measurement and the records."""
    runners = [_StreamRunner(plan, stream, clock) for stream in streams]
    await asyncio.gather(*(runner.open() for runner in runners))
    started = clock.now() + plan.warm_up
    await asyncio.gather(*(runner.run(started) for runner in runners))
    return started, [runner.record for runner in runners]


async def _connect(address: Address, service: ServiceName) -> asyncpg.Connection:
    return await asyncpg.connect(
        host=address.host,
        port=address.port,
        database=service,
        user="bench",
        ssl=False,
        timeout=5,
    )


class _StreamRunner:
    """Sender of one stream's requests over its own connections."""

    def __init__(self, plan: LoadPlan, stream: Stream, clock: Clock) -> None:
        self.record = StreamRecord(stream)
        self._plan = plan
        self._stream = stream
        self._clock = clock
        self._rng = random.Random(f"{plan.seed}/{stream.name}")
        self._idle: asyncio.Queue[asyncpg.Connection] = asyncio.Queue()
        self._requests: set[asyncio.Task] = set()

    async def open(self) -> None:
        entries = self._plan.entries
        for index in range(self._stream.connections):
            address = entries[index % len(entries)]
            self._idle.put_nowait(await _connect(address, self._plan.service))

    async def run(self, started: timedelta) -> None:
        begin = started + timedelta(seconds=self._stream.from_seconds)
        if self._stream.from_seconds == 0:
            begin -= self._plan.warm_up
        end = started + self._plan.duration
        if self._stream.to_seconds is not None:
            end = min(end, started + timedelta(seconds=self._stream.to_seconds))
        arrival = begin
        while arrival < end:
            delay = (arrival - self._clock.now()).total_seconds()
            if delay > 0:
                await asyncio.sleep(delay)
            self._send(arrival, is_measured=arrival >= started)
            arrival += timedelta(seconds=self._rng.expovariate(self._stream.rate_per_second))
        if self._requests:
            await asyncio.wait(self._requests)
        await self._close()

    async def _close(self) -> None:
        while not self._idle.empty():
            self._idle.get_nowait().terminate()

    def _send(self, arrival: timedelta, is_measured: bool) -> None:
        task = asyncio.create_task(self._request(arrival, is_measured))
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _request(self, arrival: timedelta, is_measured: bool) -> None:
        connection = await self._idle.get()
        limit_seconds = self._stream.timeout_ms / 1000 + _CLIENT_TIMEOUT_MARGIN_SECONDS
        error = ""
        try:
            async with asyncio.timeout(limit_seconds):
                await connection.execute(self._statement())
        except asyncpg.PostgresError as failure:
            error = _error_name(failure)
        except (TimeoutError, OSError, asyncpg.InterfaceError) as failure:
            error = type(failure).__name__
            connection.terminate()
        ended = self._clock.now()
        if is_measured:
            self._record_result(arrival, ended, error)
        if connection.is_closed():
            await self._replace_connection()
        else:
            self._idle.put_nowait(connection)

    async def _replace_connection(self) -> None:
        for _ in range(200):
            address = self._rng.choice(self._plan.entries)
            try:
                self._idle.put_nowait(await _connect(address, self._plan.service))
                return
            except (OSError, TimeoutError, asyncpg.PostgresError):
                await asyncio.sleep(_RECONNECT_DELAY_SECONDS)

    def _record_result(self, arrival: timedelta, ended: timedelta, error: str) -> None:
        record = self.record
        record.sent += 1
        if error:
            record.errors[error] += 1
            record.refusal_latency.record(ended - arrival)
            return
        record.answered += 1
        record.latency.record(ended - arrival)
        record.answered_at.append(ended)

    def _statement(self) -> str:
        stream = self._stream
        hint = f"priority={stream.rank.value} timeout_ms={stream.timeout_ms}"
        if stream.max_staleness_ms is not None:
            hint += f" max_staleness_ms={stream.max_staleness_ms}"
        key = self._rng.randrange(_KEY_COUNT)
        kind = stream.kind
        if stream.write_share and self._rng.random() < stream.write_share:
            kind = StreamKind.WRITE
        match kind:
            case StreamKind.READ:
                return f"/* hickorywind {hint} */ SELECT v FROM {TABLE} WHERE k = {key}"
            case StreamKind.WRITE:
                return f"/* hickorywind {hint} */ UPDATE {TABLE} SET v = v + 1 WHERE k = {key}"


def _error_name(error: asyncpg.PostgresError) -> str:
    found = _CODE.search(error.detail or "")
    return found.group(1) if found else error.sqlstate
