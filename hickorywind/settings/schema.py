"""Schema of the settings file of a daemon process.

The settings contain the addresses, availability zone and peers of a process. Services are defined
in the accepted configuration instead.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from hickorywind.ids import AvailabilityZone, HostId, Region, Role


class LogFormat(Enum):
    """Format of log lines."""

    KEY_VALUE = "key_value"
    JSON = "json"


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of logging."""

    format: LogFormat = LogFormat.KEY_VALUE
    level: str = "info"


class ReadRouting(Enum):
    """Servers that run reads; ``PRIMARY`` alone is a baseline for measurements."""

    REPLICAS = "replicas"
    PRIMARY = "primary"


class QueueOrder(Enum):
    """Order of a backend server's queue; ``FIFO`` is a baseline for measurements."""

    RANKED = "ranked"
    FIFO = "fifo"


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the entry role; ``users_file`` names a YAML map of caller names to passwords."""

    listen: str
    users_file: str | None = None
    drain_timeout_ms: int = 10_000
    read_routing: ReadRouting = ReadRouting.REPLICAS


class PoolSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the pool role, which logs in to backend servers as ``backend_user``."""

    listen: str
    backend_user: str = "hickorywind"
    backend_password_file: str | None = None
    drain_timeout_ms: int = 10_000
    queue_order: QueueOrder = QueueOrder.RANKED


class ControllerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the controller role; ``seeds`` are addresses of some other controllers.

    ``fixed_failover_timeout_ms`` replaces the detection of failed primaries with a fixed timeout,
    as a baseline for measurements.
    """

    listen: str
    seeds: tuple[str, ...] = ()
    store: str = ""
    store_prefix: str = "/hickorywind"
    platform_prefix: str = "/platform"
    store_timeout_ms: int = 1_000
    backend_user: str = "hickorywind_control"
    backend_password_file: str | None = None
    fixed_failover_timeout_ms: int | None = None


class DaemonSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Contents of a settings file.

    ``role`` selects the role of this process. Sections of all three roles are allowed, so that the
    processes of a host can share a file. ``controllers`` are the addresses to subscribe to, in
    order of preference (the host's own first); controllers ignore it. ``keys_file`` names a YAML
    file with the CURVE key pair of the installation.
    """

    host: HostId
    availability_zone: AvailabilityZone
    region: Region
    role: Role
    controllers: tuple[str, ...] = ()
    entry: EntrySettings | None = None
    pool: PoolSettings | None = None
    controller: ControllerSettings | None = None
    metrics_listen: str | None = None
    keys_file: str | None = None
    log: LogSettings = LogSettings()
