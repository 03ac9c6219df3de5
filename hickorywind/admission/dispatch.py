"""Decide which waiting operation runs where next.

The queue belongs to one service at one host. Work goes by rank among what can still meet its
objective; what can't comes after it; a share of starts is kept for each lower rank. A read that
several backend servers may serve goes to the one that is expected to answer first.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.admission.concurrency import ConcurrencyLimit
from hickorywind.ids import BackendId, LogPosition
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Instant, to_milliseconds

FLOOR_INTERVAL = 8  # each lower rank that waits gets one start in so many
PRIMARY_PENALTY = timedelta(milliseconds=40)  # keeps the primary's slots for what needs them
BEHIND_MEMORY = timedelta(milliseconds=250)  # how long a replica that was behind is avoided
_ROUND_TRIPS = (
    timedelta(milliseconds=1),
    timedelta(milliseconds=4),
    timedelta(milliseconds=60),
)  # first guesses by distance: zone, region, other region
CHANGE_HINT = timedelta(seconds=1)  # most changes of primary are over within this time
ELSEWHERE_HINT = timedelta(milliseconds=150)  # with its spread, time to reach another host
_HINT_MIN_MS = 50  # shorter hints would bring callers back before anything has changed
_HINT_SPREAD = 1.0  # callers refused together come back within twice the expected wait


@dataclass(frozen=True, slots=True)
class OnPrimary:
    """Require the primary of the service."""


@dataclass(frozen=True, slots=True)
class AtPosition:
    """Allow every backend server that holds a log position."""

    position: LogPosition


Target = OnPrimary | AtPosition


@dataclass(eq=False, slots=True)
class Ticket:
    """Describe an operation that waits for a backend server.

    ``start_by`` is the last instant at which starting it can still meet its objective; at
    ``give_up`` it is refused.
    """

    rank: int
    start_by: Instant
    give_up: Instant
    target: Target
    grant: Callable[[BackendId], None]
    refuse: Callable[[Result], None]
    excluded: frozenset[BackendId] = frozenset()
    number: int = 0


@dataclass(slots=True)
class Server:
    """Hold what dispatching knows of one backend server."""

    backend: BackendId
    distance: int
    slots: int
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    is_available: bool = True
    has_connection: Callable[[], bool] = lambda: True
    reserve_connection: Callable[[], None] = lambda: None
    known_position: LogPosition | None = None
    behind_position: LogPosition | None = None
    behind_at: Instant = timedelta(0)

    def note_position(self, position: LogPosition) -> None:
        """Remember the newest log position seen at this server."""
        if self.known_position is None or position > self.known_position:
            self.known_position = position
        if self.behind_position is not None and position >= self.behind_position:
            self.behind_position = None

    def note_behind(self, position: LogPosition, now: Instant) -> None:
        """Remember that the server lacked a position."""
        self.behind_position = position
        self.behind_at = now

    def probably_holds(self, position: LogPosition, now: Instant) -> bool:
        """Guess whether the server holds a position by now."""
        if self.known_position is not None and self.known_position >= position:
            return True
        if self.behind_position is None or now > self.behind_at + BEHIND_MEMORY:
            return True
        return position < self.behind_position

    def expected_duration(self) -> timedelta:
        """Estimate how long a statement sent now takes."""
        measured = max(self.limit.mean, _ROUND_TRIPS[self.distance])
        return measured + measured * self.limit.in_flight / (2 * max(1, self.slots))


class Dispatcher:
    """Hold the waiting operations of one service and place them on backend servers."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: list[Ticket] = []
        self._numbers = itertools.count()
        self._starts = 0
        self.servers: dict[BackendId, Server] = {}
        self.primary: BackendId | None = None

    @property
    def waiting_count(self) -> int:
        """Return how many operations wait."""
        return len(self._waiting)

    def submit(self, ticket: Ticket, now: Instant) -> None:
        """Place an operation at once, queue it, or refuse it where it would wait in vain."""
        ticket.number = next(self._numbers)
        server = self._choose(ticket, now)
        if server is not None and not self._is_outranked(ticket, server, now):
            self._grant(ticket, server, now)
            return
        wait = self._expected_wait(ticket)
        if now + wait >= ticket.give_up:
            reason = "the expected wait outlasts the time the operation may wait"
            self._refuse(ticket, ResultCode.WOULD_MISS_DEADLINE, reason, wait)
            return
        self._waiting.append(ticket)

    def withdraw(self, ticket: Ticket) -> None:
        """Forget an operation that waits."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def refuse_primary_work(self, reason: str) -> None:
        """Refuse every waiting operation that only the primary can serve, for other hosts."""
        for ticket in [each for each in self._waiting if isinstance(each.target, OnPrimary)]:
            self._waiting.remove(ticket)
            ticket.refuse(self.make_elsewhere(reason))

    def make_elsewhere(self, reason: str) -> Result:
        """Build a refusal of primary work that another host can serve at once."""
        return Result.not_run(ResultCode.NO_PRIMARY, reason, self._spread_ms(ELSEWHERE_HINT))

    def refuse_all(self, result: Result) -> None:
        """Refuse every waiting operation."""
        waiting, self._waiting = self._waiting, []
        for ticket in waiting:
            ticket.refuse(result)

    def place_waiting(self, now: Instant) -> None:
        """Start all waiting operations for which there is room, and refuse those out of time."""
        self._expire(now)
        if not self._waiting or not any(self._has_room(s) for s in self.servers.values()):
            return
        for ticket in self._ordered(now):
            server = self._choose(ticket, now)
            if server is not None:
                self._waiting.remove(ticket)
                self._grant(ticket, server, now)

    def _grant(self, ticket: Ticket, server: Server, now: Instant) -> None:
        self._starts += 1
        if server.behind_position is not None:
            # One read at a time finds out whether the replica has caught up.
            server.behind_at = now
        server.limit.start(now)
        server.reserve_connection()
        ticket.grant(server.backend)

    def _expire(self, now: Instant) -> None:
        expired = [ticket for ticket in self._waiting if now >= ticket.give_up]
        for ticket in expired:
            self._waiting.remove(ticket)
            reason = "no backend server could serve the operation in time"
            wait = self._expected_wait(ticket)
            self._refuse(ticket, ResultCode.DEADLINE_PASSED, reason, wait)

    def _refuse(self, ticket: Ticket, code: ResultCode, reason: str, wait: timedelta) -> None:
        """Refuse an operation with when to come back: after the queue or a change of primary."""
        if isinstance(ticket.target, OnPrimary) and self.primary is None:
            code, reason, wait = ResultCode.NO_PRIMARY, "the primary is being replaced", CHANGE_HINT
        ticket.refuse(Result.not_run(code, reason, self._spread_ms(wait)))

    def _spread_ms(self, wait: timedelta) -> int:
        """Return a hint of about ``wait``, spread so that callers don't return together."""
        base_ms = max(_HINT_MIN_MS, to_milliseconds(wait))
        return round(base_ms * (1 + self._rng.random() * _HINT_SPREAD))

    def _ordered(self, now: Instant) -> Iterable[Ticket]:
        ordered = sorted(
            self._waiting,
            key=lambda ticket: (now > ticket.start_by, ticket.rank, ticket.number),
        )
        if ordered and self._starts % FLOOR_INTERVAL == FLOOR_INTERVAL - 1:
            favoured = min(ordered, key=lambda ticket: (-ticket.rank, ticket.number))
            ordered.remove(favoured)
            ordered.insert(0, favoured)
        return ordered

    def _is_outranked(self, ticket: Ticket, server: Server, now: Instant) -> bool:
        return any(
            other.rank <= ticket.rank and self._may_use(other, server, now)
            for other in self._waiting
        )

    def _choose(self, ticket: Ticket, now: Instant) -> Server | None:
        best: Server | None = None
        best_cost = timedelta.max
        for server in self.servers.values():
            if not self._has_room(server) or not self._may_use(ticket, server, now):
                continue
            cost = server.expected_duration()
            if server.backend == self.primary and not isinstance(ticket.target, OnPrimary):
                cost += PRIMARY_PENALTY
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def _has_room(self, server: Server) -> bool:
        return server.is_available and server.limit.has_room and server.has_connection()

    def _may_use(self, ticket: Ticket, server: Server, now: Instant) -> bool:
        if not server.is_available or server.backend in ticket.excluded:
            return False
        match ticket.target:
            case OnPrimary():
                return server.backend == self.primary
            case AtPosition(position):
                return server.backend == self.primary or server.probably_holds(position, now)

    def _expected_wait(self, ticket: Ticket) -> timedelta:
        ahead = sum(1 for other in self._waiting if other.rank <= ticket.rank)
        rate = 0.0
        for server in self.servers.values():
            if server.is_available and server.backend not in ticket.excluded:
                if isinstance(ticket.target, OnPrimary) and server.backend != self.primary:
                    continue
                rate += max(1.0, server.limit.limit) / max(server.limit.mean.total_seconds(), 0.001)
        if not rate:
            return timedelta(0)
        return timedelta(seconds=(ahead + 1) / rate)
