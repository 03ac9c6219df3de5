"""Encoding of the messages between processes: a protocol version byte and MessagePack."""

from __future__ import annotations

import msgspec

from hickorywind.protocol.messages import PROTOCOL_VERSION, Message
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode
from hickorywind.util.decoding import MalformedDataError
from hickorywind.util.decoding import decode as decode_data

_VERSION_BYTE = bytes((PROTOCOL_VERSION,))
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encode a message as its version byte and a MessagePack array."""
    return _VERSION_BYTE + _encoder.encode(message)


def decode(data: bytes) -> Message:
    """Decode a message.

    Raise ``HickorywindError`` with ``VERSION_REFUSED`` for another protocol version and with
    ``MALFORMED_MESSAGE`` for anything that is not a known message.
    """
    if data[:1] != _VERSION_BYTE:
        raise _not_run_error(
            ResultCode.VERSION_REFUSED, f"protocol version {data[:1].hex()} is not supported"
        )
    try:
        return decode_data(_decoder, memoryview(data)[1:])
    except MalformedDataError as error:
        raise _not_run_error(
            ResultCode.MALFORMED_MESSAGE, f"can't decode message: {error}"
        ) from error


def _not_run_error(code: ResultCode, reason: str) -> HickorywindError:
    return HickorywindError(Result(code, Outcome.NOT_RUN, reason))
