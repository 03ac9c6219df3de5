"""Malformed messages for a host, and for the store's entries of backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import random

import zmq
import zmq.asyncio

from hickorywind.ids import Address
from hickorywind.platform.documents import BACKENDS_PREFIX
from hickorywind.protocol.messages import PROTOCOL_VERSION
from soak.hosts import HostAddresses
from standins.lineplatform.memorystore import MemoryStore

_CALLER_MESSAGES = (
    b"\xff\xfe\x00 QUERY\r\n",
    b"QUERY\r\n",
    b"CONNECT\r\n",
    b"CONNECT bookings u\r\nQUERY q1 READ\r\nQUERY - READ x\r\nQUERY q2\nWRITE x y\r\n",
    b"CONNECT bookings u\r\nQUERY q1 EXECUTE \r\nNONSENSE\r\n",
    b"CONNECT bookings u\r\nQUERY q3 BEGIN\r\nQUERY q4 BEGIN\r\nCONNECT x y\r\n",
    b"x" * 1_100_000,
    b"GET / HTTP/1.1\r\n\r\n",
)
_HTTP_MESSAGES = (b"\x00\x01\r\n\r\n", b"GET /-/readiness HTTP/9.9\r\n\r\n", b"POST / HTTP/1.1\r\n")
_NESTED = b"[" * 5_000 + b"]" * 5_000
_VERSION = bytes((PROTOCOL_VERSION,))
_PEER_BODIES = (
    *(b"", b"\x80", b"\xc1" * 20, b"\x93\x01\x02\x03", b"{}", bytes(range(256))),
    # The others are refused at their first byte.
    *(_VERSION + body for body in (b"", b"\x80", b"\xc1", b"\x93\x01\x02\x03")),
    _VERSION + b"\x93\xa5alive\x01" + b"\x91" * 5_000 + b"\x90",
    _VERSION + b"\x92\xa5alive\xcf" + b"\xff" * 8,
)
_ENTRY = (
    b'{"backend": "ledger", "address": "127.0.0.1:1", "zone": "z0", "slots": 1, "born": 1,'
    b' "state": "ready"}'
)
_ENTRIES = (
    b"\xff\xfe",
    b"[]",
    b'{"backend": "ledger"}',
    b'{"backend": "ledger", "address": "nowhere", "zone": 3, "state": "ready", "born": "x"}',
    b'{"backend": 1, "address": "127.0.0.1:1", "zone": "z0", "slots": -1, "state": "gone"}',
    _NESTED,
    _ENTRY.replace(b"}", b', "x": ' + _NESTED + b"}"),
    _ENTRY.replace(b':1"', b':99999999999"'),
    _ENTRY.replace(b'"born": 1', b'"born": ' + b"9" * 400),
    _ENTRY.replace(b'"slots": 1', b'"slots": 1e400'),
    _ENTRY.replace(b"ledger", b"ledger x\\r\\nQUERY"),
)
_READ_LIMIT_S = 0.3


async def send_malformed(
    rng: random.Random, addresses: HostAddresses, store: MemoryStore, number: int
) -> None:
    """Send malformed messages to each port of a host and write a malformed entry."""
    await _send_bytes(addresses.callers, rng.choice(_CALLER_MESSAGES))
    await _send_bytes(addresses.readiness, rng.choice(_HTTP_MESSAGES))
    await _send_bytes(addresses.metrics, rng.choice(_HTTP_MESSAGES))
    await _send_bytes(addresses.status, rng.randbytes(40) + b"\n")
    await _send_bytes(addresses.peers, rng.randbytes(80))
    await _send_to_peer(addresses.peers, rng.choice(_PEER_BODIES))
    await store.put(f"{BACKENDS_PREFIX}i-malformed{number}", rng.choice(_ENTRIES))


async def _send_bytes(address: Address, data: bytes) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_READ_LIMIT_S):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            try:
                writer.write(data)
                await reader.read()
            finally:
                writer.transport.abort()


async def _send_to_peer(address: Address, body: bytes) -> None:
    socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
    try:
        socket.connect(f"tcp://{address}")
        await socket.send_multipart((body,))
        await asyncio.sleep(_READ_LIMIT_S)
    finally:
        socket.close(linger=0)
