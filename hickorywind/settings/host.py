"""Settings of a host that runs all roles in one process."""

from __future__ import annotations

import ipaddress
from pathlib import Path

import msgspec

from hickorywind.ids import Address, AvailabilityZone, HostId, Region
from hickorywind.settings.load import check_log_level, make_settings_error, read_text
from hickorywind.settings.schema import LogSettings
from hickorywind.util.addresses import parse_address
from hickorywind.util.documents import DocumentError, convert, read_yaml

_STOP_GRACE_MIN_SECONDS = 1.0  # less leaves no time to finish running requests


class HostSettings(msgspec.Struct, frozen=True):
    """Contents of the settings file of a host process; unknown keys are ignored.

    ``stop_grace_seconds`` is the time from SIGTERM until the process is killed.
    ``backend_leaving_ms`` is how long a backend server continues to serve after it is marked as
    leaving. ``log_bytes_per_second`` limits the volume of the logs. ``status_listen`` is a
    loopback address where the command line reads the host's state; empty for none.
    ``store_watchers_per_zone`` is how many hosts of an availability zone watch the store for the
    others in a large fleet; 0 means that every host does. ``share_reads`` lets one host in the zone
    of each backend server run the reads of all hosts, where these outnumber its connections.
    ``quota_slack_operations`` is what the deployment accepts beyond the quota of a client account.
    """

    host: HostId
    availability_zone: AvailabilityZone
    region: Region
    callers_listen: str
    readiness_listen: str
    peers_listen: str
    metrics_listen: str
    store: str
    control: str
    zones: dict[AvailabilityZone, Region]
    stop_grace_seconds: float = 6.0
    backend_leaving_ms: int = 7_000
    log_bytes_per_second: int = 100_000
    status_listen: str = ""
    store_watchers_per_zone: int = 0
    share_reads: bool = False
    quota_slack_operations: int = 0
    log: LogSettings = LogSettings()

    def address(self, key: str) -> Address:
        """Return the parsed address in the setting ``key``; raise ``ValueError`` if invalid."""
        return parse_address(getattr(self, key))


_ADDRESS_KEYS = (
    "callers_listen",
    "readiness_listen",
    "peers_listen",
    "metrics_listen",
    "store",
    "control",
)


def load_host_settings(path: str | Path) -> HostSettings:
    """Read and validate a settings file; raise ``UserError`` that names file and key."""
    try:
        settings = convert(read_yaml(read_text(path)), HostSettings)
        _check(settings)
    except DocumentError as error:
        raise make_settings_error(path, error) from None
    return settings


def _check(settings: HostSettings) -> None:
    for key in _ADDRESS_KEYS:
        _check_address(settings, key)
    if settings.status_listen:
        _check_status_address(settings)
    if settings.availability_zone not in settings.zones:
        raise DocumentError("zones", "does not contain the host's own availability zone")
    if settings.stop_grace_seconds < _STOP_GRACE_MIN_SECONDS:
        raise DocumentError("stop_grace_seconds", f"expected at least {_STOP_GRACE_MIN_SECONDS}")
    if settings.backend_leaving_ms <= 0:
        raise DocumentError("backend_leaving_ms", "expected a positive number")
    if settings.log_bytes_per_second <= 0:
        raise DocumentError("log_bytes_per_second", "expected a positive number")
    for key in ("store_watchers_per_zone", "quota_slack_operations"):
        if getattr(settings, key) < 0:
            raise DocumentError(key, "expected a number that is not negative")
    check_log_level(settings.log)


def _check_address(settings: HostSettings, key: str) -> Address:
    try:
        return settings.address(key)
    except ValueError as error:
        raise DocumentError(key, f"expected IP:PORT ({error})") from None


def _check_status_address(settings: HostSettings) -> None:
    address = _check_address(settings, "status_listen")
    if not ipaddress.IPv4Address(address.host).is_loopback:
        raise DocumentError(
            "status_listen", "expected a loopback address (connections to it are not authenticated)"
        )
