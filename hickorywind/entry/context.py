"""Objects that all sessions of an entry share."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.configuration.model import Limits
from hickorywind.entry.accounts import EntryAccounts
from hickorywind.entry.executor import Executor
from hickorywind.membership.directory import Directory
from hickorywind.util.clock import Clock


@dataclass(frozen=True)
class SessionContext:
    """Executor, directory, accounts and clock that all sessions of an entry share."""

    executor: Executor
    directory: Directory
    accounts: EntryAccounts
    clock: Clock

    @property
    def message_limit_bytes(self) -> int:
        """Return the maximum size of a caller's message or batch."""
        in_force = self.directory.in_force
        limits = in_force.configuration.limits if in_force is not None else Limits()
        return limits.message_limit_bytes
