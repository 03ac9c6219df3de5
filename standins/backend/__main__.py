"""Run one stand-in backend server until it receives SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import logging
import signal
import tempfile
from pathlib import Path

from standins.backend.server import BackendServer
from standins.backend.settings import BackendSettings


def main() -> None:
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser(prog="python -m standins.backend", description=__doc__)
    parser.add_argument("--config", type=Path, required=True, help="YAML settings file")
    parser.add_argument("--verbose", action="store_true", help="log events at level info")
    arguments = parser.parse_args()
    logging.basicConfig(level=logging.INFO if arguments.verbose else logging.WARNING)
    settings = BackendSettings.from_file(arguments.config)
    with tempfile.TemporaryDirectory(prefix=f"standin-{settings.backend}-") as folder:
        asyncio.run(serve(settings, Path(folder)))


async def serve(settings: BackendSettings, folder: Path) -> None:
    """Run the server until SIGTERM or SIGINT, then close it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if settings.data_dir is not None:
        Path(settings.data_dir).mkdir(parents=True, exist_ok=True)
    server = BackendServer(settings, folder)
    await server.start()
    print(f"ready {settings.listen}", flush=True)
    await stop.wait()
    await server.close()


if __name__ == "__main__":
    main()
