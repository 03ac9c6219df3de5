"""Descriptions of parameters and result columns, cached until the schema changes."""

from __future__ import annotations

from collections.abc import Sequence

from standins.backend.database import Connection
from standins.backend.describe import describe_columns, describe_parameters
from standins.backend.instance import Instance
from standins.backend.log import SqlValue
from standins.backend.sql import ParsedStatement
from standins.backend.types import Column


class Describer:
    """Describer of one session's statements, with a cache shared by the instance's sessions.

    ``has_uncommitted_schema`` means that the session's open transaction has changed the schema;
    the shared cache is bypassed then.
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
        """Return the result columns of a statement; raise ``SqlError`` if it is invalid."""
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
        """Return the type OID of each parameter."""
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
