"""Describe one batch of a caller's messages, which runs as one request."""

from __future__ import annotations

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

# Statements that the entry answers itself; empty ones go on, as they belong to no session.
LOCAL_STATEMENT_TYPES = (SetHint, ShowHint, Deallocate, NoOperation)

LocalStatement = SetHint | ShowHint | Deallocate | NoOperation


class BatchTerminator(Enum):
    """Name the message that ended a batch."""

    QUERY = "query"
    SYNC = "sync"
    FLUSH = "flush"


@dataclass
class Batch:
    """Hold one batch: what is sent on, what is answered here, and what it does.

    ``statements`` are those executed, ``bound`` those that only got their parameters.
    ``prepared`` holds the definitions that it refers to, ``parsed`` the names of those whose Parse
    is among the frames. ``refusal`` is set where the batch must not run. ``runs`` tells whether
    anything in it is bound or executed at a backend server.
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

    @property
    def is_local(self) -> bool:
        """Tell whether no backend server is needed."""
        return not self.frames and not self.prepared

    @property
    def local_replies(self) -> bytes:
        """Return the replies of a local batch."""
        return b"".join(reply.data for reply in self.replies if isinstance(reply, LocalReply))


def encode_sync() -> bytes:
    """Build a Sync message."""
    return encode_message(b"S", b"")


def encode_flush() -> bytes:
    """Build a Flush message."""
    return encode_message(b"H", b"")
