"""State of the transaction of one session."""

from __future__ import annotations

from dataclasses import replace

from hickorywind.entry.executor import Executor
from hickorywind.entry.planning import Plan
from hickorywind.entry.request import FinishedRequest, OpenTransaction
from hickorywind.postgres.batch import Batch, BatchTerminator
from hickorywind.protocol.messages import TransactionState


class SessionTransaction:
    """Open transaction of a session, if any, and the transaction state reported to the caller.

    ``failed`` means that the transaction was rolled back or lost and that the caller has not ended
    it yet; as in PostgreSQL, all statements but COMMIT and ROLLBACK are then refused.
    """

    def __init__(self, executor: Executor) -> None:
        self._executor = executor
        self._state = TransactionState.IDLE
        self.current: OpenTransaction | None = None
        self.failed = False

    @property
    def reported_state(self) -> TransactionState:
        """Return the transaction state to report in ReadyForQuery."""
        return TransactionState.FAILED if self.failed else self._state

    @property
    def is_inactive(self) -> bool:
        """Return whether the session has no transaction, not even a failed one."""
        return self.current is None and not self.failed

    @property
    def is_implicit(self) -> bool:
        """Return whether a Flush left an implicit transaction open, which the next Sync ends."""
        return self.current is not None and not self.current.explicit

    def record_end(self, batch: Batch, plan: Plan, finished: FinishedRequest) -> None:
        """Record the transaction state after a batch that ran at the backend server."""
        self._state = finished.state
        if finished.state is TransactionState.IDLE:
            self.current = None
            return
        opened = _make_open_transaction(batch, plan, finished)
        if self.current is None:
            self.current = opened
        elif opened.explicit:
            # Only an explicit transaction outlives a Sync.
            self.current = replace(self.current, explicit=True)

    async def fail(self) -> None:
        """Roll back the transaction, if there is one, after an error of hickorywind itself."""
        current = self.current
        if current is None:
            return
        self.clear()
        self.failed = current.explicit
        await self._executor.end_transaction(current)

    def clear(self) -> None:
        """Reset to no transaction."""
        self.current = None
        self._state = TransactionState.IDLE
        self.failed = False

    async def close(self) -> None:
        """Roll back the open transaction at the end of the session."""
        if self.current is not None:
            await self._executor.end_transaction(self.current)


def _make_open_transaction(batch: Batch, plan: Plan, finished: FinishedRequest) -> OpenTransaction:
    return OpenTransaction(
        link=finished.link,
        incarnation=finished.incarnation,
        target=finished.target,
        transaction_id=finished.transaction_id,
        read_only=plan.read_only_transaction,
        explicit=plan.opens_transaction or batch.terminator is not BatchTerminator.FLUSH,
    )
