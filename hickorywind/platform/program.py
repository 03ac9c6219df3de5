"""Join the adapter to a host and run it until it is told to stop."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import socket
from datetime import timedelta

from hickorywind.host.hostruntime import Adapters, HostRuntime
from hickorywind.ids import Incarnation
from hickorywind.observability.boundedlog import BoundedLogHandler
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.observability.logs import EventFields, make_formatter
from hickorywind.platform.documents import (
    BACKENDS_PREFIX,
    CONFIGURATION_KEY,
    decode_backend,
    decode_configuration,
)
from hickorywind.platform.lines import LineBackendCodec, LineCallerCodec
from hickorywind.platform.readiness import serve_metrics, serve_readiness
from hickorywind.platform.storeclient import PlatformClient
from hickorywind.ports.coordination import DocumentSchema
from hickorywind.results import UserError
from hickorywind.settings.host import HostSettings, load_host_settings
from hickorywind.util.clock import BoottimeClock, Instant, to_milliseconds

logger = logging.getLogger(__name__)

_STANDARD_OUTPUT = 1


def run(settings: HostSettings, path: str, listener: socket.socket, entered: Instant) -> int:
    """Serve callers of ``listener`` until SIGTERM and return the exit code.

    ``path`` is that of the settings file, read again at SIGHUP; the process was entered at
    ``entered`` by the clock that runs through suspension.
    """
    metrics = HostMetrics.with_own_registry()
    _configure_logs(settings, metrics)
    return asyncio.run(_serve(settings, path, listener, entered, metrics))


def _configure_logs(settings: HostSettings, metrics: HostMetrics) -> None:
    handler = BoundedLogHandler(
        _STANDARD_OUTPUT,
        settings.log_bytes_per_second,
        BoottimeClock(),
        metrics.log_lines_dropped.inc,
    )
    handler.setFormatter(make_formatter(settings.log, EventFields(host=settings.host)))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.log.level.upper())


def _make_adapters(settings: HostSettings) -> Adapters:
    client = PlatformClient.from_addresses(settings.address("store"), settings.address("control"))
    schema = DocumentSchema(
        CONFIGURATION_KEY, BACKENDS_PREFIX, decode_configuration, decode_backend
    )
    return Adapters(LineCallerCodec, LineBackendCodec, client, client, schema)


async def _serve(
    settings: HostSettings,
    path: str,
    listener: socket.socket,
    entered: Instant,
    metrics: HostMetrics,
) -> int:
    clock = BoottimeClock()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, settings)
    incarnation = Incarnation(clock.now() // timedelta(microseconds=1))
    adapters = _make_adapters(settings)
    role = HostRuntime(settings, adapters, listener, clock, incarnation, metrics, random.Random())
    await serve_readiness(settings.address("readiness_listen"), lambda: role.is_ready)
    await serve_metrics(settings.address("metrics_listen"), metrics.registry)
    logger.info(
        "process_started",
        extra={
            "incarnation": incarnation,
            "zone": settings.availability_zone,
            "store": settings.store,
            "startup_ms": round(to_milliseconds(clock.now() - entered)),
        },
    )
    running = asyncio.create_task(role.run())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    if running.done():
        logger.error("process_failed", exc_info=running.exception())
        return 1
    logger.info("drain_started")
    await role.drain()
    logger.info("process_stopped")
    logging.shutdown()
    # Tasks that still wait for a silent peer must not delay the exit.
    os._exit(0)


def _reload(path: str, settings: HostSettings) -> None:
    try:
        fresh = load_host_settings(path)
    except UserError as error:
        logger.error("settings_refused", extra={"reason": str(error)})
        return
    changed = [key for key in settings.__struct_fields__ if _differs(key, settings, fresh)]
    logging.getLogger().setLevel(fresh.log.level.upper())
    logger.info("settings_reloaded", extra={"needs_restart": ",".join(changed) or "nothing"})


def _differs(key: str, settings: HostSettings, fresh: HostSettings) -> bool:
    return getattr(settings, key) != getattr(fresh, key)
