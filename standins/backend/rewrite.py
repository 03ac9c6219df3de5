"""Translation of PostgreSQL's SQL to sqlite's: placeholders, casts, strings, some functions."""

from __future__ import annotations

import re
from collections.abc import Sequence

from standins.backend.tokens import Token
from standins.backend.types import BOOL, BYTEA, FLOAT4, FLOAT8, INT2, INT4, INT8, type_oid_of

_SERIES = re.compile(
    r"\bgenerate_series\s*\(([^(),]+),([^(),]+)\)"
    r"(?:\s+(?:as\s+)?(?!where\b|order\b|limit\b|group\b|as\b|join\b|cross\b)(\w+)"
    r"(?:\s*\(\s*(\w+)\s*\))?)?",
    re.I,
)
_BARE_SERIES = re.compile(r"^\s*select\s+(generate_series\s*\([^()]*\))", re.I)
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r"}
_AFFINITIES = {INT2: "INTEGER", INT4: "INTEGER", INT8: "INTEGER", BOOL: "INTEGER"}
_AFFINITIES |= {FLOAT4: "REAL", FLOAT8: "REAL", BYTEA: "BLOB"}


def rewrite(tokens: Sequence[Token]) -> str:
    """Return the statement in sqlite's dialect."""
    output: list[str] = []
    for token in tokens:
        match token.kind:
            case "param":
                output.append("?" + token.text[1:])
            case "cast":
                _apply_cast(output, token.text[2:].strip())
            case "string":
                output.append(_unescape_string(token.text))
            case "space":
                output.append(" ")
            case _:
                output.append(token.text)
    return _rewrite_functions("".join(output).strip())


def _unescape_string(text: str) -> str:
    if text[0] not in "eE":
        return text
    body = re.sub(r"\\(.)", lambda m: _ESCAPES.get(m.group(1), m.group(1)), text[2:-1])
    return "'" + body.replace("''", "'").replace("'", "''") + "'"


def _apply_cast(output: list[str], type_name: str) -> None:
    start = _find_operand_start(output)
    affinity = _AFFINITIES.get(type_oid_of(type_name) or 0, "TEXT")
    operand = "".join(output[start:])
    if affinity == "INTEGER" and operand.strip("'").lower() in ("t", "true", "f", "false"):
        operand = "1" if operand.strip("'").lower().startswith("t") else "0"
    output[start:] = [f"CAST({operand} AS {affinity})"]


def _find_operand_start(output: list[str]) -> int:
    index = len(output) - 1
    if index >= 0 and output[index] == ")":
        depth = 0
        while index >= 0:
            depth += {")": 1, "(": -1}.get(output[index], 0)
            if depth == 0:
                break
            index -= 1
        if index > 0 and re.fullmatch(r"[A-Za-z_]\w*", output[index - 1]):
            index -= 1
    while index >= 2 and output[index - 1] == ".":
        index -= 2
    return max(index, 0)


def _rewrite_functions(sql: str) -> str:
    sql = re.sub(r"^truncate\s+(?:table\s+)?", "DELETE FROM ", sql, flags=re.I)
    sql = _BARE_SERIES.sub(r"SELECT generate_series FROM \1", sql)
    sql = _SERIES.sub(_series_query, sql)
    sql = re.sub(r"\s+for\s+update\b.*$", "", sql, flags=re.I | re.S)
    sql = re.sub(r"\bdefault\s+now\(\)", "DEFAULT (now())", sql, flags=re.I)
    return re.sub(r"\b(?:big)?serial\s+primary\s+key", "INTEGER PRIMARY KEY", sql, flags=re.I)


def _series_query(match: re.Match[str]) -> str:
    first, last, alias, column = match.groups()
    name = column or alias or "generate_series"
    return (
        f"(WITH RECURSIVE series({name}) AS (SELECT {first} WHERE {first} <= {last} "
        f"UNION ALL SELECT {name} + 1 FROM series WHERE {name} < {last}) "
        f"SELECT {name} FROM series) AS {alias or name}"
    )
