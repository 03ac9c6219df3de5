"""Configurations as YAML documents: formatting and parsing.

Equal configurations print as the same bytes, so that a review shows only what changed.
"""

from __future__ import annotations

from typing import Any

import msgspec
import yaml

from hickorywind.configuration.canonical import canonicalize
from hickorywind.configuration.model import Configuration
from hickorywind.results import ResultCode, UserError
from hickorywind.util.documents import DocumentError, convert, read_yaml

_UNWRAPPED_WIDTH_CHARACTERS = 1_000_000


class _Dumper(yaml.SafeDumper):
    """YAML dumper without anchors that indents list items below their key."""

    def ignore_aliases(self, data: Any) -> bool:
        """Return True, so that equal values are written out each time."""
        return True

    def increase_indent(self, flow: bool = False, indentless: bool = False) -> None:
        """Indent list items, which is easier to read in a review."""
        super().increase_indent(flow, False)


def format_document(configuration: Configuration) -> str:
    """Return the canonical document; raise ``UserError`` if a value has the wrong type."""
    try:
        canonical = canonicalize(configuration)
    except DocumentError as error:
        raise UserError(ResultCode.CONFIG_INVALID, str(error)) from None
    return format_block(msgspec.to_builtins(canonical))


def format_block(value: Any) -> str:
    """Return built-in values as YAML in block style, in the given order and without None."""
    return yaml.dump(
        _drop_none(value),
        Dumper=_Dumper,
        sort_keys=False,
        allow_unicode=True,
        width=_UNWRAPPED_WIDTH_CHARACTERS,
    )


def _drop_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _drop_none(item) for key, item in value.items() if item is not None}
    if isinstance(value, (list, tuple)):
        return [_drop_none(item) for item in value]
    return value


def parse_document(text: str) -> Configuration:
    """Parse a document and return its configuration in canonical form.

    Raise ``UserError`` with ``CONFIG_INVALID`` that names the key of a missing, unknown or
    mistyped value. ``validate.py`` checks the values themselves.
    """
    try:
        return canonicalize(convert(read_yaml(text), Configuration))
    except DocumentError as error:
        raise UserError(ResultCode.CONFIG_INVALID, str(error)) from None
