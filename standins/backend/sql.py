"""Splitting of SQL scripts into statements and their classification."""

from __future__ import annotations

import functools
import re
from dataclasses import dataclass
from enum import Enum

from standins.backend.rewrite import rewrite
from standins.backend.tokens import Token, tokenize

_CACHED_TEXT_LENGTH = 2_000
_ZERO_DIVISION = re.compile(r"/\s*0(?![\w.])")


class Kind(Enum):
    """Kind of statement, which decides how it is executed."""

    EMPTY = "empty"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SETTING = "setting"
    SHOW = "show"
    DEALLOCATE = "deallocate"
    DO = "do"
    UNSUPPORTED = "unsupported"
    UNKNOWN = "unknown"


_KINDS = {
    "select": Kind.READ,
    "with": Kind.READ,
    "values": Kind.READ,
    "begin": Kind.BEGIN,
    "start": Kind.BEGIN,
    "commit": Kind.COMMIT,
    "end": Kind.COMMIT,
    "rollback": Kind.ROLLBACK,
    "abort": Kind.ROLLBACK,
    "savepoint": Kind.SAVEPOINT,
    "release": Kind.SAVEPOINT,
    "set": Kind.SETTING,
    "reset": Kind.SETTING,
    "discard": Kind.SETTING,
    "show": Kind.SHOW,
    "deallocate": Kind.DEALLOCATE,
    "do": Kind.DO,
    "insert": Kind.WRITE,
    "update": Kind.WRITE,
    "delete": Kind.WRITE,
    "replace": Kind.WRITE,
    "create": Kind.WRITE,
    "drop": Kind.WRITE,
    "alter": Kind.WRITE,
    "truncate": Kind.WRITE,
    "copy": Kind.UNSUPPORTED,
    "listen": Kind.UNSUPPORTED,
    "unlisten": Kind.UNSUPPORTED,
    "notify": Kind.UNSUPPORTED,
}
_CHANGING_WORDS = {"insert", "update", "delete"}
_TAG_WORDS = {"create", "drop", "alter"}


@dataclass(frozen=True, slots=True)
class ParsedStatement:
    """Statement with its kind, its translation to sqlite's dialect, its words and its tokens.

    ``original`` is the statement in PostgreSQL's dialect without comments.
    """

    kind: Kind
    sql: str
    original: str
    words: tuple[str, ...]
    tokens: tuple[Token, ...]
    parameter_count: int

    @property
    def command(self) -> str:
        """Return the first word in lower case, or an empty string."""
        return self.words[0] if self.words else ""

    @property
    def returns_rows(self) -> bool:
        """Return whether the statement has a result set."""
        if self.kind is Kind.WRITE:
            return "returning" in self.words or self.command == "select"
        return self.kind in (Kind.READ, Kind.SHOW)

    @property
    def divides_by_zero(self) -> bool:
        """Return whether the statement divides by a literal zero, for which sqlite returns NULL."""
        if "/" not in self.original:
            return False
        code = "".join(t.text for t in self.tokens if t.kind not in ("string", "space"))
        return bool(_ZERO_DIVISION.search(code))

    def tag(self, row_count: int) -> str:
        """Return PostgreSQL's command tag for a number of rows."""
        command = self.command.upper()
        match command:
            case "SELECT" | "VALUES" | "WITH":
                return f"{self._with_command()} {row_count}".replace("INSERT", "INSERT 0")
            case "INSERT":
                return f"INSERT 0 {row_count}"
            case "UPDATE" | "DELETE":
                return f"{command} {row_count}"
            case "TRUNCATE":
                return "TRUNCATE TABLE"
            case "START":
                return "START TRANSACTION"
            case "END":
                return "COMMIT"
            case "ABORT":
                return "ROLLBACK"
        if self.command in _TAG_WORDS:
            return f"{command} {self._object_word().upper()}"
        return command

    def _with_command(self) -> str:
        changing = [word for word in self.words if word in _CHANGING_WORDS]
        if self.command != "with" or not changing:
            return "SELECT"
        return changing[-1].upper()

    def _object_word(self) -> str:
        skipped = {"temp", "temporary", "unique", "or", "replace"}
        names = [word for word in self.words[1:3] if word not in skipped]
        return names[0] if names else ""


def parse_script(text: str) -> list[ParsedStatement]:
    """Split a simple query into its statements, without empty ones."""
    parse = _parse_script if len(text) > _CACHED_TEXT_LENGTH else _parse_script_cached
    return list(parse(text))


def _parse_script(text: str) -> tuple[ParsedStatement, ...]:
    statements: list[list[Token]] = [[]]
    for token in tokenize(text):
        if token.text == ";" and token.kind == "other":
            statements.append([])
        else:
            statements[-1].append(token)
    parsed = [_parse(tokens) for tokens in statements]
    return tuple(statement for statement in parsed if statement.kind is not Kind.EMPTY)


_parse_script_cached = functools.lru_cache(1_000)(_parse_script)


def parse_statement(text: str) -> ParsedStatement:
    """Parse the statement of an extended query; raise ``ValueError`` for more than one."""
    statements = parse_script(text)
    if len(statements) > 1:
        raise ValueError("cannot insert multiple commands into a prepared statement")
    return statements[0] if statements else _parse([])


def _parse(tokens: list[Token]) -> ParsedStatement:
    words = tuple(t.text.lower() for t in tokens if t.kind == "word")
    counts = [int(t.text[1:]) for t in tokens if t.kind == "param"]
    original = "".join(" " if t.kind == "space" else t.text for t in tokens).strip()
    kind = _classify(words, original)
    sql = rewrite(tokens) if kind in (Kind.READ, Kind.WRITE) else original
    return ParsedStatement(kind, sql, original, words, tuple(tokens), max(counts, default=0))


def _classify(words: tuple[str, ...], original: str) -> Kind:
    if not original or (not words and not original.strip("() \n\t")):
        return Kind.EMPTY
    command = words[0] if words else ""
    if command == "rollback" and "to" in words:
        return Kind.SAVEPOINT
    kind = _KINDS.get(command, Kind.UNKNOWN)
    if kind is Kind.READ and command == "with" and _CHANGING_WORDS & set(words):
        return Kind.WRITE
    if kind is Kind.READ and _locks_rows(words):
        return Kind.WRITE
    return kind


def _locks_rows(words: tuple[str, ...]) -> bool:
    return ("for", "update") in zip(words, words[1:], strict=False)
