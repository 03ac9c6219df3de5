"""Remember which prepared statements one connection holds, and complete batches that need more."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from hickorywind.pool.frontend import close_statement
from hickorywind.pool.replies import Outgoing
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import PreparedStatement

_LIMIT = 256


def _close(name: str) -> Outgoing:
    return Outgoing(Frame(b"C", close_statement(name)), swallowed=True, undefines=name)


def parse_name(frame: Frame) -> str:
    """Read the statement name of a Parse message."""
    payload = bytes(frame.payload)
    return payload[: payload.index(b"\0")].decode(errors="surrogateescape")


def _closed_name(frame: Frame) -> str | None:
    payload = bytes(frame.payload)
    if payload[:1] != b"S":
        return None
    return payload[1:].rstrip(b"\0").decode(errors="surrogateescape")


class StatementNames:
    """Hold the names prepared at one connection, the least recently used first."""

    def __init__(self, limit: int = _LIMIT) -> None:
        self._limit = limit
        self._names: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def complete(
        self, frames: Iterable[Frame], prepared: Sequence[PreparedStatement]
    ) -> list[Outgoing]:
        """Return the batch with the Parse and Close messages that this connection needs first."""
        missing = [statement for statement in prepared if statement.name not in self._names]
        for statement in prepared:
            if statement.name in self._names:
                self._names.move_to_end(statement.name)
        wanted = {statement.name for statement in prepared}
        batch = [_close(name) for name in self._surplus(len(missing), wanted)]
        batch.extend(
            Outgoing(Frame(b"P", item.parse_frame), swallowed=True, defines=item.name)
            for item in missing
        )
        for frame in frames:
            batch.extend(self._adapt(frame))
        return batch

    def _surplus(self, extra: int, wanted: set[str]) -> list[str]:
        count = len(self._names) + extra - self._limit
        unwanted = [name for name in self._names if name not in wanted]
        return unwanted[: max(count, 0)]

    def _adapt(self, frame: Frame) -> list[Outgoing]:
        if frame.kind == b"P":
            name = parse_name(frame)
            replaced = [_close(name)] if name and name in self._names else []
            return [*replaced, Outgoing(frame, defines=name or None)]
        if frame.kind == b"C":
            return [Outgoing(frame, undefines=_closed_name(frame))]
        return [Outgoing(frame)]

    def settle(self, defined: Iterable[str], undefined: Iterable[str]) -> None:
        """Take in which names the replies confirmed."""
        for name in undefined:
            self._names.pop(name, None)
        for name in defined:
            self._names[name] = None
