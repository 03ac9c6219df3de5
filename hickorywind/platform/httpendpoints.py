"""HTTP endpoints for the platform's readiness probes and for metrics."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from hickorywind.ids import Address

READINESS_PATH = "/-/readiness"
METRICS_PATH = "/metrics"
_STATUS_READY = 200
_STATUS_NOT_READY = 503


async def serve_readiness(address: Address, is_ready: Callable[[], bool]) -> web.AppRunner:
    """Serve readiness probes at an address; raise OSError if the address is in use."""

    async def handle_request(request: web.Request) -> web.Response:
        return web.Response(status=_STATUS_READY if is_ready() else _STATUS_NOT_READY)

    return await _serve(address, READINESS_PATH, handle_request)


async def serve_metrics(address: Address, registry: CollectorRegistry) -> web.AppRunner:
    """Serve the metrics of a registry as text; raise OSError if the address is in use."""

    async def handle_request(request: web.Request) -> web.Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=generate_latest(registry), headers=headers)

    return await _serve(address, METRICS_PATH, handle_request)


async def _serve(address: Address, path: str, handle_request: Callable) -> web.AppRunner:
    application = web.Application()
    application.router.add_get(path, handle_request)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()
    return runner
