"""Cheap opening of many idle caller connections without a database driver."""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, field

from hickorywind.ids import Address, ServiceName

_PROTOCOL_VERSION = 196_608
_READY_FOR_QUERY = b"Z\x00\x00\x00\x05"
_ERROR_RESPONSE = b"E"
_READ_BYTES = 65_536
_CONNECT_TIMEOUT_SECONDS = 30.0


@dataclass
class OpenedCallers:
    """Accepted connections, and counts of refused and failed ones."""

    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    accept_seconds: list[float] = field(default_factory=list)
    refused: int = 0
    failed: int = 0

    def close(self) -> None:
        """Close all connections at once."""
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()


async def open_callers(
    address: Address, service: ServiceName, count: int, max_concurrent: int
) -> OpenedCallers:
    """Open ``count`` connections, at most ``max_concurrent`` at once, and return the results."""
    opened = OpenedCallers()
    semaphore = asyncio.Semaphore(max_concurrent)
    await asyncio.gather(*(_open(address, service, semaphore, opened) for _ in range(count)))
    return opened


async def _open(
    address: Address, service: ServiceName, semaphore: asyncio.Semaphore, opened: OpenedCallers
) -> None:
    async with semaphore:
        begin = time.monotonic()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                await _log_in(address, service, opened, begin)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            opened.failed += 1


async def _log_in(
    address: Address, service: ServiceName, opened: OpenedCallers, begin: float
) -> None:
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(_startup_message(service))
    answer = b""
    while _READY_FOR_QUERY not in answer:
        data = await reader.read(_READ_BYTES)
        if not data:
            writer.transport.abort()
            if answer.startswith(_ERROR_RESPONSE):
                opened.refused += 1
            else:
                opened.failed += 1
            return
        answer += data
    opened.accept_seconds.append(time.monotonic() - begin)
    opened.writers.append(writer)


def _startup_message(service: ServiceName) -> bytes:
    pairs = b"user\0bench\0database\0" + service.encode() + b"\0\0"
    body = struct.pack("!I", _PROTOCOL_VERSION) + pairs
    return struct.pack("!I", len(body) + 4) + body
