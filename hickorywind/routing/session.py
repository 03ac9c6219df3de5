"""Keep what a session must see: its floor per database service, and the token that carries it."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
import xxhash

from hickorywind.ids import LogPosition, ServiceName, Term
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

_TOKEN_PREFIX = "hw1."  # noqa: S105
_CHECKSUM_BYTES = 8
_MAX_TOKEN_CHARACTERS = 8_192
_MAX_SERVICES = 128


@dataclass(frozen=True)
class NoFloor:
    """Say that the session has seen nothing yet."""


@dataclass(frozen=True)
class UnknownFloor:
    """Say that the session may have seen something, but not what."""


@dataclass(frozen=True)
class KnownFloor:
    """Say which position the session must see."""

    position: LogPosition


Floor = NoFloor | UnknownFloor | KnownFloor


def join_positions(first: LogPosition, second: LogPosition) -> LogPosition:
    """Return the least position that contains both.

    Of two committed positions one contains the other; where neither does, the greater of each part
    is a safe upper bound.
    """
    term = Term(max(first.term, second.term))
    return LogPosition(term, max(first.offset, second.offset))


@dataclass(frozen=True)
class TokenContent:
    """Hold what a token says: positions seen, and services with a write in doubt."""

    positions: Mapping[ServiceName, LogPosition]
    uncertain: frozenset[ServiceName] = frozenset()


class SessionFloors:
    """Collect the positions that one session has seen; they never go back.

    A service is uncertain from a write whose outcome is unknown until its primary has answered
    again: a replica that lacks the write would make its caller believe that it did not run.
    """

    def __init__(self, unknown_by_default: bool, content: TokenContent) -> None:
        self._unknown_by_default = unknown_by_default
        self._positions = dict(content.positions)
        self._uncertain = set(content.uncertain)

    @classmethod
    def from_startup(cls, has_session_id: bool, token: str | None) -> SessionFloors:
        """Start a session from what the caller presented; raise ``BAD_TOKEN``.

        A session id without a token, or with one that lacks a service, says that writes unknown
        here may have been made under it.
        """
        return cls(has_session_id, decode_token(token) if token else TokenContent({}))

    def floor(self, service: ServiceName) -> Floor:
        """Return what a read of a service must see."""
        if service in self._uncertain:
            return UnknownFloor()
        position = self._positions.get(service)
        if position is not None:
            return KnownFloor(position)
        return UnknownFloor() if self._unknown_by_default else NoFloor()

    def advance(
        self, service: ServiceName, position: LogPosition, from_primary: bool = False
    ) -> bool:
        """Take in a position that the session has seen; return whether the floor changed."""
        old_floor = self.floor(service)
        old_position = self._positions.get(service)
        self._positions[service] = (
            position if old_position is None else join_positions(old_position, position)
        )
        if from_primary:
            self._uncertain.discard(service)
        return self.floor(service) != old_floor

    def mark_uncertain(self, service: ServiceName) -> None:
        """Note a write whose outcome is unknown."""
        self._uncertain.add(service)

    def merge_token(self, token: str) -> None:
        """Take in a token of the same session; raise ``BAD_TOKEN``."""
        content = decode_token(token)
        for service, position in content.positions.items():
            self.advance(service, position)
        self._uncertain |= content.uncertain

    def token(self) -> str:
        """Render the floors as a token."""
        return encode_token(TokenContent(self._positions, frozenset(self._uncertain)))


class _TokenBody(msgspec.Struct, array_like=True):
    positions: dict[str, tuple[int, int]]
    uncertain: tuple[str, ...]


_decoder = msgspec.msgpack.Decoder(_TokenBody)


def encode_token(content: TokenContent) -> str:
    """Render a token as versioned, checksummed text without white space."""
    positions = {name: (at.term, at.offset) for name, at in sorted(content.positions.items())}
    body = msgspec.msgpack.encode(_TokenBody(positions, tuple(sorted(content.uncertain))))
    return _TOKEN_PREFIX + base64.urlsafe_b64encode(_checksum(body) + body).decode().rstrip("=")


def decode_token(text: str) -> TokenContent:
    """Parse a token; raise ``HickorywindError`` with ``BAD_TOKEN`` for anything else."""
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
        raise _bad_token("checksum differs")
    return _decode_body(body)


def _decode_body(body: bytes) -> TokenContent:
    try:
        decoded = _decoder.decode(body)
    except msgspec.MsgspecError:
        raise _bad_token("content is malformed") from None
    if len(decoded.positions) + len(decoded.uncertain) > _MAX_SERVICES:
        raise _bad_token("names too many services")
    if any(term < 0 or offset < 0 for term, offset in decoded.positions.values()):
        raise _bad_token("holds a negative position")
    positions = {
        ServiceName(name): LogPosition(Term(term), offset)
        for name, (term, offset) in decoded.positions.items()
    }
    return TokenContent(positions, frozenset(ServiceName(name) for name in decoded.uncertain))


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh3_64_digest(_TOKEN_PREFIX.encode() + body)


def _bad_token(reason: str) -> HickorywindError:
    return HickorywindError(
        Result(ResultCode.BAD_TOKEN, Outcome.NOT_RUN, f"token refused: {reason}")
    )
