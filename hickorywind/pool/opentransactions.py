"""Open transactions of one backend server and the connections pinned by them."""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.admission.transactions import TransactionTable
from hickorywind.pool.backendconnection import BackendConnection
from hickorywind.pool.connectionpool import ConnectionPool
from hickorywind.pool.requests import PoolRequest, TransactionKey
from hickorywind.protocol.channel import PeerId
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock

_RETRY_AFTER_MS = 200
_ROLLED_BACK_LIMIT = 1_000


class OpenTransactions:
    """Open transactions, each with a connection that serves no other session meanwhile."""

    def __init__(self, table: TransactionTable, connections: ConnectionPool, clock: Clock) -> None:
        self._table = table
        self._connections = connections
        self._clock = clock
        self._pinned_connections: dict[TransactionKey, BackendConnection] = {}
        self._rolled_back: dict[TransactionKey, ResultCode] = {}

    def __len__(self) -> int:
        return len(self._table)

    def connection_of(self, key: TransactionKey) -> BackendConnection | None:
        """Return the connection pinned by a transaction, or None if it is not open."""
        return self._pinned_connections.get(key)

    def usable_connection_of(self, key: TransactionKey) -> BackendConnection | None:
        """Return the connection pinned by a transaction; roll back one whose connection is lost."""
        connection = self._pinned_connections.get(key)
        if connection is not None and connection.is_disconnected:
            self.roll_back(key)
            return None
        return connection

    def join(self, request: PoolRequest, key: TransactionKey) -> Result | None:
        """Register a batch in its transaction; return a refusal if the transaction is not open."""
        if self._table.begin_batch(key, request.message.session_id):
            request.joined_transaction = True
            return None
        code = self._rolled_back.get(key, ResultCode.TRANSACTION_LOST)
        return Result.not_run(code, "the transaction is not open; it was rolled back")

    def reserve(self, request: PoolRequest) -> Result | None:
        """Reserve room for a new transaction; return a refusal if too many are open."""
        now = self._clock.now()
        if self._table.open(request.new_transaction_key, request.message.session_id, now):
            return None
        reason = "too many transactions are open at this backend server"
        return Result.not_run(ResultCode.TOO_MANY_TRANSACTIONS, reason, _RETRY_AFTER_MS)

    def withdraw(self, request: PoolRequest) -> None:
        """Undo ``join`` or ``reserve`` for a batch that was not run."""
        if request.transaction_key is None:
            self._table.close(request.new_transaction_key)
        elif request.joined_transaction:
            self._table.end_batch(request.transaction_key, self._clock.now())

    def return_connection(self, request: PoolRequest, connection: BackendConnection) -> None:
        """Pin the connection if its transaction is still open; otherwise give it back."""
        key = request.transaction_key or request.new_transaction_key
        is_open = (
            connection.transaction_state is not TransactionState.IDLE and not connection.is_broken
        )
        if is_open and not request.is_abandoned and self._keep_open(request, key):
            self._pinned_connections[key] = connection
            return
        self._table.close(key)
        self._pinned_connections.pop(key, None)
        self._connections.release(connection)

    def _keep_open(self, request: PoolRequest, key: TransactionKey) -> bool:
        now = self._clock.now()
        if key not in self._table and not self._table.open(key, request.message.session_id, now):
            return False
        self._table.end_batch(key, now)
        return True

    def roll_back(
        self, key: TransactionKey, code: ResultCode = ResultCode.TRANSACTION_LOST
    ) -> None:
        """Roll back a transaction by closing its connection; refuse later batches with ``code``."""
        connection = self._pinned_connections.pop(key, None)
        if self._table.close(key):
            self._record_rollback(key, code)
        if connection is not None:
            self._connections.discard(connection)

    def _record_rollback(self, key: TransactionKey, code: ResultCode) -> None:
        self._rolled_back[key] = code
        if len(self._rolled_back) > _ROLLED_BACK_LIMIT:
            del self._rolled_back[next(iter(self._rolled_back))]

    def roll_back_all_of(self, entry_id: PeerId) -> None:
        """Roll back all transactions of an entry that is presumed dead."""
        for key in self._table.keys:
            if key.entry_id == entry_id:
                self.roll_back(key)

    def roll_back_all(self) -> None:
        """Roll back all transactions."""
        for key in self._table.keys:
            self.roll_back(key)

    def roll_back_idle(self) -> Sequence[TransactionKey]:
        """Roll back the transactions that exceeded the idle timeout and return their keys."""
        idle = self._table.timed_out_keys(self._clock.now())
        for key in idle:
            self.roll_back(key, ResultCode.TRANSACTION_IDLE_TIMEOUT)
        return idle
