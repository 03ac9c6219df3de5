"""Caller connections to entries through a stock PostgreSQL client."""

from __future__ import annotations

import re
from dataclasses import dataclass

import psycopg

from hickorywind.ids import Address, ServiceName
from hickorywind.results import Outcome

CONNECT_TIMEOUT_SECONDS = 3
_DETAIL_FIELD = re.compile(r"(\w+)=(\S+)")


@dataclass(frozen=True)
class Refusal:
    """Error as reported to the caller; ``code`` is None for a backend server's own error."""

    code: int | None
    outcome: Outcome
    sqlstate: str | None
    retry_after_ms: int | None
    message: str


def read_refusal(error: psycopg.Error) -> Refusal:
    """Return an error's fields; the outcome is unknown if no error answer arrived."""
    refusal = read_diagnostic(error.diag)
    if refusal is not None:
        return refusal
    # A backend server that answered with an error has rolled the statement back.
    outcome = Outcome.NOT_RUN if error.sqlstate else Outcome.UNKNOWN
    return Refusal(None, outcome, error.sqlstate, None, str(error))


def read_diagnostic(diagnostic: psycopg.errors.Diagnostic) -> Refusal | None:
    """Return the fields of an error raised by hickorywind, or None for a backend's error."""
    fields = dict(_DETAIL_FIELD.findall(diagnostic.message_detail or ""))
    if "outcome" not in fields:
        return None
    retry_after = fields.get("retry_after_ms", "")
    return Refusal(
        int(fields["code"]),
        Outcome(fields["outcome"]),
        diagnostic.sqlstate,
        int(retry_after) if retry_after.isdigit() else None,
        diagnostic.message_primary or "",
    )


async def connect_caller(
    address: Address, service: ServiceName, **options: str
) -> psycopg.AsyncConnection:
    """Open a connection in autocommit mode; ``options`` are hickorywind startup options."""
    settings = " ".join(f"-c hickorywind.{name}={value}" for name, value in options.items())
    return await psycopg.AsyncConnection.connect(
        host=address.host,
        port=address.port,
        dbname=service,
        user="bench",
        options=settings or None,
        autocommit=True,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        sslmode="disable",
        gssencmode="disable",
    )
