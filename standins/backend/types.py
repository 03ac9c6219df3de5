"""Conversion of values between sqlite and PostgreSQL's text and binary formats."""

from __future__ import annotations

import struct
import uuid
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

from standins.backend.errors import INVALID_TEXT, SqlError
from standins.backend.log import SqlValue

BOOL, BYTEA, INT8, INT2, INT4, TEXT = 16, 17, 20, 21, 23, 25
FLOAT4, FLOAT8, UNKNOWN, VARCHAR = 700, 701, 705, 1043
TIMESTAMP, TIMESTAMPTZ, UUID = 1114, 1184, 2950

TEXT_FORMAT = 0
BINARY_FORMAT = 1

_INTEGER_FORMATS = {INT2: "!h", INT4: "!i", INT8: "!q"}
_FLOAT_FORMATS = {FLOAT4: "!f", FLOAT8: "!d"}
_SIZES = {BOOL: 1, INT2: 2, INT4: 4, INT8: 8, FLOAT4: 4, FLOAT8: 8}
_SIZES |= {TIMESTAMP: 8, TIMESTAMPTZ: 8, UUID: 16}
_EPOCH = datetime(2000, 1, 1, tzinfo=UTC)
_INT16 = struct.Struct("!h")
_INT32 = struct.Struct("!i")

_OIDS = {
    "bool": BOOL,
    "boolean": BOOL,
    "smallint": INT2,
    "int2": INT2,
    "int": INT4,
    "integer": INT4,
    "int4": INT4,
    "serial": INT4,
    "bigint": INT8,
    "int8": INT8,
    "bigserial": INT8,
    "real": FLOAT4,
    "float4": FLOAT4,
    "double": FLOAT8,
    "double precision": FLOAT8,
    "float": FLOAT8,
    "float8": FLOAT8,
    "numeric": FLOAT8,
    "decimal": FLOAT8,
    "bytea": BYTEA,
    "blob": BYTEA,
    "varchar": VARCHAR,
    "character varying": VARCHAR,
    "timestamp": TIMESTAMP,
    "timestamp without time zone": TIMESTAMP,
    "timestamptz": TIMESTAMPTZ,
    "timestamp with time zone": TIMESTAMPTZ,
    "uuid": UUID,
}


@dataclass(frozen=True, slots=True)
class Column:
    """Result column with its name and type OID."""

    name: str
    type_oid: int

    @property
    def type_size(self) -> int:
        """Return the size of the type in bytes, or -1 if it is variable."""
        return _SIZES.get(self.type_oid, -1)


def type_oid_of(type_name: str) -> int | None:
    """Return the type OID of a declaration such as ``varchar(20)``, or None if it is empty."""
    base = " ".join(type_name.lower().partition("(")[0].split())
    if not base:
        return None
    return _OIDS.get(base, TEXT)


def type_oid_of_value(value: SqlValue) -> int | None:
    """Return the type OID for a value, or None for NULL."""
    match value:
        case None:
            return None
        case int():
            return INT4 if -(2**31) <= value < 2**31 else INT8
        case float():
            return FLOAT8
        case bytes():
            return BYTEA
    return TEXT


def decode_parameter(data: bytes | None, type_oid: int, wire_format: int) -> SqlValue:
    """Decode a bound parameter to a value for sqlite; raise ``SqlError`` if it is invalid."""
    if data is None:
        return None
    try:
        if wire_format == BINARY_FORMAT:
            return _decode_binary(data, type_oid)
        return _decode_text(data.decode(), type_oid)
    except (ValueError, struct.error) as error:
        raise SqlError(INVALID_TEXT, f"invalid input syntax for type {type_oid}") from error


def _decode_text(text: str, type_oid: int) -> SqlValue:
    if type_oid in _INTEGER_FORMATS:
        return int(text)
    if type_oid in _FLOAT_FORMATS:
        return float(text)
    if type_oid == BOOL:
        return int(text.lower() in ("t", "true", "1", "on", "yes", "y"))
    if type_oid == BYTEA:
        return bytes.fromhex(text[2:]) if text.startswith("\\x") else text.encode()
    return text


def _decode_binary(data: bytes, type_oid: int) -> SqlValue:
    if type_oid in _INTEGER_FORMATS:
        return struct.unpack(_INTEGER_FORMATS[type_oid], data)[0]
    if type_oid in _FLOAT_FORMATS:
        return struct.unpack(_FLOAT_FORMATS[type_oid], data)[0]
    match type_oid:
        case 16:
            return int(data != b"\0")
        case 17:
            return data
        case 1114 | 1184:
            (microseconds,) = struct.unpack("!q", data)
            return _timestamp_text(_EPOCH + timedelta(microseconds=microseconds), type_oid)
        case 2950:
            return str(uuid.UUID(bytes=data))
    return data.decode()


def _timestamp_text(instant: datetime, type_oid: int) -> str:
    text = instant.strftime("%Y-%m-%d %H:%M:%S.%f")
    return text + "+00" if type_oid == TIMESTAMPTZ else text


def encode_value(value: SqlValue, type_oid: int, wire_format: int) -> bytes:
    """Encode a value other than NULL for the wire; raise ``SqlError`` if it does not fit."""
    try:
        if wire_format == BINARY_FORMAT:
            return _encode_binary(value, type_oid)
        return _encode_text(value, type_oid)
    except (ValueError, TypeError, struct.error) as error:
        raise SqlError(INVALID_TEXT, f"value {value!r} does not fit type {type_oid}") from error


def _encode_text(value: SqlValue, type_oid: int) -> bytes:
    if type_oid == BOOL:
        return b"t" if value else b"f"
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    if isinstance(value, float):
        return repr(value).removesuffix(".0").encode()
    return str(value).encode()


def _encode_binary(value: SqlValue, type_oid: int) -> bytes:
    if type_oid in _INTEGER_FORMATS:
        return struct.pack(_INTEGER_FORMATS[type_oid], int(value))
    if type_oid in _FLOAT_FORMATS:
        return struct.pack(_FLOAT_FORMATS[type_oid], float(value))
    match type_oid:
        case 16:
            return b"\1" if value else b"\0"
        case 1114 | 1184:
            return struct.pack("!q", _microseconds(str(value)))
        case 2950:
            return uuid.UUID(str(value)).bytes
    return value if isinstance(value, bytes) else str(value).encode()


def _microseconds(text: str) -> int:
    instant = datetime.fromisoformat(text)
    if instant.tzinfo is None:
        instant = instant.replace(tzinfo=UTC)
    return (instant - _EPOCH) // timedelta(microseconds=1)


def example_value(type_oid: int) -> SqlValue:
    """Return an arbitrary value of a type, used to infer the types of expressions."""
    if type_oid in _INTEGER_FORMATS or type_oid == BOOL:
        return 1
    if type_oid in _FLOAT_FORMATS:
        return 1.0
    return b"" if type_oid == BYTEA else "1"


def expand_formats(requested: Sequence[int], count: int) -> list[int]:
    """Return one format code per column or parameter from the codes of a Bind message."""
    if not requested:
        return [TEXT_FORMAT] * count
    if len(requested) == 1:
        return list(requested) * count
    return list(requested)


def encode_rows(
    rows: Sequence[tuple[SqlValue, ...]], columns: Sequence[Column], formats: Sequence[int]
) -> bytes:
    """Encode rows as DataRow messages; raise ``SqlError`` if a value does not fit its type."""
    output = bytearray()
    kinds = [(column.type_oid, code) for column, code in zip(columns, formats, strict=True)]
    count = _INT16.pack(len(columns))
    for row in rows:
        payload = bytearray(count)
        for value, (type_oid, code) in zip(row, kinds, strict=True):
            if value is None:
                payload += _INT32.pack(-1)
                continue
            data = encode_value(value, type_oid, code)
            payload += _INT32.pack(len(data))
            payload += data
        output += b"D" + _INT32.pack(len(payload) + 4) + payload
    return bytes(output)
