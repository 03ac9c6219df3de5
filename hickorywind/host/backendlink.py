"""Own one connection to a backend server."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping
from datetime import timedelta

from hickorywind.ids import AccessMode, BackendId
from hickorywind.ports.catalog import BackendServer
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import BackendErrorKind, BackendResponse, TransactionState
from hickorywind.util.clock import Instant
from hickorywind.util.sockets import enable_keepalive

logger = logging.getLogger(__name__)

CLIENT_NAME = "hickorywind"


class LinkLostError(Exception):
    """Report that a connection ended or stayed silent; what was sent may have run."""


class ConnectFailedError(LinkLostError):
    """Report that a new connection did not come about; nothing was sent on it."""


class LinkRefusedError(Exception):
    """Report that a backend server refused a connection; ``kind`` is None without a reason."""

    def __init__(self, kind: BackendErrorKind | None, text: str) -> None:
        super().__init__(text)
        self.kind = kind


class PreparedShape:
    """Name a prepared statement by its shape, so that sessions can share connections."""

    def __init__(self, mode: AccessMode, shape: str) -> None:
        self.is_write = mode is AccessMode.WRITE
        self.shape = shape
        self.link_name = ("w" if self.is_write else "r") + shape


class BackendLink(asyncio.Protocol):
    """Exchange statements and answers with one backend server, one batch at a time."""

    def __init__(self, backend: BackendId, codec: BackendCodec) -> None:
        self.backend = backend
        self.codec = codec
        self.values: dict[str, str] = {}
        self.prepared: set[str] = set()
        self.state = TransactionState.IDLE
        self.idle_since: Instant = timedelta(0)
        self.is_lost = False
        self.was_closed_here = False
        self.is_verified_primary = False
        self.on_lost: Callable[[BackendLink], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._answers: list[BackendResponse] = []
        self._expected = 0
        self._waiter: asyncio.Future[list[BackendResponse]] | None = None

    @classmethod
    async def open(
        cls, server: BackendServer, codec: BackendCodec, timeout: timedelta
    ) -> BackendLink:
        """Connect; raise ``LinkRefusedError`` or ``LinkLostError``."""
        loop = asyncio.get_running_loop()
        link = cls(server.backend, codec)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await loop.create_connection(lambda: link, server.address.host, server.address.port)
                hello = codec.encode_connect(server.service, CLIENT_NAME, server.backend)
                answers = await link._send(hello, 1)
        except (OSError, TimeoutError) as error:
            link.close()
            raise ConnectFailedError(f"connecting failed: {error or 'timed out'}") from error
        except LinkLostError:
            refusal = codec.pending_error
            if refusal is None:
                raise
            raise LinkRefusedError(refusal.kind, refusal.text) from None
        if not answers[0].is_ok:
            link.close()
            error = answers[0].error
            raise LinkRefusedError(error.kind, error.text)
        return link

    async def exchange(
        self, payload: bytes, count: int, timeout: timedelta
    ) -> list[BackendResponse]:
        """Send statements and return their answers; a silent connection is given up.

        Raise ``LinkLostError`` where an answer is missing: the statements may have run.
        """
        try:
            async with asyncio.timeout(max(0.001, timeout.total_seconds())):
                answers = await self._send(payload, count)
        except TimeoutError:
            self.close()
            raise LinkLostError("no answer within the statement timeout") from None
        except asyncio.CancelledError:
            self.close()
            raise
        self.state = answers[-1].state
        return answers

    async def _send(self, payload: bytes, count: int) -> list[BackendResponse]:
        if self.is_lost or self._transport is None:
            raise LinkLostError("the connection was already lost")
        self._answers = []
        self._expected = count
        self._waiter = asyncio.get_running_loop().create_future()
        self._transport.write(payload)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def plan_session(
        self, values: Mapping[str, str], shape: PreparedShape | None
    ) -> tuple[bytes, int]:
        """Render what gives the connection a session's values and prepared statement.

        Return the bytes and the number of answers to expect; the connection counts as changed.
        """
        parts = []
        if not self.values.keys() <= values.keys():
            parts.append(self.codec.encode_reset())
            self.values = {}
            self.prepared = set()
        for name, value in values.items():
            if self.values.get(name) != value:
                parts.append(self.codec.encode_set(name, value))
                self.values[name] = value
        if shape is not None and shape.link_name not in self.prepared:
            prepare = self.codec.encode_prepare(shape.link_name, shape.is_write, shape.shape)
            parts.append(prepare)
            self.prepared.add(shape.link_name)
        return b"".join(parts), len(parts)

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back by the backend server."""
        self.was_closed_here = True
        if self._transport is not None:
            self._transport.abort()
        self.connection_lost(None)

    # Callbacks of the transport ----------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the socket."""
        self._transport = transport
        sock: socket.socket | None = transport.get_extra_info("socket")
        if sock is not None:
            enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Collect answers until all that are expected have come."""
        try:
            self._answers += self.codec.feed(data)
        except ValueError as error:
            logger.warning(
                "backend_message_refused", extra={"backend": self.backend, "reason": str(error)}
            )
            self.close()
            return
        if self._waiter is not None and len(self._answers) >= self._expected:
            if not self._waiter.done():
                self._waiter.set_result(self._answers)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what waits for an answer."""
        if self.is_lost:
            return
        self.is_lost = True
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(LinkLostError(f"the connection ended: {exc or 'closed'}"))
        if self.on_lost is not None:
            self.on_lost(self)
