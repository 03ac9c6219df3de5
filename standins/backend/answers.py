"""Results of executed statements."""

from __future__ import annotations

from dataclasses import dataclass

from standins.backend.log import SqlValue


@dataclass(frozen=True)
class Notice:
    """Content of a NoticeResponse message sent with an answer."""

    severity: str
    sqlstate: str
    message: str


@dataclass(frozen=True)
class Answer:
    """Command tag, rows and notices of one statement; ``rows`` is None without a result set."""

    tag: str
    rows: list[tuple[SqlValue, ...]] | None = None
    notices: tuple[Notice, ...] = ()
