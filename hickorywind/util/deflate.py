"""Compression of large values that hosts send each other."""

from __future__ import annotations

import zlib
from functools import lru_cache

_LEVEL = 3  # little processor time, which a host that starts has least of


class DeflatedDataError(Exception):
    """Deflated data is malformed, or larger than the receiver allows."""


@lru_cache(maxsize=8)
def deflate(data: bytes) -> bytes:
    """Return deflated data; the latest results are kept, since several hosts ask for the same."""
    return zlib.compress(data, _LEVEL)


def inflate(data: bytes, max_bytes: int) -> bytes:
    """Return inflated data.

    Raise ``DeflatedDataError`` if it is malformed or would be larger than ``max_bytes``.
    """
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, max_bytes)
    except zlib.error as error:
        raise DeflatedDataError(str(error)) from error
    if not inflater.eof:
        raise DeflatedDataError(f"incomplete, or larger than {max_bytes} bytes")
    return inflated
