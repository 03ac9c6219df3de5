"""Differences between two configurations."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import Any

import msgspec

from hickorywind.configuration.canonical import canonicalize
from hickorywind.configuration.model import Configuration
from hickorywind.configuration.printing import format_block

_IDENTITY_KEYS = ("backend", "name", "rank")
_SIGNS = {"added": "+", "removed": "-", "changed": "~"}


class ChangeKind(Enum):
    """Kind of change of a value."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Change(msgspec.Struct, frozen=True):
    """Change of one value; ``before`` and ``after`` are JSON text, empty if the value is absent."""

    kind: ChangeKind
    path: str
    before: str
    after: str

    def __str__(self) -> str:
        sign = _SIGNS[self.kind.value]
        match self.kind:
            case ChangeKind.ADDED:
                return f"{sign} {self.path}: {self.after}"
            case ChangeKind.REMOVED:
                return f"{sign} {self.path}: {self.before}"
            case ChangeKind.CHANGED:
                return f"{sign} {self.path}: {self.before} -> {self.after}"


def compare(before: Configuration | None, after: Configuration) -> tuple[Change, ...]:
    """Return the changes that lead from one configuration to another, ordered by path.

    If ``before`` is None, every value counts as added.
    """
    old = msgspec.to_builtins(canonicalize(before)) if before is not None else {}
    new = msgspec.to_builtins(canonicalize(after))
    return tuple(_compare_mappings("", old, new))


def format_changes(changes: tuple[Change, ...]) -> str:
    """Return the changes as text; mappings added or removed as a whole are formatted as YAML."""
    return "".join(_format_change(change) for change in changes)


def _format_change(change: Change) -> str:
    value = msgspec.json.decode(change.after or change.before)
    if not isinstance(value, dict):
        return f"{change}\n"
    sign = _SIGNS[change.kind.value]
    lines = [f"{sign} {change.path}:", *format_block(value).splitlines()]
    return "\n".join((lines[0], *(f"{sign}     {line}" for line in lines[1:]))) + "\n"


def _compare_mappings(path: str, old: dict[str, Any], new: dict[str, Any]) -> Iterator[Change]:
    for key in sorted(old.keys() | new.keys()):
        inner_path = f"{path}.{key}" if path else key
        yield from _compare_values(inner_path, old.get(key), new.get(key))


def _compare_values(path: str, old: Any, new: Any) -> Iterator[Change]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        yield from _compare_mappings(path, old, new)
    elif isinstance(old, tuple) or isinstance(new, tuple):
        yield from _compare_lists(path, old or (), new or ())
    elif old is None:
        yield Change(ChangeKind.ADDED, path, "", _encode(new))
    elif new is None:
        yield Change(ChangeKind.REMOVED, path, _encode(old), "")
    else:
        yield Change(ChangeKind.CHANGED, path, _encode(old), _encode(new))


def _compare_lists(path: str, old: tuple[Any, ...], new: tuple[Any, ...]) -> Iterator[Change]:
    old_items = {_item_identity(item): item for item in old}
    new_items = {_item_identity(item): item for item in new}
    for name in sorted(old_items.keys() | new_items.keys()):
        yield from _compare_values(f"{path}[{name}]", old_items.get(name), new_items.get(name))


def _item_identity(item: dict[str, Any] | str) -> str:
    if isinstance(item, str):
        return item
    return next(item[key] for key in _IDENTITY_KEYS if key in item)


def _encode(value: Any) -> str:
    return msgspec.json.encode(value).decode()
