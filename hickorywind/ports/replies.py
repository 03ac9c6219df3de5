"""Answers of backend servers and replies to callers, independent of the wire protocol."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hickorywind.ids import InstanceRole, LogPosition, Term
from hickorywind.results import Result


class TransactionState(Enum):
    """Transaction state of a session or a backend connection after a statement."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class BackendErrorKind(Enum):
    """Classes of backend server errors, by what each proves about the statement.

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
    """Error of a backend server: its class and the text that is relayed to the caller."""

    kind: BackendErrorKind
    text: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete answer of a backend server to one statement.

    ``state`` is the transaction state of the connection afterwards; ``position`` is the server's
    log position when it answered, or None if it sent none.
    """

    rows: tuple[str, ...]
    completion_tag: str
    error: BackendError | None
    state: TransactionState
    position: LogPosition | None

    @property
    def is_ok(self) -> bool:
        """Whether the statement succeeded."""
        return self.error is None

    @property
    def lacks_position(self) -> bool:
        """Whether the server refused as its log lacks the position that the statement requires."""
        return self.error is not None and self.error.kind is BackendErrorKind.BEHIND


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status that a backend server reports of itself.

    ``received_position`` is the log position up to which it has received changes,
    ``applied_position`` the one up to which statements see them, if it is told; ``term`` is the
    newest primary term that it knows.
    """

    role: InstanceRole
    term: Term
    received_position: LogPosition
    applied_position: LogPosition | None = None

    @property
    def leading_term(self) -> Term | None:
        """Term in which the server calls itself primary; None for a replica."""
        return self.term if self.role is InstanceRole.PRIMARY else None

    @property
    def has_applied_log(self) -> bool:
        """Whether statements see all changes that the server has received, as far as it tells."""
        return self.applied_position is None or self.applied_position >= self.received_position


@dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Reply that relays the answer of a backend server."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class LocalCompletion:
    """Reply to a statement that the proxy completed without a backend server."""


@dataclass(frozen=True, slots=True)
class ProxyFailure:
    """Reply that reports a refusal or failure by the proxy itself."""

    result: Result


Reply = RelayedAnswer | LocalCompletion | ProxyFailure
