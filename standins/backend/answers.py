"""Define what the execution of a statement yields."""

from __future__ import annotations

from dataclasses import dataclass

from standins.backend.log import SqlValue


@dataclass(frozen=True)
class Notice:
    """Hold a NoticeResponse to send with an answer."""

    severity: str
    sqlstate: str
    message: str


@dataclass(frozen=True)
class Answer:
    """Hold the outcome of one statement; ``rows`` is None where there is no result set."""

    tag: str
    rows: list[tuple[SqlValue, ...]] | None = None
    notices: tuple[Notice, ...] = ()
