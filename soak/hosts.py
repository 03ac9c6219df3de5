"""Host processes of the soak, each with its settings file and its relay links."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

import yaml

from hickorywind.ids import Address
from hickorywind.platform.__main__ import SETTINGS_VARIABLE
from soak.checks import GRACE_S
from soak.plan import LinkEnd
from soak.platform import LEAVING_S
from soak.relay import Direction, RelayLink
from standins.ports import PortSource
from standins.processes import ManagedProcess

ZONES = {"z0": "r1", "z1": "r1", "z2": "r2"}
_LOG_BYTES_PER_S = 1_000_000  # nothing that explains a finding is left out
_CONNECT_LIMIT_S = 0.5


@dataclass(frozen=True)
class HostAddresses:
    """Addresses at which a host listens."""

    callers: Address
    readiness: Address
    peers: Address
    metrics: Address
    status: Address

    @classmethod
    def from_ports(cls, ports: PortSource) -> HostAddresses:
        """Take the addresses out of a block of ports."""
        return cls(*(ports.next_address() for _ in range(5)))


class HostProcess:
    """Process of one host: starts, stops and signals, and the time of the last SIGTERM."""

    def __init__(self, number: int, addresses: HostAddresses, folder: Path) -> None:
        self.name = f"h{number}"
        self.zone = f"z{number % len(ZONES)}"
        self.addresses = addresses
        self.links: dict[str, RelayLink] = {}  # by name of the target
        self.on_kill: Callable[[str], None] = lambda name: None
        self.is_expected_to_run = False
        self.stopping_since_s: float | None = None
        self.pause_count = 0
        self.was_paused = False  # at some time since SIGTERM
        self._log_start = 0
        self._reload_count = 0
        self._settings_path = folder / f"{self.name}.yaml"
        self.process = ManagedProcess(
            self.name,
            ("hickorywind.platform",),
            folder / f"{self.name}.log",
            {SETTINGS_VARIABLE: str(self._settings_path), "PYTHONUNBUFFERED": "1"},
        )

    def write_settings(self) -> None:
        """Write the settings file."""
        store = str(self.links["store"].listen)
        settings = {
            "host": self.name,
            "availability_zone": self.zone,
            "region": ZONES[self.zone],
            "callers_listen": str(self.addresses.callers),
            "readiness_listen": str(self.addresses.readiness),
            "peers_listen": str(self.addresses.peers),
            "metrics_listen": str(self.addresses.metrics),
            "status_listen": str(self.addresses.status),
            "store": store,
            "control": store,
            "zones": ZONES,
            "stop_grace_seconds": GRACE_S,
            "backend_leaving_ms": round(LEAVING_S * 1000),
            "log_bytes_per_second": _LOG_BYTES_PER_S + self._reload_count,
        }
        written = self._settings_path.with_suffix(".new")
        written.write_text(yaml.safe_dump(settings, sort_keys=False))
        written.rename(self._settings_path)

    def start(self) -> None:
        """Start the process."""
        path = self.process.log_path
        self._log_start = path.stat().st_size if path.exists() else 0
        self.process.start()
        self.is_expected_to_run = True
        self.stopping_since_s = None

    @property
    def has_started(self) -> bool:
        """Return whether the current process has logged that it serves."""
        return b"event=process_started" in self.process.log_path.read_bytes()[self._log_start :]

    def terminate(self, now_s: float) -> None:
        """Send SIGTERM."""
        self.is_expected_to_run = False
        self.stopping_since_s = now_s
        self.was_paused = self.pause_count > 0
        self.process.send(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.on_kill(self.name)
        self.is_expected_to_run = False
        self.stopping_since_s = None
        self.process.kill()

    def pause(self) -> None:
        """Pause the process; several pauses may overlap."""
        self.pause_count += 1
        self.was_paused = True
        self.process.freeze()

    async def starve(self, stopped_s: float, running_s: float) -> None:
        """Leave the process little processor time until cancelled."""
        try:
            while True:
                self.process.freeze()
                await asyncio.sleep(stopped_s)
                self._thaw()
                await asyncio.sleep(running_s)
        finally:
            self._thaw()

    def _thaw(self) -> None:
        if self.pause_count == 0:
            self.process.thaw()

    def reload_settings(self) -> None:
        """Change the settings file, and send SIGHUP if the process handles signals."""
        self._reload_count += 1
        self.write_settings()
        if self.process.is_running and self.has_started:
            self.process.send(signal.SIGHUP)

    def resume(self) -> None:
        """Undo one pause."""
        self.pause_count -= 1
        self._thaw()

    def select_links(self, end: LinkEnd, servers: Iterable[str]) -> list[RelayLink]:
        """Return the links of the host to one kind of target."""
        names = set(servers)
        match end:
            case LinkEnd.STORE:
                return [self.links["store"]]
            case LinkEnd.SERVERS:
                return [link for name, link in self.links.items() if name in names]
            case LinkEnd.PEERS:
                return [link for name, link in self.links.items() if name not in {"store", *names}]
            case LinkEnd.ALL:
                return list(self.links.values())

    async def is_ready(self) -> bool:
        """Return whether the host answers a readiness probe with status 200."""
        address = self.addresses.readiness
        try:
            async with asyncio.timeout(_CONNECT_LIMIT_S):
                reader, writer = await asyncio.open_connection(address.host, address.port)
                try:
                    writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: soak\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return False


def translate_peer_links(hosts: Mapping[str, HostProcess], targets: Mapping[str, Address]) -> None:
    """Let each host learn from another only addresses of its own links.

    A host names others by the addresses of its links, which only it may use.
    """

    def view(host: str, target: str) -> int:
        link = hosts[host].links.get(target)
        return targets[target].port if link is None else link.listen.port

    for first in hosts:
        for second in hosts.keys() - {first}:
            outward = {view(first, target): view(second, target) for target in targets}
            hosts[first].links[second].ports[Direction.OUTWARD] = outward
            hosts[second].links[first].ports[Direction.INWARD] = outward
