"""Define the codecs that a wire protocol for callers and backend servers provides."""

from __future__ import annotations

from typing import Protocol

from hickorywind.ids import BackendId, LogPosition, ServiceName
from hickorywind.ports.replies import (
    Answer,
    BackendError,
    Reply,
    ServerStatus,
    TransactionState,
)
from hickorywind.ports.statements import CallerEvent
from hickorywind.results import Result


class CallerCodec(Protocol):
    """Read the requests of one caller connection and write its replies."""

    def feed(self, data: bytes) -> list[CallerEvent]:
        """Take in bytes and return the events that they complete."""
        ...

    def encode_connected(self) -> bytes:
        """Render the acceptance of a session."""
        ...

    def encode_refused(self, result: Result) -> bytes:
        """Render the refusal of a session, after which the connection is closed."""
        ...

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Render the reply to a statement with the session's state after it."""
        ...


class BackendCodec(Protocol):
    """Write statements to one backend connection and read the answers."""

    def feed(self, data: bytes) -> list[Answer]:
        """Take in bytes and return the answers that they complete; raise ValueError."""
        ...

    @property
    def pending_error(self) -> BackendError | None:
        """Return an error that no final state has followed, as when a connection is refused."""
        ...

    def encode_connect(self, service: ServiceName, client: str, backend: BackendId) -> bytes:
        """Render the opening of a connection that must reach exactly this backend server."""
        ...

    def encode_statement(
        self, request_id: str, text: str, min_position: LogPosition | None
    ) -> bytes:
        """Render a relayed statement, with the log position that the server must hold."""
        ...

    def encode_execute(
        self, request_id: str, name: str, arguments: str, min_position: LogPosition | None
    ) -> bytes:
        """Render the execution of a prepared statement under the connection's own name for it."""
        ...

    def encode_begin(self, read_only: bool, min_position: LogPosition | None) -> bytes:
        """Render the opening of a transaction."""
        ...

    def encode_rollback(self) -> bytes:
        """Render a rollback issued by the proxy itself."""
        ...

    def encode_set(self, name: str, value: str) -> bytes:
        """Render the setting of a session value."""
        ...

    def encode_prepare(self, name: str, is_write: bool, template: str) -> bytes:
        """Render the preparation of a statement shape."""
        ...

    def encode_reset(self) -> bytes:
        """Render the clearing of all values and prepared statements."""
        ...

    def encode_status(self) -> bytes:
        """Render a query for the server's status."""
        ...

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Read a status row; None where the answer holds none."""
        ...
