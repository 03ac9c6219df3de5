"""Builders of the PostgreSQL frontend messages that a pool sends itself."""

from __future__ import annotations

import struct

_PROTOCOL_VERSION = 196_608
_CANCEL_REQUEST_CODE = 80_877_102
_CANCEL_REQUEST_LENGTH_BYTES = 16
_LENGTH_BYTES = 4


def message(kind: bytes, payload: bytes) -> bytes:
    """Build a message from its type byte and payload."""
    return kind + struct.pack("!I", len(payload) + _LENGTH_BYTES) + payload


def cstring(value: str) -> bytes:
    """Encode a string with its terminating zero byte."""
    return value.encode() + b"\0"


def startup(user: str, database: str, application: str) -> bytes:
    """Build the StartupMessage of a connection."""
    options = {"user": user, "database": database, "application_name": application}
    pairs = b"".join(cstring(name) + cstring(value) for name, value in options.items())
    body = struct.pack("!I", _PROTOCOL_VERSION) + pairs + b"\0"
    return struct.pack("!I", len(body) + _LENGTH_BYTES) + body


def password(value: str) -> bytes:
    """Build the PasswordMessage that answers a request for a cleartext password."""
    return message(b"p", cstring(value))


def query(sql: str) -> bytes:
    """Build a Query message."""
    return message(b"Q", cstring(sql))


def close_statement(name: str) -> bytes:
    """Build a Close message for a prepared statement."""
    return message(b"C", b"S" + cstring(name))


def terminate() -> bytes:
    """Build a Terminate message, which closes a connection gracefully."""
    return message(b"X", b"")


def copy_fail(reason: str) -> bytes:
    """Build a CopyFail message; the proxy does not support COPY."""
    return message(b"f", cstring(reason))


def cancel_request(process_id: int, secret: bytes) -> bytes:
    """Build a CancelRequest for the statement that another connection runs."""
    length = _CANCEL_REQUEST_LENGTH_BYTES - _LENGTH_BYTES + len(secret)
    return struct.pack("!III", length, _CANCEL_REQUEST_CODE, process_id) + secret


def quote_literal(value: str) -> str:
    """Quote a string as an SQL literal; raise ``ValueError`` if it contains a zero byte."""
    if "\0" in value:
        raise ValueError("an SQL literal can't contain a zero byte")
    return "'" + value.replace("'", "''") + "'"
