"""Small HTTP/1.1 server of a few pages, for probes and metrics.

It imports little, since a restarted host serves nobody until its modules are loaded.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

import h11

from hickorywind.ids import Address

logger = logging.getLogger(__name__)

IDLE_TIMEOUT = timedelta(seconds=75)  # between two requests on a connection
_READ_BYTES = 16 * 1024
_PLAIN_TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Page:
    """Answer to a GET request."""

    status: int
    body: bytes = b""
    content_type: str = _PLAIN_TEXT


class HttpServer:
    """Server of the pages that ``make_page`` holds by path."""

    def __init__(self, make_page: Mapping[str, Callable[[], Page]]) -> None:
        self._make_page = make_page
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Serve at an address; raise ``OSError`` if it is in use."""
        self._server = await asyncio.start_server(self._serve, address.host, address.port)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        protocol = h11.Connection(h11.SERVER)
        try:
            while await self._serve_request(protocol, reader, writer):
                protocol.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            logger.debug("http_connection_ended", extra={"reason": str(error)})
        finally:
            writer.close()

    async def _serve_request(
        self,
        protocol: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serve one request; return whether the connection may carry another one."""
        page = Page(404)
        while True:
            match await _next_event(protocol, reader):
                case h11.Request(method=method, target=target):
                    page = self._find_page(method, target)
                case h11.EndOfMessage():
                    break
                case h11.ConnectionClosed():
                    return False
        headers = [("Content-Type", page.content_type), ("Content-Length", str(len(page.body)))]
        response = h11.Response(status_code=page.status, headers=headers)
        events = (response, h11.Data(data=page.body), h11.EndOfMessage())
        writer.write(b"".join(protocol.send(event) for event in events))
        await writer.drain()
        return protocol.our_state is h11.DONE and protocol.their_state is h11.DONE

    def _find_page(self, method: bytes, target: bytes) -> Page:
        path = target.split(b"?")[0].decode("ascii", "replace")
        make_page = self._make_page.get(path)
        if make_page is None:
            return Page(404)
        return make_page() if method == b"GET" else Page(405)


async def _next_event(protocol: h11.Connection, reader: asyncio.StreamReader) -> h11.Event:
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
            protocol.receive_data(await reader.read(_READ_BYTES))
