"""Host process with the platform's adapters, which runs until a signal stops it."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import socket
from collections.abc import Sequence
from datetime import timedelta

from hickorywind.host.hostruntime import Adapters, HostRuntime
from hickorywind.ids import Incarnation
from hickorywind.observability.boundedlog import BoundedLogHandler
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.observability.logs import EventFields, make_formatter
from hickorywind.observability.trafficmeter import Distance
from hickorywind.platform.documents import (
    BACKENDS_PREFIX,
    CONFIGURATION_KEY,
    decode_backend,
    decode_configuration,
)
from hickorywind.platform.httpendpoints import serve_metrics, serve_readiness
from hickorywind.platform.lineprotocol import LineBackendCodec, LineCallerCodec
from hickorywind.platform.storeclient import PlatformClient
from hickorywind.ports.coordination import DocumentSchema
from hickorywind.results import UserError
from hickorywind.settings.host import HostSettings, load_host_settings
from hickorywind.util.clock import BoottimeClock, Instant, to_milliseconds

logger = logging.getLogger(__name__)

_STDOUT_FD = 1


def run(
    settings: HostSettings,
    settings_path: str,
    listener: socket.socket,
    entered_at: Instant,
    stop_signals: Sequence[int] = (),
) -> int:
    """Serve the callers of ``listener`` until SIGTERM or SIGINT and return the exit code.

    ``settings_path`` is the settings file, which SIGHUP reloads. ``entered_at`` is when the process
    began, by the clock that keeps running during suspension. ``stop_signals`` holds the signals
    that came before this function handles them.
    """
    metrics = HostMetrics.with_own_registry()
    _configure_logging(settings, metrics)
    return asyncio.run(_serve(settings, settings_path, listener, entered_at, stop_signals, metrics))


def _configure_logging(settings: HostSettings, metrics: HostMetrics) -> None:
    handler = BoundedLogHandler(
        _STDOUT_FD,
        settings.log_bytes_per_second,
        BoottimeClock(),
        metrics.log_lines_dropped.inc,
    )
    handler.setFormatter(make_formatter(settings.log, EventFields(host=settings.host)))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log.level.upper())


def _make_adapters(settings: HostSettings, metrics: HostMetrics) -> Adapters:
    client = PlatformClient.from_addresses(settings.address("store"), settings.address("control"))
    client.on_transfer = lambda kind, size_bytes: metrics.traffic.record(
        kind, Distance.STORE, size_bytes
    )
    schema = DocumentSchema(
        CONFIGURATION_KEY, BACKENDS_PREFIX, decode_configuration, decode_backend
    )
    return Adapters(LineCallerCodec, LineBackendCodec, client, client, schema)


async def _serve(
    settings: HostSettings,
    settings_path: str,
    listener: socket.socket,
    entered_at: Instant,
    stop_signals: Sequence[int],
    metrics: HostMetrics,
) -> int:
    clock = BoottimeClock()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    if stop_signals:
        stop.set()
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, settings_path, settings)
    incarnation = Incarnation(clock.now() // timedelta(microseconds=1))
    adapters = _make_adapters(settings, metrics)
    runtime = HostRuntime(
        settings, adapters, listener, clock, incarnation, metrics, random.Random()
    )
    await serve_readiness(settings.address("readiness_listen"), lambda: runtime.is_ready)
    await serve_metrics(settings.address("metrics_listen"), metrics.registry)
    logger.info(
        "process_started",
        extra={
            "incarnation": incarnation,
            "zone": settings.availability_zone,
            "store": settings.store,
            "startup_ms": round(to_milliseconds(clock.now() - entered_at)),
        },
    )
    running = asyncio.create_task(runtime.run())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        logger.error("process_failed", exc_info=running.exception())
        return 1
    logger.info("drain_started")
    await runtime.drain()
    logger.info("process_stopped")
    logging.shutdown()
    # Tasks that still wait for an unresponsive peer must not delay the exit.
    os._exit(0)


def _reload_settings(settings_path: str, settings: HostSettings) -> None:
    try:
        reloaded = load_host_settings(settings_path)
    except UserError as error:
        logger.error("settings_reload_failed", extra={"reason": str(error)})
        return
    changed = [key for key in settings.__struct_fields__ if _differs(key, settings, reloaded)]
    logging.getLogger().setLevel(reloaded.log.level.upper())
    logger.info("settings_reloaded", extra={"needs_restart": ",".join(changed) or "nothing"})


def _differs(key: str, settings: HostSettings, reloaded: HostSettings) -> bool:
    return getattr(settings, key) != getattr(reloaded, key)
