"""Tell from a batch's first statement whether it begins a transaction and leaves it open."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.postgres.frames import Frame

_BEGINNINGS = (b"begin", b"start transaction")
_ENDINGS = (b"commit", b"end", b"rollback", b"abort")
_HEAD_BYTES = 4_096


def leaves_open(frames: Sequence[Frame]) -> bool:
    """Tell whether a batch outside a transaction looks as if it left one open."""
    if frames[-1].kind == b"H":
        return True
    if not _first_text(frames).startswith(_BEGINNINGS):
        return False
    return not _statements(frames)[-1].startswith(_ENDINGS)


def is_plain_begin(frames: Sequence[Frame]) -> bool:
    """Tell whether a batch is nothing but the begin of a transaction."""
    if frames[-1].kind == b"H" or not _first_text(frames).startswith(_BEGINNINGS):
        return False
    return len(_statements(frames)) == 1


def _first_text(frames: Sequence[Frame]) -> bytes:
    """Return the beginning of the first statement in lower case."""
    for frame in frames:
        if frame.kind == b"Q":
            return _without_comment(bytes(frame.payload[:_HEAD_BYTES]))
        if frame.kind == b"P":
            return _without_comment(bytes(frame.payload[:_HEAD_BYTES]).partition(b"\0")[2])
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
    stripped = [_without_comment(text) for text in texts]
    return [text for text in stripped if text]


def _without_comment(sql: bytes) -> bytes:
    text = sql.strip().lower()
    while text.startswith(b"/*") and b"*/" in text:
        text = text[text.index(b"*/") + 2 :].lstrip()
    return text.rstrip(b"; \n")
