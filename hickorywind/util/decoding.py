"""Decoding of data that other processes and programs write, and types that bound its values.

What passes has values that later arithmetic, encoding and connecting can't fail on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

Wire = TypeVar("Wire")
Value = TypeVar("Value")

_INT64_MAX = 2**63 - 1
_DURATION_MAX_MS = 100 * 365 * 24 * 3600 * 1000  # sums stay far below the limit of timedelta
_COUNTER_MAX_DIGITS = 18  # of a number that 64 bits hold
_NAME_MAX_CHARACTERS = 200
_REASON_MAX_CHARACTERS = 200

# Revisions, terms and other numbers that are compared, incremented and passed on.
CounterValue = Annotated[int, msgspec.Meta(ge=0, le=_INT64_MAX)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_DURATION_MAX_MS)]
# Durations that other processes compute, which may be negative.
_COMPUTED_MS = msgspec.Meta(ge=-_DURATION_MAX_MS, le=_DURATION_MAX_MS)
ComputedMilliseconds = Annotated[float, _COMPUTED_MS]
WholeMilliseconds = Annotated[int, _COMPUTED_MS]
# Without spaces and line breaks, which would end a field or a message of a line protocol.
NAME = msgspec.Meta(
    min_length=1,
    max_length=_NAME_MAX_CHARACTERS,
    pattern=r"^[^\s\x00-\x1f\x7f-\x9f\ud800-\udfff]+\Z",
)
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]

# RecursionError: deep nesting, also in fields that are not read.
_FAILURES = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)


class MalformedDataError(Exception):
    """Data that can't be decoded or has values out of range; the message gives the reason."""


def decode(
    decoder: msgspec.json.Decoder[Wire] | msgspec.msgpack.Decoder[Wire], data: bytes | memoryview
) -> Wire:
    """Decode data; raise ``MalformedDataError``, and no other error, if it is malformed."""
    try:
        return decoder.decode(data)
    except _FAILURES as error:
        raise _malformed(error) from None


def convert(value: Any, convert_value: Callable[[Any], Value]) -> Value:
    """Return ``convert_value(value)``; raise ``MalformedDataError`` for an invalid value."""
    try:
        return convert_value(value)
    except _FAILURES as error:
        raise _malformed(error) from None


def parse_counter(text: str) -> int | None:
    """Parse a number of ASCII digits; return None for any other text and for large numbers."""
    is_counter = text.isascii() and text.isdigit() and len(text) <= _COUNTER_MAX_DIGITS
    return int(text) if is_counter else None


def _malformed(error: Exception) -> MalformedDataError:
    is_too_deep = isinstance(error, RecursionError)
    reason = "nested too deeply" if is_too_deep else str(error)
    return MalformedDataError(reason[:_REASON_MAX_CHARACTERS])
