"""Link of limited capacity between the regions of hosts that share a memory network."""

import asyncio
from collections import Counter

from hickorywind.store.interface import StoreSilentError

CALL_BYTES = 200  # of a store call without items, or of opening a connection
ANSWER_TIMEOUT_SECONDS = 1.0  # for the answer to a store call to begin


class RegionLink:
    """Link that carries one message after the other in each direction.

    ``regions`` holds the region of each host; ``sent`` counts bytes by kind and source.
    """

    def __init__(self, loop, bytes_per_second, latency_seconds=0.03):
        self._loop = loop
        self._bytes_per_second = bytes_per_second
        self._latency_seconds = latency_seconds
        self._free_at = {}
        self.regions = {}
        self.sent = Counter()

    @property
    def total_bytes(self):
        return self.sent.total()

    def carry(self, source, target, kind, size_bytes):
        """Return the seconds until a transfer between two regions begins to arrive, and its end."""
        if source == target:
            return 0.0, 0.0
        now = self._loop.time()
        start = max(now, self._free_at.get(source, now))
        self._free_at[source] = start + size_bytes / self._bytes_per_second
        self.sent[kind, source] += size_bytes
        begins = start - now + self._latency_seconds
        return begins, self._free_at[source] - now + self._latency_seconds

    async def carry_answer(self, source, target, kind, size_bytes):
        """Wait for an answer of the store; raise ``StoreSilentError`` if it begins too late."""
        begins, ends = self.carry(source, target, kind, size_bytes)
        if begins > ANSWER_TIMEOUT_SECONDS:
            await asyncio.sleep(ANSWER_TIMEOUT_SECONDS)
            raise StoreSilentError(f"{kind}: timed out")
        await asyncio.sleep(ends)

    async def connect(self, source, target):
        """Wait for the handshake of a connection between two regions."""
        if source != target:
            await asyncio.sleep(self.carry(source, target, "connect", CALL_BYTES)[1])
            await asyncio.sleep(self.carry(target, source, "connect", CALL_BYTES)[1])
