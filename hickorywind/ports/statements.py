"""Define the statements of a caller independently of any wire protocol."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import AccessMode


@dataclass(frozen=True, slots=True)
class Begin:
    """Open a transaction; a read-only one may run at a replica."""

    read_only: bool


@dataclass(frozen=True, slots=True)
class Commit:
    """End the open transaction and keep its changes."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """End the open transaction and drop its changes."""


@dataclass(frozen=True, slots=True)
class Access:
    """Read or write one item; the text of the statement is relayed unchanged."""

    mode: AccessMode


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Give a statement shape a name within the session."""

    name: str
    mode: AccessMode
    template: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; ``arguments`` is the rest of the text, relayed unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Drop a prepared statement name."""

    name: str


Statement = Begin | Commit | Rollback | Access | SetValue | Prepare | Execute | Deallocate


@dataclass(frozen=True, slots=True)
class Connect:
    """Open a session at a database."""

    database: str
    client: str


@dataclass(frozen=True, slots=True)
class Request:
    """Carry one statement with the caller's request id and the exact text."""

    request_id: str
    statement: Statement
    text: str


@dataclass(frozen=True, slots=True)
class Terminate:
    """End the session."""


@dataclass(frozen=True, slots=True)
class MalformedInput:
    """Report input that can't be read; the connection is closed where ``is_fatal``."""

    request_id: str
    reason: str
    is_fatal: bool
    is_too_large: bool = False


CallerEvent = Connect | Request | Terminate | MalformedInput
