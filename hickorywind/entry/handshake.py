"""Startup phase of a caller's connection: startup packets, authentication, parameter status."""

from __future__ import annotations

import asyncio
import hmac
import struct
from collections.abc import Mapping
from dataclasses import dataclass

from pygwire.constants import StartupRequestCode
from pygwire.exceptions import PygwireError
from pygwire.messages import (
    AuthenticationCleartextPassword,
    AuthenticationOk,
    BackendKeyData,
    NegotiateProtocolVersion,
    PasswordMessage,
)

from hickorywind.postgres.answers import parameter_status
from hickorywind.postgres.startup import (
    ENCRYPTION_REFUSED,
    LENGTH_BYTES,
    CancellationRequest,
    EncryptionRequest,
    StartupParameters,
    decode_packet,
    parse_packet_length,
)
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

_MAX_ENCRYPTION_REQUESTS = 2
_MAX_PASSWORD_MESSAGE_BYTES = 1_024
_HEADER = struct.Struct("!cI")

# Values as a PostgreSQL server reports them; callers need them before a server is chosen.
_DEFAULT_PARAMETERS = {
    "server_version": "15.0 (hickorywind)",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
    "in_hot_standby": "off",
    "default_transaction_read_only": "off",
}


@dataclass(frozen=True)
class CancelKey:
    """Key that identifies a session in a cancel request; both parts are random."""

    process_id: int
    secret_key: bytes


async def read_startup(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> StartupParameters | CancellationRequest:
    """Return the startup or cancel packet of a caller; refuse encryption requests before it.

    Raise ``HickorywindError`` for a malformed packet and ``IncompleteReadError`` for a connection
    that ends early.
    """
    for _ in range(_MAX_ENCRYPTION_REQUESTS + 1):
        length = parse_packet_length(await reader.readexactly(LENGTH_BYTES))
        packet = decode_packet(await reader.readexactly(length - LENGTH_BYTES))
        match packet:
            case EncryptionRequest():
                writer.write(ENCRYPTION_REFUSED)
            case _:
                return packet
    raise _refusal(ResultCode.BAD_STARTUP, "too many encryption requests")


async def authenticate(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    user: str,
    users: Mapping[str, str] | None,
) -> None:
    """Request and check the password if ``users`` is given; raise ``AUTHENTICATION_FAILED``."""
    if users is None:
        return
    writer.write(AuthenticationCleartextPassword().to_wire())
    password = await _read_password(reader)
    expected = users.get(user)
    matches = hmac.compare_digest(password.encode(), (expected or "").encode())
    if expected is None or not matches:
        raise _refusal(ResultCode.AUTHENTICATION_FAILED, "user name or password is wrong")


async def _read_password(reader: asyncio.StreamReader) -> str:
    kind, length = _HEADER.unpack(await reader.readexactly(_HEADER.size))
    size = length - LENGTH_BYTES
    if kind != b"p" or not 0 < size <= _MAX_PASSWORD_MESSAGE_BYTES:
        raise _refusal(ResultCode.MALFORMED_MESSAGE, "expected a password message")
    payload = await reader.readexactly(size)
    try:
        password = PasswordMessage.decode(memoryview(payload)).password
    except (PygwireError, UnicodeDecodeError):
        raise _refusal(ResultCode.MALFORMED_MESSAGE, "password message is malformed") from None
    return password if isinstance(password, str) else password.decode(errors="replace")


def startup_response(
    parameters: StartupParameters, key: CancelKey, extra_parameters: Mapping[str, str]
) -> bytes:
    """Build the messages that follow successful authentication.

    These are NegotiateProtocolVersion if needed, AuthenticationOk, ParameterStatus and
    BackendKeyData.
    """
    parts = []
    unknown = [name for name in parameters.values if name.startswith("_pq_.")]
    if parameters.minor_version > 0 or unknown:
        parts.append(NegotiateProtocolVersion(StartupRequestCode.V3_0, unknown).to_wire())
    parts.append(AuthenticationOk().to_wire())
    reported = dict(_DEFAULT_PARAMETERS)
    reported["session_authorization"] = parameters.values.get("user", "")
    reported["application_name"] = parameters.values.get("application_name", "")
    reported.update(extra_parameters)
    parts.extend(parameter_status(name, value) for name, value in reported.items())
    parts.append(BackendKeyData(key.process_id, key.secret_key).to_wire())
    return b"".join(parts)


def _refusal(code: ResultCode, reason: str) -> HickorywindError:
    return HickorywindError(Result(code, Outcome.NOT_RUN, reason))
