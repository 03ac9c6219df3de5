"""Structured logging with one event per line.

Modules log with ``logger.info("event_name", extra={"key": value})``. The line is key=value pairs by
default and a JSON object by a setting; both carry the same keys.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from enum import Enum
from typing import Any, TextIO

from pythonjsonlogger.json import JsonFormatter

from hickorywind.ids import HostId, Role
from hickorywind.settings.schema import LogFormat, LogSettings

REDACTED = "(redacted)"
_SECRET_PARTS = ("password", "passwd", "passphrase", "secret", "token", "credential", "private")
_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
    "taskName",
}
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}
_QUOTED_CHARACTERS = frozenset(' ="\\')


def _is_secret(key: str) -> bool:
    lowered = key.lower()
    return any(part in lowered for part in _SECRET_PARTS)


def _redact(key: str, value: Any) -> Any:
    if _is_secret(key):
        return REDACTED
    if isinstance(value, Mapping):
        return {str(inner): _redact(str(inner), item) for inner, item in value.items()}
    return value.value if isinstance(value, Enum) else value


class EventFields:
    """Extractor of the key-value pairs of a log record, in output order."""

    def __init__(self, role: Role | None = None, host: HostId | None = None) -> None:
        self._process_fields: dict[str, str] = {}
        if host is not None:
            self._process_fields["host"] = host
        if role is not None:
            self._process_fields["role"] = role.value

    def collect(self, record: logging.LogRecord) -> dict[str, Any]:
        """Return the pairs of a record; values are redacted where the key suggests a secret."""
        fields: dict[str, Any] = {
            "event": record.getMessage(),
            "level": record.levelname.lower(),
            "ts": _timestamp(record.created),
            **self._process_fields,
            "logger": record.name,
        }
        for key, value in vars(record).items():
            if key not in _STANDARD_ATTRIBUTES:
                # Extra keys must not overwrite the standard ones, such as the host.
                name = f"extra_{key}" if key in fields else key
                fields[name] = _redact(key, value)
        if record.exc_info and record.exc_info[0] is not None:
            fields["trace"] = logging.Formatter().formatException(record.exc_info)
        return fields


def _timestamp(created: float) -> str:
    instant = datetime.fromtimestamp(created, UTC)
    return instant.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class KeyValueFormatter(logging.Formatter):
    """Formatter of records as ``key=value`` pairs on one line."""

    def __init__(self, fields: EventFields) -> None:
        super().__init__()
        self._fields = fields

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line."""
        pairs = self._fields.collect(record).items()
        return " ".join(f"{_render_key(key)}={render_value(value)}" for key, value in pairs)


def _render_key(key: str) -> str:
    if _needs_no_quotes(key):
        return key
    sanitized = "".join(character if _needs_no_quotes(character) else "_" for character in key)
    return sanitized or "_"


def _needs_no_quotes(text: str) -> bool:
    # Of the spaces only U+0020 is printable, which is one of the quoted characters.
    return bool(text) and text.isprintable() and _QUOTED_CHARACTERS.isdisjoint(text)


def render_value(value: Any) -> str:
    """Return a value as text, quoted and escaped where it would otherwise break the line format."""
    text = _to_text(value)
    if _needs_no_quotes(text):
        return text
    return '"' + "".join(_escape(character) for character in text) + '"'


def _to_text(value: Any) -> str:
    match value:
        case None:
            return "none"
        case bool():
            return "true" if value else "false"
        case float():
            return f"{value:.6g}"
        case bytes():
            return value.hex()
        case _:
            return str(value)


def _escape(character: str) -> str:
    if character in _ESCAPES:
        return _ESCAPES[character]
    if character.isprintable():
        return character
    return f"\\u{ord(character):04x}"


class JsonEventFormatter(JsonFormatter):
    """Formatter of records as JSON objects with the same keys as the key=value line."""

    def __init__(self, fields: EventFields) -> None:
        super().__init__(json_default=str)
        self._fields = fields

    def add_fields(
        self, log_data: dict[str, Any], record: logging.LogRecord, message_dict: dict[str, Any]
    ) -> None:
        """Fill the object that python-json-logger writes."""
        log_data.update(self._fields.collect(record))

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Remove the keys that python-json-logger adds to the common ones."""
        return {key: value for key, value in log_data.items() if key not in _STANDARD_ATTRIBUTES}


def make_formatter(settings: LogSettings, fields: EventFields) -> logging.Formatter:
    """Return the formatter for the configured log format."""
    match settings.format:
        case LogFormat.KEY_VALUE:
            return KeyValueFormatter(fields)
        case LogFormat.JSON:
            return JsonEventFormatter(fields)


def configure_logging(
    settings: LogSettings, role: Role, host: HostId, stream: TextIO | None = None
) -> None:
    """Configure the root logger to write to ``stream`` (standard error by default)."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(make_formatter(settings, EventFields(role, host)))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
