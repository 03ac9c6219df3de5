"""Keep the connections of this host to one backend server."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from hickorywind.host.backendconnection import (
    BackendConnection,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.ports.catalog import BackendServer
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import (
    Answer,
    BackendErrorKind,
    ServerStatus,
    TransactionState,
)
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = timedelta(milliseconds=600)  # a round trip between regions, twice, and a slot
IDLE_TIMEOUT = timedelta(milliseconds=1500)  # spare connections are given back to the other hosts
SURPLUS_IDLE_TIMEOUT = timedelta(milliseconds=600)  # beyond the even share others need them more
MIN_BACKOFF = timedelta(milliseconds=100)  # rest after the server had no connection to give
MAX_BACKOFF = timedelta(milliseconds=300)  # doubled up to this while it stays that way
LIMIT_REGROWTH_INTERVAL = timedelta(
    milliseconds=500
)  # one connection more is tried for in this time


class ConnectionPool:
    """Lend connections to one backend server."""

    def __init__(
        self, server: BackendServer, make_codec: Callable[[], BackendCodec], clock: Clock
    ) -> None:
        self.server = server
        self.max_connections = 4
        self.fair_share = 2
        self.on_idle_connection_lost: Callable[[], None] = lambda: None
        self._make_codec = make_codec
        self._clock = clock
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._connecting = 0
        self._reserved = 0
        self._backoff_until: Instant = timedelta(0)
        self._backoff = MIN_BACKOFF
        self._limit_reached_at: Instant | None = None
        self._limit_when_reached = 1
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._connecting

    def has_connection(self) -> bool:
        """Tell whether a connection can be had without waiting for another's return."""
        now = self._clock.now()
        available = len(self._idle)
        if now >= self._backoff_until:
            available += max(0, self._current_limit(now) - self.open_count)
        return available > self._reserved

    def reserve(self) -> None:
        """Set a connection aside for an operation that will take it at once."""
        self._reserved += 1

    def _current_limit(self, now: Instant) -> int:
        """Return the cap, lowered for a while after the server had no connection to give."""
        if self._limit_reached_at is None:
            return self.max_connections
        regrown = (now - self._limit_reached_at) // LIMIT_REGROWTH_INTERVAL
        return min(self.max_connections, self._limit_when_reached + regrown)

    def cancel_reservation(self) -> None:
        """Give up a connection that was set aside and is not taken."""
        self._reserved -= 1

    async def acquire_reserved(self, values: Mapping[str, str]) -> BackendConnection:
        """Lend a connection that was set aside; raise like ``acquire``."""
        self._reserved -= 1
        return await self.acquire(values)

    async def acquire(self, values: Mapping[str, str]) -> BackendConnection:
        """Lend the connection that fits a session best, or open one.

        Raise ``ConnectionRejectedError`` or ``ConnectionLostError`` where none can be had.
        """
        while self._idle:
            # Of equals the one used last, so that spare connections age and are given back.
            connection = min(reversed(self._idle), key=lambda each: _setup_cost(each, values))
            self._idle.remove(connection)
            if not connection.is_lost:
                return connection
        return await self._connect()

    async def _connect(self) -> BackendConnection:
        self._connecting += 1
        try:
            connection = await BackendConnection.open(
                self.server, self._make_codec(), CONNECT_TIMEOUT
            )
        except ConnectionRejectedError as error:
            if error.kind is BackendErrorKind.CONNECTION_LIMIT:
                self._limit_reached_at = self._clock.now()
                self._limit_when_reached = max(1, len(self._open))
                self._backoff_until = self._limit_reached_at + self._backoff
                self._backoff = min(self._backoff * 2, MAX_BACKOFF)
            logger.info(
                "backend_connection_refused",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            raise
        finally:
            self._connecting -= 1
        self._backoff = MIN_BACKOFF
        self._open.add(connection)
        connection.on_lost = self._remove
        if self._is_closed:
            connection.close()
            raise ConnectionLostError("the backend server is no longer in use")
        return connection

    def _remove(self, connection: BackendConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
            if not connection.closed_locally:
                self.on_idle_connection_lost()

    def release(self, connection: BackendConnection) -> None:
        """Take back a connection; one inside a transaction is closed."""
        if connection.is_lost:
            return
        if self._is_closed or connection.state is not TransactionState.IDLE:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)

    async def responds_to_new_connection(self, timeout: timedelta) -> bool:
        """Tell whether the server answers on a new connection; a refusal is an answer."""
        try:
            connection = await BackendConnection.open(self.server, self._make_codec(), timeout)
        except ConnectionRejectedError:
            return True
        except ConnectionLostError as error:
            logger.info(
                "server_unanswering",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            return False
        connection.close()
        return True

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Read a status row; None where the answer holds none."""
        return self._make_codec().decode_status(answer)

    def close_idle(self) -> None:
        """Close connections unused for a while, sooner those beyond this host's even share."""
        now = self._clock.now()
        for connection in list(self._idle):
            limit = SURPLUS_IDLE_TIMEOUT if self.open_count > self.fair_share else IDLE_TIMEOUT
            if self.open_count > 1 and connection.idle_since < now - limit:
                connection.close()

    def close(self) -> None:
        """Close what is idle now and the rest when it comes back."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.close()

    def abort(self) -> None:
        """Close every connection at once and for good."""
        self._is_closed = True
        self.close_all()

    def close_all(self) -> None:
        """Close every connection; new ones may be opened."""
        for connection in list(self._open):
            connection.close()


def _setup_cost(connection: BackendConnection, values: Mapping[str, str]) -> int:
    if not connection.session_values.keys() <= values.keys():
        return 2 + len(
            connection.prepared_names
        )  # needs a reset, which costs the prepared statements
    return 0 if connection.session_values == values else 1
