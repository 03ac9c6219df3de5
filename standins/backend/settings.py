"""Settings of one stand-in backend server."""

from __future__ import annotations

from pathlib import Path

import msgspec
import yaml

from hickorywind.ids import Address, BackendId, ServiceName


class Peer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Instance of the group and the address of its replication port."""

    backend: BackendId
    address: str

    @property
    def endpoint(self) -> Address:
        """Return the parsed address."""
        return Address.from_text(self.address)


class BackendSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one instance; ``peers`` may include the instance itself."""

    backend: BackendId
    service: ServiceName
    listen: str
    replication_listen: str
    peers: tuple[Peer, ...] = ()
    slots: int = 3
    connections: int = 20
    connect_time_ms: float = 12
    statement_time_ms: float = 0
    initial_primary: bool = False
    apply_lag_ms: float = 0
    ship_lag_ms: float = 0
    heartbeat_ms: float = 50
    data_dir: str | None = None
    password: str | None = None

    @classmethod
    def from_file(cls, path: Path) -> BackendSettings:
        """Parse a YAML file; raise ``msgspec.ValidationError`` for wrong keys or types."""
        return msgspec.convert(yaml.safe_load(path.read_text()), cls)

    @property
    def other_peers(self) -> tuple[Peer, ...]:
        """Return the other instances of the group."""
        return tuple(peer for peer in self.peers if peer.backend != self.backend)
