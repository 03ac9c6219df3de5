"""Decoding of the packets that open a connection, which have no type byte."""

from __future__ import annotations

import struct
from dataclasses import dataclass

from pygwire.constants import StartupRequestCode
from pygwire.exceptions import PygwireError
from pygwire.messages import CancelRequest, GSSEncRequest, SSLRequest, StartupMessage

from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

STARTUP_LIMIT_BYTES = 10_000
LENGTH_BYTES = 4
ENCRYPTION_REFUSED = b"N"

_LENGTH = struct.Struct("!I")
_PROTOCOL_MAJOR = 3
_PACKET_MIN_BYTES = 8
_CANCEL_HEADER_BYTES = 12


@dataclass(frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest; this version refuses both."""


@dataclass(frozen=True)
class CancellationRequest:
    """CancelRequest for the query of another connection of the same entry."""

    process_id: int
    secret_key: bytes


@dataclass(frozen=True)
class StartupParameters:
    """Parameters of a StartupMessage.

    ``minor_version`` is the minor protocol version, 0 for PostgreSQL 7.4 to 17.
    """

    values: dict[str, str]
    minor_version: int


StartupPacket = EncryptionRequest | CancellationRequest | StartupParameters


def parse_packet_length(header: bytes) -> int:
    """Return a packet's total length in bytes, the length field included.

    Raise ``HickorywindError`` with ``BAD_STARTUP`` for a length outside the allowed range."""
    (length,) = _LENGTH.unpack(header)
    if length < _PACKET_MIN_BYTES or length > STARTUP_LIMIT_BYTES:
        raise _bad_startup(f"startup packet announces {length} bytes")
    return length


def decode_packet(payload: bytes) -> StartupPacket:
    """Decode a packet that lacks its length field; raise ``BAD_STARTUP``."""
    (code,) = _LENGTH.unpack_from(payload)
    view = memoryview(payload)
    try:
        match code:
            case StartupRequestCode.SSL_REQUEST:
                SSLRequest.decode(view)
                return EncryptionRequest()
            case StartupRequestCode.GSSENC_REQUEST:
                GSSEncRequest.decode(view)
                return EncryptionRequest()
            case StartupRequestCode.CANCEL_REQUEST:
                return _decode_cancel(view)
            case _:
                return _decode_parameters(view, code)
    except (PygwireError, UnicodeDecodeError, struct.error) as error:
        raise _bad_startup(f"invalid startup packet: {error}") from error


def _decode_cancel(payload: memoryview) -> CancellationRequest:
    if len(payload) < _CANCEL_HEADER_BYTES:
        raise _bad_startup("cancel request is too short")
    message = CancelRequest.decode(payload)
    return CancellationRequest(message.process_id, message.secret_key)


def _decode_parameters(payload: memoryview, code: int) -> StartupParameters:
    if code >> 16 != _PROTOCOL_MAJOR:
        raise _bad_startup(f"protocol version {code >> 16}.{code & 0xFFFF} is not known")
    if payload[-1] != 0:
        raise _bad_startup("startup packet is not terminated")
    message = StartupMessage.decode(payload)
    return StartupParameters(message.params, code & 0xFFFF)


def _bad_startup(reason: str) -> HickorywindError:
    return HickorywindError(Result(ResultCode.BAD_STARTUP, Outcome.NOT_RUN, reason))
