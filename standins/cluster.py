"""Cluster of stand-in backend servers, store and hickorywind daemons on one machine.

Every one of them runs in a process of its own. Services, zones and backend servers come from an
operator's configuration script, which is printed, checked and applied with the command-line tool.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from hickorywind.configuration.model import Configuration, Instance, Service
from hickorywind.configuration.printing import parse_document
from hickorywind.ids import Address, AvailabilityZone, BackendId, HostId, Role
from standins.ports import PortBlock, PortSource
from standins.processes import ManagedProcess

_BASE_PORT_VARIABLE = "HICKORYWIND_EXAMPLE_BASE_PORT"
_EXAMPLE_PORT_COUNT = 40
_SITE_PORT_COUNT = 400
_SITE_PORTS = range(20_000, 31_000)
_STOP_TIMEOUT_SECONDS = 20.0
_POLL_SECONDS = 0.1
_ROLES_IN_STOP_ORDER = (Role.ENTRY, Role.POOL, Role.CONTROLLER)


class ClusterError(Exception):
    """Failure of a cluster to start, to accept a configuration or to stop cleanly."""


@dataclass(frozen=True)
class BackendBehavior:
    """Delays and data retention of the stand-in backend servers, set at their start."""

    apply_lag_ms: int = 0
    statement_time_ms: int = 0
    connect_time_ms: int = 12
    keep_data: bool = True
    replication_relays: bool = False


@dataclass(frozen=True)
class DaemonVariant:
    """Simpler policies for the daemons, used as baselines in measurements."""

    reads_at_primary: bool = False
    fifo_queue: bool = False
    fixed_failover_timeout_ms: int | None = None


@dataclass(frozen=True)
class HostAddresses:
    """Host with its availability zone and the addresses of its three daemon processes."""

    host: HostId
    availability_zone: AvailabilityZone
    entry: Address
    pool: Address
    controller: Address
    metrics: dict[Role, Address]


@dataclass
class Cluster:
    """Processes of a cluster, their settings files and their configuration."""

    folder: Path
    configuration: Configuration
    document_path: Path
    hosts: tuple[HostAddresses, ...]
    store_address: Address
    ports: PortSource
    processes: dict[str, ManagedProcess] = field(default_factory=dict)
    relay_control: Address | None = None
    variant: DaemonVariant = DaemonVariant()

    @classmethod
    def from_script(
        cls,
        script: Path,
        folder: Path,
        hosts_per_zone: int = 1,
        faults: BackendBehavior | None = None,
        rng: random.Random | None = None,
        variant: DaemonVariant | None = None,
    ) -> Cluster:
        """Assign ports and write the settings files of a cluster without starting its processes."""
        rng = rng or random.Random(os.getpid())
        size = _EXAMPLE_PORT_COUNT + _SITE_PORT_COUNT
        ports = PortSource(PortBlock.claim(rng, _SITE_PORTS, size))
        base_port = ports.reserve(_EXAMPLE_PORT_COUNT)
        environment = {_BASE_PORT_VARIABLE: str(base_port)}
        document = run_command(("config", "print", str(script)), environment)
        document_path = folder / "configuration.yaml"
        document_path.write_text(document)
        configuration = parse_document(document)
        hosts = tuple(_lay_out_hosts(configuration, hosts_per_zone, ports))
        cluster = cls(folder, configuration, document_path, hosts, ports.next_address(), ports)
        cluster.variant = variant or DaemonVariant()
        cluster._add_store()
        cluster._add_backends(faults or BackendBehavior(), ports)
        cluster._add_daemons()
        return cluster

    # Layout ------------------------------------------------------------------------------------

    def _add_process(self, name: str, *arguments: str) -> None:
        log_path = self.folder / (name.replace("/", "-") + ".log")
        environment = {"PYTHONUNBUFFERED": "1"}
        self.processes[name] = ManagedProcess(name, arguments, log_path, environment)

    def _write_yaml(self, name: str, content: dict) -> str:
        path = self.folder / (name.replace("/", "-") + ".yaml")
        path.write_text(yaml.safe_dump(content, sort_keys=False))
        return str(path)

    def _add_store(self) -> None:
        self._add_process("store", "standins.store", "--listen", str(self.store_address))

    def _add_backends(self, faults: BackendBehavior, ports: PortSource) -> None:
        routes: list[dict] = []
        for service in self.configuration.services:
            listens = {instance.backend: ports.next_address() for instance in service.instances}
            for position, instance in enumerate(service.instances):
                content = self._backend_settings(service, instance, listens, faults)
                content["initial_primary"] = position == 0
                if faults.replication_relays:
                    content["peers"] = self._add_relay_routes(instance, listens, routes, ports)
                name = f"backend/{instance.backend}"
                path = self._write_yaml(name, content)
                self._add_process(name, "standins.backend", "--config", path)
        if routes:
            self.relay_control = ports.next_address()
            content = {"control": str(self.relay_control), "routes": routes}
            path = self._write_yaml("relay", content)
            self._add_process("relay", "standins.relay", "--config", path)

    def _backend_settings(
        self,
        service: Service,
        instance: Instance,
        listens: dict[BackendId, Address],
        faults: BackendBehavior,
    ) -> dict:
        data_dir = self.folder / f"data-{instance.backend}"
        return {
            "backend": instance.backend,
            "service": service.name,
            "listen": instance.address,
            "replication_listen": str(listens[instance.backend]),
            "peers": [
                {"backend": backend, "address": str(address)}
                for backend, address in listens.items()
            ],
            "slots": instance.slots,
            "connections": instance.connections,
            "connect_time_ms": faults.connect_time_ms,
            "statement_time_ms": faults.statement_time_ms,
            "apply_lag_ms": faults.apply_lag_ms,
            "data_dir": str(data_dir) if faults.keep_data else None,
        }

    @staticmethod
    def _add_relay_routes(
        instance: Instance,
        listens: dict[BackendId, Address],
        routes: list[dict],
        ports: PortSource,
    ) -> list[dict]:
        peers = []
        for backend, address in listens.items():
            target = address
            if backend != instance.backend:
                target = ports.next_address()
                name = f"{instance.backend}->{backend}"
                routes.append({"name": name, "listen": str(target), "target": str(address)})
            peers.append({"backend": backend, "address": str(target)})
        return peers

    def _add_daemons(self) -> None:
        for host in self.hosts:
            for role in Role:
                name = f"{role.value}/{host.host}"
                path = self._write_yaml(name, self._daemon_settings(host, role))
                self._add_process(name, "hickorywind.daemon", "--config", path)

    def _daemon_settings(self, host: HostAddresses, role: Role) -> dict:
        regions = {zone.name: zone.region for zone in self.configuration.zones}
        others = [str(other.controller) for other in self.hosts if other is not host]
        return {
            "host": host.host,
            "availability_zone": host.availability_zone,
            "region": regions[host.availability_zone],
            "role": role.value,
            "controllers": [str(host.controller), *others],
            "entry": {
                "listen": str(host.entry),
                "read_routing": "primary" if self.variant.reads_at_primary else "replicas",
            },
            "pool": {
                "listen": str(host.pool),
                "queue_order": "fifo" if self.variant.fifo_queue else "ranked",
            },
            "controller": {
                "listen": str(host.controller),
                "seeds": others,
                "store": str(self.store_address),
                "fixed_failover_timeout_ms": self.variant.fixed_failover_timeout_ms,
            },
            "metrics_listen": str(host.metrics[role]),
        }

    # Start and stop ----------------------------------------------------------------------------

    def start(self) -> None:
        """Start every process and apply the configuration."""
        for process in self.processes.values():
            process.start()
        self.apply(self.document_path, "site started")

    def apply(self, document_path: Path, note: str, revision: int = 0) -> str:
        """Apply a configuration document with the command-line tool and return its output.

        Retries for 15 s, then raises ``ClusterError``.
        """
        deadline = time.monotonic() + 15
        arguments = (
            "config",
            "apply",
            str(document_path),
            "--reviewed-revision",
            str(revision),
            "--author",
            "demo",
            "--note",
            note,
            "--store",
            str(self.store_address),
        )
        while True:
            try:
                return run_command(arguments)
            except ClusterError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(_POLL_SECONDS)

    def process(self, name: str) -> ManagedProcess:
        """Return a process by name, e.g. ``backend/ID``, ``entry/HOST`` or ``store``."""
        return self.processes[name]

    @property
    def entries(self) -> tuple[Address, ...]:
        """Return the addresses at which the entries accept callers."""
        return tuple(host.entry for host in self.hosts)

    def stop(self) -> None:
        """Stop the daemons, then the stand-ins; raise ``ClusterError`` unless all exit with 0."""
        failures = []
        for group in self._stop_order():
            for process in group:
                process.terminate()
            for process in group:
                code = process.wait(_STOP_TIMEOUT_SECONDS)
                if code != 0:
                    failures.append(f"{process.name}: exit {code}\n{process.log_tail()}")
        self.ports.release()
        if failures:
            raise ClusterError("\n".join(failures))

    def _stop_order(self) -> Iterable[list[ManagedProcess]]:
        daemons = [f"{role.value}/" for role in _ROLES_IN_STOP_ORDER]
        for prefix in (*daemons, "backend/", "relay", "store"):
            yield [
                process
                for name, process in self.processes.items()
                if name.startswith(prefix) and process.is_running
            ]


def _lay_out_hosts(
    configuration: Configuration, hosts_per_zone: int, ports: PortSource
) -> Iterator[HostAddresses]:
    for zone in configuration.zones:
        for index in range(hosts_per_zone):
            yield HostAddresses(
                HostId(f"{zone.name}-{index + 1}"),
                zone.name,
                ports.next_address(),
                ports.next_address(),
                ports.next_address(),
                {role: ports.next_address() for role in Role},
            )


def run_command(arguments: Iterable[str], environment: dict[str, str] | None = None) -> str:
    """Run the command-line tool and return its output; raise ``ClusterError`` if it fails."""
    done = subprocess.run(
        [sys.executable, "-m", "hickorywind.ui", *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, **(environment or {})},
        timeout=60,
    )
    if done.returncode != 0:
        raise ClusterError(f"hickorywind {' '.join(arguments)}: {done.stderr.strip()}")
    return done.stdout
