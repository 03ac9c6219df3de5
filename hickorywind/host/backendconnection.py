"""One connection to a backend server."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta

from hickorywind.host.sessionstate import SessionState, SetupStep, StatementTemplate, encode_steps
from hickorywind.ids import BackendId, Term
from hickorywind.ports.catalog import BackendServer
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import Answer, BackendError, BackendErrorKind, TransactionState
from hickorywind.util.clock import Instant
from hickorywind.util.sockets import enable_keepalive, reset_on_close

logger = logging.getLogger(__name__)

CLIENT_NAME = "hickorywind"


class ConnectionLostError(Exception):
    """A connection ended or gave no answer in time; the statements sent on it may have run."""


class ConnectFailedError(ConnectionLostError):
    """A new connection could not be opened; no statement was sent on it."""


class ConnectionRejectedError(Exception):
    """A backend server refused a connection; ``kind`` is None if it gave no reason."""

    def __init__(self, kind: BackendErrorKind | None, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class BackendConnection(asyncio.Protocol):
    """Connection to one backend server that carries one batch of statements at a time."""

    def __init__(self, backend: BackendId, codec: BackendCodec, client: str = CLIENT_NAME) -> None:
        """Create a connection that is not open yet.

        ``client`` is the name under which the backend server knows the connection: that of the
        client account whose work it carries, or ``CLIENT_NAME``.
        """
        self.backend = backend
        self.codec = codec
        self.client = client
        self.session = SessionState()
        self.state = TransactionState.IDLE
        self.idle_since: Instant = timedelta(0)
        self.is_lost = False
        self.closed_locally = False
        # Term in which the server led when it last gave its status here; None as a replica, or
        # while it has not applied its log.
        self.primary_term: Term | None = None
        self.on_lost: Callable[[BackendConnection], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._answers: list[Answer] = []
        self._expected_count = 0  # of answers that are still awaited
        self._waiter: asyncio.Future[list[Answer]] | None = None

    @classmethod
    async def open(
        cls,
        server: BackendServer,
        codec: BackendCodec,
        timeout: timedelta,
        client: str = CLIENT_NAME,
    ) -> BackendConnection:
        """Open a connection; raise ``ConnectionRejectedError`` or ``ConnectionLostError``."""
        loop = asyncio.get_running_loop()
        connection = cls(server.backend, codec, client)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await loop.create_connection(
                    lambda: connection, server.address.host, server.address.port
                )
                payload = codec.encode_connect(server.service, client, server.backend)
                answers = await connection._send(payload, 1)
        except (OSError, TimeoutError) as error:
            connection.close()
            raise ConnectFailedError(f"connecting failed: {error or 'timed out'}") from error
        except ConnectionLostError:
            refusal = codec.pending_error
            if refusal is None:
                raise
            raise ConnectionRejectedError(refusal.kind, refusal.text) from None
        if not answers[0].is_ok:
            connection.close()
            error = answers[0].error
            raise ConnectionRejectedError(error.kind, error.text)
        return connection

    async def exchange(
        self, payload: bytes, answer_count: int, timeout: timedelta, is_signed: bool = False
    ) -> list[Answer]:
        """Send statements and return their answers; close the connection on a timeout.

        ``is_signed`` tells whether they are a caller's, whose success the server signs, or the
        host's own. Raise ``ConnectionLostError`` if an answer is missing or can't be theirs; the
        statements may have run.
        """
        try:
            async with asyncio.timeout(max(0.001, timeout.total_seconds())):
                answers = await self._send(payload, answer_count)
        except TimeoutError:
            self.close()
            raise ConnectionLostError("no answer within the statement timeout") from None
        except asyncio.CancelledError:
            self.close()
            raise
        if any(each.is_ok and self.codec.is_signed(each) is not is_signed for each in answers):
            self._end_out_of_step(0, 0)
            raise ConnectionLostError("the answer is not one to this statement")
        self.state = answers[-1].state
        error = answers[-1].error
        if error is not None and error.kind is BackendErrorKind.UNKNOWN_STATEMENT:
            self.session.doubt()
            logger.warning(
                "prepared_statement_unknown",
                extra={"backend": self.backend, "reason": error.text},
            )
        return answers

    async def set_up(
        self, values: Mapping[str, str], template: StatementTemplate | None, timeout: timedelta
    ) -> BackendError | None:
        """Give the connection a session's values and statement; return the server's refusal.

        Only after None does the connection hold them. Raise ``ConnectionLostError`` if an answer
        is missing, or if the setup began or ended a transaction.
        """
        steps = self.session.plan(values, template)
        if not steps:
            return None
        payload, state = encode_steps(self.codec, steps), self.state
        answers = await self.exchange(payload, len(steps), timeout)
        refusal = self._record_setup(steps, answers)
        if refusal is None and self.state is not state:
            self.close()
            raise ConnectionLostError("the transaction state changed in the session's setup")
        return refusal

    async def begin(
        self,
        values: Mapping[str, str],
        template: StatementTemplate | None,
        payload: bytes,
        timeout: timedelta,
    ) -> tuple[BackendError | None, Answer]:
        """Set up a session and begin a transaction in one round trip.

        Return the server's refusal of the setup, if any, and its answer to ``payload``. Raise
        ``ConnectionLostError`` if an answer is missing.
        """
        steps = self.session.plan(values, template)
        payload = encode_steps(self.codec, steps) + payload
        answers = await self.exchange(payload, len(steps) + 1, timeout)
        return self._record_setup(steps, answers[:-1]), answers[-1]

    def _record_setup(self, steps: list[SetupStep], answers: list[Answer]) -> BackendError | None:
        refusal = self.session.record_answers(steps, answers)
        if refusal is not None:
            logger.warning(
                "session_setup_refused",
                extra={"backend": self.backend, "reason": refusal.text},
            )
        return refusal

    async def _send(self, payload: bytes, answer_count: int) -> list[Answer]:
        if self.is_lost or self._transport is None:
            raise ConnectionLostError("the connection was already lost")
        self._answers = []
        self._expected_count = answer_count
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(payload)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back by the backend server."""
        self.closed_locally = True
        self._abort()
        self.connection_lost(None)

    def _abort(self) -> None:
        if self._transport is None:
            return
        unsent_bytes = self._transport.get_write_buffer_size()
        if unsent_bytes:
            logger.info(
                "backend_statement_cut",
                extra={"backend": self.backend, "unsent_bytes": unsent_bytes},
            )
        if unsent_bytes or self._expected_count:
            # A server could take half a statement before an orderly end for a whole one, and the
            # kernel would deliver a whole one for seconds, to a server that was replaced meanwhile.
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                reset_on_close(sock)
        self._transport.abort()

    # Callbacks of the transport ----------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keepalive."""
        self._transport = transport
        sock: socket.socket | None = transport.get_extra_info("socket")
        if sock is not None:
            enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Decode answers and complete the exchange once all expected answers have arrived.

        A message that belongs to no statement ends the connection, as it would be taken for the
        answer to the next one.
        """
        try:
            answers = self.codec.feed(data)
        except ValueError as error:
            logger.warning(
                "backend_message_malformed", extra={"backend": self.backend, "reason": str(error)}
            )
            self.close()
            return
        is_awaited = self._waiter is not None and not self._waiter.done()
        self._answers += answers
        surplus = len(self._answers) - self._expected_count if is_awaited else len(answers)
        # An answer to a statement that is not sent whole is that of another one.
        is_early = surplus >= 0 and self._transport.get_write_buffer_size() > 0
        if not is_awaited or surplus > 0 or is_early:
            self._end_out_of_step(len(data), surplus)
        elif surplus == 0:
            complete, self._answers = self._answers, []
            self._expected_count = 0
            self._waiter.set_result(complete)
            if self.codec.has_partial_answer:
                self._end_out_of_step(len(data), 0)

    def _end_out_of_step(self, byte_count: int, surplus: int) -> None:
        logger.warning(
            "backend_message_unexpected",
            extra={"backend": self.backend, "bytes": byte_count, "answers": surplus},
        )
        self._abort()
        self.connection_lost(ConnectionError("unexpected message"))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that waits for an answer, if any, and report the loss."""
        if self.is_lost:
            return
        self.is_lost = True
        self._expected_count = 0
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(
                ConnectionLostError(f"the connection ended: {exc or 'closed'}")
            )
        if self.on_lost is not None:
            self.on_lost(self)
