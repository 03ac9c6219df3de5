"""Bound the open transactions of one backend server in number and idle time."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import SessionId
from hickorywind.util.clock import Instant, milliseconds


@dataclass(slots=True)
class OpenTransaction:
    """Track one transaction; ``busy`` while one of its batches waits or runs."""

    key: Hashable
    session: SessionId
    last_used: Instant
    busy: bool


class TransactionTable:
    """Hold the open transactions of a backend server.

    Connections beyond the reserve stay for work outside transactions, so that idle transactions
    can't stop it.
    """

    def __init__(self, limits: TransactionLimits, connections: int, reserve: int) -> None:
        self._open: dict[Hashable, OpenTransaction] = {}
        self.set_limits(limits, connections, reserve)

    def set_limits(self, limits: TransactionLimits, connections: int, reserve: int) -> None:
        """Put other bounds in force; transactions that are open stay."""
        self._limit = max(1, min(limits.open_limit, connections - reserve))
        self._idle_timeout = milliseconds(limits.idle_timeout_ms)

    def __len__(self) -> int:
        return len(self._open)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._open

    @property
    def keys(self) -> tuple[Hashable, ...]:
        """Return the keys of all open transactions."""
        return tuple(self._open)

    def open(self, key: Hashable, session: SessionId, now: Instant) -> bool:
        """Count a transaction that opens; return False where the bound is reached."""
        if len(self._open) >= self._limit:
            return False
        self._open[key] = OpenTransaction(key, session, now, busy=True)
        return True

    def begin_batch(self, key: Hashable, session: SessionId) -> bool:
        """Mark a transaction as busy; return False where it is unknown, busy or another's."""
        transaction = self._open.get(key)
        if transaction is None or transaction.busy or transaction.session != session:
            return False
        transaction.busy = True
        return True

    def end_batch(self, key: Hashable, now: Instant) -> None:
        """Start a transaction's idle time."""
        transaction = self._open.get(key)
        if transaction is not None:
            transaction.busy = False
            transaction.last_used = now

    def close(self, key: Hashable) -> bool:
        """Forget a transaction that ended; return False where it is unknown."""
        return self._open.pop(key, None) is not None

    def idle_too_long(self, now: Instant) -> Sequence[Hashable]:
        """Return the transactions to roll back because their session left them idle."""
        return [
            transaction.key
            for transaction in self._open.values()
            if not transaction.busy and now - transaction.last_used >= self._idle_timeout
        ]
