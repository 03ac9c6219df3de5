"""HTTP server for the platform's key-value store and promotion calls, backed by memory."""

from __future__ import annotations

import asyncio
import base64
import json
from datetime import timedelta
from typing import Any

from aiohttp import web

from hickorywind.ids import Revision
from hickorywind.ports.coordination import (
    Committed,
    Condition,
    HistoryCompacted,
    ItemDeleted,
    Lease,
    LeaseId,
    Put,
)
from hickorywind.store.era import make_revision, number_of
from hickorywind.store.interface import StoredValue
from standins.lineplatform.memorystore import MemoryCoordinationStore, MemoryStore

PAGE_ITEMS = 3  # small so that tests read several pages


class HttpStore:
    """HTTP server of the platform's store and promotion calls.

    If set, ``status`` is the status code of every response; ``delay`` delays every response.
    ``part_delays`` splits answers to range reads into as many parts, each sent after its delay.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.status: int | None = None
        self.delay = timedelta(0)
        self.part_delays: tuple[timedelta, ...] = ()
        self.promotions: list[tuple[str, str, str, str]] = []
        self.promotion_status = 200
        self._store = store
        self._client = MemoryCoordinationStore(store)
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> None:
        """Start listening at an address."""
        application = web.Application(middlewares=[self._apply_faults])
        application.on_response_prepare.append(self._add_era)
        application.add_routes(
            [
                web.get("/-/kv-range", self._range),
                web.get("/-/kv-watch", self._watch),
                web.post("/-/kv-txn", self._transact),
                web.post("/-/kv-lease", self._grant),
                web.post("/-/kv-keep/{lease}", self._renew),
                web.delete("/-/kv-lease-end/{lease}", self._end),
                web.post("/failover", self._promote),
            ]
        )
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if self.status is not None:
            return web.Response(status=self.status)
        await asyncio.sleep(self.delay.total_seconds())
        return await handler(request)

    async def _add_era(self, request: web.Request, response: web.StreamResponse) -> None:
        if self._store.era:
            response.headers["Store-Era"] = str(self._store.era)

    async def _range(self, request: web.Request) -> web.StreamResponse:
        snapshot = await self._client.read_range(request.query["prefix"])
        after = request.query.get("after", "")
        items = sorted((item for item in snapshot.items if item.key > after), key=_key)
        body = {
            "items": [_render(item) for item in items[:PAGE_ITEMS]],
            "has_more": len(items) > PAGE_ITEMS,
            "as_of": number_of(snapshot.as_of),
        }
        if not self.part_delays:
            return web.json_response(body)
        return await self._send_in_parts(request, json.dumps(body).encode())

    async def _send_in_parts(self, request: web.Request, data: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(data))})
        await response.prepare(request)
        size = -(-len(data) // len(self.part_delays))
        for number, delay in enumerate(self.part_delays):
            await asyncio.sleep(delay.total_seconds())
            await response.write(data[number * size : (number + 1) * size])
        return response

    async def _watch(self, request: web.Request) -> web.Response:
        query = request.query
        wait = timedelta(milliseconds=int(query["wait_ms"]))
        after = make_revision(int(query["after"]), self._store.era)
        result = await self._client.watch(query["prefix"], after, wait)
        if isinstance(result, HistoryCompacted):
            return web.Response(status=410)
        events = [
            (
                {"key": change.key, "revision": number_of(change.revision), "deleted": True}
                if isinstance(change, ItemDeleted)
                else _render(change.item)
            )
            for change in result.changes
        ]
        return web.json_response({"events": events, "as_of": number_of(result.as_of)})

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        result = await self._store.transact(
            [Condition(row["key"], Revision(row["revision"])) for row in body["expected_rev"]],
            [Put(put["key"], base64.b64decode(put["value"])) for put in body["puts"]],
            body["deletes"],
        )
        if isinstance(result, Committed):
            return web.json_response({"revision": result.revision})
        return web.json_response({"items": []}, status=412)

    async def _grant(self, request: web.Request) -> web.Response:
        body = await request.json()
        return web.json_response({"lease": self._store.grant(), "ttl_ms": body["ttl_ms"]})

    async def _renew(self, request: web.Request) -> web.Response:
        renewed = await self._client.renew_lease(self._lease(request))
        return web.json_response({"ttl_ms": 1}, status=200 if renewed else 404)

    async def _end(self, request: web.Request) -> web.Response:
        await self._client.end_lease(self._lease(request))
        return web.json_response({})

    def _lease(self, request: web.Request) -> Lease:
        return Lease(LeaseId(int(request.match_info["lease"])), self._store.era)

    async def _promote(self, request: web.Request) -> web.Response:
        body = await request.json()
        headers = request.headers
        order = (headers["Lease-Holder"], headers["Fencing-Token"], body["backend"], body["id"])
        self.promotions.append(order)
        return web.Response(status=self.promotion_status)


def _key(item: StoredValue) -> str:
    return item.key


def _render(item: StoredValue) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    revision = number_of(item.revision)
    return {"key": item.key, "value": value, "revision": revision, "created": 1, "lease": 0}
