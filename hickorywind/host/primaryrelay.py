"""Work at primaries that their holders run for the callers of all hosts.

A host that is no holder sends each statement, or each step of a transaction, to one of the holders.
At most once: a write whose reply is lost is in doubt and is not sent again; only what was never
sent, and reads, go to another holder.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from msgspec.structs import replace

from hickorywind.admission.dispatch import OnPrimary
from hickorywind.failover.leadership import REPLY_TRANSIT_LIMIT
from hickorywind.host.autocommit import AutocommitStatement
from hickorywind.host.backendconnection import StatementTemplate
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import CALL_TIMEOUT, SILENCE_CHECK_DELAY, Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.sessioncontext import SessionContext
from hickorywind.host.targets import RETRY_AFTER_MS
from hickorywind.host.transaction import Transaction
from hickorywind.ids import AccessMode, HostId, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.placement.primaryholders import AvoidedHolders
from hickorywind.ports.catalog import AccountId, DatabaseName, PrimaryReads, PriorityRank, Route
from hickorywind.ports.replies import (
    Answer,
    BackendError,
    BackendErrorKind,
    ProxyFailure,
    RelayedAnswer,
    Reply,
    TransactionState,
)
from hickorywind.ports.statements import Access, Commit, Execute, Request, Rollback
from hickorywind.protocol.messages import (
    PrimaryStep,
    PrimaryStepKind,
    PrimaryStepReply,
    PrimaryStepWithdrawal,
)
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, Instant, milliseconds, to_milliseconds
from hickorywind.util.stalls import StallDetector
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

HOLDER_POLL_INTERVAL = timedelta(milliseconds=20)  # while no holder may be asked
ANSWER_ALLOWANCE = timedelta(milliseconds=200)  # for the reply's way back after the step's time
# Added to the idle timeout of transactions, which the caller's host applies itself: after it the
# holder rolls back, as that host has gone or can't reach it.
ORPHAN_ALLOWANCE = timedelta(seconds=1)
_TRANSACTION_LOST = Result.not_run(
    ResultCode.TRANSACTION_LOST,
    "the holder of the primary was lost; the transaction was rolled back",
    RETRY_AFTER_MS,
)

_REPLY_LATE = Result.unknown(
    ResultCode.COMMIT_UNPROVEN,
    "the reply of the primary's holder was late; the primary may have been replaced meanwhile",
)


@dataclass
class HeldTransaction:
    """Transaction that this host runs at a primary for a caller of another host."""

    transaction: Transaction
    context: SessionContext
    used_at: Instant
    is_busy: bool = False


class PrimaryRelay:
    """Steps that this host sends to holders, and steps that it runs as a holder."""

    def __init__(
        self,
        identity: HostIdentity,
        peers: Peers,
        find_service: Callable[[ServiceName], ServiceRuntime | None],
        clock: Clock,
        metrics: HostMetrics,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._find_service = find_service
        self._clock = clock
        self._metrics = metrics
        self._avoided = AvoidedHolders()
        self._numbers = itertools.count(1)
        self._held: dict[tuple[HostId, int, int], HeldTransaction] = {}
        self._running: dict[tuple[HostId, int, int], SessionContext] = {}
        self._stall = StallDetector(clock)
        self._background = BackgroundTasks()
        self.is_stopping = False

    # Work of this host's callers ---------------------------------------------------------------

    async def run_statement(
        self,
        service_name: ServiceName,
        route: Route,
        context: SessionContext,
        request: Request,
        template: StatementTemplate | None,
        arrived: Instant,
    ) -> Reply | None:
        """Run a statement at a holder, or return None if this host has to run it itself."""
        service = self._find_service(service_name)
        is_write = _is_write(request, template)
        kind = PrimaryStepKind.WRITE if is_write else PrimaryStepKind.READ
        deadline = service.wait_deadline(route, OnPrimary(), arrived)
        result: Result | None = None
        while result is None or self._clock.now() < deadline:
            if context.has_disconnected:
                return ProxyFailure(Result.not_run(ResultCode.CANCELLED, "the caller disconnected"))
            holder = await self.find_holder(service, route, arrived)
            if not isinstance(holder, str):
                return None if holder is None else ProxyFailure(holder)
            make = self.step_maker(service, route, context, request, kind, template, arrived)
            sent = self._clock.now()
            reply, was_sent = await self.ask(holder, make, deadline - sent)
            if reply is None and was_sent and is_write:
                reason = "the write may have run: the holder of the primary was lost"
                return ProxyFailure(Result.unknown(ResultCode.CONNECTION_LOST, reason))
            if reply is None:
                reason = "no holder of the primary answered"
                result = Result.not_run(ResultCode.NO_PRIMARY, reason, RETRY_AFTER_MS)
                continue
            if reply.failure is None:
                answer = self.accept(service, reply, sent)
                if is_write and self.is_late(reply, sent):
                    return ProxyFailure(_REPLY_LATE)
                if is_write and answer.is_ok:
                    context.raise_floor(answer.position)
                return RelayedAnswer(answer)
            result = reply.failure
            if not self.may_ask_again(holder, result):
                break
        return ProxyFailure(result)

    def open_transaction(
        self, service_name: ServiceName, route: Route, context: SessionContext, read_only: bool
    ) -> RelayedTransaction:
        """Return a transaction that begins at a holder with its first statement."""
        service = self._find_service(service_name)
        return RelayedTransaction(self, service, route, context, read_only, next(self._numbers))

    async def find_holder(
        self, service: ServiceRuntime, route: Route, arrived: Instant
    ) -> HostId | Result | None:
        """Wait for a holder that may be asked; return None once this host itself is one.

        Return a refusal if there is none in time: while the primary is replaced, or, once the
        objective is missed, while they refuse; at once if all of them are known to be silent.
        """
        while True:
            now = self._clock.now()
            if not service.is_held_by_others:
                return None
            if service.open_primary is not None:
                holder = self._avoided.choose(
                    service.holders, self._identity.host, self._peers.incarnation_of, now
                )
                if holder is not None:
                    return holder
                is_silent = self._avoided.are_silent(
                    service.holders, self._peers.incarnation_of, now
                )
                if is_silent or now >= arrived + route.latency_objective:
                    return service.build_primary_refusal("no holder of the primary answers")
            elif now >= service.wait_deadline(route, OnPrimary(), arrived):
                return service.build_primary_refusal("the primary is being replaced")
            await asyncio.sleep(HOLDER_POLL_INTERVAL.total_seconds())

    async def ask(
        self, holder: HostId, make: Callable[[int], PrimaryStep], remaining: timedelta
    ) -> tuple[PrimaryStepReply | None, bool]:
        """Send a step; return the reply, or None, and whether the step may have arrived.

        A holder that comes back later should not start a step that was given up.
        """
        self._metrics.primary_work.labels("sent").inc()
        step, incarnation = make(0), self._peers.incarnation_of(holder)
        started = self._clock.now()
        outcome = await self._peers.ask(
            holder, lambda call: replace(step, call=call), remaining + ANSWER_ALLOWANCE
        )
        if isinstance(outcome.reply, PrimaryStepReply):
            return outcome.reply, True
        withdrawal = PrimaryStepWithdrawal(step.sender, step.incarnation, step.number)
        await self._peers.notify(holder, withdrawal)
        # One that is not connected may be about to start; one that can't be reached is not.
        if outcome.was_sent or self._clock.now() >= started + SILENCE_CHECK_DELAY:
            self._avoided.record_silence(holder, incarnation, self._clock.now())
        else:
            self._avoided.record_refusal(holder, incarnation, self._clock.now())
        logger.info("holder_silent", extra={"peer": holder, "was_sent": outcome.was_sent})
        return None, outcome.was_sent

    def may_ask_again(self, holder: HostId, refusal: Result) -> bool:
        """Return whether a holder may use no primary now, so that another one should be asked."""
        if refusal.outcome is not Outcome.NOT_RUN:
            return False
        incarnation, now = self._peers.incarnation_of(holder), self._clock.now()
        match refusal.code:
            case ResultCode.SHUTTING_DOWN:
                self._avoided.record_silence(holder, incarnation, now)
            case ResultCode.NO_PRIMARY:
                self._avoided.record_refusal(holder, incarnation, now)
            case _:
                return False
        return True

    def step_maker(
        self,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        request: Request,
        kind: PrimaryStepKind,
        template: StatementTemplate | None,
        arrived: Instant,
        transaction: int = 0,
        is_first: bool = False,
        read_only: bool = False,
    ) -> Callable[[int], PrimaryStep]:
        """Return the function that makes a step's message with the number of its call."""
        is_execute = isinstance(request.statement, Execute)

        def make(call: int) -> PrimaryStep:
            return PrimaryStep(
                call,
                self._identity.host,
                self._identity.incarnation,
                next(self._numbers),
                service.name,
                transaction,
                is_first,
                read_only,
                kind,
                request.request_id,
                context.account,
                route.rank,
                request.statement.arguments if is_execute else request.text,
                None if template is None else template.text,
                context.values,
                int(to_milliseconds(self._clock.now() - arrived)),
                int(to_milliseconds(route.latency_objective)),
                int(to_milliseconds(route.statement_timeout)),
            )

        return make

    def accept(self, service: ServiceRuntime, reply: PrimaryStepReply, sent: Instant) -> Answer:
        """Return the primary's answer in a reply and record its log position."""
        error = None
        if reply.error_kind is not None:
            error = BackendError(BackendErrorKind(reply.error_kind), reply.error_text)
        answer = Answer(
            reply.rows, reply.completion_tag, error, TransactionState(reply.state), reply.position
        )
        backend = service.backends.get(reply.primary)
        if backend is not None:
            is_sample = reply.is_sample and service.open_primary == reply.primary
            service.record_answer(backend, answer, sent, is_sample)
        return answer

    def is_late(self, reply: PrimaryStepReply, sent: Instant) -> bool:
        """Return whether a successful write may not be acknowledged, as its reply took too long."""
        on_the_way = self._clock.now() - sent - milliseconds(reply.held_ms)
        return reply.error_kind is None and on_the_way >= REPLY_TRANSIT_LIMIT

    def end_transaction(self, holder: HostId, step: Callable[[int], PrimaryStep]) -> None:
        """Let a holder roll a transaction back, without waiting for it."""
        self._background.start(self._peers.call(holder, step, CALL_TIMEOUT))

    # Work of other hosts' callers --------------------------------------------------------------

    async def serve(self, step: PrimaryStep) -> PrimaryStepReply:
        """Run a step of another host at the primary; return its answer or how it failed."""
        service = self._find_service(step.service)
        if self._stall.is_recent():
            reason = "this host was stalled; the step may have waited for long"
            result = Result.not_run(ResultCode.NO_PRIMARY, reason, RETRY_AFTER_MS)
            return PrimaryStepReply(step.call, result)
        is_later = step.transaction and not step.is_first
        if self.is_stopping and not is_later:
            result = Result.not_run(ResultCode.SHUTTING_DOWN, "the holder is stopping", 0)
            return PrimaryStepReply(step.call, result)
        if service is None or (service.primary is None and not is_later):
            result = Result.not_run(
                ResultCode.NO_PRIMARY, "this host may not use the primary now", RETRY_AFTER_MS
            )
            return PrimaryStepReply(step.call, result)
        self._metrics.primary_work.labels("served").inc()
        started, primary = self._clock.now(), service.primary
        run = self._run_transaction_step if step.transaction else self._run_statement
        key = (step.sender, step.incarnation, step.number)
        try:
            reply = await run(service, step, key)
        finally:
            self._running.pop(key, None)
        match reply:
            case RelayedAnswer(answer):
                if step.kind is not PrimaryStepKind.READ and answer.is_ok:
                    service.record_relayed_write()
                return PrimaryStepReply(
                    step.call,
                    None,
                    answer.rows,
                    answer.completion_tag,
                    None if answer.error is None else answer.error.kind.value,
                    "" if answer.error is None else answer.error.text,
                    answer.state.value,
                    answer.position,
                    primary,
                    primary is not None and service.primary == primary,
                    int(to_milliseconds(self._clock.now() - started)),
                )
            case ProxyFailure(result):
                return PrimaryStepReply(step.call, result)
            case _:
                return PrimaryStepReply(step.call, None)

    def withdraw(self, withdrawal: PrimaryStepWithdrawal) -> None:
        """Refuse a step that still waits here, as its sender has given up."""
        key = (withdrawal.sender, withdrawal.incarnation, withdrawal.number)
        context = self._running.get(key)
        if context is not None:
            context.mark_disconnected()

    def record_turn(self) -> None:
        """Record that this host's event loop turns."""
        self._stall.record_turn()

    async def _run_statement(
        self, service: ServiceRuntime, step: PrimaryStep, key: tuple[HostId, int, int]
    ) -> Reply:
        request, template = _decode_request(step)
        context = self._running[key] = _make_context(step)
        operation = AutocommitStatement(
            service,
            _make_route(service, step),
            context,
            request,
            AccessMode(step.kind.value),
            template,
            self._clock.now() - milliseconds(step.age_ms),
        )
        return await operation.run_at_primary()

    async def _run_transaction_step(
        self, service: ServiceRuntime, step: PrimaryStep, step_key: tuple[HostId, int, int]
    ) -> Reply:
        key = (step.sender, step.incarnation, step.transaction)
        now = self._clock.now()
        if step.is_first:
            context = _make_context(step)
            transaction = Transaction(
                service, _make_route(service, step), context, step.is_read_only
            )
            transaction.needs_primary = transaction.is_held = True
            transaction.arrived = now - milliseconds(step.age_ms)
            self._held[key] = HeldTransaction(transaction, context, now)
        held = self._held.get(key)
        if held is None:
            return ProxyFailure(_TRANSACTION_LOST)
        self._running[step_key] = held.context
        held.context.values = step.values
        held.is_busy = True
        try:
            if step.kind is PrimaryStepKind.ROLLBACK:
                await held.transaction.roll_back()
                reply = ProxyFailure(_TRANSACTION_LOST)
            else:
                request, template = _decode_request(step)
                mode = None if step.kind is PrimaryStepKind.COMMIT else AccessMode(step.kind.value)
                reply = await held.transaction.run(request, mode, template)
        finally:
            held.is_busy = False
            held.used_at = self._clock.now()
        if step.kind in (PrimaryStepKind.COMMIT, PrimaryStepKind.ROLLBACK):
            self._held.pop(key, None)
        return reply

    @property
    def held_count(self) -> int:
        """Number of transactions that are open here for callers of other hosts."""
        return len(self._held)

    async def end_orphans(self, idle_timeout: timedelta) -> None:
        """Roll back the transactions whose callers' hosts have not used them for long."""
        oldest = self._clock.now() - idle_timeout - ORPHAN_ALLOWANCE
        await self._end(lambda held: held.used_at < oldest)

    async def end_idle(self) -> None:
        """Roll back all transactions with no step under way."""
        await self._end(lambda held: True)

    async def _end(self, should_end: Callable[[HeldTransaction], bool]) -> None:
        for key, held in list(self._held.items()):
            if not held.is_busy and should_end(held):
                del self._held[key]
                logger.info("held_transaction_ended", extra={"peer": key[0]})
                await held.transaction.roll_back()

    def close(self) -> None:
        """End the calls under way."""
        self._background.cancel()


class RelayedTransaction:
    """Transaction of a caller of this host that runs at a holder of the primary."""

    def __init__(
        self,
        relay: PrimaryRelay,
        service: ServiceRuntime,
        route: Route,
        context: SessionContext,
        read_only: bool,
        number: int,
    ) -> None:
        self._relay = relay
        self._service = service
        self._route = route
        self._context = context
        self._read_only = read_only
        self._number = number
        self._arrived = service.clock.now()
        self._holder: HostId | None = None
        self._has_written = False

    async def run(
        self, request: Request, mode: AccessMode | None, template: StatementTemplate | None
    ) -> Reply | None:
        """Run a step, a commit if ``mode`` is None; return None if this host has to begin it."""
        if self._holder is None:
            return await self._begin(request, mode, template)
        self._has_written |= mode is AccessMode.WRITE
        sent = self._service.clock.now()
        make = self._step_maker(request, _kind_of(mode), template, sent)
        remaining = self._route.statement_timeout + self._route.latency_objective
        reply, was_sent = await self._relay.ask(self._holder, make, remaining)
        if reply is None:
            if mode is None and self._has_written and was_sent:
                reason = "the commit may have taken effect: the holder of the primary was lost"
                return ProxyFailure(Result.unknown(ResultCode.CONNECTION_LOST, reason))
            return ProxyFailure(_TRANSACTION_LOST)
        return self._finish(reply, mode, sent)

    async def _begin(
        self, request: Request, mode: AccessMode | None, template: StatementTemplate | None
    ) -> Reply | None:
        service, relay = self._service, self._relay
        deadline = service.wait_deadline(self._route, OnPrimary(), self._arrived)
        result: Result | None = None
        while result is None or service.clock.now() < deadline:
            holder = await relay.find_holder(service, self._route, self._arrived)
            if not isinstance(holder, str):
                return None if holder is None else ProxyFailure(holder)
            self._holder = holder
            self._has_written = mode is AccessMode.WRITE
            sent = service.clock.now()
            make = self._step_maker(request, _kind_of(mode), template, self._arrived, True)
            reply, was_sent = await relay.ask(holder, make, deadline - sent)
            if reply is None and was_sent:
                return ProxyFailure(_TRANSACTION_LOST)
            if reply is not None and reply.failure is None:
                return self._finish(reply, mode, sent)
            self._holder = None
            result = _TRANSACTION_LOST if reply is None else reply.failure
            if reply is not None and not relay.may_ask_again(holder, result):
                break
        return ProxyFailure(result)

    def _step_maker(
        self,
        request: Request,
        kind: PrimaryStepKind,
        template: StatementTemplate | None,
        arrived: Instant,
        is_first: bool = False,
    ) -> Callable[[int], PrimaryStep]:
        return self._relay.step_maker(
            self._service,
            self._route,
            self._context,
            request,
            kind,
            template,
            arrived,
            self._number,
            is_first,
            self._read_only,
        )

    def _finish(self, reply: PrimaryStepReply, mode: AccessMode | None, sent: Instant) -> Reply:
        if reply.failure is not None:
            return ProxyFailure(reply.failure)
        answer = self._relay.accept(self._service, reply, sent)
        if mode is None:
            self._holder = None
            if self._has_written and self._relay.is_late(reply, sent):
                return ProxyFailure(_REPLY_LATE)
            if answer.is_ok and self._has_written:
                self._context.raise_floor(answer.position)
        return RelayedAnswer(answer)

    def roll_back(self) -> None:
        """Let the holder roll the transaction back."""
        holder, self._holder = self._holder, None
        if holder is None:
            return
        make = self._step_maker(
            Request("-", Rollback(), ""), PrimaryStepKind.ROLLBACK, None, self._service.clock.now()
        )
        self._relay.end_transaction(holder, make)


def _kind_of(mode: AccessMode | None) -> PrimaryStepKind:
    return PrimaryStepKind.COMMIT if mode is None else PrimaryStepKind(mode.value)


def _is_write(request: Request, template: StatementTemplate | None) -> bool:
    if template is not None:
        return template.is_write
    return isinstance(request.statement, Access) and request.statement.mode is AccessMode.WRITE


def _make_context(step: PrimaryStep) -> SessionContext:
    account = None if step.account is None else AccountId(step.account)
    return SessionContext("", account, dict(step.values))


def _make_route(service: ServiceRuntime, step: PrimaryStep) -> Route:
    return Route(
        DatabaseName(""),
        service.name,
        PrimaryReads(),
        milliseconds(step.timeout_ms),
        milliseconds(step.objective_ms),
        PriorityRank(step.rank),
    )


def _decode_request(step: PrimaryStep) -> tuple[Request, StatementTemplate | None]:
    if step.kind is PrimaryStepKind.COMMIT:
        return Request(step.request_id, Commit(), step.text), None
    mode = AccessMode(step.kind.value)
    if step.template is None:
        return Request(step.request_id, Access(mode), step.text), None
    template = StatementTemplate(mode, step.template)
    return Request(step.request_id, Execute("", step.text), step.text), template
