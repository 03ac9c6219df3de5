"""Detection of batches that begin a transaction, from the text of their statements."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.postgres.frames import Frame

_BEGIN_KEYWORDS = (b"begin", b"start transaction")
_END_KEYWORDS = (b"commit", b"end", b"rollback", b"abort")
_EXECUTING_KINDS = (b"Q", b"E", b"F")
_FIRST_STATEMENT_BYTES = 4_096


def leaves_transaction_open(frames: Sequence[Frame]) -> bool:
    """Return whether a batch sent outside a transaction is expected to leave one open.

    A batch that ends in Flush has no Sync and so leaves its implicit transaction open.
    """
    if frames[-1].kind == b"H":
        return True
    if not _first_statement(frames).startswith(_BEGIN_KEYWORDS):
        return False
    return not _statements(frames)[-1].startswith(_END_KEYWORDS)


def is_single_begin(frames: Sequence[Frame]) -> bool:
    """Return whether a batch consists of a single BEGIN or START TRANSACTION."""
    if frames[-1].kind == b"H" or not _first_statement(frames).startswith(_BEGIN_KEYWORDS):
        return False
    return len(_statements(frames)) == 1


def shows_no_data(frames: Sequence[Frame]) -> bool:
    """Return whether a batch executes nothing but at most a single BEGIN."""
    executes = any(frame.kind in _EXECUTING_KINDS for frame in frames)
    return not executes or is_single_begin(frames)


def _first_statement(frames: Sequence[Frame]) -> bytes:
    """Return the start of the first statement in lower case, without leading comments."""
    for frame in frames:
        if frame.kind == b"Q":
            return _normalize(bytes(frame.payload[:_FIRST_STATEMENT_BYTES]))
        if frame.kind == b"P":
            return _normalize(bytes(frame.payload[:_FIRST_STATEMENT_BYTES]).partition(b"\0")[2])
    return b""


def _statements(frames: Sequence[Frame]) -> list[bytes]:
    """Return the statements of a batch in lower case, without leading comments.

    Quoting is not parsed: a ``;`` within a literal also separates statements.
    """
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
