"""Conservative classification of SQL text as read, write, transaction control or session statement.

A statement is a read only if its form and every function that it calls are known not to change
data; any other statement is a write and goes to the primary.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

from hickorywind.postgres.functions import (
    NON_FUNCTION_KEYWORDS,
    READ_ONLY_FUNCTIONS,
    SESSION_FUNCTION_PREFIXES,
    SESSION_FUNCTIONS,
)
from hickorywind.postgres.sqltokenizer import Token, TokenKind, tokenize
from hickorywind.postgres.statementkinds import (
    NOT_COMBINABLE_TYPES,
    Begin,
    Commit,
    Deallocate,
    Empty,
    NoOperation,
    Read,
    Rollback,
    SetHint,
    ShowHint,
    Statement,
    TransactionSetting,
    UnsupportedStatement,
    Write,
)
from hickorywind.results import ResultCode

_CACHE_ENTRIES = 4_096
_CACHED_TEXT_MAX_CHARACTERS = 8_192
_HINT_PREFIX = "hickorywind"


def classify(text: str) -> Statement:
    """Return the classification of SQL text, which may hold several statements."""
    if len(text) > _CACHED_TEXT_MAX_CHARACTERS:
        return _classify_text(text)
    return _classify_cached(text)


@lru_cache(maxsize=_CACHE_ENTRIES)
def _classify_cached(text: str) -> Statement:
    return _classify_text(text)


def _classify_text(text: str) -> Statement:
    parts = _split_statements(tuple(tokenize(text)))
    if not parts:
        return Empty()
    statements = [_classify_statement(part) for part in parts]
    return statements[0] if len(statements) == 1 else _combine_statements(statements)


def _split_statements(tokens: Sequence[Token]) -> list[Sequence[Token]]:
    parts: list[list[Token]] = [[]]
    for token in tokens:
        if token.kind is TokenKind.SYMBOL and token.text == ";":
            parts.append([])
        else:
            parts[-1].append(token)
    return [part for part in parts if part]


def _combine_statements(statements: Sequence[Statement]) -> Statement:
    for statement in statements:
        if isinstance(statement, UnsupportedStatement):
            return statement
    if all(isinstance(statement, NoOperation) for statement in statements):
        return statements[-1]
    if any(isinstance(statement, NOT_COMBINABLE_TYPES) for statement in statements):
        reason = "a multi-statement query can't contain statements about the session"
        return UnsupportedStatement(ResultCode.UNSUPPORTED_STATEMENT, reason)
    if all(isinstance(statement, Read) for statement in statements):
        return Read("multiple")
    contains_control = any(
        isinstance(statement, Begin | Commit | Rollback) for statement in statements
    )
    contains_rollback = any(isinstance(statement, Rollback) for statement in statements)
    return Write("multiple", contains_control, contains_rollback)


def _classify_statement(tokens: Sequence[Token]) -> Statement:
    if any(token.kind is TokenKind.UNTERMINATED for token in tokens):
        return Write("broken")
    words = [token.text if token.kind is TokenKind.WORD else "" for token in tokens]
    match words[0]:
        case "" if tokens[0].text == "(":
            return _classify_query(tokens, words, "select")
        case "select" | "values" | "table" | "with":
            return _classify_query(tokens, words, words[0])
        case "begin" | "start":
            return Begin(_contains(words, "read", "only"))
        case "commit" | "end" | "rollback" | "abort":
            return _classify_transaction_end(words)
        case "show":
            return _classify_show(tokens, words)
        case "explain":
            return Write("explain") if "analyze" in words else Read("explain")
        case "set" | "reset":
            return _classify_setting(tokens, words)
        case "discard" | "unlisten" | "close" | "deallocate":
            return _classify_cleanup(tokens, words)
        case "copy" | "listen" | "notify" | "load" | "prepare" | "execute":
            return _unsupported_session_state(f"{words[0].upper()} is not carried")
        case "declare" if _contains(words, "with", "hold"):
            return _unsupported_session_state("DECLARE ... WITH HOLD is not carried")
        case "create":
            return _classify_create(words)
        case verb:
            return _refuse_session_functions(tokens) or Write(verb)


def _unsupported_session_state(reason: str) -> UnsupportedStatement:
    return UnsupportedStatement(ResultCode.SESSION_STATE_NOT_CARRIED, reason)


def _contains(words: Sequence[str], first: str, second: str) -> bool:
    pairs = zip(words, words[1:], strict=False)
    return (first, second) in pairs


def _called_functions(tokens: Sequence[Token]) -> set[str]:
    called = set()
    for token, following in zip(tokens, tokens[1:], strict=False):
        if following.text != "(" or following.kind is not TokenKind.SYMBOL:
            continue
        if token.kind is TokenKind.QUOTED_IDENTIFIER:
            called.add(token.text.lower())
        elif token.kind is TokenKind.WORD and token.text not in NON_FUNCTION_KEYWORDS:
            called.add(token.text)
    return called


def _refuse_session_functions(tokens: Sequence[Token]) -> Statement | None:
    for name in _called_functions(tokens):
        if name == "pg_advisory_unlock_all":
            continue
        if name in SESSION_FUNCTIONS or name.startswith(SESSION_FUNCTION_PREFIXES):
            return _unsupported_session_state(
                f"function {name} uses session state, which is not carried"
            )
    return None


def _classify_query(tokens: Sequence[Token], words: Sequence[str], verb: str) -> Statement:
    refusal = _refuse_session_functions(tokens)
    if refusal is not None:
        return refusal
    called = _called_functions(tokens)
    if called == {"pg_advisory_unlock_all"}:
        return NoOperation("SELECT 1")
    if "into" in words and ("temp" in words or "temporary" in words):
        return _unsupported_session_state("temporary tables are not carried")
    changes = {"insert", "update", "delete", "merge", "into"} & set(words)
    if changes or _locks_rows(words) or not called <= READ_ONLY_FUNCTIONS:
        return Write(verb)
    return Read(verb)


def _locks_rows(words: Sequence[str]) -> bool:
    return any(_contains(words, "for", lock) for lock in ("update", "share", "no", "key"))


def _classify_transaction_end(words: Sequence[str]) -> Statement:
    if "prepared" in words:
        reason = "two-phase commit is not carried"
        return UnsupportedStatement(ResultCode.UNSUPPORTED_STATEMENT, reason)
    if words[0] in ("commit", "end"):
        return Commit()
    if "to" in words:
        return Write("rollback to")
    return Rollback()


def _read_dotted_name(tokens: Sequence[Token], start: int) -> tuple[str, int]:
    """Return a dotted name in lower case and the index of the token after it."""
    index = start
    name = ""
    while index < len(tokens):
        token = tokens[index]
        if token.kind is TokenKind.SYMBOL and token.text != ".":
            break
        if name and not name.endswith(".") and token.text != ".":
            break
        name += token.text
        index += 1
    return name.lower(), index


def _hint_name(name: str) -> str | None:
    prefix, separator, hint = name.partition(".")
    return hint if separator and prefix == _HINT_PREFIX else None


def _classify_show(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    name, _ = _read_dotted_name(tokens, 1)
    hint = _hint_name(name)
    return Read("show") if hint is None else ShowHint(hint)


def _classify_setting(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    if words[0] == "reset":
        name, _ = _read_dotted_name(tokens, 1)
        hint = _hint_name(name)
        return NoOperation("RESET") if hint is None else SetHint(hint, None)
    following = words[1] if len(words) > 1 else ""
    if following in ("local", "transaction", "constraints"):
        return TransactionSetting()
    start = 2 if following == "session" else 1
    name, index = _read_dotted_name(tokens, start)
    value = _setting_value(tokens[index:])
    hint = _hint_name(name)
    if hint is not None:
        return SetHint(hint, value)
    if name == "application_name" or (name == "client_encoding" and _is_utf8(value)):
        return NoOperation("SET")
    return _unsupported_session_state(f"SET {name} is not carried; use SET LOCAL in a transaction")


def _is_utf8(value: str | None) -> bool:
    return (value or "").lower().replace("-", "") in ("utf8", "unicode")


def _setting_value(tokens: Sequence[Token]) -> str | None:
    remaining = tokens[1:] if tokens and tokens[0].text in ("=", "to") else tokens
    if not remaining or (len(remaining) == 1 and remaining[0].text == "default"):
        return None
    text = "".join(token.text for token in remaining)
    if len(remaining) == 1 and text.startswith("'"):
        return text[1:-1].replace("''", "'")
    return text


def _classify_cleanup(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    if words[0] == "deallocate":
        remaining = [token for token in tokens[1:] if token.text != "prepare"]
        name = remaining[0].text if remaining else "all"
        return Deallocate(None if name == "all" else name)
    if words[0] == "close" and "all" not in words:
        return Write("close")
    if words[0] == "discard":
        return Deallocate(None) if "all" in words else NoOperation("DISCARD")
    return NoOperation("CLOSE CURSOR ALL" if words[0] == "close" else words[0].upper())


def _classify_create(words: Sequence[str]) -> Statement:
    if {"temp", "temporary"} & set(words[1:5]):
        return _unsupported_session_state("temporary tables are not carried")
    return Write("create")
