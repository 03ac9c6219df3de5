"""Tell from a batch's first statement whether it begins a transaction and leaves it open."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.postgres.frames import Frame

_BEGIN_KEYWORDS = (b"begin", b"start transaction")
_END_KEYWORDS = (b"commit", b"end", b"rollback", b"abort")
_FIRST_STATEMENT_BYTES = 4_096


def leaves_transaction_open(frames: Sequence[Frame]) -> bool:
    """Tell whether a batch outside a transaction looks as if it left one open."""
    if frames[-1].kind == b"H":
        return True
    if not _first_statement(frames).startswith(_BEGIN_KEYWORDS):
        return False
    return not _statements(frames)[-1].startswith(_END_KEYWORDS)


def is_single_begin(frames: Sequence[Frame]) -> bool:
    """Tell whether a batch is nothing but the begin of a transaction."""
    if frames[-1].kind == b"H" or not _first_statement(frames).startswith(_BEGIN_KEYWORDS):
        return False
    return len(_statements(frames)) == 1


def _first_statement(frames: Sequence[Frame]) -> bytes:
    """Return the beginning of the first statement in lower case."""
    for frame in frames:
        if frame.kind == b"Q":
            return _normalize(bytes(frame.payload[:_FIRST_STATEMENT_BYTES]))
        if frame.kind == b"P":
            return _normalize(bytes(frame.payload[:_FIRST_STATEMENT_BYTES]).partition(b"\0")[2])
    return b""


def _statements(frames: Sequence[Frame]) -> list[bytes]:
    """Return the statements of a batch in lower case; text after a quoted ``;`` counts as one."""
    texts: list[bytes] = []
    for frame in frames:
        payload = bytes(frame.payload)
        if frame.kind == b"Q":
            texts.extend(payload.rstrip(b"\0").split(b";"))
        elif frame.kind == b"P":
            texts.append(payload.split(b"\0")[1])
    stripped = [_normalize(text) for text in texts]
    return [text for text in stripped if text]


def _normalize(sql: bytes) -> bytes:
    text = sql.strip().lower()
    while text.startswith(b"/*") and b"*/" in text:
        text = text[text.index(b"*/") + 2 :].lstrip()
    return text.rstrip(b"; \n")
