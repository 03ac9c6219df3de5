"""Limits on the number and the idle time of the open transactions of one backend server."""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from hickorywind.configuration.model import TransactionLimits
from hickorywind.ids import SessionId
from hickorywind.util.clock import Instant, milliseconds


@dataclass(slots=True)
class OpenTransaction:
    """Open transaction; ``is_busy`` is set while one of its batches waits or runs."""

    key: Hashable
    session: SessionId
    last_used_at: Instant
    is_busy: bool


class TransactionTable:
    """Open transactions of a backend server.

    ``reserved`` of the ``connections`` are kept for work outside transactions, so that idle
    transactions can't block it.
    """

    def __init__(self, limits: TransactionLimits, connections: int, reserved: int) -> None:
        self._transactions: dict[Hashable, OpenTransaction] = {}
        self.set_limits(limits, connections, reserved)

    def set_limits(self, limits: TransactionLimits, connections: int, reserved: int) -> None:
        """Apply changed limits; transactions that are already open stay open."""
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
        """Add a transaction that opens; return False if the limit is reached."""
        if len(self._transactions) >= self._open_limit:
            return False
        self._transactions[key] = OpenTransaction(key, session, now, is_busy=True)
        return True

    def begin_batch(self, key: Hashable, session: SessionId) -> bool:
        """Mark a transaction as busy; return False if it is unknown, busy or of another session."""
        transaction = self._transactions.get(key)
        if transaction is None or transaction.is_busy or transaction.session != session:
            return False
        transaction.is_busy = True
        return True

    def end_batch(self, key: Hashable, now: Instant) -> None:
        """Mark a transaction as idle from ``now`` on."""
        transaction = self._transactions.get(key)
        if transaction is not None:
            transaction.is_busy = False
            transaction.last_used_at = now

    def close(self, key: Hashable) -> bool:
        """Remove a transaction that ended; return False if it is unknown."""
        return self._transactions.pop(key, None) is not None

    def timed_out_keys(self, now: Instant) -> Sequence[Hashable]:
        """Return the keys of the transactions to roll back because they exceed the idle timeout."""
        return [
            transaction.key
            for transaction in self._transactions.values()
            if not transaction.is_busy and now - transaction.last_used_at >= self._idle_timeout
        ]
