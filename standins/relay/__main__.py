"""Run a relay, controlled by lines on its control port, until SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import signal
from pathlib import Path

from hickorywind.ids import Address
from standins.relay.relay import Relay, RelaySettings


def main() -> None:
    """Parse the command line and run the relay."""
    parser = argparse.ArgumentParser(prog="python -m standins.relay", description=__doc__)
    parser.add_argument("--config", type=Path, required=True, help="YAML settings file")
    asyncio.run(serve(RelaySettings.from_file(parser.parse_args().config)))


async def serve(settings: RelaySettings) -> None:
    """Run the relay until SIGTERM or SIGINT, then close it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    relay = Relay(settings.routes)

    async def control(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write((relay.run_command(line.decode()) + "\n").encode())
            await writer.drain()
        writer.close()

    await relay.start()
    address = Address.from_text(settings.control)
    server = await asyncio.start_server(control, address.host, address.port)
    print(f"ready {settings.control}", flush=True)
    await stop.wait()
    server.close()
    await relay.close()


if __name__ == "__main__":
    main()
