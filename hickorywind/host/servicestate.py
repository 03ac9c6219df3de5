"""Define what is held and believed of one database service and its backend servers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from hickorywind.admission.dispatch import ServerState
from hickorywind.host.backendconnection import BackendConnection
from hickorywind.host.connectionpool import ConnectionPool
from hickorywind.ids import BackendId
from hickorywind.ports.catalog import BackendServer
from hickorywind.util.clock import Instant

RETRY_SOON_MS = 50  # another server or host can do the work at once


class PrimaryWork(Protocol):
    """End work that is open at a primary."""

    def abandon(self) -> None:
        """Roll the work back at once."""
        ...


SILENCE_LIMIT = timedelta(seconds=1)  # a slow server answers some host sooner
SILENCE_MEMORY = timedelta(seconds=2)  # looks at a suspected server come more often


class PrimaryState(Enum):
    """Say what this host can expect of the primary of a service."""

    USABLE = "usable"
    CHANGING = "changing"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class Backend:
    """Join what belongs to one backend server.

    ``silent_since`` is when it first left a new connection without an answer, ``last_silence`` when
    it last did; both count only if it answered nothing since.
    """

    server: BackendServer
    links: ConnectionPool
    load: ServerState
    next_check: Instant = timedelta(0)
    leaving_since: Instant | None = None
    last_answer: Instant = timedelta(0)
    silent_since: Instant | None = None
    last_silence: Instant = timedelta(0)

    def note_answer(self, now: Instant) -> None:
        """Count an answer of any kind."""
        self.last_answer = now
        self.silent_since = None

    def note_silence(self, now: Instant) -> None:
        """Count a new connection that was left without an answer."""
        if self.silent_since is None or now > self.last_silence + SILENCE_MEMORY:
            self.silent_since = now
        self.last_silence = now

    def is_silent(self, now: Instant) -> bool:
        """Tell whether the server has lately left new connections without an answer for long."""
        if self.silent_since is None or now > self.last_silence + SILENCE_MEMORY:
            return False
        return now >= self.silent_since + SILENCE_LIMIT


@dataclass(slots=True)
class Grant:
    """Hold a connection that an operation was given; ``started`` is when it was granted."""

    backend: Backend
    link: BackendConnection
    started: Instant


@dataclass(frozen=True, slots=True)
class ServiceBelief:
    """Hold what a host believed of a service when it decided about a request, for logs.

    ``permit_ms`` is the time left of the host's permit; ``sample_age_ms`` is None without a sample.
    """

    primary: BackendId | None
    primary_state: PrimaryState
    change: int
    permit_ms: int
    sample_age_ms: int | None
    waiting: int
