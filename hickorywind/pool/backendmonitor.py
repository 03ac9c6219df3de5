"""Monitor of one backend server: its status, commit proofs and leadership."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Protocol

from hickorywind.admission.commitconfirmation import (
    Action,
    CommitConfirmations,
    Confirmed,
    PendingCommit,
    Unconfirmed,
    WaitCommitted,
)
from hickorywind.admission.freshness import LogEndSample
from hickorywind.groups.client import CallFailed, CallRefused, CallResult
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, InstanceRole, LogPosition, Term
from hickorywind.util.clock import Clock, Instant, milliseconds

logger = logging.getLogger(__name__)

_PROOF_CALL_TIMEOUT = timedelta(seconds=1)
_RETRY_DELAY_SECONDS = 0.02


class ControlClient(Protocol):
    """Client that calls a backend server's platform functions over its own control connection."""

    async def status(self) -> CallResult:
        """Return the status of the backend server."""
        ...

    async def wait_committed(self, position: LogPosition, timeout: timedelta) -> CallResult:
        """Wait until the log is committed up to ``position`` and return the status."""
        ...

    def close(self) -> None:
        """Close the control connection."""
        ...


class BackendMonitor:
    """Newest status of a backend server, and the commit proofs that it yields.

    A commit proof is a status of the primary showing that its group has committed a log position in
    the term in which a request started. ``confirmed_primary_at`` is the latest instant of this
    process's clock at which the backend server was certainly the primary of its term; None if there
    is none. ``is_responding`` is False if the last status call failed.
    """

    def __init__(
        self,
        backend: BackendId,
        connect: Callable[[], ControlClient],
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._status_calls = connect()
        self._proof_calls = connect()
        self._proofs = CommitConfirmations()
        self._proof_futures: dict[object, asyncio.Future] = {}
        self._running_call: asyncio.Task | None = None
        self._next_call: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self.is_responding = True
        self.last_used = clock.now()
        self.status: BackendStatus | None = None
        self.status_requested_at: Instant | None = None
        self.confirmed_primary_at: Instant | None = None
        self.sample: LogEndSample | None = None

    @property
    def is_retrying(self) -> bool:
        """Return whether a status call is in flight after one that failed."""
        in_flight = self._running_call is not None and not self._running_call.done()
        return in_flight and not self.is_responding

    async def refresh(self) -> BackendStatus | None:
        """Return a status that was requested after this call began; None if the call fails.

        Coroutines that call this while a status call is in flight share the next status call.
        """
        if self._closed:
            return None
        self.last_used = self._clock.now()
        if self._next_call is None:
            self._next_call = self._spawn(self._call_after(self._running_call))
        call = self._next_call
        await asyncio.wait((call,))
        return None if call.cancelled() else call.result()

    async def _call_after(self, previous: asyncio.Task | None) -> BackendStatus | None:
        if previous is not None and not previous.done():
            await asyncio.wait((previous,))
        self._running_call, self._next_call = self._next_call, None
        requested_at = self._clock.now()
        status = self._handle_result(await self._status_calls.status(), requested_at)
        self.is_responding = status is not None
        return status

    def _handle_result(self, result: CallResult, requested_at: Instant) -> BackendStatus | None:
        match result:
            case BackendStatus() as status:
                self._update_status(status, requested_at)
                return status
            case CallRefused(reason) | CallFailed(reason):
                extra = {"backend": self._backend, "reason": reason}
                logger.info("control_call_failed", extra=extra)
        return None

    def _update_status(self, status: BackendStatus, requested_at: Instant) -> None:
        previous_status = self.status
        if previous_status is not None and status.term < previous_status.term:
            return
        self.status = status
        self.status_requested_at = requested_at
        if status.role is InstanceRole.PRIMARY:
            self._update_leadership(status, requested_at)
        else:
            self.confirmed_primary_at = None
        self._apply(self._proofs.observe(status))

    def _update_leadership(self, status: BackendStatus, requested_at: Instant) -> None:
        confirmed_at = requested_at - milliseconds(status.silence_ms)
        if self.confirmed_primary_at is None or confirmed_at > self.confirmed_primary_at:
            self.confirmed_primary_at = confirmed_at
        commits_in_term = status.committed.term == status.term
        position = status.committed if commits_in_term else status.received
        if self.sample is None or confirmed_at > self.sample.taken_at:
            self.sample = LogEndSample(position, confirmed_at)

    async def wait_for_leadership(self, since: Instant, give_up_at: Instant) -> bool:
        """Wait until the backend server is confirmed as primary at ``since`` or later.

        Return False if it is not the primary, or is not confirmed until ``give_up_at``.
        """
        while self.confirmed_primary_at is None or self.confirmed_primary_at < since:
            if self._clock.now() >= give_up_at:
                return False
            status = await self.refresh()
            if status is not None and status.role is not InstanceRole.PRIMARY:
                return False
            if self.confirmed_primary_at is None or self.confirmed_primary_at < since:
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
        return True

    async def wait_for_commit(self, pending_commit: PendingCommit) -> Confirmed | Unconfirmed:
        """Wait until a pending commit is proved or can no longer be proved."""
        now = self._clock.now()
        if self._proofs.is_confirmed(pending_commit):
            return Confirmed(pending_commit.key)
        self.last_used = now
        future = asyncio.get_running_loop().create_future()
        self._proof_futures[pending_commit.key] = future
        self._apply(self._proofs.add(pending_commit, now))
        try:
            async with asyncio.timeout((pending_commit.deadline - now).total_seconds()):
                return await future
        except TimeoutError:
            return Unconfirmed(pending_commit.key, "no commit proof arrived before the deadline")
        finally:
            self._proof_futures.pop(pending_commit.key, None)
            self._proofs.withdraw(pending_commit.key)

    def observe_term(self, term: Term) -> None:
        """Record the group's term as known from the directory."""
        self._apply(self._proofs.observe_term(term))

    def _apply(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case WaitCommitted():
                    self._spawn(self._request_proof(action))
                case Confirmed(key) | Unconfirmed(key):
                    future = self._proof_futures.get(key)
                    if future is not None and not future.done():
                        future.set_result(action)

    async def _request_proof(self, wait: WaitCommitted) -> None:
        requested_at = self._clock.now()
        timeout = min(max(wait.give_up_at - requested_at, timedelta(0)), _PROOF_CALL_TIMEOUT)
        result = await self._proof_calls.wait_committed(wait.position, timeout)
        if self._handle_result(result, requested_at) is None:
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
        self._apply(self._proofs.finish_wait(None, self._clock.now()))

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel the calls in flight and close the control connections."""
        self._closed = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._status_calls.close()
        self._proof_calls.close()
