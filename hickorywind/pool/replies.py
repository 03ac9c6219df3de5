"""Tracking of the replies to one batch of frontend messages.

A batch that ends in Flush gets no ReadyForQuery: it is complete once every message has its own
reply. After an error the backend server skips all messages up to the next Sync, also those of later
batches.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from hickorywind.postgres.frames import Frame

_READY = b"Z"
_ERROR = b"E"
# Kinds of the messages that a backend server may send at any time.
ASYNCHRONOUS_KINDS = (b"S", b"N", b"A")

# Kinds of the replies that complete a frontend message of a given kind.
_COMPLETED_BY: dict[bytes, tuple[bytes, ...]] = {
    b"P": (b"1",),
    b"B": (b"2",),
    b"D": (b"T", b"n"),
    b"E": (b"C", b"I", b"s"),
    b"C": (b"3",),
    b"S": (_READY,),
    b"Q": (_READY,),
    b"F": (_READY,),
}
# Kinds of the further messages that may precede them.
_PRECEDED_BY: dict[bytes, tuple[bytes, ...]] = {
    b"D": (b"t",),
    b"E": (b"D", b"H", b"d", b"c"),
    b"Q": (b"T", b"D", b"C", b"I", b"H", b"d", b"c"),
    b"F": (b"V",),
}


class UnexpectedReplyError(Exception):
    """Backend message that can't be a reply to the message that is answered next."""


def error_field(frame: Frame, field: bytes) -> str:
    """Return one field of an ErrorResponse, or an empty string if it is absent."""
    for part in bytes(frame.payload).split(b"\0"):
        if part[:1] == field:
            return part[1:].decode(errors="replace")
    return ""


@dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """Frontend message to send, and how to handle its reply.

    ``hides_reply`` is set if the reply is not relayed to the caller. ``prepared_name`` and
    ``closed_name`` are the statement names that the message prepares or closes.
    """

    frame: Frame
    hides_reply: bool = False
    prepared_name: str | None = None
    closed_name: str | None = None


class ReplyTracker:
    """Matcher of backend messages to the frontend messages of one batch.

    ``skips_until_sync`` is set if an earlier batch failed and no Sync was sent since.
    ``prepared_names`` and ``closed_names`` are the statement names that replies confirmed.
    ``has_error`` is set once an ErrorResponse arrived. ``refused_setup`` is the message of the pool
    itself that the backend server answered with an error, and ``refused_code`` its SQLSTATE.
    """

    def __init__(self, batch: Iterable[OutgoingMessage], skips_until_sync: bool = False) -> None:
        self._pending: deque[OutgoingMessage] = deque()
        self.skips_until_sync = skips_until_sync
        self.prepared_names: list[str] = []
        self.closed_names: list[str] = []
        self.has_error = False
        self.refused_setup: OutgoingMessage | None = None
        self.refused_code = ""
        for outgoing in batch:
            self._expect(outgoing)

    def _expect(self, outgoing: OutgoingMessage) -> None:
        if outgoing.frame.kind not in _COMPLETED_BY:
            return
        if self.skips_until_sync and outgoing.frame.kind != b"S":
            return
        self.skips_until_sync = False
        self._pending.append(outgoing)

    @property
    def is_complete(self) -> bool:
        """Return whether all replies have arrived."""
        return not self._pending

    def accept(self, frame: Frame) -> bool:
        """Match a backend message and return whether to relay it to the caller.

        Raise ``UnexpectedReplyError`` if it is not a reply to the message that is answered next.
        """
        if frame.kind in ASYNCHRONOUS_KINDS:
            return frame.kind != b"A"
        if not self._pending:
            raise UnexpectedReplyError(f"message {frame.kind!r} after the end of the answer")
        if frame.kind == _ERROR:
            return self._accept_error(frame)
        head = self._pending[0]
        if frame.kind in _COMPLETED_BY[head.frame.kind]:
            self._pending.popleft()
            self._record_names(head)
        elif frame.kind not in _PRECEDED_BY.get(head.frame.kind, ()):
            raise UnexpectedReplyError(
                f"message {frame.kind!r} in reply to message {head.frame.kind!r}"
            )
        return not head.hides_reply

    def _record_names(self, outgoing: OutgoingMessage) -> None:
        if outgoing.closed_name is not None:
            self.closed_names.append(outgoing.closed_name)
        if outgoing.prepared_name is not None:
            self.prepared_names.append(outgoing.prepared_name)

    def _accept_error(self, frame: Frame) -> bool:
        """Stop expecting replies to the messages that are skipped after an error."""
        self.has_error = True
        if self._pending[0].hides_reply:
            self.refused_setup = self._pending[0]
            self.refused_code = error_field(frame, b"C")
        if self._pending[0].frame.kind in (b"Q", b"F", b"S"):
            return True
        while self._pending and self._pending[0].frame.kind != b"S":
            self._pending.popleft()
        self.skips_until_sync = not self._pending
        return True
