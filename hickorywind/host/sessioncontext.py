"""Hold what a session of a caller carries from statement to statement."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from hickorywind.host.backendlink import PreparedShape
from hickorywind.ids import LogPosition


@dataclass
class SessionContext:
    """Hold what a session carries from statement to statement.

    ``withdraw`` ends the present wait for a backend server, if there is one.
    """

    client: str
    values: dict[str, str] = field(default_factory=dict)
    shapes: dict[str, PreparedShape] = field(default_factory=dict)
    floor: LogPosition | None = None
    has_left: bool = False
    withdraw: Callable[[], None] | None = None

    def leave(self) -> None:
        """Note that the caller has gone: what was not sent yet is not run."""
        self.has_left = True
        if self.withdraw is not None:
            self.withdraw()

    def raise_floor(self, position: LogPosition | None) -> None:
        """Remember a position that the session's reads must hold from now on."""
        if position is not None and (self.floor is None or position > self.floor):
            self.floor = position
