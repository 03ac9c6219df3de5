"""The ``hickorywindd`` program, which runs one role until a signal asks it to drain and stop."""

from __future__ import annotations

import argparse
import asyncio
import logging
import random
import signal
import sys
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from datetime import timedelta
from typing import Protocol

import zmq

from hickorywind.ids import Role
from hickorywind.observability.logs import configure_logging
from hickorywind.observability.metrics import Metrics, start_metrics_server
from hickorywind.protocol.channel import ChannelKeys
from hickorywind.results import UserError
from hickorywind.settings.load import load_settings, parse_address
from hickorywind.settings.schema import DaemonSettings
from hickorywind.settings.secrets import load_keys
from hickorywind.util.clock import MonotonicClock, milliseconds

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE_ERROR = 2
_STOP_MARGIN = timedelta(seconds=5)
_CONTROLLER_DRAIN_TIMEOUT = timedelta(seconds=2)

_EXAMPLE = """example:
  hickorywindd --config /etc/hickorywind/pool.yaml
  hickorywindd --config /etc/hickorywind/pool.yaml --check
"""


class RoleProcess(Protocol):
    """Role of a daemon process: an entry, a pool or a controller."""

    async def run(self) -> None:
        """Serve until cancelled; raise if the role can't continue."""
        ...

    async def drain(self) -> None:
        """Refuse new work, finish the work in flight and return."""
        ...


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program and return its exit code."""
    options = _build_parser().parse_args(arguments)
    try:
        settings = load_settings(options.config)
        keys = load_keys(settings.keys_file) if settings.keys_file else None
    except UserError as error:
        return _report_error(error, EXIT_USAGE_ERROR)
    if options.check:
        print(f"{options.config}: ok")
        return EXIT_OK
    return _run_process(settings, keys)


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="hickorywindd",
        description="Run one hickorywind process: an entry, a pool or a controller.",
        epilog=_EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--config", required=True, metavar="FILE", help="settings file (YAML)")
    parser.add_argument("--check", action="store_true", help="check the settings file and exit")
    return parser


def _report_error(error: Exception, exit_code: int) -> int:
    print(f"hickorywindd: {error}", file=sys.stderr)
    return exit_code


def _run_process(settings: DaemonSettings, keys: ChannelKeys | None) -> int:
    configure_logging(settings.log, settings.role, settings.host)
    metrics = Metrics.with_own_registry()
    metrics.describe_process(settings.role, settings.host, settings.availability_zone)
    with ExitStack() as stack:
        try:
            if settings.metrics_listen is not None:
                server = start_metrics_server(parse_address(settings.metrics_listen), metrics)
                stack.callback(server.close)
            return asyncio.run(_serve(settings, keys, metrics))
        except UserError as error:
            return _report_error(error, EXIT_USAGE_ERROR)
        except (OSError, zmq.ZMQError) as error:
            logger.error("process_failed", extra={"error": str(error)})
            return _report_error(error, EXIT_FAILED)


async def _serve(settings: DaemonSettings, keys: ChannelKeys | None, metrics: Metrics) -> int:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    # The random numbers only spread load; tests build the roles with a seeded generator.
    rng = random.Random()
    role = _role_factory(settings.role)(settings, MonotonicClock(), rng, keys, metrics)
    logger.info("process_started", extra={"zone": settings.availability_zone})
    return await run_until_stopped(role, stop, drain_limit(settings))


async def run_until_stopped(role: RoleProcess, stop: asyncio.Event, limit: timedelta) -> int:
    """Run a role until ``stop`` is set, drain it within ``limit`` and return the exit code.

    If the role fails by itself, raise its exception; if it returns, return ``EXIT_FAILED``.
    """
    running = asyncio.create_task(role.run())
    stopping = asyncio.create_task(stop.wait())
    await asyncio.wait((running, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if running.done():
        running.result()
        logger.error("role_exited")
        return EXIT_FAILED
    logger.info("drain_started", extra={"limit_ms": limit // timedelta(milliseconds=1)})
    try:
        async with asyncio.timeout(limit.total_seconds()):
            await role.drain()
        logger.info("drain_finished")
    except TimeoutError:
        logger.warning("drain_timed_out")
    running.cancel()
    await asyncio.wait((running,), timeout=_STOP_MARGIN.total_seconds())
    return EXIT_OK


def drain_limit(settings: DaemonSettings) -> timedelta:
    """Return the longest time a drain may take before the process exits regardless."""
    match settings.role:
        case Role.ENTRY:
            return milliseconds(settings.entry.drain_timeout_ms) + _STOP_MARGIN
        case Role.POOL:
            return milliseconds(settings.pool.drain_timeout_ms) + _STOP_MARGIN
        case Role.CONTROLLER:
            return _CONTROLLER_DRAIN_TIMEOUT + _STOP_MARGIN


def _role_factory(role: Role) -> Callable[..., RoleProcess]:
    # Imported here, not at the top, so that a process loads only the code of its own role.
    match role:
        case Role.ENTRY:
            from hickorywind.entry.role import EntryRole

            return EntryRole.from_settings
        case Role.POOL:
            from hickorywind.pool.role import PoolRole

            return PoolRole.from_settings
        case Role.CONTROLLER:
            from hickorywind.controller.role import ControllerRole

            return ControllerRole.from_settings


if __name__ == "__main__":
    sys.exit(main())
