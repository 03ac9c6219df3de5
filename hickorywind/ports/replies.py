"""Define the answers of backend servers and the replies to callers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hickorywind.ids import InstanceRole, LogPosition, Term
from hickorywind.results import Result


class TransactionState(Enum):
    """Say what state a session or a backend connection is in after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class BackendErrorKind(Enum):
    """Classify the errors of a backend server by what they prove.

    ``BUSY``, ``BEHIND``, ``READ_ONLY``, ``WRONG_SERVER``, ``CONNECTION_LIMIT`` and
    ``UNKNOWN_STATEMENT`` prove that the statement did not run.
    """

    BUSY = "busy"
    BEHIND = "behind"
    READ_ONLY = "read_only"
    WRONG_SERVER = "wrong_server"
    CONNECTION_LIMIT = "connection_limit"
    UNKNOWN_STATEMENT = "unknown_statement"
    FAILED = "failed"
    TIMEOUT = "timeout"
    OTHER = "other"


NOT_RUN_ERROR_KINDS = frozenset(
    {
        BackendErrorKind.BUSY,
        BackendErrorKind.BEHIND,
        BackendErrorKind.READ_ONLY,
        BackendErrorKind.WRONG_SERVER,
        BackendErrorKind.CONNECTION_LIMIT,
        BackendErrorKind.UNKNOWN_STATEMENT,
    }
)


@dataclass(frozen=True, slots=True)
class BackendError:
    """Hold an error of a backend server: its class, and its text for relaying."""

    kind: BackendErrorKind
    text: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the whole answer of a backend server to one statement.

    ``position`` is the log position of the server when it answered, None where it gave none.
    """

    rows: tuple[str, ...]
    completion_tag: str
    error: BackendError | None
    state: TransactionState
    position: LogPosition | None

    @property
    def is_ok(self) -> bool:
        """Tell whether the statement succeeded."""
        return self.error is None


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Hold what a backend server says of itself.

    ``received_position`` is the log position up to which it has received the write-ahead log;
    ``term`` is the newest term that it knows.
    """

    role: InstanceRole
    term: Term
    received_position: LogPosition


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Reply with the answer of a backend server."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class LocalCompletion:
    """Reply that a statement which needs no backend server is done."""


@dataclass(frozen=True, slots=True)
class ProxyFailure:
    """Reply with a refusal or failure of the proxy itself."""

    result: Result


Reply = RelayedAnswer | LocalCompletion | ProxyFailure
