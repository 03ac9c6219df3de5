"""Stand-in of the platform's metadata store and of its call that promotes an instance."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500

Reply = tuple[int, dict]


class HttpListener:
    """HTTP/1.1 server with kept connections, which answers JSON."""

    def __init__(
        self, handle: Callable[[str, str, dict, dict, dict], Awaitable[Reply | None]]
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen at a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while (text := (await reader.readline()).decode().strip()) != "":
                    name, _, value = text.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                document = json.loads(body) if body else {}
                reply = await self._handle(method, url.path, query, headers, document)
                if reply is None:
                    break
                data = json.dumps(reply[1]).encode()
                head = (
                    f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the host has left, or the stand-in ends
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """Key-value store with revisions, conditional writes, leases and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int]] = {}
        self._events: list[tuple[int, str, bytes | None]] = []
        self._leases: set[int] = set()
        self._changed = asyncio.Condition()
        self.listener = HttpListener(self._handle)
        self.delay_s = 0.004
        self.is_silent = False  # calls that arrive now never get an answer

    async def put(self, key: str, value: dict) -> None:
        """Write an item as operators and instances do."""
        await self._apply([(key, json.dumps(value).encode())], [])

    async def delete(self, key: str) -> None:
        """Delete an item if it exists."""
        if key in self.items:
            await self._apply([], [key])

    async def _apply(self, puts: list[tuple[str, bytes]], deletes: list[str]) -> None:
        self.revision += 1
        for key, value in puts:
            self.items[key] = (value, self.revision)
            self._events.append((self.revision, key, value))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self._events.append((self.revision, key, None))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(
        self, method: str, path: str, query: dict, headers: dict, body: dict
    ) -> Reply | None:
        if self.is_silent:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        match method, path.split("/")[2:]:
            case "GET", ["kv-key"]:
                found = self.items.get(query["key"])
                return (404, {}) if found is None else (200, _item(query["key"], *found))
            case "GET", ["kv-range"]:
                return self._range(query)
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return await self._transact(body)
            case "POST", ["kv-lease"]:
                lease = len(self._leases) + self.revision * 1000
                self._leases.add(lease)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "POST", ["kv-keep", lease]:
                return (200, {}) if int(lease) in self._leases else (404, {})
            case "DELETE", ["kv-lease-end", lease]:
                is_known = int(lease) in self._leases
                self._leases.discard(int(lease))
                return (200, {}) if is_known else (404, {})
        return 404, {}

    def _range(self, query: dict) -> Reply:
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [_item(key, *self.items[key]) for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "has_more": len(keys) > PAGE_ITEMS, "as_of": self.revision}

    async def _watch(self, query: dict) -> Reply:
        prefix, after = query["prefix"], int(query["after"])

        def find() -> list[dict]:
            return [
                (
                    {"key": key, "revision": revision, "deleted": True}
                    if value is None
                    else _item(key, value, revision)
                )
                for revision, key, value in self._events
                if revision > after and key.startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(find)
        except TimeoutError:
            pass
        return 200, {"events": find(), "as_of": self.revision}

    async def _transact(self, body: dict) -> Reply:
        for row in body["expected_rev"]:
            found = self.items.get(row["key"])
            if (0 if found is None else found[1]) != row["revision"]:
                return 412, {"items": []}
        puts = [(each["key"], base64.b64decode(each["value"])) for each in body["puts"]]
        await self._apply(puts, body["deletes"])
        return 200, {"revision": self.revision}


def _item(key: str, value: bytes, revision: int) -> dict:
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": 1, "lease": 0}
