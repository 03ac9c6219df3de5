"""Builders of extended-query protocol messages for tests."""

import struct

from hickorywind.pool.frontend import cstring, message


def parse(name: str, sql: str) -> bytes:
    return message(b"P", cstring(name) + cstring(sql) + struct.pack("!H", 0))


def bind(name: str = "", values: tuple[str, ...] = ()) -> bytes:
    payload = cstring("") + cstring(name) + struct.pack("!HH", 0, len(values))
    for value in values:
        data = value.encode()
        payload += struct.pack("!I", len(data)) + data
    return message(b"B", payload + struct.pack("!H", 0))


def describe(kind: str = "P", name: str = "") -> bytes:
    return message(b"D", kind.encode() + cstring(name))


def execute() -> bytes:
    return message(b"E", cstring("") + struct.pack("!I", 0))


def close(name: str) -> bytes:
    return message(b"C", b"S" + cstring(name))


SYNC = message(b"S", b"")
FLUSH = message(b"H", b"")
