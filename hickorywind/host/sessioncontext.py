"""State of a caller's session that lasts from one statement to the next."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hickorywind.host.sessionstate import StatementTemplate
from hickorywind.ids import LogPosition
from hickorywind.ports.catalog import AccountId


@dataclass
class SessionContext:
    """Session values, prepared statements and read floor of one caller session.

    ``client`` names the caller in logs; ``account`` is the client account of the current
    operation, None where callers need none.
    ``floor`` is the log position that a server must hold to serve the session's reads, or None if
    any will do. ``cancel_wait`` cancels the session's current wait for a backend server; it is None
    while the session does not wait.
    """

    client: str
    account: AccountId | None = None
    values: dict[str, str] = field(default_factory=dict)
    prepared_statements: dict[str, StatementTemplate] = field(default_factory=dict)
    floor: LogPosition | None = None
    has_disconnected: bool = False
    cancel_wait: Callable[[], None] | None = None

    def mark_disconnected(self) -> None:
        """Record that the caller disconnected; a statement not sent yet will not run."""
        self.has_disconnected = True
        if self.cancel_wait is not None:
            self.cancel_wait()

    def raise_floor(self, position: LogPosition | None) -> None:
        """Require that the session's later reads run on servers that hold ``position``."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position
