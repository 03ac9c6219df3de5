"""Cache of the prepared statements of one backend connection."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from hickorywind.pool.frontend import close_statement
from hickorywind.pool.replies import OutgoingMessage
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import PreparedStatement

_STATEMENT_LIMIT = 256


def _close_message(name: str) -> OutgoingMessage:
    return OutgoingMessage(Frame(b"C", close_statement(name)), hides_reply=True, closed_name=name)


def parse_statement_name(frame: Frame) -> str:
    """Return the statement name of a Parse message."""
    payload = bytes(frame.payload)
    return payload[: payload.index(b"\0")].decode(errors="surrogateescape")


def _closed_statement_name(frame: Frame) -> str | None:
    payload = bytes(frame.payload)
    if payload[:1] != b"S":
        return None
    return payload[1:].rstrip(b"\0").decode(errors="surrogateescape")


def _expand(frame: Frame, expected: set[str]) -> list[OutgoingMessage]:
    """Return a caller's message, after the Close of a statement that its Parse replaces.

    ``expected`` are the names that exist once the messages before have been processed.
    """
    if frame.kind == b"P":
        name = parse_statement_name(frame)
        replaced = [_close_message(name)] if name and name in expected else []
        expected.add(name)
        return [*replaced, OutgoingMessage(frame, prepared_name=name or None)]
    if frame.kind == b"C":
        return [OutgoingMessage(frame, closed_name=_closed_statement_name(frame))]
    return [OutgoingMessage(frame)]


class PreparedStatementCache:
    """Names of the statements prepared on one connection, least recently used first.

    A doubtful statement is one that the backend server may refuse to run, e.g. because the table
    that it reads was altered. It is prepared anew before its next use.
    """

    def __init__(self, limit: int = _STATEMENT_LIMIT) -> None:
        self._limit = limit
        self._names: OrderedDict[str, None] = OrderedDict()
        self._doubtful: set[str] = set()

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add_missing(
        self, frames: Iterable[Frame], prepared: Sequence[PreparedStatement]
    ) -> list[OutgoingMessage]:
        """Return the batch with the Parse and Close messages that this connection also needs.

        Missing statements are prepared first; least recently used ones are closed to make room.
        """
        missing = [statement for statement in prepared if statement.name not in self._names]
        doubtful = [statement for statement in prepared if statement.name in self._doubtful]
        for statement in prepared:
            if statement.name in self._names:
                self._names.move_to_end(statement.name)
        wanted = {statement.name for statement in prepared}
        batch = [_close_message(name) for name in self._names_to_evict(len(missing), wanted)]
        batch.extend(_close_message(statement.name) for statement in doubtful)
        expected = set(self._names) | wanted
        batch.extend(
            OutgoingMessage(
                Frame(b"P", item.parse_frame), hides_reply=True, prepared_name=item.name
            )
            for item in (*missing, *doubtful)
        )
        for frame in frames:
            batch.extend(_expand(frame, expected))
        return batch

    def _names_to_evict(self, extra: int, wanted: set[str]) -> list[str]:
        count = len(self._names) + extra - self._limit
        unwanted = [name for name in self._names if name not in wanted]
        return unwanted[: max(count, 0)]

    def record_confirmed(self, prepared_names: Iterable[str], closed_names: Iterable[str]) -> None:
        """Update the cache with the names that replies confirmed as prepared or closed."""
        for name in closed_names:
            self._names.pop(name, None)
            self._doubtful.discard(name)
        for name in prepared_names:
            self._names[name] = None

    def record_error(self, names: Iterable[str]) -> None:
        """Mark statements that a failed batch used as doubtful."""
        self._doubtful.update(name for name in names if name in self._names)
