"""State that a host keeps of a database service and of its backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from hickorywind.admission.dispatch import AtPosition, ServerState, Target
from hickorywind.host.backendconnection import BackendConnection
from hickorywind.host.connectionpool import ConnectionPool
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.host.sharedprobe import SharedProbe
from hickorywind.ids import BackendId, LogPosition, ServiceName
from hickorywind.ports.catalog import BackendServer, Route
from hickorywind.ports.replies import Answer, Reply
from hickorywind.ports.statements import Request
from hickorywind.util.clock import Instant

RETRY_SOON_MS = 50  # another server or host can serve the request at once


class PrimaryWork(Protocol):
    """Open work at a primary, such as a transaction."""

    def abandon(self) -> None:
        """Roll back the work immediately, unless it may have committed by now."""
        ...


UNRESPONSIVE_AFTER = timedelta(seconds=1)  # a slow server answers at least one host sooner
UNANSWERED_EXPIRY = timedelta(seconds=2)  # a suspected server is checked more often than this


class PrimaryState(Enum):
    """Availability of the primary of a service from this host."""

    USABLE = "usable"
    CHANGING = "changing"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class Backend:
    """Connections, load and health of one backend server.

    ``unanswered_since`` and ``last_unanswered`` are the times of the first and the last new
    connection that the server did not answer; any answer resets ``unanswered_since``.
    ``is_responsive`` is false from a failure until the server answers on a new connection.
    ``received_position`` is the position up to which the server's last status said it has received
    commits.
    """

    server: BackendServer
    connections: ConnectionPool
    load: ServerState
    reach_probe: SharedProbe
    response_probe: SharedProbe
    is_responsive: bool = True
    next_check: Instant = timedelta(0)
    leaving_since: Instant | None = None
    last_answer: Instant = timedelta(0)
    unanswered_since: Instant | None = None
    last_unanswered: Instant = timedelta(0)
    received_position: LogPosition | None = None

    def record_answer(self, now: Instant) -> None:
        """Record that the server sent any answer."""
        self.last_answer = now
        self.unanswered_since = None

    def record_unanswered_connection(self, now: Instant) -> None:
        """Record that the server accepted a new connection and did not answer on it."""
        if self.unanswered_since is None or now > self.last_unanswered + UNANSWERED_EXPIRY:
            self.unanswered_since = now
        self.last_unanswered = now

    def is_unresponsive(self, now: Instant) -> bool:
        """Return whether recent connections stayed unanswered for ``UNRESPONSIVE_AFTER``."""
        if self.unanswered_since is None or now > self.last_unanswered + UNANSWERED_EXPIRY:
            return False
        return now >= self.unanswered_since + UNRESPONSIVE_AFTER


class BackendHomes(Protocol):
    """Homes of backend servers, at which other hosts run reads."""

    def is_home_of(self, backend: Backend) -> bool:
        """Return whether this host is the home of a backend server."""
        ...

    async def fetch_position(self, service: ServiceName) -> bool:
        """Fetch a position sample from the home of the primary; return whether it gave one."""
        ...

    async def run(
        self,
        service: ServiceName,
        route: Route,
        context: SessionContext,
        request: Request,
        template: StatementTemplate | None,
        arrived: Instant,
    ) -> Reply | FailedRead | None:
        """Run a read at the home of a server, or return None if this host has to run it itself.

        ``FailedRead`` means that a server has failed it.
        """
        ...


@dataclass(slots=True)
class Grant:
    """Connection granted at ``started`` to an operation with a target.

    ``holds_slot`` says whether one of the server's slots is counted as taken by the operation.
    """

    backend: Backend
    connection: BackendConnection
    started: Instant
    target: Target
    holds_slot: bool = True

    @property
    def min_position(self) -> LogPosition | None:
        """Log position that the server must hold, or None if it is used as the primary."""
        return self.target.position if isinstance(self.target, AtPosition) else None


@dataclass(frozen=True, slots=True)
class FailedRead:
    """Answer of a server that ran a read and failed it, so that another one should run it."""

    backend: BackendId
    answer: Answer


@dataclass(frozen=True, slots=True)
class ServiceView:
    """State of a service as a host saw it when it decided about a request, for logs.

    ``permit_ms`` is the remaining time of the host's permit; ``sample_age_ms`` is the age of the
    newest position sample, None without one.
    """

    primary: BackendId | None
    primary_state: PrimaryState
    change: int
    permit_ms: int
    sample_age_ms: int | None
    waiting: int
