"""Statements and connection events of a caller, independent of the wire protocol.

The class names of the statements are written to the request log in lower case.
"""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import AccessMode


@dataclass(frozen=True, slots=True)
class Begin:
    """Start of a transaction; a read-only one may run on a replica."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit of the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Rollback of the open transaction."""


@dataclass(frozen=True, slots=True)
class Access:
    """Read or write of one item; the statement text is relayed unchanged."""

    mode: AccessMode


@dataclass(frozen=True, slots=True)
class SetValue:
    """Assignment of a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Preparation of a statement template under a name that is private to the session."""

    name: str
    mode: AccessMode
    template: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Execution of a prepared statement.

    ``arguments`` is the rest of the statement text and is relayed unchanged.
    """

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Removal of a prepared statement from the session."""

    name: str


Statement = Begin | Commit | Rollback | Access | SetValue | Prepare | Execute | Deallocate


@dataclass(frozen=True, slots=True)
class Connect:
    """Request to open a session on a database."""

    database: str
    client: str


@dataclass(frozen=True, slots=True)
class Request:
    """One statement with the caller's request id and the exact statement text."""

    request_id: str
    statement: Statement
    text: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """Request to end the session."""


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """Input that can't be parsed; the connection is closed if ``is_fatal`` is set."""

    request_id: str
    reason: str
    is_fatal: bool
    is_too_large: bool = False


CallerEvent = Connect | Request | Terminate | MalformedInput
