"""Stand-in of the platform's store and of its control interface, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
READS_PER_S, WRITES_PER_S = 2000, 400  # of all hosts together; calls beyond get 429
RENEWAL_PRICE = 0.1  # of a read
ANSWER_S = 0.004
_FIRST_REVISION = 10
_FIRST_LEASE = 1000


class DroppedError(Exception):
    """Raised by a handler whose caller gets no answer and no more on this connection."""


@dataclass
class Item:
    """Item of the store."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0


@dataclass
class Contents:
    """All that the store keeps."""

    revision: int = _FIRST_REVISION
    items: dict[str, Item] = field(default_factory=dict)
    history: list[tuple[int, str, Item | None]] = field(default_factory=list)
    leases: dict[int, list[float]] = field(default_factory=dict)  # ttl and end, in seconds


class Store:
    """Key-value store with leases, conditional writes and watches.

    ``on_failover`` is called with service, server, holder and token. ``is_down`` makes the store
    refuse connections' calls with a reset.
    """

    def __init__(self) -> None:
        self.contents = Contents()
        self.era = 1
        self.is_down = False
        self.on_failover: Callable[[str, str, str, int], Awaitable[int]] | None = None
        self.writes: list[tuple[float, int, str]] = []  # time, revision and key
        self._changed = asyncio.Condition()
        self._lease_ids = itertools.count(_FIRST_LEASE)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: list[asyncio.Task] = []
        self.calls: dict[int, Counter[str]] = {}  # by second: reads, writes and refused ones

    async def start(self, host: str) -> tuple[str, str]:
        """Listen at two free ports; return the addresses of the store and of the control."""
        servers = [await asyncio.start_server(self._serve, host, 0) for _ in range(2)]
        self._tasks.append(asyncio.create_task(self._expire_leases()))
        store, control = (f"{host}:{each.sockets[0].getsockname()[1]}" for each in servers)
        return store, control

    # Changes by operators and servers ----------------------------------------------------------

    async def put(self, key: str, value: bytes) -> int:
        """Write an item and return the revision."""
        return await self._apply([(key, value, 0)], [])

    async def delete(self, key: str) -> None:
        """Delete an item."""
        await self._apply([], [key])

    async def _apply(self, puts: list[tuple[str, bytes, int]], deletes: list[str]) -> int:
        contents = self.contents
        contents.revision += 1
        for key, value, lease in puts:
            old = contents.items.get(key)
            created = contents.revision if old is None else old.created
            item = Item(key, value, contents.revision, created, lease)
            contents.items[key] = item
            contents.history.append((contents.revision, key, item))
            self.writes.append((time.monotonic(), contents.revision, key))
        for key in deletes:
            if contents.items.pop(key, None) is not None:
                contents.history.append((contents.revision, key, None))
        async with self._changed:
            self._changed.notify_all()
        return contents.revision

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease, (_, end) in list(self.contents.leases.items()):
                if now > end:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> bool:
        known = self.contents.leases.pop(lease, None) is not None
        keys = [key for key, item in self.contents.items.items() if item.lease == lease]
        if keys:
            await self._apply([], keys)
        return known

    # A drill: the store comes back from a copy -------------------------------------------------

    def copy(self) -> Contents:
        """Return a copy of all that the store keeps."""
        return deepcopy(self.contents)

    def go_away(self) -> None:
        """Reset all connections and refuse calls."""
        self.is_down = True
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self, copy: Contents) -> None:
        """Serve again, with the contents of a copy and the next era."""
        self.contents = copy
        self.era += 1
        self.is_down = False
        async with self._changed:
            self._changed.notify_all()

    # HTTP --------------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ")
                headers = {}
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = header.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if self.is_down:
                    break
                await asyncio.sleep(ANSWER_S)
                status, answer = await self._answer(method, target, headers, body)
                if self.is_down:
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
        except (OSError, asyncio.IncompleteReadError, DroppedError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        parts = urlsplit(target)
        if not self._admit(method, parts.path):
            return 429, {}
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        document = json.loads(body) if body else {}
        match method, parts.path.split("/")[1:]:
            case "GET", ["-", "kv-key"]:
                item = self.contents.items.get(query["key"])
                as_of = {"as_of": self.contents.revision}
                return (404, as_of) if item is None else (200, _render(item) | as_of)
            case "GET", ["-", "kv-range"]:
                return 200, self._range(query)
            case "GET", ["-", "kv-watch"]:
                return await self._watch(query)
            case "POST", ["-", "kv-txn"]:
                return await self._transact(document)
            case "POST", ["-", "kv-lease"]:
                lease, ttl_ms = next(self._lease_ids), document["ttl_ms"]
                ttl_s = ttl_ms / 1000
                self.contents.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
                return 200, {"lease": lease, "ttl_ms": ttl_ms}
            case "POST", ["-", "kv-keep", lease]:
                kept = self.contents.leases.get(int(lease))
                if kept is None:
                    return 404, {}
                kept[1] = time.monotonic() + kept[0]
                return 200, {"ttl_ms": round(kept[0] * 1000)}
            case "DELETE", ["-", "kv-lease-end", lease]:
                return (200 if await self._end_lease(int(lease)) else 404), {}
            case "POST", ["failover"]:
                holder, token = headers["lease-holder"], int(headers["fencing-token"])
                status = await self.on_failover(document["backend"], document["id"], holder, token)
                return status, {}
        return 404, {}

    def _admit(self, method: str, path: str) -> bool:
        if path == "/failover":
            return True
        is_renewal = path.startswith("/-/kv-keep/")
        kind = "reads" if method == "GET" or is_renewal else "writes"
        counts = self.calls.setdefault(int(time.monotonic()), Counter())
        if counts[kind] >= (READS_PER_S if kind == "reads" else WRITES_PER_S):
            counts["refused"] += 1
            return False
        counts[kind] += RENEWAL_PRICE if is_renewal else 1
        return True

    def _range(self, query: dict[str, str]) -> dict:
        prefix, after = unquote(query["prefix"]), query.get("after", "")
        items = sorted(
            (each for key, each in self.contents.items.items() if key.startswith(prefix)),
            key=lambda each: each.key,
        )
        items = [each for each in items if each.key > after]
        return {
            "items": [_render(each) for each in items[:PAGE_ITEMS]],
            "has_more": len(items) > PAGE_ITEMS,
            "as_of": self.contents.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        prefix, after = unquote(query["prefix"]), int(query["after"])
        era, until = self.era, time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if era != self.era:
                raise DroppedError
            if after > self.contents.revision:
                return 410, {}
            events = [
                (
                    {"key": key, "revision": revision, "deleted": True}
                    if item is None
                    else _render(item)
                )
                for revision, key, item in self.contents.history
                if revision > after and key.startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "as_of": self.contents.revision}
            try:
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, document: dict) -> tuple[int, dict]:
        items = self.contents.items
        expected = document.get("expected_rev", [])
        if any(
            (items[row["key"]].revision if row["key"] in items else 0) != row["revision"]
            for row in expected
        ):
            found = [_render(items[row["key"]]) for row in expected if row["key"] in items]
            return 412, {"items": found}
        puts = [
            (put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
            for put in document.get("puts", [])
        ]
        if any(lease and lease not in self.contents.leases for _, _, lease in puts):
            return 404, {}
        return 200, {"revision": await self._apply(puts, document.get("deletes", []))}


def _render(item: Item) -> dict:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }
