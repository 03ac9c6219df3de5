"""Loading and validation of the settings file of a daemon process."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from pathlib import Path

from hickorywind.ids import Address, Role
from hickorywind.results import ResultCode, UserError
from hickorywind.settings.schema import (
    ControllerSettings,
    DaemonSettings,
    EntrySettings,
    LogSettings,
    PoolSettings,
)
from hickorywind.util.addresses import parse_address
from hickorywind.util.documents import DocumentError, convert, read_yaml

_LOG_LEVELS = ("debug", "info", "warning", "error")
_WILDCARD_ADDRESS = "0.0.0.0"


def load_settings(path: str | Path) -> DaemonSettings:
    """Read and validate a settings file.

    Raise ``UserError`` with ``SETTINGS_INVALID``; its one-line text names the file, the key and
    the expected value.
    """
    try:
        settings = convert(read_yaml(read_text(path)), DaemonSettings)
        check_settings(settings)
    except DocumentError as error:
        raise make_settings_error(path, error) from None
    return settings


def read_text(path: str | Path) -> str:
    """Return the text of a file; raise ``UserError`` with ``SETTINGS_INVALID`` on failure."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except UnicodeDecodeError:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: is not UTF-8 text") from None
    except OSError as error:
        raise UserError(ResultCode.SETTINGS_INVALID, f"{path}: {error.strerror}") from None


def make_settings_error(path: str | Path, error: DocumentError) -> UserError:
    """Return the ``UserError`` for a problem in a settings file."""
    return UserError(ResultCode.SETTINGS_INVALID, f"{path}: {error}")


def check_settings(settings: DaemonSettings) -> None:
    """Raise ``DocumentError`` for invalid values that have the right type."""
    for key in ("host", "availability_zone", "region"):
        _check_name(key, getattr(settings, key))
    if getattr(settings, settings.role.value) is None:
        raise DocumentError(
            settings.role.value, f"section is required for role {settings.role.value}"
        )
    for index, text in enumerate(settings.controllers):
        _check_address(f"controllers[{index}]", text)
    _check_has_controllers(settings)
    _check_entry(settings.entry)
    _check_pool(settings.pool)
    _check_controller(settings.controller)
    _check_metrics_address(settings.metrics_listen)
    check_log_level(settings.log)


def check_log_level(log: LogSettings) -> None:
    """Raise ``DocumentError`` for a log level that does not exist."""
    if log.level not in _LOG_LEVELS:
        raise DocumentError("log.level", f"expected one of {', '.join(_LOG_LEVELS)}")


def _check_name(key: str, value: str) -> None:
    if not value or any(character.isspace() or character == "/" for character in value):
        raise DocumentError(key, "expected a name without spaces or slashes")


def _check_has_controllers(settings: DaemonSettings) -> None:
    if settings.role is not Role.CONTROLLER and not settings.controllers:
        raise DocumentError("controllers", "expected at least one address, IP:PORT")


def _check_entry(entry: EntrySettings | None) -> None:
    if entry is None:
        return
    _check_address("entry.listen", entry.listen)
    _check_positive("entry.drain_timeout_ms", entry.drain_timeout_ms)


def _check_pool(pool: PoolSettings | None) -> None:
    if pool is None:
        return
    _check_advertised_address("pool.listen", pool.listen)
    _check_positive("pool.drain_timeout_ms", pool.drain_timeout_ms)


def _check_controller(controller: ControllerSettings | None) -> None:
    if controller is None:
        return
    _check_advertised_address("controller.listen", controller.listen)
    for key, text in _outgoing_addresses(controller):
        _check_address(key, text)
    _check_positive("controller.store_timeout_ms", controller.store_timeout_ms)
    if controller.fixed_failover_timeout_ms is not None:
        _check_positive(
            "controller.fixed_failover_timeout_ms", controller.fixed_failover_timeout_ms
        )
    for key in ("store_prefix", "platform_prefix"):
        _check_prefix(f"controller.{key}", getattr(controller, key))


def _outgoing_addresses(controller: ControllerSettings) -> Iterator[tuple[str, str]]:
    for index, seed in enumerate(controller.seeds):
        yield f"controller.seeds[{index}]", seed
    if controller.store:
        yield "controller.store", controller.store


def _check_prefix(key: str, prefix: str) -> None:
    if not prefix.startswith("/") or prefix.endswith("/"):
        raise DocumentError(key, "expected a key prefix such as /hickorywind, without a trailing /")


def _check_metrics_address(text: str | None) -> None:
    if text is None:
        return
    address = _check_address("metrics_listen", text)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise DocumentError("metrics_listen", "expected a loopback address, e.g. 127.0.0.1:9100")


def _check_advertised_address(key: str, text: str) -> None:
    if _check_address(key, text).host == _WILDCARD_ADDRESS:
        raise DocumentError(key, "expected the address that peers connect to, not 0.0.0.0")


def _check_address(key: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        raise DocumentError(key, "expected IP:PORT, e.g. 10.0.0.7:6432") from None


def _check_positive(key: str, value: int) -> None:
    if value <= 0:
        raise DocumentError(key, "expected a positive int (in milliseconds)")
