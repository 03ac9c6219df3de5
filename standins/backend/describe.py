"""Inference of the types of parameters and result columns, which sqlite does not provide."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from standins.backend.database import Connection
from standins.backend.log import SqlValue
from standins.backend.sql import Kind, ParsedStatement
from standins.backend.tokens import Token, tokenize
from standins.backend.types import (
    BOOL,
    INT4,
    INT8,
    TEXT,
    TIMESTAMPTZ,
    Column,
    type_oid_of,
    type_oid_of_value,
)

_UNNAMED_COLUMN = "?column?"
_VIEW_NAME = "standin_view"
_IDENTIFIER = re.compile(r"[A-Za-z_]\w*")
_CALL = re.compile(r"([A-Za-z_]\w*)\s*\(", re.I)
_CAST_SUFFIX = re.compile(r"::\s*([A-Za-z_][\w ]*?)(?:\s*\(\d+\))?(?:\s+as\s+\S+)?\s*$", re.I)
_CAST_CALL = re.compile(r"^cast\s*\(.*\bas\s+([\w ]+?)\s*\)(?:\s+as\s+\S+)?$", re.I | re.S)
_ALIAS = re.compile(r"\s+as\s+\"?(\w+)\"?\s*$", re.I)
_FUNCTION_TYPES = {"count": INT8, "now": TIMESTAMPTZ, "pg_is_in_recovery": BOOL}
_FUNCTION_TYPES |= {"length": INT4, "pg_backend_pid": INT4, "exists": BOOL}
_COMPARISONS = ("=", "<", ">", "!")


class Schema:
    """Declared column types of the tables that a statement names."""

    def __init__(self, connection: Connection, words: Sequence[str]) -> None:
        self.columns: dict[str, list[tuple[str, int]]] = {}
        for word in dict.fromkeys(words):
            rows = connection.run_internal(f'PRAGMA table_info("{word}")')
            if rows:
                typed = [(str(row[1]).lower(), type_oid_of(str(row[2])) or TEXT) for row in rows]
                self.columns[word] = typed

    def type_of(self, column: str) -> int | None:
        """Return the type OID of the first column with a name, or None if there is none."""
        for columns in self.columns.values():
            for name, type_oid in columns:
                if name == column.lower():
                    return type_oid
        return None


def describe_parameters(
    connection: Connection, statement: ParsedStatement, declared: Sequence[int]
) -> list[int]:
    """Return the type OID of each parameter.

    A type comes from the client, from a cast, or from the column that the parameter is compared
    with or inserted into; the default is text.
    """
    schema = Schema(connection, statement.words)
    tokens = [token for token in statement.tokens if token.kind != "space"]
    inferred = _infer_insert_types(statement, schema, tokens)
    for index, token in enumerate(tokens):
        if token.kind == "param":
            type_oid = _type_in_context(tokens, index, schema)
            number = int(token.text[1:])
            if type_oid is not None:
                inferred.setdefault(number, type_oid)
    return [
        (declared[number - 1] if number <= len(declared) else 0) or inferred.get(number, TEXT)
        for number in range(1, statement.parameter_count + 1)
    ]


def _type_in_context(tokens: list[Token], index: int, schema: Schema) -> int | None:
    following = tokens[index + 1] if index + 1 < len(tokens) else None
    if following is not None and following.kind == "cast":
        return type_oid_of(following.text[2:].strip())
    previous = index - 1
    if previous >= 0 and tokens[previous].text.lower() in ("limit", "offset"):
        return INT8
    if previous >= 0 and tokens[previous].text.lower() == "pg_sleep":
        return None
    for preceding in range(previous, max(previous - 12, -1), -1):
        token = tokens[preceding]
        if token.kind in ("word", "quoted"):
            type_oid = schema.type_of(token.text.strip('"'))
            if type_oid is not None:
                return type_oid
        if token.text in (",", ";") and not _inside_list(tokens, preceding):
            break
    return None


def _inside_list(tokens: list[Token], index: int) -> bool:
    return any(token.text.lower() == "in" for token in tokens[max(0, index - 10) : index])


def _infer_insert_types(
    statement: ParsedStatement, schema: Schema, tokens: list[Token]
) -> dict[int, int]:
    if statement.command != "insert" or "values" not in statement.words:
        return {}
    table = statement.words[2] if len(statement.words) > 2 else ""
    columns = schema.columns.get(table, [])
    values_at = next(i for i, t in enumerate(tokens) if t.text.lower() == "values")
    column_names = [
        t.text.strip('"').lower() for t in tokens[3:values_at] if t.kind in ("word", "quoted")
    ]
    types = dict(columns)
    target_types = [types.get(name, TEXT) for name in column_names] or [oid for _, oid in columns]
    return _infer_types_by_position(tokens[values_at + 1 :], target_types)


def _infer_types_by_position(tokens: list[Token], target_types: list[int]) -> dict[int, int]:
    inferred: dict[int, int] = {}
    depth = 0
    column_index = 0
    for index, token in enumerate(tokens):
        if token.text == "(":
            depth += 1
            column_index = 0 if depth == 1 else column_index
        elif token.text == ")":
            depth -= 1
        elif token.text == "," and depth == 1:
            column_index += 1
        elif token.text.lower() in ("on", "returning") and depth == 0:
            break
        elif token.kind == "param" and depth == 1 and column_index < len(target_types):
            cast = tokens[index + 1] if index + 1 < len(tokens) else None
            if cast is None or cast.kind != "cast":
                inferred.setdefault(int(token.text[1:]), target_types[column_index])
    return inferred


@dataclass(frozen=True)
class Description:
    """Result columns; ``is_from_schema`` is false if a type was inferred from a value."""

    columns: list[Column]
    is_from_schema: bool = True


def describe_columns(
    connection: Connection, statement: ParsedStatement, parameters: Sequence[SqlValue]
) -> Description:
    """Return the result columns of a statement; raise ``SqlError`` if it is invalid."""
    if statement.kind is Kind.SHOW:
        name = statement.words[1] if len(statement.words) > 1 else "name"
        return Description([Column(name, TEXT)])
    if not statement.returns_rows:
        return Description([])
    expressions = _result_expressions(statement)
    if statement.kind is Kind.WRITE and statement.command != "select":
        return Description(_returned_columns(connection, statement, expressions))
    view_columns = _view_columns(connection, statement)
    aligned_expressions = (
        expressions if len(expressions) == len(view_columns) else [""] * len(view_columns)
    )
    types = [
        type_oid_of(type_name) or _type_of_expression(expression)
        for (_, type_name), expression in zip(view_columns, aligned_expressions, strict=True)
    ]
    is_from_schema = None not in types
    if not is_from_schema:
        types = _probe_types(connection, statement, parameters, types)
    names = [
        _column_name(name, expression)
        for (name, _), expression in zip(view_columns, aligned_expressions, strict=True)
    ]
    columns = [Column(name, oid) for name, oid in zip(names, types, strict=True)]
    return Description(columns, is_from_schema)


def _view_columns(connection: Connection, statement: ParsedStatement) -> list[tuple[str, str]]:
    sql = re.sub(r"\?\d+", "NULL", statement.sql) if statement.parameter_count else statement.sql
    connection.run_internal(f"CREATE TEMP VIEW {_VIEW_NAME} AS {sql}")
    try:
        rows = connection.run_internal(f"PRAGMA temp.table_info({_VIEW_NAME})")
    finally:
        connection.run_internal(f"DROP VIEW IF EXISTS temp.{_VIEW_NAME}")
    return [(str(row[1]), str(row[2])) for row in rows]


def _probe_types(
    connection: Connection,
    statement: ParsedStatement,
    parameters: Sequence[SqlValue],
    types: Sequence[int | None],
) -> list[int]:
    values = list(parameters) or [None] * statement.parameter_count
    row = connection.first_row(statement.sql, values)
    probed_types = [type_oid_of_value(value) for value in row] if row else [None] * len(types)
    return [
        known_type or probed_type or TEXT
        for known_type, probed_type in zip(types, probed_types, strict=True)
    ]


def _returned_columns(
    connection: Connection, statement: ParsedStatement, expressions: list[str]
) -> list[Column]:
    schema = Schema(connection, statement.words)
    columns: list[Column] = []
    for expression in expressions:
        if expression.endswith("*"):
            first = next(iter(schema.columns.values()), [])
            columns += [Column(name, oid) for name, oid in first]
            continue
        bare_expression = _ALIAS.sub("", expression).rpartition(".")[2].strip('"')
        type_oid = schema.type_of(bare_expression) or _type_of_expression(expression) or TEXT
        columns.append(Column(_column_name(bare_expression, expression), type_oid))
    return columns


def _result_expressions(statement: ParsedStatement) -> list[str]:
    start = "returning" if statement.kind is Kind.WRITE else "select"
    tokens = list(statement.tokens)
    begin = next((i for i, t in enumerate(tokens) if t.text.lower() == start), None)
    if begin is None or statement.command == "with":
        return []
    expressions = [""]
    depth = 0
    for token in tokens[begin + 1 :]:
        depth += {"(": 1, ")": -1}.get(token.text, 0)
        if depth == 0 and token.text.lower() in ("from", "union", "where", "order", "limit"):
            break
        if depth == 0 and token.text == ",":
            expressions.append("")
        else:
            expressions[-1] += token.text
    return [expression.strip() for expression in expressions]


def _type_of_expression(expression: str) -> int | None:
    for pattern in (_CAST_SUFFIX, _CAST_CALL):
        match = pattern.search(expression)
        if match:
            return type_oid_of(match.group(1))
    bare_expression = _ALIAS.sub("", expression)
    if bare_expression.lower() in ("true", "false"):
        return BOOL
    call = _CALL.match(bare_expression)
    if call and bare_expression.endswith(")") and bare_expression.count("(") == 1:
        return _FUNCTION_TYPES.get(call.group(1).lower())
    if (
        bare_expression.startswith("'")
        and bare_expression.endswith("'")
        and bare_expression.count("'") == 2
    ):
        return TEXT
    return BOOL if _is_comparison(bare_expression) else None


def _is_comparison(expression: str) -> bool:
    depth = 0
    for token in tokenize(expression):
        depth += {"(": 1, ")": -1}.get(token.text, 0)
        if depth == 0 and token.kind == "other" and token.text in _COMPARISONS:
            return True
    return False


def _column_name(name: str, expression: str) -> str:
    alias = _ALIAS.search(expression)
    if alias:
        return alias.group(1)
    bare_expression = re.sub(r":\d+$", "", name)
    if _IDENTIFIER.fullmatch(bare_expression):
        return bare_expression
    call = _CALL.match(expression)
    if call:
        return call.group(1).lower()
    cast = _CAST_SUFFIX.search(expression)
    if cast:
        return cast.group(1).lower()
    return _UNNAMED_COLUMN
