"""Keep the open transactions of one backend server with the connections that they pin."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.admission.transactions import TransactionTable
from hickorywind.pool.backendconnection import BackendConnection
from hickorywind.pool.connections import Connections
from hickorywind.pool.jobs import Job, TransactionKey
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock

_RETRY_AFTER_MS = 200
_ENDED_KEPT = 1_000


class OpenTransactions:
    """Tie transactions to connections; a connection serves its own transaction only."""

    def __init__(self, table: TransactionTable, connections: Connections, clock: Clock) -> None:
        self._table = table
        self._connections = connections
        self._clock = clock
        self._pinned: dict[TransactionKey, BackendConnection] = {}
        self._ended: dict[TransactionKey, ResultCode] = {}

    def __len__(self) -> int:
        return len(self._table)

    def connection_of(self, key: TransactionKey) -> BackendConnection | None:
        """Return the connection that a transaction pins, or None where it is not open."""
        return self._pinned.get(key)

    def join(self, job: Job, key: TransactionKey) -> Result | None:
        """Count a batch in its transaction; return a refusal where that is not open."""
        if self._table.begin_batch(key, job.message.session_id):
            job.joined = True
            return None
        code = self._ended.get(key, ResultCode.TRANSACTION_LOST)
        return Result.not_run(code, "the transaction is not open, it was rolled back")

    def reserve(self, job: Job) -> Result | None:
        """Count a transaction that is about to open; return a refusal over the bound."""
        now = self._clock.now()
        if self._table.open(job.own_transaction, job.message.session_id, now):
            return None
        reason = "too many transactions are open at this backend server"
        return Result.not_run(ResultCode.TOO_MANY_TRANSACTIONS, reason, _RETRY_AFTER_MS)

    def leave(self, job: Job) -> None:
        """Undo ``join`` or ``reserve`` for a batch that was not run."""
        if job.transaction is None:
            self._table.close(job.own_transaction)
        elif job.joined:
            self._table.end_batch(job.transaction, self._clock.now())

    def put_back(self, job: Job, connection: BackendConnection) -> None:
        """Keep the connection of an open transaction; give any other one back."""
        key = job.transaction or job.own_transaction
        is_open = connection.state is not TransactionState.IDLE and not connection.broken
        if is_open and not job.abandoned and self._keep(job, key):
            self._pinned[key] = connection
            return
        self._table.close(key)
        self._pinned.pop(key, None)
        self._connections.release(connection)

    def _keep(self, job: Job, key: TransactionKey) -> bool:
        now = self._clock.now()
        if key not in self._table and not self._table.open(key, job.message.session_id, now):
            return False
        self._table.end_batch(key, now)
        return True

    def end(self, key: TransactionKey, code: ResultCode = ResultCode.TRANSACTION_LOST) -> None:
        """Roll back a transaction by closing its connection; later batches are told ``code``."""
        connection = self._pinned.pop(key, None)
        if self._table.close(key):
            self._remember(key, code)
        if connection is not None:
            self._connections.discard(connection)

    def _remember(self, key: TransactionKey, code: ResultCode) -> None:
        self._ended[key] = code
        if len(self._ended) > _ENDED_KEPT:
            del self._ended[next(iter(self._ended))]

    def end_all_of(self, entry: PeerId) -> None:
        """Roll back the transactions of an entry that is presumed dead."""
        for key in self._table.keys:
            if key.entry == entry:
                self.end(key)

    def end_idle(self) -> Sequence[TransactionKey]:
        """Roll back the transactions that were left idle and return them."""
        idle = self._table.timed_out_keys(self._clock.now())
        for key in idle:
            self.end(key, ResultCode.TRANSACTION_IDLE_TIMEOUT)
        return idle
