"""Dispatch of entry messages to the workers of backend servers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from hickorywind.admission.recentkeys import RecentKeys
from hickorywind.ids import HostId, Incarnation, RequestId
from hickorywind.membership.directory import Directory
from hickorywind.pool.answers import AnswerStream
from hickorywind.pool.backendworker import BackendWorker
from hickorywind.pool.entries import EntryTable
from hickorywind.pool.events import (
    CancelRequested,
    EntryPresumedDead,
    RequestArrived,
    RollbackRequested,
)
from hickorywind.pool.requests import PoolRequest, RequestKey, TransactionKey
from hickorywind.protocol.channel import Listener, PeerId, ReceivedMessage
from hickorywind.protocol.messages import (
    AnswerCredit,
    AnswerEnd,
    Cancel,
    CancelResult,
    EndTransaction,
    EntryHeartbeat,
    Execute,
    Message,
    PoolHeartbeat,
    Refused,
    TransactionState,
)
from hickorywind.results import HickorywindError, Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_KEY_RETENTION = timedelta(seconds=60)
_KEY_LIMIT = 100_000
_SWEEP_INTERVAL_SECONDS = 0.1
_STALL_THRESHOLD = timedelta(milliseconds=1_000)
_REFUSAL_PERIOD_AFTER_STALL = timedelta(milliseconds=200)
_QUIET_PERIOD = timedelta(milliseconds=200)
_RETRY_AFTER_MS = 100
# Silent entries are removed before; entries of former versions confirm nothing.
_CONFIRMATION_TIMEOUT = timedelta(seconds=3)


class WorkerLookup(Protocol):
    """Access to the workers of backend servers."""

    def worker_for(self, message: Execute) -> BackendWorker | Result:
        """Return the worker that serves a request, or the refusal if no worker does."""
        ...

    def retired_worker_of(self, key: TransactionKey) -> BackendWorker | None:
        """Return the worker of a former address that holds an open transaction, if any."""
        ...

    def workers(self) -> tuple[BackendWorker, ...]:
        """Return the workers of all current and former addresses."""
        ...


class Dispatcher:
    """Dispatcher of entry messages, which checks requests and passes them to workers.

    Each request id of an entry runs at most once; a request that was cancelled before it was
    received never runs.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        listener: Listener,
        registry: WorkerLookup,
        clock: Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._listener = listener
        self._registry = registry
        self._clock = clock
        self.entries = EntryTable()
        self._seen_keys = RecentKeys(_KEY_RETENTION, _KEY_LIMIT)
        self._cancelled_keys = RecentKeys(_KEY_RETENTION, _KEY_LIMIT)
        self._outbox: asyncio.Queue[tuple[PeerId, Message]] = asyncio.Queue()
        self._last_sweep_at = clock.now()
        self._last_request_at = clock.now()
        self._refuse_until: Instant | None = None
        self._drain_step = 0
        self._drain_step_at = clock.now()

    async def run(self) -> None:
        """Receive and send messages and detect silent entries until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_loop())
            group.create_task(self._sweep_loop())
            group.create_task(self._receive_loop())

    async def _receive_loop(self) -> None:
        while True:
            self.receive(await self._listener.receive())

    def receive(self, received: ReceivedMessage) -> None:
        """Process one message, which may have been queued while this process was stalled."""
        self._detect_stall(self._clock.now())
        self._handle(received)

    async def _send_loop(self) -> None:
        while True:
            entry_id, message = await self._outbox.get()
            is_sent = await self._listener.send(self.entries.peer_of(entry_id), message)
            if not is_sent and isinstance(message, PoolHeartbeat):
                # A disconnected entry has no request under way.
                self.entries.confirm_drain_step(entry_id, message.drain_step)

    def pop_outgoing(self) -> tuple[PeerId, Message]:
        """Remove and return the next message to send; raise ``asyncio.QueueEmpty`` if none."""
        return self._outbox.get_nowait()

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused."""
        return self._drain_step > 0

    def advance_drain(self) -> None:
        """Refuse new requests from now on and ask all entries to confirm the next drain step."""
        self._drain_step += 1
        self._drain_step_at = self._clock.now()
        for entry_id in self.entries.entry_ids:
            self._outbox.put_nowait((entry_id, self._heartbeat()))

    @property
    def is_drain_confirmed(self) -> bool:
        """Return whether all entries confirmed the current drain step or had time to do so.

        Those that confirmed it have received all that was sent before it.
        """
        waited = self._clock.now() - self._drain_step_at
        return self.entries.have_confirmed(self._drain_step) or waited >= _CONFIRMATION_TIMEOUT

    @property
    def is_quiet(self) -> bool:
        """Return whether no message waits to be sent and no request arrived recently."""
        quiet_period = self._clock.now() - self._last_request_at
        return self._outbox.empty() and quiet_period >= _QUIET_PERIOD

    def _heartbeat(self) -> PoolHeartbeat:
        return PoolHeartbeat(self._host, self._incarnation, self.draining, self._drain_step)

    async def _sweep_loop(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_SECONDS)
            self._remove_silent_entries(self._clock.now())

    def _remove_silent_entries(self, now: Instant) -> None:
        self._detect_stall(now)
        self._last_sweep_at = now
        for entry_id in self.entries.remove_silent(now):
            logger.info("entry_presumed_dead", extra={"peer": entry_id.hex()})
            for worker in self._registry.workers():
                worker.inbox.put_nowait(EntryPresumedDead(entry_id))

    def _detect_stall(self, now: Instant) -> None:
        """Refuse new requests for a short period after a stall of this process.

        They may have been queued during the stall, so their age is unknown.
        """
        if now - self._last_sweep_at > _STALL_THRESHOLD:
            self._last_sweep_at = now
            self._refuse_until = now + _REFUSAL_PERIOD_AFTER_STALL
            logger.warning("process_stalled")

    # Messages ------------------------------------------------------------------------------------

    def _handle(self, received: ReceivedMessage) -> None:
        now = self._clock.now()
        entry_id = self.entries.record_activity(received.peer, now)
        match received.message:
            case Execute() as message:
                self._execute(entry_id, message, now)
            case Cancel(request_id):
                self._cancel(RequestKey(entry_id, request_id), now)
            case AnswerCredit(request_id, credit_bytes):
                self._add_credit(RequestKey(entry_id, request_id), credit_bytes)
            case EndTransaction(transaction_id):
                key = TransactionKey(entry_id, transaction_id)
                for worker in self._registry.workers():
                    worker.inbox.put_nowait(RollbackRequested(key))
            case EntryHeartbeat(host, incarnation, drain_step):
                self.entries.identify(received.peer, host, incarnation, now)
                if drain_step:
                    self.entries.confirm_drain_step(entry_id, drain_step)
                    return
                self._outbox.put_nowait((received.peer, self._heartbeat()))
            case _:
                logger.warning("unexpected_message", extra={"peer": received.peer.hex()})

    def _execute(self, entry_id: PeerId, message: Execute, now: Instant) -> None:
        self._last_request_at = now
        key = RequestKey(entry_id, message.request_id)
        if self._seen_keys.contains(key, now):
            reason = f"request {message.request_id} was received twice"
            refusal = Result.unknown(ResultCode.DUPLICATE_REQUEST, reason)
            self._outbox.put_nowait((entry_id, Refused(refusal)))
            return
        worker_or_refusal = self._check(key, message, now)
        if isinstance(worker_or_refusal, Result):
            self._refuse(entry_id, message.request_id, worker_or_refusal)
            return
        self._seen_keys.add(key, now)
        self._hand_over(key, message, worker_or_refusal)

    def _check(self, key: RequestKey, message: Execute, now: Instant) -> BackendWorker | Result:
        if message.pool_incarnation != self._incarnation:
            reason = "the request is addressed to another incarnation of this pool process"
            return Result.not_run(ResultCode.WRONG_INCARNATION, reason, 0)
        if self._cancelled_keys.contains(key, now):
            return Result.not_run(ResultCode.CANCELLED, "cancelled before it was received")
        if self._refuse_until is not None and now < self._refuse_until:
            reason = "the pool process was stalled, so the age of the request is unknown"
            return Result.not_run(ResultCode.DEADLINE_PASSED, reason, _RETRY_AFTER_MS)
        if self.draining and message.transaction_id is None:
            reason = "the pool is draining and accepts no new requests"
            return Result.not_run(ResultCode.DRAINING, reason, 0)
        return self._find_worker(key, message)

    def _find_worker(self, key: RequestKey, message: Execute) -> BackendWorker | Result:
        if message.transaction_id is not None:
            transaction = TransactionKey(key.entry_id, message.transaction_id)
            retired = self._registry.retired_worker_of(transaction)
            if retired is not None:
                return retired
        return self._registry.worker_for(message)

    def _hand_over(self, key: RequestKey, message: Execute, worker: BackendWorker) -> None:
        answer = AnswerStream(message.request_id, self._sender_for(key.entry_id))
        try:
            request = PoolRequest.from_message(key, message, self._clock, answer)
        except HickorywindError as error:
            self._refuse(key.entry_id, message.request_id, error.result)
            return
        worker.inbox.put_nowait(RequestArrived(request))

    def _sender_for(self, entry_id: PeerId) -> Callable[[Message], None]:
        return lambda message: self._outbox.put_nowait((entry_id, message))

    def _refuse(self, entry_id: PeerId, request_id: RequestId, result: Result) -> None:
        end = AnswerEnd(request_id, 0, result, TransactionState.IDLE)
        self._outbox.put_nowait((entry_id, end))

    def _cancel(self, key: RequestKey, now: Instant) -> None:
        if not self._seen_keys.contains(key, now):
            self._cancelled_keys.add(key, now)
            result = Result.not_run(ResultCode.CANCELLED, "cancelled before it was received")
            self._outbox.put_nowait((key.entry_id, CancelResult(key.request_id, result)))
            return
        for worker in self._registry.workers():
            worker.inbox.put_nowait(CancelRequested(key))

    def _add_credit(self, key: RequestKey, credit_bytes: int) -> None:
        for worker in self._registry.workers():
            if worker.add_credit(key, credit_bytes):
                return


def check_expected_term(directory: Directory, message: Execute) -> Result | None:
    """Return a refusal if the primary that the sender expects is not the one in the directory."""
    group = directory.group(message.service)
    expected = message.expected_term
    if group is None or expected is None or expected > group.term:
        return None
    if expected < group.term:
        reason = f"the database group is at term {group.term}"
        return Result.not_run(ResultCode.STALE_TERM, reason, 0)
    if group.primary != message.backend:
        reason = f"{group.primary} is the primary of term {group.term}"
        return Result.not_run(ResultCode.STALE_TERM, reason, 0)
    return None


def unknown_backend_refusal(message: Execute) -> Result:
    """Return the refusal of a request for a backend server that is not configured."""
    reason = f"backend server {message.backend} is not configured"
    return Result(ResultCode.NOT_HOME, Outcome.NOT_RUN, reason, True, _RETRY_AFTER_MS)
