"""Define the kinds of statement that the entry tells apart."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.results import ResultCode


@dataclass(frozen=True)
class Empty:
    """Stand for text without any statement."""


@dataclass(frozen=True)
class Read:
    """Stand for a statement that changes nothing; ``verb`` is its first word."""

    verb: str = "select"


@dataclass(frozen=True)
class Write:
    """Stand for a statement, or several, that may change data.

    ``controls_transaction`` tells that BEGIN, COMMIT or ROLLBACK is among several.
    """

    verb: str
    contains_transaction_control: bool = False


@dataclass(frozen=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True)
class Commit:
    """Close a transaction and keep its changes."""


@dataclass(frozen=True)
class Rollback:
    """Close a transaction and drop its changes."""


@dataclass(frozen=True)
class TransactionSetting:
    """Set something for the rest of the transaction; without one it has no effect."""


@dataclass(frozen=True)
class SetHint:
    """Set a hint for the session; ``name`` lacks the prefix, ``value`` None restores it."""

    name: str
    value: str | None


@dataclass(frozen=True)
class ShowHint:
    """Ask for a hint of the session."""

    name: str


@dataclass(frozen=True)
class Deallocate:
    """Drop one prepared statement, or all of them where ``name`` is None."""

    name: str | None


@dataclass(frozen=True)
class NoOperation:
    """Stand for clean-up of session state that is never carried; ``tag`` is the answer."""

    tag: str


@dataclass(frozen=True)
class UnsupportedStatement:
    """Refuse a statement by number."""

    code: ResultCode
    reason: str


Statement = (
    Empty
    | Read
    | Write
    | Begin
    | Commit
    | Rollback
    | TransactionSetting
    | SetHint
    | ShowHint
    | Deallocate
    | NoOperation
    | UnsupportedStatement
)
NOT_COMBINABLE_TYPES = (Empty, SetHint, ShowHint, Deallocate, NoOperation)
