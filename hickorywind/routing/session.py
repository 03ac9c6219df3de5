"""Read-your-writes state of a session: its floor per database service, and the session token.

The floor is the lowest log position that the data for the session's reads must contain.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import xxhash

from hickorywind.ids import LogPosition, ServiceName, Term
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode
from hickorywind.util.decoding import MalformedDataError, decode

_TOKEN_PREFIX = "hw1."  # noqa: S105
_CHECKSUM_BYTES = 8
_MAX_TOKEN_CHARACTERS = 8_192
_MAX_SERVICES = 128


@dataclass(frozen=True)
class NoFloor:
    """Floor of a session that has seen no data yet; any data is acceptable."""


@dataclass(frozen=True)
class UnknownFloor:
    """Floor of a session that may have seen or written data at an unknown position."""


@dataclass(frozen=True)
class KnownFloor:
    """Floor at a known log position."""

    position: LogPosition


Floor = NoFloor | UnknownFloor | KnownFloor


def join_positions(first: LogPosition, second: LogPosition) -> LogPosition:
    """Return the least log position that contains both.

    Of two committed positions one contains the other. If neither does, the greater term with the
    greater offset is a safe upper bound.
    """
    term = Term(max(first.term, second.term))
    return LogPosition(term, max(first.offset, second.offset))


@dataclass(frozen=True)
class TokenContent:
    """Content of a token: the positions seen, and the services with a write of unknown outcome."""

    positions: Mapping[ServiceName, LogPosition]
    uncertain: frozenset[ServiceName] = frozenset()


class SessionFloors:
    """Floors of one session by service; they never decrease.

    After a write with an unknown outcome its service is uncertain until the primary has answered
    again: a read at a replica that lacks the write would suggest that the write did not run.
    """

    def __init__(self, unknown_by_default: bool, content: TokenContent) -> None:
        self._unknown_by_default = unknown_by_default
        self._positions = dict(content.positions)
        self._uncertain = set(content.uncertain)

    @classmethod
    def from_startup(cls, has_session_id: bool, token: str | None) -> SessionFloors:
        """Create floors from the caller's startup parameters; raise ``BAD_TOKEN``.

        With a session id, but without a token or with one that lacks a service, the session may
        have made writes that are not known here.
        """
        return cls(has_session_id, decode_token(token) if token else TokenContent({}))

    def floor(self, service: ServiceName) -> Floor:
        """Return the floor for reads of a service."""
        if service in self._uncertain:
            return UnknownFloor()
        position = self._positions.get(service)
        if position is not None:
            return KnownFloor(position)
        return UnknownFloor() if self._unknown_by_default else NoFloor()

    def advance(
        self, service: ServiceName, position: LogPosition, from_primary: bool = False
    ) -> bool:
        """Record a log position that the session has seen; return whether the floor changed."""
        old_floor = self.floor(service)
        old_position = self._positions.get(service)
        self._positions[service] = (
            position if old_position is None else join_positions(old_position, position)
        )
        if from_primary:
            self._uncertain.discard(service)
        return self.floor(service) != old_floor

    def mark_uncertain(self, service: ServiceName) -> None:
        """Record a write to a service whose outcome is unknown."""
        self._uncertain.add(service)

    def merge_token(self, token: str) -> None:
        """Merge the content of another token of the session; raise ``BAD_TOKEN``."""
        content = decode_token(token)
        for service, position in content.positions.items():
            self.advance(service, position)
        self._uncertain |= content.uncertain

    def token(self) -> str:
        """Return the floors encoded as a token."""
        return encode_token(TokenContent(self._positions, frozenset(self._uncertain)))


class _TokenBody(msgspec.Struct, array_like=True):
    positions: dict[ServiceName, LogPosition]
    uncertain: tuple[ServiceName, ...]


_decoder = msgspec.msgpack.Decoder(_TokenBody)


def encode_token(content: TokenContent) -> str:
    """Encode a token as versioned text with a checksum and without white space."""
    positions = dict(sorted(content.positions.items()))
    body = msgspec.msgpack.encode(_TokenBody(positions, tuple(sorted(content.uncertain))))
    return _TOKEN_PREFIX + base64.urlsafe_b64encode(_checksum(body) + body).decode().rstrip("=")


def decode_token(text: str) -> TokenContent:
    """Decode a token; raise ``HickorywindError`` with ``BAD_TOKEN`` if it is invalid."""
    if len(text) > _MAX_TOKEN_CHARACTERS or not text.startswith(_TOKEN_PREFIX):
        raise _bad_token("not a token of this version")
    encoded = text.removeprefix(_TOKEN_PREFIX)
    padding = "=" * (-len(encoded) % 4)
    try:
        data = base64.b64decode(encoded + padding, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError):
        raise _bad_token("not valid base64") from None
    checksum, body = data[:_CHECKSUM_BYTES], data[_CHECKSUM_BYTES:]
    if checksum != _checksum(body):
        raise _bad_token("checksum mismatch")
    return _decode_body(body)


def _decode_body(body: bytes) -> TokenContent:
    try:
        decoded = decode(_decoder, body)
    except MalformedDataError:
        raise _bad_token("content is malformed") from None
    if len(decoded.positions) + len(decoded.uncertain) > _MAX_SERVICES:
        raise _bad_token("too many services")
    return TokenContent(decoded.positions, frozenset(decoded.uncertain))


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh3_64_digest(_TOKEN_PREFIX.encode() + body)


def _bad_token(reason: str) -> HickorywindError:
    return HickorywindError(
        Result(ResultCode.BAD_TOKEN, Outcome.NOT_RUN, f"token refused: {reason}")
    )
