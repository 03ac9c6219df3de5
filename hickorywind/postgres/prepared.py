"""Mapping of callers' prepared statements to names shared by all sessions.

Sessions share backend connections, so a caller's own statement names could collide there. The
backend name is derived from a hash of the SQL text and parameter types, so that equal statements
of all sessions are prepared only once per backend connection.
"""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass

from pygwire.exceptions import PygwireError
from pygwire.messages import Parse

from hickorywind.postgres.classifier import classify
from hickorywind.postgres.frames import Frame
from hickorywind.postgres.hints import Hints, split_comment
from hickorywind.postgres.statementkinds import (
    Statement,
)
from hickorywind.protocol.messages import PreparedStatement
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

_NAME_PREFIX = "hw_"
_DIGEST_BYTES = 16
_LENGTH = struct.Struct("!I")


@dataclass(frozen=True)
class SessionPreparedStatement:
    """A session's prepared statement: its classification, hints and backend definition."""

    statement: Statement
    hints: Hints
    definition: PreparedStatement


def malformed_message_error(reason: str) -> HickorywindError:
    """Return the error for a frontend message that can't be decoded."""
    return HickorywindError(Result(ResultCode.MALFORMED_MESSAGE, Outcome.NOT_RUN, reason))


def decode_parse(frame: Frame) -> tuple[str, SessionPreparedStatement]:
    """Decode a Parse message into the caller's statement name and the prepared statement.

    Raise ``HickorywindError`` with ``MALFORMED_MESSAGE`` or ``BAD_HINT``.
    """
    try:
        message = Parse.decode(frame.payload)
    except (PygwireError, UnicodeDecodeError, struct.error) as error:
        raise malformed_message_error(f"invalid Parse message: {error}") from error
    hints, text = split_comment(message.query)
    name = derive_backend_name(text, message.param_types)
    parse_frame = Parse(name, text, message.param_types).to_wire()
    definition = PreparedStatement(name, parse_frame)
    return message.statement, SessionPreparedStatement(classify(text), hints, definition)


def derive_backend_name(text: str, parameter_types: list[int]) -> str:
    """Return the backend name for SQL text and parameter type OIDs."""
    types = ",".join(str(oid) for oid in parameter_types)
    # Sessions share statements of the same name, so the hash must be collision-resistant.
    digest = hashlib.blake2b(f"{types}\0{text}".encode(), digest_size=_DIGEST_BYTES)
    return _NAME_PREFIX + digest.hexdigest()


def read_name(payload: bytes, start: int) -> tuple[bytes, int]:
    """Return a zero-terminated name and the offset after its terminator.

    Raise ``HickorywindError`` with ``MALFORMED_MESSAGE``."""
    end = payload.find(b"\0", start)
    if end < 0:
        raise malformed_message_error("name is not terminated")
    return payload[start:end], end + 1


def decode_name(name: bytes) -> str:
    """Decode the name of a statement or portal; raise ``MALFORMED_MESSAGE``."""
    try:
        return name.decode()
    except UnicodeDecodeError:
        raise malformed_message_error("name is not UTF-8") from None


def read_bind_names(frame: Frame) -> tuple[str, str]:
    """Return the portal name and the statement name of a Bind message."""
    payload = bytes(frame.payload)
    portal, start = read_name(payload, 0)
    statement, _ = read_name(payload, start)
    return decode_name(portal), decode_name(statement)


def replace_bind_statement(frame: Frame, name: str) -> bytes:
    """Return a Bind message with its statement name replaced and all other bytes unchanged."""
    payload = bytes(frame.payload)
    portal, start = read_name(payload, 0)
    _, end = read_name(payload, start)
    return encode_message(b"B", portal + b"\0" + name.encode() + b"\0" + payload[end:])


def read_target(frame: Frame) -> tuple[bytes, str]:
    """Return the target type (``S`` or ``P``) and name of a Describe or Close message."""
    payload = bytes(frame.payload)
    kind = payload[:1]
    if kind not in (b"S", b"P"):
        raise malformed_message_error("target must be a statement (S) or a portal (P)")
    name, _ = read_name(payload, 1)
    return kind, decode_name(name)


def encode_describe_statement(name: str) -> bytes:
    """Encode a Describe message for a prepared statement."""
    return encode_message(b"D", b"S" + name.encode() + b"\0")


def encode_message(kind: bytes, payload: bytes) -> bytes:
    """Encode a message from its type byte and payload."""
    return kind + _LENGTH.pack(len(payload) + _LENGTH.size) + payload
