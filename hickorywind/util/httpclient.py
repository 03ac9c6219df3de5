"""Small HTTP/1.1 client for calls to a few addresses, over connections that are kept.

It imports little, since a restarted host serves nobody until its modules are loaded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import h11

from hickorywind.ids import Address
from hickorywind.util.sockets import enable_keepalive, reset_on_close

# Between two parts of an answer: those of other hosts may be ahead of it on a link that they share.
PROGRESS_TIMEOUT = timedelta(seconds=3)
# Of an answer whose size is announced; below this rate a link is as good as down.
MIN_ANSWER_BYTES_PER_SECOND = 64 * 1024
_READ_BYTES = 64 * 1024


class HttpCallError(Exception):
    """A call got no answer, or one that is no HTTP/1.1.

    ``was_sent`` is false if no connection could be opened for it.
    """

    def __init__(self, reason: str, was_sent: bool = True) -> None:
        super().__init__(reason)
        self.was_sent = was_sent


class HttpTimeoutError(HttpCallError):
    """A call got no answer in time."""


class HttpCallWithdrawnError(HttpCallError):
    """A call was withdrawn before any of it was sent."""


class HttpAnswerTooLargeError(Exception):
    """An answer is announced with more bytes than the caller wanted."""

    def __init__(self, size_bytes: int) -> None:
        super().__init__(f"{size_bytes} bytes")
        self.size_bytes = size_bytes


def ignore_begin() -> None:
    """Do nothing when an answer begins."""


def always_send() -> bool:
    """Return that a call may be sent."""
    return True


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Status code, body and headers of an answer; names of headers are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)


class HttpClient:
    """Client that keeps the connections of completed calls for later ones."""

    def __init__(self) -> None:
        self._idle: dict[Address, list[_Connection]] = {}
        self._open: set[_Connection] = set()

    async def call(
        self,
        address: Address,
        method: str,
        target: str,
        timeout: timedelta,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
        max_bytes: int | None = None,
        on_answer: Callable[[], None] = ignore_begin,
        may_send: Callable[[], bool] = always_send,
    ) -> HttpAnswer:
        """Send a request and return its answer.

        ``may_send`` is asked once a connection is open; if it says no, nothing is sent and
        ``HttpCallWithdrawnError`` is raised.

        The answer has to begin within ``timeout`` and then to make progress; a large one on a slow
        link takes longer as a whole. ``on_answer`` is called when it begins. Raise
        ``HttpCallError``, or ``HttpAnswerTooLargeError`` once an answer is announced with more than
        ``max_bytes``. After ``HttpTimeoutError`` later calls use new connections: those that were
        kept may have gone silent too. The connection of a call that is given up is reset, so that
        what a cut holds up of it is lost.
        """
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout.total_seconds()) as time_limit:
                connection = self._take_idle(address) or await self._connect(address)
                if not may_send():
                    raise HttpCallWithdrawnError(f"{method} {target}: withdrawn")
                await connection.send(address, method, target, headers or {}, body)
                answer = await connection.receive(time_limit, timeout, max_bytes, on_answer)
        except TimeoutError as error:
            self._close_idle(address)
            was_sent = connection is not None
            raise HttpTimeoutError(f"{method} {target}: timed out", was_sent) from error
        except (OSError, h11.ProtocolError) as error:
            was_sent = connection is not None
            raise HttpCallError(f"{method} {target}: {error}", was_sent) from error
        finally:
            if connection is not None:
                self._give_back(address, connection)
        return answer

    async def _connect(self, address: Address) -> _Connection:
        connection = _Connection(*await asyncio.open_connection(address.host, address.port))
        self._open.add(connection)
        return connection

    def _take_idle(self, address: Address) -> _Connection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            self._close(connection)
        return None

    def _close_idle(self, address: Address) -> None:
        for connection in self._idle.pop(address, []):
            self._close(connection)

    def _give_back(self, address: Address, connection: _Connection) -> None:
        if connection.prepare_next_call():
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.drop_unsent()
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        self._open.discard(connection)
        connection.close()

    async def close(self) -> None:
        """Close all connections; calls under way fail."""
        for connection in list(self._open):
            self._close(connection)


class _Connection:
    """Connection that carries one call at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        enable_keepalive(writer.get_extra_info("socket"))
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)

    @property
    def is_usable(self) -> bool:
        """Whether the peer has not closed the connection, as far as is known."""
        return not self._reader.at_eof() and not self._writer.is_closing()

    async def send(
        self, address: Address, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Send a request."""
        all_headers = {"Host": str(address), **headers}
        if body:
            all_headers |= {
                "Content-Type": "application/json",
                "Content-Length": str(len(body)),
            }
        parts = [
            self._protocol.send(
                h11.Request(method=method, target=target, headers=list(all_headers.items()))
            )
        ]
        if body:
            parts.append(self._protocol.send(h11.Data(data=body)))
        parts.append(self._protocol.send(h11.EndOfMessage()))
        self._writer.write(b"".join(part for part in parts if part))
        await self._writer.drain()

    async def receive(
        self,
        time_limit: asyncio.Timeout,
        timeout: timedelta,
        max_bytes: int | None,
        on_answer: Callable[[], None],
    ) -> HttpAnswer:
        """Return the answer; extend the time limit with each part of it that arrives."""
        now = asyncio.get_running_loop().time
        response = await self._next_event()
        while isinstance(response, h11.InformationalResponse):
            response = await self._next_event()
        if not isinstance(response, h11.Response):
            raise ConnectionResetError("the connection was closed without an answer")
        size = _announced_size(response)
        if max_bytes is not None and size > max_bytes:
            raise HttpAnswerTooLargeError(size)
        on_answer()
        last_moment = now() + timeout.total_seconds() + size / MIN_ANSWER_BYTES_PER_SECOND
        parts = []
        while True:
            progress_until = now() + PROGRESS_TIMEOUT.total_seconds()
            time_limit.reschedule(min(last_moment, progress_until))
            match await self._next_event():
                case h11.Data(data=data):
                    parts.append(data)
                case _:
                    headers = {
                        name.decode("latin-1"): value.decode("latin-1")
                        for name, value in response.headers
                    }
                    return HttpAnswer(response.status_code, b"".join(parts), headers)

    async def _next_event(self) -> h11.Event:
        while True:
            event = self._protocol.next_event()
            if event is not h11.NEED_DATA:
                return event
            self._protocol.receive_data(await self._reader.read(_READ_BYTES))

    def prepare_next_call(self) -> bool:
        """Return whether the connection can carry another call."""
        if self._protocol.our_state is h11.IDLE:
            return self.is_usable  # the last one was withdrawn
        if self._protocol.our_state is not h11.DONE or self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return self.is_usable

    def drop_unsent(self) -> None:
        """Let the close reset the connection, so that the peer gets nothing that is under way."""
        sock = self._writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            reset_on_close(sock)

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()


def _announced_size(response: h11.Response) -> int:
    for name, value in response.headers:
        if name == b"content-length":
            return int(value)
    return 0
