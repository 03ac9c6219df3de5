"""Comparison of each statement that a server runs with what its caller sent."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, field
from enum import Enum

OWN_REQUEST_ID = "-"  # of statements that a host sends for itself
OWN_STATEMENTS = frozenset(
    "BEGIN ROLLBACK SET RESET PREPARE DEALLOCATE STATUS STEPDOWN PAUSE RESUME".split()
)
ROLE_WORDS = ("STEPDOWN", "PAUSE", "RESUME")
_MAX_SHOWN_TEXT = 60
_NO_STATEMENT = "NOSTMT"


class StatementPromise(Enum):
    """Promise about the statements that reach a server."""

    STATEMENT_PINNED = (
        "a statement runs in its own transaction, on its connection, with its session's values and "
        "prepared statements"
    )
    STATEMENT_ASKED = "a server runs only what a caller sent, and commits only on request"


@dataclass(frozen=True)
class Shape:
    """Prepared statement behind a name."""

    mode: str
    text: str


@dataclass(eq=False)
class CallerTransaction:
    """Transaction of a caller, from its BEGIN until it is told of the end or leaves."""

    started_s: float = 0.0  # when its BEGIN was sent
    is_read_only: bool = False
    server_transaction: ServerTransaction | None = None  # in which its first statement ran


class ServerTransaction(list[tuple[str, str]]):
    """Writes of an open transaction at a server, and whose transaction it is."""

    def __init__(self, backend: str, is_read_only: bool) -> None:
        super().__init__()
        self.backend = backend
        self.is_read_only = is_read_only
        self.owner: CallerTransaction | None = None
        # Values and prepared statements of the connection at its BEGIN.
        self.session_before: tuple[dict[str, str], dict[str, tuple[str, str]]] = ({}, {})


@dataclass
class CallerSession:
    """Values, prepared statements and transaction that were acknowledged to a caller."""

    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, Shape] = field(default_factory=dict)
    transaction: CallerTransaction | None = None


@dataclass(frozen=True)
class SentStatement:
    """Statement of a caller, with the state of its session when it was sent."""

    text: str
    values: Mapping[str, str]
    shape: Shape | None
    transaction: CallerTransaction | None


@dataclass(frozen=True)
class ServerStatement:
    """Statement at a server, with the state of its connection before it ran.

    ``error_code`` is empty if the statement ran.
    """

    request_id: str
    host: str
    backend: str
    text: str
    error_code: str
    values: Mapping[str, str]
    shape: Shape | None
    transaction: ServerTransaction | None
    log: Container[str] = ()  # writes that the server held when it ran the statement
    is_write: bool = False  # or a COMMIT of writes
    is_at_former_primary: bool = False  # which has not learned of its successor

    def describe(self) -> str:
        """Return the statement, and where it came from."""
        text = self.text
        if len(text) > _MAX_SHOWN_TEXT:
            text = f"{text[:_MAX_SHOWN_TEXT]}... ({len(text)} characters)"
        return f"{self.request_id} {text} from {self.host} at {self.backend}"


class StatementChecker:
    """Checker that joins the statements of callers and servers by their id."""

    def __init__(self, report: Callable[[StatementPromise, str], None]) -> None:
        self.counts: Counter[str] = Counter()
        self._report = report
        self._sent: dict[str, SentStatement] = {}
        self._setups: set[str] = set()  # SET and PREPARE of all callers, without statement names

    def record_sent(self, request_id: str, text: str, session: CallerSession) -> None:
        """Record a statement before a caller sends it."""
        words = text.split(" ", 2)
        self._setups.add(_split_setup(text))
        shape = session.shapes.get(words[1]) if words[0] == "EXECUTE" else None
        sent = SentStatement(text, dict(session.values), shape, session.transaction)
        self._sent[request_id] = sent

    def handle_statement(self, statement: ServerStatement) -> None:
        """Check a statement that a server has run or refused."""
        if statement.request_id == OWN_REQUEST_ID:
            self._check_own(statement)
            return
        sent = self._sent.get(statement.request_id)
        if sent is None:
            self._fail(StatementPromise.STATEMENT_ASKED, statement, "no caller sent this id")
            return
        self._compare(
            "text", statement.text, sent.text, StatementPromise.STATEMENT_ASKED, statement
        )
        if statement.error_code == _NO_STATEMENT:
            if sent.shape is not None:
                detail = f"the name is unknown, prepared as {sent.shape}"
                self._fail(StatementPromise.STATEMENT_PINNED, statement, detail)
            return
        if statement.error_code:
            self.counts["refused statements of callers"] += 1
            return
        pinned = StatementPromise.STATEMENT_PINNED
        self._compare("values", statement.values, sent.values, pinned, statement)
        if sent.text.startswith("EXECUTE "):
            self._compare("shapes", statement.shape, sent.shape, pinned, statement)
        self._check_transaction(statement, sent.transaction)

    def count_half_line(self) -> None:
        """Count a statement whose sender left before its end; it must not run."""
        self.counts["half lines"] += 1

    def _check_own(self, statement: ServerStatement) -> None:
        word = remove_position(statement.text).partition(" ")[0]
        self.counts["own statements"] += 1
        if word not in OWN_STATEMENTS:
            self._fail(StatementPromise.STATEMENT_ASKED, statement, "not a host's own statement")
        elif word in ("SET", "PREPARE") and _split_setup(statement.text) not in self._setups:
            self._fail(StatementPromise.STATEMENT_ASKED, statement, "no caller asked for this")
        elif statement.error_code:
            self.counts[f"refused {word}"] += 1
        elif word in ROLE_WORDS:
            self.counts[f"{word} of hosts"] += 1

    def _compare(
        self,
        what: str,
        found: object,
        expected: object,
        promise: StatementPromise,
        statement: ServerStatement,
    ) -> None:
        self.counts[f"compared {what}"] += 1
        if what == "text":
            found, expected = _split_text(str(found)), _split_text(str(expected))
        if found != expected:
            detail = f"{what} {_shorten(found)}, the caller's {_shorten(expected)}"
            self._fail(promise, statement, detail)

    def _check_transaction(
        self, statement: ServerStatement, transaction: CallerTransaction | None
    ) -> None:
        self.counts["compared transactions"] += 1
        there = statement.transaction
        if there is None or transaction is None:
            if there is not None or transaction is not None:
                place = "outside its" if there is None else "inside a"
                self._fail_transaction(statement, f"{place} transaction")
            return
        if there.owner is None:
            there.owner = transaction
        if transaction.server_transaction is None:
            transaction.server_transaction = there
        if there.owner is not transaction:
            self._fail_transaction(statement, "inside the transaction of another caller")
        if transaction.server_transaction is not there:
            began = transaction.server_transaction.backend
            self._fail_transaction(
                statement, f"its transaction began on another connection, {began}"
            )

    def _fail_transaction(self, statement: ServerStatement, detail: str) -> None:
        promise = StatementPromise.STATEMENT_PINNED
        if statement.text == "COMMIT" and statement.transaction:
            promise = StatementPromise.STATEMENT_ASKED
        self._fail(promise, statement, detail)

    def _fail(self, promise: StatementPromise, statement: ServerStatement, detail: str) -> None:
        self.counts[f"broken: {promise.name}"] += 1
        self._report(promise, f"{statement.describe()}: {detail}")


def remove_position(text: str) -> str:
    """Return a statement without the position that a host may put before it."""
    return text.split(" ", 2)[2] if text.startswith("AFTER ") else text


def _split_setup(text: str) -> str:
    """Return a SET, or a PREPARE without the name of the statement; nothing of others."""
    match text.split(" ", 2):
        case ["SET", _, _]:
            return text
        case ["PREPARE", _, shape]:
            return f"PREPARE {shape}"
    return ""


def _split_text(text: str) -> str:
    """Return a caller's statement without what a host may change."""
    text = remove_position(text)
    if text.startswith("EXECUTE "):
        return " ".join(("EXECUTE", *text.split(" ", 2)[2:]))
    return text


def _shorten(value: object) -> str:
    text = str(value)
    return text if len(text) <= 4 * _MAX_SHOWN_TEXT else f"{text[: 4 * _MAX_SHOWN_TEXT]}..."
