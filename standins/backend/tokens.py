"""Tokenizer for SQL text."""

from __future__ import annotations

import re
from dataclasses import dataclass

_TYPE = (
    r"(?:double\s+precision|character\s+varying|timestamp\s+with(?:out)?\s+time\s+zone"
    r"|[A-Za-z_]\w*)(?:\s*\(\s*\d+\s*\))?"
)
_TOKEN = re.compile(
    rf"""(?P<space>\s+|--[^\n]*|/\*.*?\*/)
    |(?P<string>[eE]'[^'\\]*(?:(?:\\.|'')[^'\\]*)*'|'[^']*(?:''[^']*)*')
    |(?P<dollar>\$(?P<tag>[A-Za-z_]*)\$.*?\$(?P=tag)\$)
    |(?P<quoted>"(?:[^"]|"")*")
    |(?P<param>\$\d+)
    |(?P<cast>::\s*{_TYPE})
    |(?P<number>\d+(?:\.\d+)?)
    |(?P<word>[A-Za-z_]\w*)
    |(?P<other>.)""",
    re.S | re.X | re.I,
)


@dataclass(frozen=True, slots=True)
class Token:
    """Token of SQL text; ``kind`` is the name of its group in the regular expression."""

    kind: str
    text: str


def tokenize(text: str) -> list[Token]:
    """Split SQL text into tokens, whose concatenated texts equal the input."""
    return [Token(match.lastgroup, match.group()) for match in _TOKEN.finditer(text)]
