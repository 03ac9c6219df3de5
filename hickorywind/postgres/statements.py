"""Classify SQL text by what it may do, erring on the side of a write.

A statement counts as a read only if its form and every function it calls are known not to change
data; anything unknown goes to the primary.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

from hickorywind.postgres.functions import (
    CALL_KEYWORDS,
    READ_ONLY_FUNCTIONS,
    SESSION_FUNCTION_PREFIXES,
    SESSION_FUNCTIONS,
)
from hickorywind.postgres.kinds import (
    LOCAL_STATEMENTS,
    Begin,
    Commit,
    Deallocate,
    Empty,
    NoOperation,
    NotCarried,
    Read,
    Rollback,
    SetHint,
    ShowHint,
    Statement,
    TransactionSetting,
    Write,
)
from hickorywind.postgres.sqltext import Token, TokenKind, tokenize
from hickorywind.results import ResultCode

_CACHE_ENTRIES = 4_096
_CACHED_TEXT_LIMIT_CHARACTERS = 8_192
_HINT_PREFIX = "hickorywind"


def classify(text: str) -> Statement:
    """Say what SQL text may do."""
    if len(text) > _CACHED_TEXT_LIMIT_CHARACTERS:
        return _classify_text(text)
    return _classify_cached(text)


@lru_cache(maxsize=_CACHE_ENTRIES)
def _classify_cached(text: str) -> Statement:
    return _classify_text(text)


def _classify_text(text: str) -> Statement:
    parts = _split(tuple(tokenize(text)))
    if not parts:
        return Empty()
    found = [_classify_one(part) for part in parts]
    return found[0] if len(found) == 1 else _combine(found)


def _split(tokens: Sequence[Token]) -> list[Sequence[Token]]:
    parts: list[list[Token]] = [[]]
    for token in tokens:
        if token.kind is TokenKind.SYMBOL and token.text == ";":
            parts.append([])
        else:
            parts[-1].append(token)
    return [part for part in parts if part]


def _combine(found: Sequence[Statement]) -> Statement:
    for statement in found:
        if isinstance(statement, NotCarried):
            return statement
    if all(isinstance(statement, NoOperation) for statement in found):
        return found[-1]
    if any(isinstance(statement, LOCAL_STATEMENTS) for statement in found):
        reason = "a string of several statements can't hold statements about the session"
        return NotCarried(ResultCode.UNSUPPORTED_STATEMENT, reason)
    if all(isinstance(statement, Read) for statement in found):
        return Read("multiple")
    controls = any(isinstance(statement, Begin | Commit | Rollback) for statement in found)
    return Write("multiple", controls)


def _classify_one(tokens: Sequence[Token]) -> Statement:
    if any(token.kind is TokenKind.BROKEN for token in tokens):
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
            return _classify_end(words)
        case "show":
            return _classify_show(tokens, words)
        case "explain":
            return Write("explain") if "analyze" in words else Read("explain")
        case "set" | "reset":
            return _classify_setting(tokens, words)
        case "discard" | "unlisten" | "close" | "deallocate":
            return _classify_cleanup(tokens, words)
        case "copy" | "listen" | "notify" | "load" | "prepare" | "execute":
            return _not_carried(f"{words[0].upper()} is not carried")
        case "declare" if _contains(words, "with", "hold"):
            return _not_carried("DECLARE ... WITH HOLD is not carried")
        case "create":
            return _classify_create(words)
        case verb:
            return _check_session_functions(tokens) or Write(verb)


def _not_carried(reason: str) -> NotCarried:
    return NotCarried(ResultCode.SESSION_STATE_NOT_CARRIED, reason)


def _contains(words: Sequence[str], first: str, second: str) -> bool:
    pairs = zip(words, words[1:], strict=False)
    return (first, second) in pairs


def _called_functions(tokens: Sequence[Token]) -> set[str]:
    called = set()
    for token, following in zip(tokens, tokens[1:], strict=False):
        if following.text != "(" or following.kind is not TokenKind.SYMBOL:
            continue
        if token.kind is TokenKind.QUOTED_NAME:
            called.add(token.text.lower())
        elif token.kind is TokenKind.WORD and token.text not in CALL_KEYWORDS:
            called.add(token.text)
    return called


def _check_session_functions(tokens: Sequence[Token]) -> Statement | None:
    for name in _called_functions(tokens):
        if name == "pg_advisory_unlock_all":
            continue
        if name in SESSION_FUNCTIONS or name.startswith(SESSION_FUNCTION_PREFIXES):
            return _not_carried(f"function {name} uses session state, which is not carried")
    return None


def _classify_query(tokens: Sequence[Token], words: Sequence[str], verb: str) -> Statement:
    refused = _check_session_functions(tokens)
    if refused is not None:
        return refused
    called = _called_functions(tokens)
    if called == {"pg_advisory_unlock_all"}:
        return NoOperation("SELECT 1")
    if "into" in words and ("temp" in words or "temporary" in words):
        return _not_carried("temporary tables are not carried")
    changes = {"insert", "update", "delete", "merge", "into"} & set(words)
    if changes or _locks_rows(words) or not called <= READ_ONLY_FUNCTIONS:
        return Write(verb)
    return Read(verb)


def _locks_rows(words: Sequence[str]) -> bool:
    return any(_contains(words, "for", lock) for lock in ("update", "share", "no", "key"))


def _classify_end(words: Sequence[str]) -> Statement:
    if "prepared" in words:
        reason = "two-phase commit is not carried"
        return NotCarried(ResultCode.UNSUPPORTED_STATEMENT, reason)
    if words[0] in ("commit", "end"):
        return Commit()
    if "to" in words:
        return Write("rollback to")
    return Rollback()


def _name_after(tokens: Sequence[Token], start: int) -> tuple[str, int]:
    """Return a dotted name and the index behind it."""
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
    prefix, separator, rest = name.partition(".")
    return rest if separator and prefix == _HINT_PREFIX else None


def _classify_show(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    name, _ = _name_after(tokens, 1)
    hint = _hint_name(name)
    return Read("show") if hint is None else ShowHint(hint)


def _classify_setting(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    if words[0] == "reset":
        name, _ = _name_after(tokens, 1)
        hint = _hint_name(name)
        return NoOperation("RESET") if hint is None else SetHint(hint, None)
    following = words[1] if len(words) > 1 else ""
    if following in ("local", "transaction", "constraints"):
        return TransactionSetting()
    start = 2 if following == "session" else 1
    name, index = _name_after(tokens, start)
    value = _setting_value(tokens[index:])
    hint = _hint_name(name)
    if hint is not None:
        return SetHint(hint, value)
    if name == "application_name" or (name == "client_encoding" and _is_utf8(value)):
        return NoOperation("SET")
    return _not_carried(f"SET {name} is not carried; use SET LOCAL in a transaction")


def _is_utf8(value: str | None) -> bool:
    return (value or "").lower().replace("-", "") in ("utf8", "unicode")


def _setting_value(tokens: Sequence[Token]) -> str | None:
    rest = tokens[1:] if tokens and tokens[0].text in ("=", "to") else tokens
    if not rest or (len(rest) == 1 and rest[0].text == "default"):
        return None
    text = "".join(token.text for token in rest)
    if len(rest) == 1 and text.startswith("'"):
        return text[1:-1].replace("''", "'")
    return text


def _classify_cleanup(tokens: Sequence[Token], words: Sequence[str]) -> Statement:
    if words[0] == "deallocate":
        rest = [token for token in tokens[1:] if token.text != "prepare"]
        name = rest[0].text if rest else "all"
        return Deallocate(None if name == "all" else name)
    if words[0] == "close" and "all" not in words:
        return Write("close")
    if words[0] == "discard":
        return Deallocate(None) if "all" in words else NoOperation("DISCARD")
    return NoOperation("CLOSE CURSOR ALL" if words[0] == "close" else words[0].upper())


def _classify_create(words: Sequence[str]) -> Statement:
    if {"temp", "temporary"} & set(words[1:5]):
        return _not_carried("temporary tables are not carried")
    return Write("create")
