"""Rewriting of a backend server's answer into the one that the caller expects.

The entry answers some messages itself (Parse, Close of a statement, statements about the session)
and doesn't forward them; their replies are inserted into the answer in message order.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from pygwire.constants import TransactionStatus
from pygwire.messages import (
    BindComplete,
    CloseComplete,
    CommandComplete,
    DataRow,
    EmptyQueryResponse,
    FieldDescription,
    NoData,
    ParameterDescription,
    ParameterStatus,
    ParseComplete,
    ReadyForQuery,
    RowDescription,
)

from hickorywind.protocol.messages import TransactionState

PARSE_COMPLETE = ParseComplete().to_wire()
BIND_COMPLETE = BindComplete().to_wire()
CLOSE_COMPLETE = CloseComplete().to_wire()
NO_DATA = NoData().to_wire()
NO_PARAMETERS = ParameterDescription([]).to_wire()
EMPTY_QUERY_RESPONSE = EmptyQueryResponse().to_wire()

_LENGTH = struct.Struct("!I")
_DATA_ROW = ord("D")
_TEXT_OID = 25
_VARIABLE_SIZE = -1


class MalformedAnswerError(Exception):
    """Backend bytes that do not consist of complete messages."""


@dataclass(frozen=True)
class LocalReply:
    """Reply to a frontend message that the entry answers itself, as wire bytes."""

    data: bytes


@dataclass(frozen=True)
class BackendReply:
    """Reply to a forwarded message; it ends with a message of one of ``final_message_types``."""

    final_message_types: frozenset[int]


Reply = LocalReply | BackendReply

PARSE_REPLY = BackendReply(frozenset(b"1"))
BIND_REPLY = BackendReply(frozenset(b"2"))
DESCRIBE_REPLY = BackendReply(frozenset(b"Tn"))
EXECUTE_REPLY = BackendReply(frozenset(b"CIs"))
CLOSE_REPLY = BackendReply(frozenset(b"3"))


def ready_for_query(state: TransactionState) -> bytes:
    """Encode a ReadyForQuery message."""
    return ReadyForQuery(TransactionStatus(state.value)).to_wire()


def parameter_status(name: str, value: str) -> bytes:
    """Encode a ParameterStatus message."""
    return ParameterStatus(name, value).to_wire()


def command_complete(tag: str) -> bytes:
    """Encode a CommandComplete message."""
    return CommandComplete(tag).to_wire()


def describe_text_column(name: str) -> bytes:
    """Encode the RowDescription of a result with one text column."""
    column = FieldDescription(
        name=name,
        table_oid=0,
        column_attr=0,
        type_oid=_TEXT_OID,
        type_size=_VARIABLE_SIZE,
        type_modifier=-1,
        format_code=0,
    )
    return RowDescription([column]).to_wire()


def text_row(value: str) -> bytes:
    """Encode a DataRow with one text column."""
    return DataRow([value.encode()]).to_wire()


class AnswerRewriter:
    """Converter of one answer's backend bytes into the bytes to write to the caller.

    Drops ReadyForQuery and ParameterStatus, which the entry sends itself. Messages after the last
    row are buffered until ``finish``, so that the caller sees no CommandComplete before the pool
    has reported the outcome of the request. ``reply_count`` is the number of messages whose replies
    are complete.
    """

    def __init__(self, replies: Iterable[Reply]) -> None:
        self._replies = deque(replies)
        self._pending = bytearray()
        self.reply_count = 0
        self.has_error = False
        self.has_output = False

    def feed(self, data: bytes) -> bytes:
        """Process complete messages and return the bytes that may be written now.

        Raise ``MalformedAnswerError`` where ``data`` ends inside a message.
        """
        out = bytearray()
        position = 0
        rows_start = 0
        while position < len(data):
            kind, end = _parse_header(data, position)
            if kind != _DATA_ROW:
                if rows_start < position:
                    self._emit_rows(out, data[rows_start:position])
                self._process_message(kind, data[position:end])
                rows_start = end
            position = end
        if rows_start < position:
            self._emit_rows(out, data[rows_start:position])
        if out:
            self.has_output = True
        return bytes(out)

    def _emit_rows(self, out: bytearray, rows: bytes) -> None:
        self._append_local_replies()
        out += self._pending
        out += rows
        self._pending.clear()

    def _process_message(self, kind: int, frame: bytes) -> None:
        match chr(kind):
            case "Z" | "S":
                return
            case "N" | "A":
                self._pending += frame
                return
            case "E":
                self.has_error = True
                self._replies.clear()
                self._pending += frame
                return
        self._append_local_replies()
        self._pending += frame
        if self._replies and kind in self._replies[0].final_message_types:
            self._replies.popleft()
            self.reply_count += 1

    def _append_local_replies(self) -> None:
        while self._replies and isinstance(self._replies[0], LocalReply):
            self._pending += self._replies.popleft().data
            self.reply_count += 1

    def finish(self) -> bytes:
        """Return the buffered bytes of an answer whose request succeeded."""
        if not self.has_error:
            self._append_local_replies()
        remaining = bytes(self._pending)
        self._pending.clear()
        return remaining


def _parse_header(data: bytes, position: int) -> tuple[int, int]:
    if len(data) - position < 1 + _LENGTH.size:
        raise MalformedAnswerError("answer ends inside a message header")
    (length,) = _LENGTH.unpack_from(data, position + 1)
    end = position + 1 + length
    if length < _LENGTH.size or end > len(data):
        raise MalformedAnswerError("answer ends inside a message")
    return data[position], end
