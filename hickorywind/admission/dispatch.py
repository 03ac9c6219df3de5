"""Dispatcher that decides which waiting operation runs next, and on which backend server.

Its queue holds the operations of one service at one host. Operations that can still meet their
objective go first, by rank; the others follow. A share of the starts is reserved for the least
urgent rank that waits. A read that several backend servers may serve goes to the one that is
expected to answer first.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.admission.concurrency import ConcurrencyLimit
from hickorywind.failover.leadership import PrimaryAbsence
from hickorywind.ids import BackendId, LogPosition
from hickorywind.ports.catalog import AccountId
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant, to_milliseconds

LOWEST_RANK_INTERVAL = 8  # one in so many starts goes to the least urgent rank that waits
# Added to the expected duration of reads at the primary: keeps its slots for work that needs it.
PRIMARY_READ_PENALTY = timedelta(milliseconds=40)
# Time for which reads of a position avoid a replica that had not applied it; doubled up to the
# maximum each time that it still lags, because every refused read costs the replica a slot.
# Added to the expected duration of reads at a server that failed one lately: it gets such reads
# only while no other server can run them.
FAILING_PENALTY = timedelta(seconds=1)
FAILING_TIME = timedelta(milliseconds=500)  # after a failed read; doubled by each one that follows
FAILING_TIME_MAX = timedelta(seconds=4)
LAG_RECHECK_INTERVAL = timedelta(milliseconds=250)
LAG_RECHECK_INTERVAL_MAX = timedelta(seconds=2)
# Least expected duration of a statement by distance: same zone, same region, other region.
ROUND_TRIPS = (
    timedelta(milliseconds=1),
    timedelta(milliseconds=4),
    timedelta(milliseconds=60),
)
_CONNECT_WORK = timedelta(milliseconds=12)  # of a slot, for each new connection
_CONNECT_ROUND_TRIPS = 2  # of TCP and of the protocol's start
PRIMARY_CHANGE_RETRY_DELAY = timedelta(seconds=1)  # most changes of primary end within it
OTHER_HOST_RETRY_DELAY = timedelta(milliseconds=150)  # with jitter, time to reach another host
_MIN_RETRY_DELAY_MS = 50  # with shorter ones callers would retry before anything has changed
_RETRY_JITTER = 1.0  # callers refused together retry within twice the expected wait


@dataclass(frozen=True, slots=True)
class OnPrimary:
    """Target for operations that only the service's primary can run."""


@dataclass(frozen=True, slots=True)
class AtPosition:
    """Target for reads that any backend server can run that has applied a log position."""

    position: LogPosition


Target = OnPrimary | AtPosition


@dataclass(eq=False, slots=True)
class QueuedOperation:
    """Operation that waits for a backend server.

    ``rank`` is lower for more urgent operations. ``start_by`` is the last instant at which it can
    start and still meet its objective; at ``give_up_at`` it is refused. One of ``grant`` and
    ``refuse`` is called when the dispatcher has decided. ``excluded`` servers are not used.
    ``account`` is the client account of the caller; a connection serves one account. ``retarget``
    chooses the target of a read anew; ``target`` is the one that holds when ``grant`` is called.
    """

    rank: int
    start_by: Instant
    give_up_at: Instant
    target: Target
    grant: Callable[[BackendId], None]
    refuse: Callable[[Result], None]
    excluded: frozenset[BackendId] = frozenset()
    account: AccountId | None = None
    retarget: Callable[[], Target] | None = None
    arrival_number: int = 0


@dataclass(slots=True)
class ServerState:
    """State of one backend server as the dispatcher knows it.

    ``known_position`` is the newest log position seen at the server, ``missing_position`` one that
    it had not applied at ``missing_checked_at``.
    """

    backend: BackendId
    distance: int
    slots: int
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    is_available: bool = True
    has_connection: Callable[[], bool] = lambda: True
    has_idle_connection: Callable[[AccountId | None], bool] = lambda account: True
    reserve_connection: Callable[[], None] = lambda: None
    known_position: LogPosition | None = None
    missing_position: LogPosition | None = None
    missing_checked_at: Instant = timedelta(0)
    lag_recheck_interval: timedelta = LAG_RECHECK_INTERVAL
    failing_until: Instant = timedelta(0)
    failing_time: timedelta = FAILING_TIME

    def record_failed_read(self, now: Instant) -> None:
        """Record that the server ran a read and failed it, and let others run reads for a while."""
        if now >= self.failing_until:
            self.failing_until = now + self.failing_time
            self.failing_time = min(FAILING_TIME_MAX, self.failing_time * 2)

    def record_successful_read(self, now: Instant) -> None:
        """Record that the server ran a read well after it was given another chance."""
        if now >= self.failing_until:
            self.failing_time = FAILING_TIME

    def read_penalty(self, is_primary: bool, now: Instant) -> timedelta:
        """Return what is added to the expected duration of a read that other servers may run."""
        penalty = PRIMARY_READ_PENALTY if is_primary else timedelta(0)
        return penalty + FAILING_PENALTY if now < self.failing_until else penalty

    def record_position(self, position: LogPosition) -> None:
        """Record a log position that the server has applied."""
        if self.known_position is None or position > self.known_position:
            self.known_position = position
        if self.missing_position is not None and position >= self.missing_position:
            self.missing_position = None
            self.lag_recheck_interval = LAG_RECHECK_INTERVAL

    def record_missing_position(self, position: LogPosition, now: Instant) -> None:
        """Record that the server had not applied a log position."""
        if self.known_position is not None and self.known_position >= position:
            self.known_position = None  # the server was rolled back
        self.missing_position = position
        self.missing_checked_at = now

    def start_lag_check(self, target: Target, now: Instant) -> None:
        """Let one read of a missing position check whether the server has it by now.

        The others avoid the server until the next check, for longer than before.
        """
        if self.missing_position is None or not isinstance(target, AtPosition):
            return
        if target.position < self.missing_position:
            return
        self.missing_checked_at = now
        self.lag_recheck_interval = min(LAG_RECHECK_INTERVAL_MAX, self.lag_recheck_interval * 2)

    def has_probably_applied(self, position: LogPosition, now: Instant) -> bool:
        """Return whether the server is likely to have applied a log position by now."""
        if self.known_position is not None and self.known_position >= position:
            return True
        recheck_at = self.missing_checked_at + self.lag_recheck_interval
        if self.missing_position is None or now > recheck_at:
            return True
        return position < self.missing_position

    def expected_duration(self, account: AccountId | None = None) -> timedelta:
        """Estimate the duration of a statement of an account sent to this server now."""
        round_trip = ROUND_TRIPS[self.distance]
        measured = max(self.limit.mean_duration, round_trip)
        duration = measured + measured * self.limit.in_flight / (2 * max(1, self.slots))
        if self.has_idle_connection(account):
            return duration
        return duration + _CONNECT_WORK + _CONNECT_ROUND_TRIPS * round_trip


class Dispatcher:
    """Queue of one service's operations, which assigns them to backend servers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: list[QueuedOperation] = []
        self._arrival_numbers = itertools.count()
        self._granted_count = 0
        self.servers: dict[BackendId, ServerState] = {}
        self.primary: BackendId | None = None
        self.primary_absence = PrimaryAbsence.NOT_RECORDED  # while ``primary`` is None
        # Until then operations wait for a primary while ``primary`` is None.
        self.absence_deadline: Instant | None = None

    @property
    def waiting_count(self) -> int:
        """Return the number of waiting operations."""
        return len(self._waiting)

    def submit(self, operation: QueuedOperation, now: Instant) -> None:
        """Start an operation, queue it, or refuse it if it would wait past ``give_up_at``."""
        operation.arrival_number = next(self._arrival_numbers)
        server = self._choose_server(operation, now)
        if server is not None and not self._is_outranked(operation, server, now):
            self._grant(operation, server, now)
            return
        wait = self._expected_wait(operation)
        if now + wait >= operation.give_up_at or self._has_waited_for_primary(operation, now):
            reason = "the expected wait exceeds the time that the operation may wait"
            self._refuse(operation, ResultCode.WOULD_MISS_DEADLINE, reason, wait)
            return
        self._waiting.append(operation)

    def withdraw(self, operation: QueuedOperation) -> None:
        """Remove an operation from the queue without calling it back."""
        if operation in self._waiting:
            self._waiting.remove(operation)

    def retarget_reads(self) -> bool:
        """Choose the targets of waiting reads that need the primary anew.

        Called when the primary has told its log position: after a start or a change of primary
        every read waits for the primary, and the replicas are idle. Return whether any changed.
        """
        has_changed = False
        for operation in self._waiting:
            if operation.retarget is not None and isinstance(operation.target, OnPrimary):
                operation.target = operation.retarget()
                has_changed |= not isinstance(operation.target, OnPrimary)
        return has_changed

    def refuse_primary_operations(self, reason: str) -> None:
        """Refuse the waiting operations that need the primary, so that callers try other hosts."""
        for operation in [each for each in self._waiting if isinstance(each.target, OnPrimary)]:
            self._waiting.remove(operation)
            operation.refuse(self.build_other_host_refusal(reason))

    def build_other_host_refusal(self, reason: str) -> Result:
        """Return a refusal of work for the primary that another host can serve at once."""
        return Result.not_run(
            ResultCode.NO_PRIMARY, reason, self._jittered_ms(OTHER_HOST_RETRY_DELAY)
        )

    def refuse_all(self, result: Result) -> None:
        """Refuse every waiting operation with ``result``."""
        waiting, self._waiting = self._waiting, []
        for operation in waiting:
            operation.refuse(result)

    def dispatch_waiting(self, now: Instant) -> None:
        """Start the waiting operations for which servers have capacity; refuse expired ones."""
        self._refuse_expired(now)
        if not self._waiting or not any(self._has_capacity(s) for s in self.servers.values()):
            return
        for operation in self._dispatch_order(now):
            server = self._choose_server(operation, now)
            if server is not None:
                self._waiting.remove(operation)
                self._grant(operation, server, now)

    def _grant(self, operation: QueuedOperation, server: ServerState, now: Instant) -> None:
        self._granted_count += 1
        server.start_lag_check(operation.target, now)
        server.limit.start(now)
        server.reserve_connection()
        operation.grant(server.backend)

    def _refuse_expired(self, now: Instant) -> None:
        expired = [
            operation
            for operation in self._waiting
            if now >= operation.give_up_at or self._has_waited_for_primary(operation, now)
        ]
        for operation in expired:
            self._waiting.remove(operation)
            reason = "no backend server could serve the operation in time"
            wait = self._expected_wait(operation)
            self._refuse(operation, ResultCode.DEADLINE_PASSED, reason, wait)

    def _has_waited_for_primary(self, operation: QueuedOperation, now: Instant) -> bool:
        """Return whether the primary, which an operation needs, has been absent for too long.

        Once there is one again, operations that still have time run instead of being refused.
        """
        if self.primary is not None or not isinstance(operation.target, OnPrimary):
            return False
        return self.absence_deadline is not None and now >= self.absence_deadline

    def _refuse(
        self, operation: QueuedOperation, code: ResultCode, reason: str, wait: timedelta
    ) -> None:
        """Refuse an operation; it may be retried after the wait or the change of primary."""
        if isinstance(operation.target, OnPrimary) and self.primary is None:
            code, reason, wait = (
                ResultCode.NO_PRIMARY,
                self.primary_absence.value,
                PRIMARY_CHANGE_RETRY_DELAY,
            )
        operation.refuse(Result.not_run(code, reason, self._jittered_ms(wait)))

    def _jittered_ms(self, wait: timedelta) -> int:
        """Return a retry delay of one to two times ``wait``, so that retries are spread."""
        base_ms = max(_MIN_RETRY_DELAY_MS, to_milliseconds(wait))
        return round(base_ms * (1 + self._rng.random() * _RETRY_JITTER))

    def _dispatch_order(self, now: Instant) -> Iterable[QueuedOperation]:
        ordered = sorted(
            self._waiting,
            key=lambda operation: (
                now > operation.start_by,
                operation.rank,
                operation.arrival_number,
            ),
        )
        if ordered and self._granted_count % LOWEST_RANK_INTERVAL == LOWEST_RANK_INTERVAL - 1:
            lowest_rank = min(
                ordered, key=lambda operation: (-operation.rank, operation.arrival_number)
            )
            ordered.remove(lowest_rank)
            ordered.insert(0, lowest_rank)
        return ordered

    def _is_outranked(self, operation: QueuedOperation, server: ServerState, now: Instant) -> bool:
        return any(
            other.rank <= operation.rank and self._is_eligible(other, server, now)
            for other in self._waiting
        )

    def _choose_server(self, operation: QueuedOperation, now: Instant) -> ServerState | None:
        best: ServerState | None = None
        best_cost = timedelta.max
        for server in self.servers.values():
            if not self._has_capacity(server) or not self._is_eligible(operation, server, now):
                continue
            cost = server.expected_duration(operation.account)
            if not isinstance(operation.target, OnPrimary):
                cost += server.read_penalty(server.backend == self.primary, now)
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def eligible_servers(
        self, target: Target, excluded: frozenset[BackendId], now: Instant
    ) -> list[ServerState]:
        """Return the servers that may run an operation, whether they have capacity or not."""
        return [
            server
            for server in self.servers.values()
            if server.backend not in excluded and self._may_serve(target, server, now)
        ]

    def expected_duration(self, backend: BackendId) -> timedelta:
        """Return how long a new operation at a server is expected to take, waiting included."""
        server = self.servers.get(backend)
        if server is None:
            return timedelta(0)
        capacity = max(1.0, server.limit.max_in_flight)
        return server.expected_duration() + server.limit.mean_duration * (
            len(self._waiting) / capacity
        )

    def _has_capacity(self, server: ServerState) -> bool:
        return server.is_available and server.limit.has_capacity and server.has_connection()

    def _is_eligible(self, operation: QueuedOperation, server: ServerState, now: Instant) -> bool:
        if server.backend in operation.excluded:
            return False
        return self._may_serve(operation.target, server, now)

    def _may_serve(self, target: Target, server: ServerState, now: Instant) -> bool:
        if not server.is_available:
            return False
        match target:
            case OnPrimary():
                return server.backend == self.primary
            case AtPosition(position):
                return server.backend == self.primary or server.has_probably_applied(position, now)

    def _expected_wait(self, operation: QueuedOperation) -> timedelta:
        ahead = sum(1 for other in self._waiting if other.rank <= operation.rank)
        rate = 0.0
        for server in self.servers.values():
            if server.is_available and server.backend not in operation.excluded:
                if isinstance(operation.target, OnPrimary) and server.backend != self.primary:
                    continue
                rate += max(1.0, server.limit.max_in_flight) / max(
                    server.limit.mean_duration.total_seconds(), 0.001
                )
        if not rate:
            return timedelta(0)
        return timedelta(seconds=(ahead + 1) / rate)
