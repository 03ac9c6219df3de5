"""Codec interfaces that a wire protocol implements towards callers and backend servers."""

from __future__ import annotations

from typing import Protocol

from hickorywind.ids import BackendId, LogPosition, ServiceName, Term
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
    """Decoder of the requests and encoder of the replies of one caller connection."""

    def feed(self, data: bytes) -> list[CallerEvent]:
        """Decode received bytes and return the events that they complete."""
        ...

    def encode_connected(self) -> bytes:
        """Encode the message that accepts a session."""
        ...

    def encode_refused(self, result: Result) -> bytes:
        """Encode the message that refuses a session; the connection is closed after it."""
        ...

    def encode_end_notice(self, result: Result) -> bytes:
        """Encode the error that tells a caller without an open request to close its session.

        A caller whose next request crosses the notice takes it for the error of that request.
        """
        ...

    def encode_notice_completion(self, state: TransactionState) -> bytes:
        """Encode the end of the reply to a request that crossed the notice, after its error."""
        ...

    def encode_reply(self, reply: Reply, state: TransactionState) -> bytes:
        """Encode the reply to a statement and the session's transaction state after it."""
        ...


class BackendCodec(Protocol):
    """Encoder of the statements and decoder of the answers of one backend connection."""

    def feed(self, data: bytes) -> list[Answer]:
        """Decode received bytes and return the answers that they complete.

        Raise ``ValueError`` for bytes that do not follow the protocol.
        """
        ...

    @property
    def pending_error(self) -> BackendError | None:
        """Error whose answer is still incomplete, as when a server refuses a connection.

        None if no error is pending.
        """
        ...

    def is_signed(self, answer: Answer) -> bool | None:
        """Return whether a success is signed, as those of callers' statements are.

        None if the answer says of no statement that it is complete.
        """
        ...

    @property
    def has_partial_answer(self) -> bool:
        """Whether bytes have arrived that complete no answer yet."""
        ...

    def encode_connect(self, service: ServiceName, client: str, backend: BackendId) -> bytes:
        """Encode the startup message, which the server refuses unless it is ``backend``."""
        ...

    def encode_statement(
        self, request_id: str, text: str, min_position: LogPosition | None
    ) -> bytes:
        """Encode a caller's statement; the server refuses it unless it holds ``min_position``."""
        ...

    def encode_execute(
        self, request_id: str, name: str, arguments: str, min_position: LogPosition | None
    ) -> bytes:
        """Encode the execution of a prepared statement by its name on the backend connection."""
        ...

    def encode_begin(self, read_only: bool, min_position: LogPosition | None) -> bytes:
        """Encode the start of a transaction."""
        ...

    def encode_rollback(self) -> bytes:
        """Encode a rollback that the proxy issues itself."""
        ...

    def encode_set(self, name: str, value: str) -> bytes:
        """Encode a statement that sets a session value."""
        ...

    def encode_prepare(self, name: str, is_write: bool, template: str) -> bytes:
        """Encode the preparation of a statement template under ``name``."""
        ...

    def encode_reset(self) -> bytes:
        """Encode a statement that resets all session values and prepared statements."""
        ...

    def encode_status(self) -> bytes:
        """Encode a query for the server's status."""
        ...

    def encode_step_down(self, term: Term) -> bytes:
        """Encode the order that makes a primary of a lower term a replica.

        The server answers with its status afterwards.
        """
        ...

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Return the status that an answer holds, or None if it holds none."""
        ...
