"""Hold what a session of a caller carries from statement to statement."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hickorywind.host.backendconnection import StatementTemplate
from hickorywind.ids import LogPosition


@dataclass
class SessionContext:
    """Hold what a session carries from statement to statement.

    ``cancel_wait`` ends the present wait for a backend server, if there is one.
    """

    client: str
    values: dict[str, str] = field(default_factory=dict)
    prepared_statements: dict[str, StatementTemplate] = field(default_factory=dict)
    floor: LogPosition | None = None
    has_disconnected: bool = False
    cancel_wait: Callable[[], None] | None = None

    def mark_disconnected(self) -> None:
        """Note that the caller has gone: what was not sent yet is not run."""
        self.has_disconnected = True
        if self.cancel_wait is not None:
            self.cancel_wait()

    def raise_floor(self, position: LogPosition | None) -> None:
        """Remember a position that the session's reads must hold from now on."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position
