"""Tokenizer for SQL text, with the token kinds that classification needs."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum


class TokenKind(Enum):
    """Kind of a token; ``UNTERMINATED`` is a literal, name or comment without its end."""

    WORD = "word"
    QUOTED_IDENTIFIER = "quoted_name"
    LITERAL = "literal"
    SYMBOL = "symbol"
    UNTERMINATED = "broken"


@dataclass(frozen=True, slots=True)
class Token:
    """One token; words are in lower case, quoted identifiers without their quotes."""

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
_COMMENT_DELIMITER = re.compile(r"/\*|\*/")
_QUOTES = frozenset("'\"")


def tokenize(text: str) -> Iterator[Token]:
    """Yield the tokens of SQL text without white space and comments.

    An unterminated literal, name or comment yields one UNTERMINATED token, which is the last.
    """
    position = 0
    while position < len(text):
        match = _TOKEN.match(text, position)
        if match is None:
            yield Token(TokenKind.UNTERMINATED, "")
            return
        position = match.end()
        kind = match.lastgroup
        matched = match.group()
        if kind == "comment":
            end = _find_comment_end(text, position)
        elif kind == "dollar":
            end = _find_dollar_quote_end(text, position, matched)
        else:
            end = position
        if end is None or (kind == "symbol" and matched in _QUOTES):
            yield Token(TokenKind.UNTERMINATED, "")
            return
        position = end
        token = _make_token(kind, matched)
        if token is not None:
            yield token


def _make_token(kind: str | None, matched: str) -> Token | None:
    match kind:
        case "space" | "comment":
            return None
        case "word":
            return Token(TokenKind.WORD, matched.lower())
        case "quoted":
            return Token(TokenKind.QUOTED_IDENTIFIER, matched[1:-1].replace('""', '"'))
        case "symbol":
            return Token(TokenKind.SYMBOL, matched)
        case _:
            return Token(TokenKind.LITERAL, matched)


def _find_comment_end(text: str, position: int) -> int | None:
    depth = 1
    while depth:
        delimiter = _COMMENT_DELIMITER.search(text, position)
        if delimiter is None:
            return None
        depth += 1 if delimiter.group() == "/*" else -1
        position = delimiter.end()
    return position


def _find_dollar_quote_end(text: str, position: int, tag: str) -> int | None:
    end = text.find(tag, position)
    return None if end < 0 else end + len(tag)
