"""Run the stand-in store until it receives SIGTERM or SIGINT."""

from __future__ import annotations

import argparse
import asyncio
import signal

from hickorywind.ids import Address
from standins.store.service import StoreServer


def main() -> None:
    """Parse the command line and run the server."""
    parser = argparse.ArgumentParser(prog="python -m standins.store", description=__doc__)
    parser.add_argument("--listen", type=Address.from_text, required=True, metavar="IP:PORT")
    asyncio.run(serve(parser.parse_args().listen))


async def serve(listen: Address) -> None:
    """Run the server until SIGTERM or SIGINT, then close it."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = StoreServer(listen)
    await server.start()
    print(f"ready {server.address}", flush=True)
    await stop.wait()
    await server.close()


if __name__ == "__main__":
    main()
