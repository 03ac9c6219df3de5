"""Host processes of a small deployment, started as the deploy file says, and their settings."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
ZONES = {"adum": "ashanti", "suame": "ashanti", "tema": "greater-accra"}
# A loopback address of this run's own: no other process takes a port of it between two uses.
LOOPBACK = ".".join(["127", *(str(random.randint(1, 254)) for _ in range(3))])
_ports = itertools.count(20_001)
START_LIMIT_S = 20.0


class CannotRunError(Exception):
    """Raised when the case can't be run; the message says why."""


def free_address() -> str:
    """Return an address of this run with a port that is free and was not returned before."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((LOOPBACK, port))
            return f"{LOOPBACK}:{port}"


class HostProcess:
    """Process of one host."""

    def __init__(self, name: str, zone: str, store: str, control: str, folder: Path) -> None:
        self.name = name
        self.callers = free_address()
        self.readiness = free_address()
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.yaml"
        self._process: subprocess.Popen | None = None
        settings = {
            "host": name,
            "availability_zone": zone,
            "region": ZONES[zone],
            "callers_listen": self.callers,
            "readiness_listen": self.readiness,
            "peers_listen": free_address(),
            "metrics_listen": free_address(),
            "status_listen": free_address(),
            "store": store,
            "control": control,
            "zones": ZONES,
            "stop_grace_seconds": 6,
            "backend_leaving_ms": 7000,
            "log_bytes_per_second": 100000,
            "store_watchers_per_zone": 2,
            "share_reads": True,
            "quota_slack_operations": 0,
        }
        self._settings_path.write_text(json.dumps(settings))  # JSON is YAML

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            "PATH": os.environ["PATH"],
            "HICKORYWIND_SETTINGS": str(self._settings_path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                deploy["roles"]["host"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def memory_mb(self) -> float:
        """Return the memory of the process that is in use."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
        return int(line.split()[1]) / 1024

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGKILL)
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        host, _, port = self.readiness.partition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: probe\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False


class Fleet:
    """Host processes that end with the block in which they are used."""

    def __init__(self, count: int, store: str, control: str) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="hickorywind-review-")
        folder = Path(self._folder.name)
        zones = list(ZONES)
        self.hosts = [
            HostProcess(f"front-{number}", zones[number % len(zones)], store, control, folder)
            for number in range(count)
        ]

    async def __aenter__(self) -> Fleet:
        """Start the hosts and wait until all are ready."""
        try:
            for host in self.hosts:
                host.start()
            async with asyncio.timeout(START_LIMIT_S):
                for host in self.hosts:
                    while not await host.is_ready():
                        await asyncio.sleep(0.1)
        except BaseException as error:
            self._end()
            if isinstance(error, TimeoutError):
                raise CannotRunError("the hosts did not become ready") from None
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        self._end()

    def _end(self) -> None:
        for host in self.hosts:
            host.kill()
        self._folder.cleanup()


def configuration(service: str, version: int, sync_replicas: int = 0, **routes: str) -> bytes:
    """Return a configuration with a route for each database, by its kind."""
    document = {
        "version": version,
        "routes": [
            {
                "name": f"r-{database}",
                "database": database,
                "route_type": kind,
                "timeout_ms": 1000,
                "target_latency_ms": 1000,
                "priority": number,
                "backend": service,
                "max_staleness_ms": 1500,
            }
            for number, (database, kind) in enumerate(routes.items())
        ],
        "backends": [{"name": service, "max_conns": 60, "sync_replicas": sync_replicas}],
        "limits": {"tx_idle_ms": 3000},
    }
    return json.dumps(document).encode()
