"""Batch of a caller's protocol messages, executed as one request."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from hickorywind.postgres.answers import LocalReply, Reply
from hickorywind.postgres.hints import NO_HINTS, Hints
from hickorywind.postgres.prepared import encode_message
from hickorywind.postgres.statementkinds import (
    Deallocate,
    NoOperation,
    SetHint,
    ShowHint,
    Statement,
)
from hickorywind.protocol.messages import PreparedStatement
from hickorywind.results import Result

# Statements that the entry answers itself. Empty ones are forwarded: they concern no session state.
LOCAL_STATEMENT_TYPES = (SetHint, ShowHint, Deallocate, NoOperation)

LocalStatement = SetHint | ShowHint | Deallocate | NoOperation


class BatchTerminator(Enum):
    """Type of the message that ended a batch."""

    QUERY = "query"
    SYNC = "sync"
    FLUSH = "flush"


@dataclass(frozen=True)
class SessionChange:
    """Change of the session's state by a message, which holds once its reply was sent.

    ``reply_index`` is the index of that reply in the batch; ``undo`` takes the change back.
    """

    reply_index: int
    undo: Callable[[], None]


@dataclass
class Batch:
    """Messages to forward, replies of the entry, and statements of one batch.

    ``statements`` are those executed, ``bound_statements`` those bound by a Bind message.
    ``prepared`` holds the prepared statements that the batch uses, by backend name;
    ``parsed_names`` are the names of those whose Parse message is in ``frames``. ``refusal`` is
    set where the batch must not run. ``executes_on_backend`` states whether any message of the
    batch binds, describes or executes a portal at a backend server. ``changes`` are those of the
    session's state, in order.
    """

    terminator: BatchTerminator = BatchTerminator.SYNC
    frames: bytearray = field(default_factory=bytearray)
    replies: list[Reply] = field(default_factory=list)
    statements: list[Statement] = field(default_factory=list)
    bound_statements: list[Statement] = field(default_factory=list)
    hints: Hints = NO_HINTS
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)
    parsed_names: set[str] = field(default_factory=set)
    refusal: Result | None = None
    executes_on_backend: bool = False
    size_bytes: int = 0
    changes: list[SessionChange] = field(default_factory=list)

    @property
    def is_local(self) -> bool:
        """Return whether the entry can answer the batch without a backend server."""
        return not self.frames and not self.prepared

    @property
    def local_replies(self) -> bytes:
        """Return the wire bytes of the entry's own replies."""
        return b"".join(reply.data for reply in self.replies if isinstance(reply, LocalReply))


def encode_sync() -> bytes:
    """Encode a Sync message."""
    return encode_message(b"S", b"")


def encode_flush() -> bytes:
    """Encode a Flush message."""
    return encode_message(b"H", b"")
