"""Hints by which callers describe their requests.

Callers give hints as startup parameters (``hickorywind.NAME``, also inside ``options``), as
``SET hickorywind.NAME = VALUE`` or in a comment before a statement:
``/* hickorywind priority=urgent max_staleness_ms=500 */``.
"""

from __future__ import annotations

import re
import shlex
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import msgspec

from hickorywind.ids import Rank
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode

PARAMETER_PREFIX = "hickorywind."
SESSION_ID = "session_id"
TOKEN = "token"  # noqa: S105

_NAME_MAX_CHARACTERS = 128
_DURATION_MAX_MS = 24 * 3600 * 1000
_COMMENT = re.compile(r"\s*/\*\s*hickorywind\s(?P<body>.*?)\*/", re.DOTALL)
_PAIR = re.compile(r"(?P<name>[a-z_]+)=(?P<value>'[^']*'|\S+)")
_TRUE_TEXTS = frozenset(("true", "on", "yes", "1"))
_FALSE_TEXTS = frozenset(("false", "off", "no", "0"))


class Hints(msgspec.Struct, frozen=True):
    """Hints of a request or session; None where the caller gave no value.

    ``idempotent`` permits running the request more than once; a request with a ``request_id``
    runs at most once however often the caller sends it.
    """

    priority: Rank | None = None
    max_staleness_ms: int | None = None
    read_kind: str | None = None
    idempotent: bool | None = None
    request_id: str | None = None
    timeout_ms: int | None = None

    def merged_over(self, base: Hints) -> Hints:
        """Return these hints with missing values taken from ``base``."""
        own = {name: value for name, value in _as_dict(self).items() if value is not None}
        return msgspec.structs.replace(base, **own)

    def with_value(self, name: str, text: str | None) -> Hints:
        """Return a copy with one hint parsed from text, or unset where ``text`` is None.

        Raise ``HickorywindError`` with ``BAD_HINT`` for an unknown name or an invalid value."""
        if name not in _PARSERS:
            raise bad_hint_error(f"hint {name!r} is not known")
        value = None if text is None else _PARSERS[name](name, text)
        return msgspec.structs.replace(self, **{name: value})

    def with_value_from(self, name: str, base: Hints) -> Hints:
        """Return a copy with one hint taken from ``base``; raise ``BAD_HINT`` for unknown names."""
        self.with_value(name, None)
        return msgspec.structs.replace(self, **{name: getattr(base, name)})

    def format_value(self, name: str) -> str:
        """Return one hint as text, empty where unset; raise ``BAD_HINT`` for an unknown name."""
        if name not in _PARSERS:
            raise bad_hint_error(f"hint {name!r} is not known")
        match getattr(self, name):
            case None:
                return ""
            case Rank() as rank:
                return rank.value
            case bool() as flag:
                return "true" if flag else "false"
            case value:
                return str(value)


NO_HINTS = Hints()


def bad_hint_error(reason: str) -> HickorywindError:
    """Return the error for an unknown or invalid hint."""
    return HickorywindError(Result(ResultCode.BAD_HINT, Outcome.NOT_RUN, reason))


def _as_dict(hints: Hints) -> dict[str, Any]:
    return msgspec.structs.asdict(hints)


def _parse_rank(name: str, text: str) -> Rank:
    try:
        return Rank(text.lower())
    except ValueError:
        known = ", ".join(rank.value for rank in Rank)
        raise bad_hint_error(f"{name} is one of {known}, got {text!r}") from None


def _parse_duration(name: str, text: str) -> int:
    if not text.isascii() or not text.isdigit() or int(text[:12]) > _DURATION_MAX_MS:
        raise bad_hint_error(f"{name} is a whole number of milliseconds, got {text!r}")
    return int(text)


def _parse_timeout(name: str, text: str) -> int:
    duration_ms = _parse_duration(name, text)
    if duration_ms == 0:
        raise bad_hint_error(f"{name} is more than 0")
    return duration_ms


def _parse_flag(name: str, text: str) -> bool:
    folded = text.lower()
    if folded not in _TRUE_TEXTS | _FALSE_TEXTS:
        raise bad_hint_error(f"{name} is true or false, got {text!r}")
    return folded in _TRUE_TEXTS


def parse_name(name: str, text: str) -> str:
    """Validate a free-form name such as a session id and return it; raise ``BAD_HINT``."""
    if not 0 < len(text) <= _NAME_MAX_CHARACTERS or not text.isprintable():
        raise bad_hint_error(f"{name} has 1 to {_NAME_MAX_CHARACTERS} printable characters")
    return text


_PARSERS: Mapping[str, Callable[[str, str], Any]] = {
    "priority": _parse_rank,
    "max_staleness_ms": _parse_duration,
    "read_kind": parse_name,
    "idempotent": _parse_flag,
    "request_id": parse_name,
    "timeout_ms": _parse_timeout,
}


def split_comment(text: str) -> tuple[Hints, str]:
    """Return the hints of a statement's leading comment and the statement without the comment.

    Raise ``HickorywindError`` with ``BAD_HINT``.
    """
    match = _COMMENT.match(text)
    if match is None:
        return NO_HINTS, text
    hints = NO_HINTS
    body = match["body"].strip()
    for name, value in _parse_pairs(body):
        hints = hints.with_value(name, value)
    return hints, text[match.end() :]


def _parse_pairs(body: str) -> Iterator[tuple[str, str]]:
    position = 0
    while position < len(body):
        match = _PAIR.match(body, position)
        if match is None:
            raise bad_hint_error(f"expected name=value, got {body[position:][:40]!r}")
        yield match["name"], match["value"].strip("'")
        position = match.end()
        while position < len(body) and body[position] in " \t\r\n,":
            position += 1


def collect_startup_settings(parameters: Mapping[str, str]) -> dict[str, str]:
    """Return the ``hickorywind.*`` settings of a startup packet, without the prefix.

    Startup parameters take precedence over settings inside ``options``. Raise ``BAD_HINT`` where
    ``options`` can't be parsed.
    """
    collected = dict(_parse_options(parameters.get("options", "")))
    collected.update(parameters)
    return {
        name.removeprefix(PARAMETER_PREFIX): value
        for name, value in collected.items()
        if name.startswith(PARAMETER_PREFIX)
    }


def _parse_options(options: str) -> Iterator[tuple[str, str]]:
    try:
        words = shlex.split(options)
    except ValueError as error:
        raise bad_hint_error(f"startup options can't be parsed: {error}") from None
    remaining = iter(words)
    for word in remaining:
        if word == "-c":
            word = next(remaining, "")
        elif word.startswith("--"):
            word = word.removeprefix("--")
        elif word.startswith("-c"):
            word = word.removeprefix("-c")
        name, separator, value = word.partition("=")
        if separator:
            yield name.lower(), value
