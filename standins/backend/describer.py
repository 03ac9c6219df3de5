"""Describe statements of a session and remember the answers until the schema changes."""

from __future__ import annotations

from collections.abc import Sequence

from standins.backend.database import Connection
from standins.backend.describe import describe_columns, describe_parameters
from standins.backend.instance import Instance
from standins.backend.log import SqlValue
from standins.backend.sql import ParsedStatement
from standins.backend.types import Column


class Describer:
    """Share descriptions between the sessions of an instance.

    ``own_schema`` says that the session's transaction has changed the schema for itself only.
    """

    def __init__(self, instance: Instance, connection: Connection) -> None:
        self._instance = instance
        self._connection = connection

    async def columns(
        self,
        statement: ParsedStatement,
        parameters: Sequence[SqlValue],
        has_uncommitted_schema: bool,
    ) -> list[Column]:
        """Return the result columns; raise ``SqlError`` for a statement that is wrong."""
        key = (self._instance.schema_version, statement.original)
        known = self._instance.descriptions.get(key)
        if known is not None and not has_uncommitted_schema:
            return known
        description = await self._instance.run_blocking(
            describe_columns, self._connection, statement, parameters
        )
        if description.is_from_schema and not has_uncommitted_schema:
            self._instance.cache_description(key, description.columns)
        return description.columns

    async def parameters(
        self, statement: ParsedStatement, declared: Sequence[int], has_uncommitted_schema: bool
    ) -> list[int]:
        """Return a type for each parameter."""
        if statement.parameter_count == 0:
            return []
        key = (self._instance.schema_version, statement.original, tuple(declared))
        known = self._instance.descriptions.get(key)
        if known is not None and not has_uncommitted_schema:
            return known
        types = await self._instance.run_blocking(
            describe_parameters, self._connection, statement, declared
        )
        if not has_uncommitted_schema:
            self._instance.cache_description(key, types)
        return types
