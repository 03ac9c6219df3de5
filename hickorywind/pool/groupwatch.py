"""Watch one backend server through its control calls: status, commit proofs and leadership."""

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

_PROOF_CALL_LIMIT = timedelta(seconds=1)
_RETRY_PAUSE_SECONDS = 0.02


class ControlCalls(Protocol):
    """Call one backend server's platform functions over a connection of its own."""

    async def status(self) -> CallResult:
        """Ask for the state."""
        ...

    async def wait_committed(self, position: LogPosition, timeout: timedelta) -> CallResult:
        """Wait until the log is committed up to ``position`` and return the state."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class GroupWatch:
    """Hold the newest status of a backend server and settle the proofs that wait for it.

    ``led_until`` is an instant of this process's clock at which the backend server was certainly
    still primary of its term; None where that is not known. ``answers`` is False once the last
    status call has failed.
    """

    def __init__(
        self,
        backend: BackendId,
        connect: Callable[[], ControlCalls],
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._clock = clock
        self._status_calls = connect()
        self._proof_calls = connect()
        self._proofs = CommitConfirmations()
        self._futures: dict[object, asyncio.Future] = {}
        self._current: asyncio.Task | None = None
        self._next: asyncio.Task | None = None
        self._tasks: set[asyncio.Task] = set()
        self._closed = False
        self.answers = True
        self.last_used = clock.now()
        self.status: BackendStatus | None = None
        self.status_taken: Instant | None = None
        self.led_until: Instant | None = None
        self.sample: LogEndSample | None = None

    async def refresh(self) -> BackendStatus | None:
        """Return a status that was asked for after this call; None where that fails.

        Callers that come while a call is in flight share the next one.
        """
        if self._closed:
            return None
        self.last_used = self._clock.now()
        if self._next is None:
            self._next = self._spawn(self._call_after(self._current))
        call = self._next
        await asyncio.wait((call,))
        return None if call.cancelled() else call.result()

    async def _call_after(self, previous: asyncio.Task | None) -> BackendStatus | None:
        if previous is not None and not previous.done():
            await asyncio.wait((previous,))
        self._current, self._next = self._next, None
        asked = self._clock.now()
        status = self._take_result(await self._status_calls.status(), asked)
        self.answers = status is not None
        return status

    def _take_result(self, result: CallResult, asked: Instant) -> BackendStatus | None:
        match result:
            case BackendStatus() as status:
                self._take(status, asked)
                return status
            case CallRefused(reason) | CallFailed(reason):
                extra = {"backend": self._backend, "reason": reason}
                logger.info("control_call_failed", extra=extra)
        return None

    def _take(self, status: BackendStatus, asked: Instant) -> None:
        held = self.status
        if held is not None and status.term < held.term:
            return
        self.status = status
        self.status_taken = asked
        if status.role is InstanceRole.PRIMARY:
            self._take_primary(status, asked)
        else:
            self.led_until = None
        self._carry_out(self._proofs.observe(status))

    def _take_primary(self, status: BackendStatus, asked: Instant) -> None:
        led = asked - milliseconds(status.silence_ms)
        if self.led_until is None or led > self.led_until:
            self.led_until = led
        commits_in_term = status.committed.term == status.term
        position = status.committed if commits_in_term else status.received
        if self.sample is None or led > self.sample.taken_at:
            self.sample = LogEndSample(position, led)

    async def wait_led(self, since: Instant, give_up: Instant) -> bool:
        """Wait until the backend server is known to have been primary at ``since`` or later."""
        while self.led_until is None or self.led_until < since:
            if self._clock.now() >= give_up:
                return False
            status = await self.refresh()
            if status is not None and status.role is not InstanceRole.PRIMARY:
                return False
            if self.led_until is None or self.led_until < since:
                await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        return True

    async def prove(self, ticket: PendingCommit) -> Confirmed | Unconfirmed:
        """Wait until a position is known to be committed, or can't be any more."""
        now = self._clock.now()
        if self._proofs.is_confirmed(ticket):
            return Confirmed(ticket.key)
        self.last_used = now
        future = asyncio.get_running_loop().create_future()
        self._futures[ticket.key] = future
        self._carry_out(self._proofs.add(ticket, now))
        try:
            async with asyncio.timeout((ticket.deadline - now).total_seconds()):
                return await future
        except TimeoutError:
            return Unconfirmed(ticket.key, "no proof of the commit before the deadline")
        finally:
            self._futures.pop(ticket.key, None)
            self._proofs.withdraw(ticket.key)

    def learn_term(self, term: Term) -> None:
        """Take in the group's term as known from elsewhere."""
        self._carry_out(self._proofs.observe_term(term))

    def _carry_out(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case WaitCommitted():
                    self._spawn(self._ask(action))
                case Confirmed(key) | Unconfirmed(key):
                    future = self._futures.get(key)
                    if future is not None and not future.done():
                        future.set_result(action)

    async def _ask(self, ask: WaitCommitted) -> None:
        asked = self._clock.now()
        timeout = min(max(ask.give_up_at - asked, timedelta(0)), _PROOF_CALL_LIMIT)
        result = await self._proof_calls.wait_committed(ask.position, timeout)
        if self._take_result(result, asked) is None:
            await asyncio.sleep(_RETRY_PAUSE_SECONDS)
        self._carry_out(self._proofs.finish_wait(None, self._clock.now()))

    def _spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End the calls in flight and close the control connections."""
        self._closed = True
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._status_calls.close()
        self._proof_calls.close()
