"""SQLSTATE codes and the translation of sqlite errors."""

from __future__ import annotations

import re
import sqlite3

SYNTAX_ERROR = "42601"
UNDEFINED_TABLE = "42P01"
FEATURE_NOT_SUPPORTED = "0A000"
FAILED_TRANSACTION = "25P02"
READ_ONLY = "25006"
QUERY_CANCELED = "57014"
CANNOT_CONNECT_NOW = "57P03"
INVALID_TEXT = "22P02"
DIVISION_BY_ZERO = "22012"
UNKNOWN_STATEMENT = "26000"
UNKNOWN_CURSOR = "34000"
PROTOCOL_VIOLATION = "08P01"
TOO_MANY_CONNECTIONS = "53300"
INVALID_PASSWORD = "28P01"
DUPLICATE_STATEMENT = "42P05"
ADMIN_SHUTDOWN = "57P01"
INTERNAL = "XX000"

_SQLSTATE_PATTERNS: tuple[tuple[re.Pattern[str], str], ...] = tuple(
    (re.compile(pattern), sqlstate)
    for pattern, sqlstate in (
        (r"UNIQUE constraint failed", "23505"),
        (r"NOT NULL constraint failed", "23502"),
        (r"CHECK constraint failed", "23514"),
        (r"FOREIGN KEY constraint failed", "23503"),
        (r"no such table", UNDEFINED_TABLE),
        (r"no such column|has no column named", "42703"),
        (r"no such function|wrong number of arguments", "42883"),
        (r"already exists", "42P07"),
        (r"interrupted|canceling statement", QUERY_CANCELED),
        (r"datatype mismatch", INVALID_TEXT),
        (r"no such savepoint", "3B001"),
        (r"Incorrect number of bindings", PROTOCOL_VIOLATION),
        (r"syntax error|incomplete input|unrecognized token|values for|values were", SYNTAX_ERROR),
    )
)


class SqlError(Exception):
    """Error of a statement, with its SQLSTATE."""

    def __init__(self, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate

    @classmethod
    def from_sqlite(cls, error: sqlite3.Error) -> SqlError:
        """Translate a sqlite error into PostgreSQL's SQLSTATE and message."""
        message = str(error)
        for pattern, sqlstate in _SQLSTATE_PATTERNS:
            if pattern.search(message):
                return cls(sqlstate, _translate_message(sqlstate, message))
        return cls(INTERNAL, message)


def _translate_message(sqlstate: str, message: str) -> str:
    match sqlstate:
        case "42P01":
            return f'relation "{message.rpartition(": ")[2]}" does not exist'
        case "23505":
            return f"duplicate key value violates unique constraint ({message})"
        case "57014":
            return "canceling statement due to user request"
    return message
