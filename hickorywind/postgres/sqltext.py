"""Cut SQL text into the few kinds of token that classification needs."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class TokenKind(Enum):
    """Name the kinds of token."""

    WORD = "word"
    QUOTED_NAME = "quoted_name"
    LITERAL = "literal"
    SYMBOL = "symbol"
    BROKEN = "broken"


@dataclass(frozen=True, slots=True)
class Token:
    """Hold one token; words are in lower case, quoted names without their quotes."""

    kind: TokenKind
    text: str


_TOKEN = re.compile(
    r"""
    (?P<space>\s+|--[^\n]*)
    | (?P<comment>/\*)
    | (?P<escaped>[eE]'(?:[^'\\]|\\.|'')*')
    | (?P<literal>(?:[bBxXnN]|[uU]&)?'(?:[^']|'')*')
    | (?P<dollar>\$(?:[A-Za-z_\x80-\uffff][\w]*)?\$)
    | (?P<parameter>\$\d+)
    | (?P<quoted>"(?:[^"]|"")*")
    | (?P<word>[^\W\d][\w$]*)
    | (?P<number>\d[\w.]*)
    | (?P<symbol>::|.)
    """,
    re.VERBOSE | re.DOTALL,
)
_COMMENT_EDGE = re.compile(r"/\*|\*/")
_QUOTES = frozenset("'\"")


def tokenize(text: str) -> Iterator[Token]:
    """Yield the tokens of SQL text without white space and comments.

    An unterminated literal, name or comment yields one BROKEN token and ends the text.
    """
    position = 0
    while position < len(text):
        match = _TOKEN.match(text, position)
        if match is None:
            yield Token(TokenKind.BROKEN, "")
            return
        position = match.end()
        kind = match.lastgroup
        found = match.group()
        if kind == "comment":
            end = _end_of_comment(text, position)
        elif kind == "dollar":
            end = _end_of_dollar_quote(text, position, found)
        else:
            end = position
        if end is None or (kind == "symbol" and found in _QUOTES):
            yield Token(TokenKind.BROKEN, "")
            return
        position = end
        token = _make_token(kind, found)
        if token is not None:
            yield token


def _make_token(kind: str | None, found: str) -> Token | None:
    match kind:
        case "space" | "comment":
            return None
        case "word":
            return Token(TokenKind.WORD, found.lower())
        case "quoted":
            return Token(TokenKind.QUOTED_NAME, found[1:-1].replace('""', '"'))
        case "symbol":
            return Token(TokenKind.SYMBOL, found)
        case _:
            return Token(TokenKind.LITERAL, found)


def _end_of_comment(text: str, position: int) -> int | None:
    depth = 1
    while depth:
        edge = _COMMENT_EDGE.search(text, position)
        if edge is None:
            return None
        depth += 1 if edge.group() == "/*" else -1
        position = edge.end()
    return position


def _end_of_dollar_quote(text: str, position: int, tag: str) -> int | None:
    end = text.find(tag, position)
    return None if end < 0 else end + len(tag)
