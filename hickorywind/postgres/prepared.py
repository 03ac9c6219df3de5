"""Give prepared statements names that are equal where their definitions are.

Backend connections are shared, so a caller's own names can't be used there. Each definition gets
a name derived from a hash of its text and parameter types; the same definition of any session is
then prepared once per backend connection.
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
    """Hold what a session knows of one of its prepared statements."""

    statement: Statement
    hints: Hints
    definition: PreparedStatement


def malformed_message_error(reason: str) -> HickorywindError:
    """Build the error for a frontend message that can't be decoded."""
    return HickorywindError(Result(ResultCode.MALFORMED_MESSAGE, Outcome.NOT_RUN, reason))


def decode_parse(frame: Frame) -> tuple[str, SessionPreparedStatement]:
    """Decode a Parse message into the caller's name and the statement.

    Raise ``HickorywindError`` with ``MALFORMED_MESSAGE`` or ``BAD_HINT``.
    """
    try:
        message = Parse.decode(frame.payload)
    except (PygwireError, UnicodeDecodeError, struct.error) as error:
        raise malformed_message_error(f"Parse refused: {error}") from error
    hints, text = split_comment(message.query)
    name = derive_backend_name(text, message.param_types)
    parse_frame = Parse(name, text, message.param_types).to_wire()
    definition = PreparedStatement(name, parse_frame)
    return message.statement, SessionPreparedStatement(classify(text), hints, definition)


def derive_backend_name(text: str, parameter_types: list[int]) -> str:
    """Derive the backend name of a definition."""
    types = ",".join(str(oid) for oid in parameter_types)
    # Sessions share what has the same name, so nobody may be able to construct a collision.
    digest = hashlib.blake2b(f"{types}\0{text}".encode(), digest_size=_DIGEST_BYTES)
    return _NAME_PREFIX + digest.hexdigest()


def read_name(payload: bytes, start: int) -> tuple[bytes, int]:
    """Return a zero-terminated name and the offset behind it; raise ``MALFORMED_MESSAGE``."""
    end = payload.find(b"\0", start)
    if end < 0:
        raise malformed_message_error("name is not terminated")
    return payload[start:end], end + 1


def decode_name(name: bytes) -> str:
    """Decode a statement's or portal's name; raise ``MALFORMED_MESSAGE``."""
    try:
        return name.decode()
    except UnicodeDecodeError:
        raise malformed_message_error("name is not UTF-8") from None


def read_bind_names(frame: Frame) -> tuple[str, str]:
    """Return the portal and the statement that a Bind message names."""
    payload = bytes(frame.payload)
    portal, start = read_name(payload, 0)
    statement, _ = read_name(payload, start)
    return decode_name(portal), decode_name(statement)


def replace_bind_statement(frame: Frame, name: str) -> bytes:
    """Return a Bind message for another statement name, all else as it was."""
    payload = bytes(frame.payload)
    portal, start = read_name(payload, 0)
    _, end = read_name(payload, start)
    return encode_message(b"B", portal + b"\0" + name.encode() + b"\0" + payload[end:])


def read_target(frame: Frame) -> tuple[bytes, str]:
    """Return kind (``S`` or ``P``) and name of a Describe or Close message."""
    payload = bytes(frame.payload)
    kind = payload[:1]
    if kind not in (b"S", b"P"):
        raise malformed_message_error("expected a statement or a portal")
    name, _ = read_name(payload, 1)
    return kind, decode_name(name)


def encode_describe_statement(name: str) -> bytes:
    """Build a Describe message for a statement."""
    return encode_message(b"D", b"S" + name.encode() + b"\0")


def encode_message(kind: bytes, payload: bytes) -> bytes:
    """Build a whole message of a payload."""
    return kind + _LENGTH.pack(len(payload) + _LENGTH.size) + payload
