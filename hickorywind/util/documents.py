"""Strict parsing of YAML text and its conversion to typed values.

Duplicate keys are refused, whereas PyYAML silently takes the last one. Error messages contain no
text of documents that may hold secrets.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec
import yaml

T = TypeVar("T")

_PATH = re.compile(r"^(?P<problem>.*) - at `(?P<path>[^`]*)`$", re.DOTALL)
_FIELD = re.compile(r"(?P<problem>unknown field|missing required field) `(?P<field>[^`]*)`")
_MERGE_TAG = "tag:yaml.org,2002:merge"
_UNIT_BY_SUFFIX = {
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_percent": "percent",
    "_bytes_per_second": "bytes per second",
}


class DocumentError(Exception):
    """Invalid document; ``key`` is the dotted path of the value, empty for the whole document."""

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}" if key else problem)
        self.key = key
        self.problem = problem


# libyaml's parser where available: configurations of hundreds of services take seconds without it.
_SafeLoader = getattr(yaml, "CSafeLoader", yaml.SafeLoader)


class _StrictLoader(_SafeLoader):
    """YAML loader that refuses duplicate keys in a mapping."""

    def construct_mapping(self, node: yaml.MappingNode, deep: bool = False) -> dict[Any, Any]:
        """Return the mapping of a node; raise ``yaml.constructor.ConstructorError``."""
        seen: set[str] = set()
        for key_node, _ in node.value:
            if key_node.tag == _MERGE_TAG:
                continue
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f"key {key_node.value!r} appears twice", key_node.start_mark
                )
            if isinstance(key_node.value, str):
                seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def read_yaml(text: str, holds_secrets: bool = False) -> Any:
    """Parse YAML text; raise ``DocumentError`` that names the line."""
    try:
        # The loader is a subclass of SafeLoader, which constructs plain values only.
        return yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except yaml.YAMLError as error:
        raise DocumentError("", _describe(error, holds_secrets)) from None
    except (RecursionError, ValueError):
        raise DocumentError("", "is not valid YAML") from None


def _describe(error: yaml.YAMLError, holds_secrets: bool) -> str:
    mark = getattr(error, "problem_mark", None)
    problem = getattr(error, "problem", None)
    where = f", line {mark.line + 1}" if mark is not None else ""
    detail = "" if holds_secrets or not problem else f": {problem}"
    return f"is not valid YAML{where}{detail}"


def convert(value: Any, type_: type[T]) -> T:
    """Convert parsed YAML to a typed value; raise ``DocumentError`` that names key and type."""
    try:
        return msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        raise _from_validation(str(error)) from None


def _from_validation(message: str) -> DocumentError:
    match = _PATH.match(message)
    problem = match["problem"] if match else message
    path = match["path"].removeprefix("$").lstrip(".") if match else ""
    field = _FIELD.search(problem)
    if field is not None:
        key = f"{path}.{field['field']}" if path else field["field"]
        missing = field["problem"].startswith("missing")
        return DocumentError(key, "is required but missing" if missing else "is not a known key")
    return DocumentError(path, problem.replace("`", "") + _unit_note(path))


def _unit_note(path: str) -> str:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if path.endswith(suffix):
            return f" (in {unit})"
    return ""
