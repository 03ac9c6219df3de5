"""Host processes of the project, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]


def free_address() -> str:
    """Return a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return "{}:{}".format(*probe.getsockname())


class Host:
    """One host process with its settings file and log."""

    def __init__(self, name: str, zone: str, folder: Path, settings: dict) -> None:
        self.name = name
        self.callers = free_address()
        self.ready = free_address()
        self._settings_path = folder / f"{name}.yaml"
        self._log_path = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None
        self.settings = {
            "host": name,
            "availability_zone": zone,
            "region": settings["zones"][zone],
            "callers_listen": self.callers,
            "readiness_listen": self.ready,
            "peers_listen": free_address(),
            "metrics_listen": free_address(),
            "status_listen": free_address(),
            "stop_grace_seconds": 6,
            "backend_leaving_ms": 7000,
            "log_bytes_per_second": 1_000_000,
            "store_watchers_per_zone": 2,
            "share_reads": True,
            **settings,
        }

    def start(self) -> None:
        """Start the process."""
        self._settings_path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["host"]["run"].split(" ")
        words[0] = sys.executable
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "HICKORYWIND_SETTINGS": str(self._settings_path),
        }
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._child is not None:
            self._child.kill()
            self._child.wait()

    async def is_ready(self) -> bool:
        """Return whether the process answers a readiness probe with 200."""
        host, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.transport.abort()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class HostFolder:
    """Temporary folder of the hosts' files; the logs are shown if a case could not run."""

    def __init__(self) -> None:
        self.path = Path(tempfile.mkdtemp(prefix="review-"))

    def remove(self) -> None:
        """Remove the folder."""
        shutil.rmtree(self.path, ignore_errors=True)


async def wait_until_ready(hosts: list[Host], seconds: float) -> bool:
    """Wait until all hosts are ready; return False after the time limit."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        if all([await host.is_ready() for host in hosts]):
            return True
        await asyncio.sleep(0.1)
    return False
