"""Kinds of SQL statement that the entry handles differently."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.results import ResultCode


@dataclass(frozen=True)
class Empty:
    """SQL text without any statement."""


@dataclass(frozen=True)
class Read:
    """Read-only statement; ``verb`` is its first keyword."""

    verb: str = "select"


@dataclass(frozen=True)
class Write:
    """One or several statements that may change data.

    ``contains_transaction_control`` states that BEGIN, COMMIT or ROLLBACK is one of several,
    ``contains_rollback`` that ROLLBACK is.
    """

    verb: str
    contains_transaction_control: bool = False
    contains_rollback: bool = False


@dataclass(frozen=True)
class Begin:
    """BEGIN or START TRANSACTION."""

    read_only: bool


@dataclass(frozen=True)
class Commit:
    """COMMIT or END."""


@dataclass(frozen=True)
class Rollback:
    """ROLLBACK or ABORT of a whole transaction."""


@dataclass(frozen=True)
class TransactionSetting:
    """SET LOCAL, SET TRANSACTION or SET CONSTRAINTS, which have no effect outside a transaction."""


@dataclass(frozen=True)
class SetHint:
    """SET or RESET of a session hint.

    ``name`` is without the ``hickorywind.`` prefix; a ``value`` of None restores the default."""

    name: str
    value: str | None


@dataclass(frozen=True)
class ShowHint:
    """SHOW of a session hint; ``name`` is without the ``hickorywind.`` prefix."""

    name: str


@dataclass(frozen=True)
class Deallocate:
    """Removal of one prepared statement, or of all where ``name`` is None."""

    name: str | None


@dataclass(frozen=True)
class NoOperation:
    """Cleanup of session state that the proxy never keeps, so that nothing needs to be done.

    ``tag`` is the command tag of the reply."""

    tag: str


@dataclass(frozen=True)
class UnsupportedStatement:
    """Statement that the entry refuses with a result code."""

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
