"""Receive the messages of entries, check them and hand them to the backend servers' tasks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

from hickorywind.admission.recentkeys import RecentKeys
from hickorywind.ids import HostId, Incarnation, RequestId
from hickorywind.membership.directory import Directory
from hickorywind.pool.answers import Answer
from hickorywind.pool.backend import BackendTask
from hickorywind.pool.entries import EntryTable
from hickorywind.pool.events import CancelAsked, EntrySilent, Submitted, TransactionEnded
from hickorywind.pool.jobs import Job, JobKey, TransactionKey
from hickorywind.protocol.channel import Listener, PeerId, Received
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

_KEEP_KEYS = timedelta(seconds=60)
_KEYS_LIMIT = 100_000
_SWEEP_SECONDS = 0.1
_STALL_LIMIT = timedelta(milliseconds=1_000)
_DISTRUST_AFTER_STALL = timedelta(milliseconds=200)
_QUIET_TIME = timedelta(milliseconds=200)
_RETRY_AFTER_MS = 100


class Backends(Protocol):
    """Find the tasks of backend servers."""

    def task_for(self, message: Execute) -> BackendTask | Result:
        """Return the task that serves a request, or why there is none."""
        ...

    def retired_task_of(self, key: TransactionKey) -> BackendTask | None:
        """Return the task of a former address that holds an open transaction."""
        ...

    def tasks(self) -> tuple[BackendTask, ...]:
        """Return all tasks."""
        ...


class Dispatcher:
    """Own the listener and what is known of entries and of request ids.

    A request id of an entry is run at most once; one that was cancelled before it came never is.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        listener: Listener,
        backends: Backends,
        clock: Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._listener = listener
        self._backends = backends
        self._clock = clock
        self.entries = EntryTable()
        self._seen = RecentKeys(_KEEP_KEYS, _KEYS_LIMIT)
        self._cancelled = RecentKeys(_KEEP_KEYS, _KEYS_LIMIT)
        self._outbox: asyncio.Queue[tuple[PeerId, Message]] = asyncio.Queue()
        self._last_sweep = clock.now()
        self._last_execute = clock.now()
        self._distrust_until: Instant | None = None
        self.draining = False

    async def run(self) -> None:
        """Receive, send and sweep until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_all())
            group.create_task(self._sweep_all())
            group.create_task(self._receive_all())

    async def _receive_all(self) -> None:
        while True:
            self.receive(await self._listener.receive())

    def receive(self, received: Received) -> None:
        """Take in one message, which may have waited while this process stood still."""
        self._notice_stall(self._clock.now())
        self._handle(received)

    async def _send_all(self) -> None:
        while True:
            name, message = await self._outbox.get()
            await self._listener.send(self.entries.address_of(name), message)

    def next_unsent(self) -> tuple[PeerId, Message]:
        """Take the next message to send; raise ``asyncio.QueueEmpty``."""
        return self._outbox.get_nowait()

    def announce_drain(self) -> None:
        """Refuse new work from now on and tell all entries at once."""
        self.draining = True
        for name in self.entries.names:
            self._outbox.put_nowait((name, self._heartbeat()))

    @property
    def is_quiet(self) -> bool:
        """Tell whether no message waits to be sent and no request came lately."""
        quiet_since = self._clock.now() - self._last_execute
        return self._outbox.empty() and quiet_since >= _QUIET_TIME

    def _heartbeat(self) -> PoolHeartbeat:
        return PoolHeartbeat(self._host, self._incarnation, self.draining)

    async def _sweep_all(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self._sweep(self._clock.now())

    def _sweep(self, now: Instant) -> None:
        self._notice_stall(now)
        self._last_sweep = now
        for name in self.entries.sweep(now):
            logger.info("entry_silent", extra={"peer": name.hex()})
            for task in self._backends.tasks():
                task.inbox.put_nowait(EntrySilent(name))

    def _notice_stall(self, now: Instant) -> None:
        """Distrust what was queued while this process stood still: its age is unknown."""
        if now - self._last_sweep > _STALL_LIMIT:
            self._last_sweep = now
            self._distrust_until = now + _DISTRUST_AFTER_STALL
            logger.warning("process_stalled")

    # Messages ------------------------------------------------------------------------------------

    def _handle(self, received: Received) -> None:
        now = self._clock.now()
        name = self.entries.hear(received.peer, now)
        match received.message:
            case Execute() as message:
                self._execute(name, message, now)
            case Cancel(request_id):
                self._cancel(JobKey(name, request_id), now)
            case AnswerCredit(request_id, credit_bytes):
                self._add_credit(JobKey(name, request_id), credit_bytes)
            case EndTransaction(transaction_id):
                key = TransactionKey(name, transaction_id)
                for task in self._backends.tasks():
                    task.inbox.put_nowait(TransactionEnded(key))
            case EntryHeartbeat(host, incarnation):
                self.entries.identify(received.peer, host, incarnation, now)
                self._outbox.put_nowait((received.peer, self._heartbeat()))
            case _:
                logger.warning("unexpected_message", extra={"peer": received.peer.hex()})

    def _execute(self, name: PeerId, message: Execute, now: Instant) -> None:
        self._last_execute = now
        key = JobKey(name, message.request_id)
        if self._seen.contains(key, now):
            reason = f"request {message.request_id} came twice"
            refusal = Result.unknown(ResultCode.DUPLICATE_REQUEST, reason)
            self._outbox.put_nowait((name, Refused(refusal)))
            return
        found = self._check(key, message, now)
        if isinstance(found, Result):
            self._refuse(name, message.request_id, found)
            return
        self._seen.add(key, now)
        self._submit(key, message, found)

    def _check(self, key: JobKey, message: Execute, now: Instant) -> BackendTask | Result:
        if message.pool_incarnation != self._incarnation:
            reason = "the request was meant for an earlier process"
            return Result.not_run(ResultCode.WRONG_INCARNATION, reason, 0)
        if self._cancelled.contains(key, now):
            return Result.not_run(ResultCode.CANCELLED, "cancelled before it came")
        if self._distrust_until is not None and now < self._distrust_until:
            reason = "the pool stood still, the age of the request is unknown"
            return Result.not_run(ResultCode.DEADLINE_PASSED, reason, _RETRY_AFTER_MS)
        if self.draining and message.transaction_id is None:
            reason = "the pool takes no new work"
            return Result.not_run(ResultCode.DRAINING, reason, 0)
        return self._find_task(key, message)

    def _find_task(self, key: JobKey, message: Execute) -> BackendTask | Result:
        if message.transaction_id is not None:
            transaction = TransactionKey(key.entry, message.transaction_id)
            retired = self._backends.retired_task_of(transaction)
            if retired is not None:
                return retired
        return self._backends.task_for(message)

    def _submit(self, key: JobKey, message: Execute, task: BackendTask) -> None:
        answer = Answer(message.request_id, self._sender_for(key.entry))
        try:
            job = Job.from_message(key, message, self._clock, answer)
        except HickorywindError as error:
            self._refuse(key.entry, message.request_id, error.result)
            return
        task.inbox.put_nowait(Submitted(job))

    def _sender_for(self, name: PeerId) -> Callable[[Message], None]:
        return lambda message: self._outbox.put_nowait((name, message))

    def _refuse(self, name: PeerId, request_id: RequestId, result: Result) -> None:
        end = AnswerEnd(request_id, 0, result, TransactionState.IDLE)
        self._outbox.put_nowait((name, end))

    def _cancel(self, key: JobKey, now: Instant) -> None:
        if not self._seen.contains(key, now):
            self._cancelled.add(key, now)
            result = Result.not_run(ResultCode.CANCELLED, "cancelled before it came")
            self._outbox.put_nowait((key.entry, CancelResult(key.request_id, result)))
            return
        for task in self._backends.tasks():
            task.inbox.put_nowait(CancelAsked(key))

    def _add_credit(self, key: JobKey, credit_bytes: int) -> None:
        for task in self._backends.tasks():
            if task.add_credit(key, credit_bytes):
                return


def is_term_stale(directory: Directory, message: Execute) -> Result | None:
    """Check the sender's belief of who is primary against the directory."""
    group = directory.group(message.service)
    expected = message.expected_term
    if group is None or expected is None or expected > group.term:
        return None
    if expected < group.term:
        reason = f"the group is at term {group.term}"
        return Result.not_run(ResultCode.STALE_TERM, reason, 0)
    if group.primary != message.backend:
        reason = f"{group.primary} is primary of term {group.term}"
        return Result.not_run(ResultCode.STALE_TERM, reason, 0)
    return None


def unknown_backend(message: Execute) -> Result:
    """Refuse a request for a backend server that the configuration does not name."""
    reason = f"backend server {message.backend} is not configured"
    return Result(ResultCode.NOT_HOME, Outcome.NOT_RUN, reason, True, _RETRY_AFTER_MS)
