"""HTTP endpoints for the platform's readiness probes and for metrics."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest

from hickorywind.ids import Address
from hickorywind.util.httpserver import HttpServer, Page

READINESS_PATH = "/-/readiness"
METRICS_PATH = "/metrics"
_STATUS_READY = 200
_STATUS_NOT_READY = 503


async def serve_readiness(address: Address, is_ready: Callable[[], bool]) -> HttpServer:
    """Serve readiness probes at an address; raise OSError if the address is in use."""
    return await _serve(
        address,
        READINESS_PATH,
        lambda: Page(_STATUS_READY if is_ready() else _STATUS_NOT_READY),
    )


async def serve_metrics(address: Address, registry: CollectorRegistry) -> HttpServer:
    """Serve the metrics of a registry as text; raise OSError if the address is in use."""
    return await _serve(
        address,
        METRICS_PATH,
        lambda: Page(200, generate_latest(registry), CONTENT_TYPE_LATEST),
    )


async def _serve(address: Address, path: str, make_page: Callable[[], Page]) -> HttpServer:
    server = HttpServer({path: make_page})
    await server.start(address)
    return server
