"""Keep the connections of this host to one backend server."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from hickorywind.host.backendlink import BackendLink, LinkLostError, LinkRefusedError
from hickorywind.ports.catalog import BackendServer
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import (
    BackendErrorKind,
    BackendResponse,
    ServerStatus,
    TransactionState,
)
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = timedelta(milliseconds=600)  # a round trip between regions, twice, and a slot
IDLE_LIMIT = timedelta(milliseconds=1500)  # spare connections are given back to the other hosts
SURPLUS_IDLE_LIMIT = timedelta(milliseconds=600)  # beyond the even share others need them more
LIMIT_PAUSE = timedelta(milliseconds=100)  # rest after the server had no connection to give
LIMIT_PAUSE_MAX = timedelta(milliseconds=300)  # doubled up to this while it stays that way
REGROWTH_INTERVAL = timedelta(milliseconds=500)  # one connection more is tried for in this time


class LinkPool:
    """Lend connections to one backend server."""

    def __init__(
        self, server: BackendServer, make_codec: Callable[[], BackendCodec], clock: Clock
    ) -> None:
        self.server = server
        self.cap = 4
        self.even_share = 2
        self.on_idle_lost: Callable[[], None] = lambda: None
        self._make_codec = make_codec
        self._clock = clock
        self._idle: list[BackendLink] = []
        self._open: set[BackendLink] = set()
        self._connecting = 0
        self._reserved = 0
        self._paused_until: Instant = timedelta(0)
        self._pause = LIMIT_PAUSE
        self._refused_at: Instant | None = None
        self._refused_cap = 1
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._connecting

    def has_connection(self) -> bool:
        """Tell whether a connection can be had without waiting for another's return."""
        now = self._clock.now()
        spare = len(self._idle)
        if now >= self._paused_until:
            spare += max(0, self._present_cap(now) - self.open_count)
        return spare > self._reserved

    def reserve(self) -> None:
        """Set a connection aside for an operation that will take it at once."""
        self._reserved += 1

    def _present_cap(self, now: Instant) -> int:
        """Return the cap, lowered for a while after the server had no connection to give."""
        if self._refused_at is None:
            return self.cap
        regrown = (now - self._refused_at) // REGROWTH_INTERVAL
        return min(self.cap, self._refused_cap + regrown)

    def cancel_reservation(self) -> None:
        """Give up a connection that was set aside and is not taken."""
        self._reserved -= 1

    async def take_reserved(self, values: Mapping[str, str]) -> BackendLink:
        """Lend a connection that was set aside; raise like ``take``."""
        self._reserved -= 1
        return await self.take(values)

    async def take(self, values: Mapping[str, str]) -> BackendLink:
        """Lend the connection that fits a session best, or open one.

        Raise ``LinkRefusedError`` or ``LinkLostError`` where none can be had.
        """
        while self._idle:
            # Of equals the one used last, so that spare connections age and are given back.
            link = min(reversed(self._idle), key=lambda each: _misfit(each, values))
            self._idle.remove(link)
            if not link.is_lost:
                return link
        return await self._connect()

    async def _connect(self) -> BackendLink:
        self._connecting += 1
        try:
            link = await BackendLink.open(self.server, self._make_codec(), CONNECT_TIMEOUT)
        except LinkRefusedError as error:
            if error.kind is BackendErrorKind.CONNECTION_LIMIT:
                self._refused_at = self._clock.now()
                self._refused_cap = max(1, len(self._open))
                self._paused_until = self._refused_at + self._pause
                self._pause = min(self._pause * 2, LIMIT_PAUSE_MAX)
            logger.info(
                "backend_connection_refused",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            raise
        finally:
            self._connecting -= 1
        self._pause = LIMIT_PAUSE
        self._open.add(link)
        link.on_lost = self._forget
        if self._is_closed:
            link.close()
            raise LinkLostError("the backend server is no longer in use")
        return link

    def _forget(self, link: BackendLink) -> None:
        self._open.discard(link)
        if link in self._idle:
            self._idle.remove(link)
            if not link.was_closed_here:
                self.on_idle_lost()

    def give_back(self, link: BackendLink) -> None:
        """Take back a connection; one inside a transaction is closed."""
        if link.is_lost:
            return
        if self._is_closed or link.state is not TransactionState.IDLE:
            link.close()
            return
        link.idle_since = self._clock.now()
        self._idle.append(link)

    async def answers_anew(self, timeout: timedelta) -> bool:
        """Tell whether the server answers on a new connection; a refusal is an answer."""
        try:
            link = await BackendLink.open(self.server, self._make_codec(), timeout)
        except LinkRefusedError:
            return True
        except LinkLostError as error:
            logger.info(
                "server_unanswering",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            return False
        link.close()
        return True

    def decode_status(self, answer: BackendResponse) -> ServerStatus | None:
        """Read a status row; None where the answer holds none."""
        return self._make_codec().decode_status(answer)

    def close_idle(self) -> None:
        """Close connections unused for a while, sooner those beyond this host's even share."""
        now = self._clock.now()
        for link in list(self._idle):
            limit = SURPLUS_IDLE_LIMIT if self.open_count > self.even_share else IDLE_LIMIT
            if self.open_count > 1 and link.idle_since < now - limit:
                link.close()

    def close(self) -> None:
        """Close what is idle now and the rest when it comes back."""
        self._is_closed = True
        for link in list(self._idle):
            link.close()

    def abort(self) -> None:
        """Close every connection at once and for good."""
        self._is_closed = True
        self.drop_all()

    def drop_all(self) -> None:
        """Close every connection; new ones may be opened."""
        for link in list(self._open):
            link.close()


def _misfit(link: BackendLink, values: Mapping[str, str]) -> int:
    if not link.values.keys() <= values.keys():
        return 2 + len(link.prepared)  # needs a reset, which costs the prepared statements
    return 0 if link.values == values else 1
