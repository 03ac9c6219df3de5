"""Bound the open transactions of one backend server in number and idle time."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import SessionId
from hickorywind.util.clock import Instant, milliseconds


@dataclass(slots=True)
class OpenTransaction:
    """Track one transaction; ``is_busy`` while one of its batches waits or runs."""

    key: Hashable
    session: SessionId
    last_used_at: Instant
    is_busy: bool


class TransactionTable:
    """Hold the open transactions of a backend server.

    Connections beyond the reserved stay for work outside transactions, so that idle transactions
    can't stop it.
    """

    def __init__(self, limits: TransactionLimits, connections: int, reserved: int) -> None:
        self._transactions: dict[Hashable, OpenTransaction] = {}
        self.set_limits(limits, connections, reserved)

    def set_limits(self, limits: TransactionLimits, connections: int, reserved: int) -> None:
        """Put other bounds in force; transactions that are open stay."""
        self._open_limit = max(1, min(limits.open_limit, connections - reserved))
        self._idle_timeout = milliseconds(limits.idle_timeout_ms)

    def __len__(self) -> int:
        return len(self._transactions)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._transactions

    @property
    def keys(self) -> tuple[Hashable, ...]:
        """Return the keys of all open transactions."""
        return tuple(self._transactions)

    def open(self, key: Hashable, session: SessionId, now: Instant) -> bool:
        """Count a transaction that opens; return False where the bound is reached."""
        if len(self._transactions) >= self._open_limit:
            return False
        self._transactions[key] = OpenTransaction(key, session, now, is_busy=True)
        return True

    def begin_batch(self, key: Hashable, session: SessionId) -> bool:
        """Mark a transaction as is_busy; return False where it is unknown, is_busy or another's."""
        transaction = self._transactions.get(key)
        if transaction is None or transaction.is_busy or transaction.session != session:
            return False
        transaction.is_busy = True
        return True

    def end_batch(self, key: Hashable, now: Instant) -> None:
        """Start a transaction's idle time."""
        transaction = self._transactions.get(key)
        if transaction is not None:
            transaction.is_busy = False
            transaction.last_used_at = now

    def close(self, key: Hashable) -> bool:
        """Forget a transaction that ended; return False where it is unknown."""
        return self._transactions.pop(key, None) is not None

    def timed_out_keys(self, now: Instant) -> Sequence[Hashable]:
        """Return the transactions to roll back because their session left them idle."""
        return [
            transaction.key
            for transaction in self._transactions.values()
            if not transaction.is_busy and now - transaction.last_used_at >= self._idle_timeout
        ]
