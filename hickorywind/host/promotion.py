"""Choice of the successor of a primary, and its promotion by the platform."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from hickorywind.failover.leadership import (
    LeadershipPhase,
    LeadershipRecord,
    VersionedLeadership,
)
from hickorywind.failover.succession import Candidate, KnownTerms, ReplicaSurvey
from hickorywind.host.backendconnection import (
    ConnectFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.host.detection import PrimaryVerdict, check_primary
from hickorywind.host.leadershipstore import (
    STORE_RETRY_DELAY,
    LeadershipStore,
    PrimaryChangeCancelledError,
)
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend
from hickorywind.ids import BackendId, HostId, LogPosition, ServiceName, Term
from hickorywind.ports.catalog import BackendState
from hickorywind.ports.coordination import FencingToken, Promoter, PromotionOutcome
from hickorywind.ports.replies import BackendErrorKind, ServerStatus
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

CATCH_UP_TIMEOUT = timedelta(milliseconds=1500)  # for one comparison of two logs
SERVING_POLL_INTERVAL = timedelta(milliseconds=300)  # a status takes a slot that callers need
MIN_WAIT = timedelta(milliseconds=1)
PROMOTION_TIMEOUT = timedelta(seconds=4)  # until one promotion takes effect
PROMOTION_POLL_INTERVAL = timedelta(milliseconds=60)  # between queries of the successor's status
# For a better successor: a replica that receives the log of a server that claims an old lead (log
# entries cross regions in a fraction of this), or one that did not answer and may hold more.
BETTER_SUCCESSOR_TIMEOUT = timedelta(milliseconds=500)
PROMOTION_RESEND_INTERVAL = timedelta(milliseconds=1500)  # without an answer it may be lost
STATUS_ATTEMPTS = 2  # a server without a free slot gives no status; a retry mostly gets one
STATUS_RETRY_DELAY = timedelta(milliseconds=50)
STEP_DOWN_TIMEOUT = timedelta(milliseconds=400)  # a round trip between regions and a busy slot
STEP_DOWN_INTERVAL = timedelta(milliseconds=300)  # between orders to a server that can't be reached


async def query_server(runtime: ServiceRuntime, backend: Backend) -> ServerStatus | None:
    """Query the status of a backend server; return None if it gives none."""
    for _ in range(STATUS_ATTEMPTS):
        try:
            answer = await runtime.query_status(backend)
        except (ConnectionLostError, ConnectionRejectedError) as error:
            logger.info(
                "status_query_failed",
                extra={"backend": backend.server.backend, "reason": str(error)},
            )
            return None
        status = backend.connections.decode_status(answer)
        if status is not None:
            return status
        await asyncio.sleep(STATUS_RETRY_DELAY.total_seconds())
    return None


async def choose_successor(
    runtime: ServiceRuntime,
    record: LeadershipRecord,
    clock: Clock,
    *,
    is_planned: bool = False,
    passed_over: BackendId | None = None,
    preferred: BackendId | None = None,
    held: LogPosition | None = None,
) -> tuple[BackendId, Term]:
    """Return the successor of a primary and the term above which it must lead.

    ``held`` is the end of the old primary's log, if it is known. If the best candidate claims an
    old lead, replicas get ``BETTER_SUCCESSOR_TIMEOUT`` to receive its log, and are then preferred.
    If it lacks acknowledged commits, replicas that gave no status get that time to do so.
    The successor of a primary that runs catches up with it; any other one has to hold what was
    acknowledged. Raise ``PrimaryChangeCancelledError`` if no candidate answers, or if one that does
    not answer may hold more acknowledged commits.
    """
    deadline = clock.now() + BETTER_SUCCESSOR_TIMEOUT
    while True:
        survey = await _survey_replicas(runtime, record.primary)
        candidates = survey.candidates
        if not is_planned and not survey.covers_acknowledged(runtime.sync_replicas):
            missing = ",".join(sorted(survey.unanswered))
            raise PrimaryChangeCancelledError(
                f"replicas that may hold acknowledged commits do not answer: {missing}"
            )
        terms = KnownTerms(
            Term(max(record.term, runtime.used_term)), Term(max(record.term, runtime.newest_term))
        )
        acknowledged = held
        if held is None and not is_planned:
            acknowledged = _acknowledged_position(runtime, candidates)
        chosen = terms.choose_successor(candidates, passed_over, acknowledged, preferred)
        if chosen is None:
            raise PrimaryChangeCancelledError("no backend server can be promoted")
        may_be_overtaken = terms.claims_old_lead(chosen.status) and any(
            not terms.claims_old_lead(candidate.status) for candidate in candidates
        )
        lacks_commits = acknowledged is not None and (
            chosen.status.received_position < acknowledged
        )
        is_final = not may_be_overtaken and not (lacks_commits and survey.unanswered)
        if is_final or clock.now() >= deadline:
            return chosen.backend, terms.ended_term(chosen.status)
        await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())


async def find_leader(runtime: ServiceRuntime, record: LeadershipRecord) -> BackendId | None:
    """Return the server that leads in the newest term, unless the record says that it has ended."""
    backends = list(runtime.backends.values())
    statuses = await asyncio.gather(*(query_server(runtime, backend) for backend in backends))
    newest = max(runtime.newest_term, record.term)
    if record.phase is LeadershipPhase.CLOSED and newest == record.term:
        return None
    for backend, status in zip(backends, statuses, strict=True):
        if status is not None and status.leading_term == newest:
            return backend.server.backend
    return None


async def _survey_replicas(runtime: ServiceRuntime, old_primary: BackendId) -> ReplicaSurvey:
    """Query all registered servers but the old primary, leaving ones too: they receive its log."""
    backends = [
        backend for backend in runtime.backends.values() if backend.server.backend != old_primary
    ]
    statuses = await asyncio.gather(*(query_server(runtime, backend) for backend in backends))
    answers = list(zip(backends, statuses, strict=True))
    return ReplicaSurvey(
        tuple(
            Candidate(
                backend.server.backend,
                status,
                backend.load.distance,
                backend.server.state is BackendState.LEAVING,
            )
            for backend, status in answers
            if status is not None
        ),
        tuple(backend.server.backend for backend, status in answers if status is None),
    )


def _acknowledged_position(
    runtime: ServiceRuntime, candidates: Sequence[Candidate]
) -> LogPosition | None:
    """Return a position up to which a successor should hold the log, or None if that is unknown.

    With synchronous replicas the most advanced of them holds all acknowledged commits, so that any
    difference between two logs matters.
    """
    if runtime.sync_replicas:
        return max((each.status.received_position for each in candidates), default=None)
    newest = runtime.samples.newest()
    return None if newest is None else newest.position


class CatchUp(Enum):
    """Whether a successor has received the whole log of an old primary.

    ``UNKNOWN``: one of them runs and gives no status; ``PRIMARY_SILENT``: the old primary did not
    answer this host, or refused its connection; ``PRIMARY_GONE``: another server uses its address,
    or it is no longer registered; ``PRIMARY_REPLACED``: a server leads in a new term, or it no
    longer leads before it was to stop.
    """

    COMPLETE = "complete"
    BEHIND = "behind"
    UNKNOWN = "unknown"
    PRIMARY_SILENT = "primary_silent"
    PRIMARY_GONE = "primary_gone"
    PRIMARY_REPLACED = "primary_replaced"


@dataclass(frozen=True, slots=True)
class LogComparison:
    """Comparison of the logs of an old primary and its successor.

    ``held`` and ``received`` are their log positions, or None if they are not known.
    """

    state: CatchUp
    held: LogPosition | None = None
    received: LogPosition | None = None


async def wait_for_catch_up(
    runtime: ServiceRuntime,
    primary: BackendId,
    successor: BackendId,
    ended_term: Term,
    clock: Clock,
    deadline: Instant,
    *,
    is_serving: bool = False,
) -> LogComparison:
    """Wait until the successor has received what the old primary holds.

    While that one is serving, what it held at first is enough. Compare the logs at least once, and
    return at the latest after ``CATCH_UP_TIMEOUT`` or at ``deadline``, with the last position known
    of the old primary. Statuses that the servers refuse to give are asked for again.
    """
    deadline = min(deadline, clock.now() + CATCH_UP_TIMEOUT)
    interval = PROMOTION_POLL_INTERVAL
    required: LogPosition | None = None
    held: LogPosition | None = None
    while True:
        result = await _compare_logs(runtime, primary, successor, ended_term, is_serving)
        held = result.held or held
        if required is None or not is_serving:
            required = result.held
        if result.state is CatchUp.BEHIND and result.received >= required:
            result = dataclasses.replace(result, state=CatchUp.COMPLETE)
        is_open = result.state in (CatchUp.BEHIND, CatchUp.UNKNOWN)
        if not is_open or clock.now() >= deadline:
            break
        await asyncio.sleep(min(interval, max(deadline - clock.now(), MIN_WAIT)).total_seconds())
        if is_serving:
            interval = min(interval * 2, SERVING_POLL_INTERVAL)
    result = dataclasses.replace(result, held=held)
    logger.log(
        logging.INFO if result.state is CatchUp.COMPLETE else logging.WARNING,
        "catch_up_ended",
        extra={
            "service": runtime.name,
            "primary": primary,
            "successor": successor,
            "state": result.state,
            "held": None if result.held is None else str(result.held),
            "received": None if result.received is None else str(result.received),
        },
    )
    return result


async def _compare_logs(
    runtime: ServiceRuntime,
    primary: BackendId,
    successor: BackendId,
    ended_term: Term,
    is_serving: bool,
) -> LogComparison:
    old, new = runtime.backends.get(primary), runtime.backends.get(successor)
    if old is None:
        return LogComparison(CatchUp.PRIMARY_GONE)
    if new is None:
        return LogComparison(CatchUp.UNKNOWN)
    old_status, new_status = await asyncio.gather(
        _query_old_primary(runtime, old), query_server(runtime, new)
    )
    received = None if new_status is None else new_status.received_position
    if new_status is not None and (new_status.leading_term or Term(0)) > ended_term:
        return LogComparison(CatchUp.PRIMARY_REPLACED, None, received)
    if isinstance(old_status, CatchUp):
        return LogComparison(old_status, None, received)
    has_lost_lead = is_serving and old_status.leading_term is None
    if (old_status.leading_term or Term(0)) > ended_term or has_lost_lead:
        return LogComparison(CatchUp.PRIMARY_REPLACED, None, received)
    held = old_status.received_position
    if received is None:
        return LogComparison(CatchUp.UNKNOWN, held)
    state = CatchUp.COMPLETE if received >= held else CatchUp.BEHIND
    return LogComparison(state, held, received)


async def _query_old_primary(runtime: ServiceRuntime, backend: Backend) -> ServerStatus | CatchUp:
    """Return the status of an old primary, or what it means that there is none."""
    try:
        answer = await runtime.query_status(backend)
    except ConnectionRejectedError as error:
        # Another server uses the address of one that has exited.
        is_wrong_server = error.kind is BackendErrorKind.WRONG_SERVER
        return CatchUp.PRIMARY_GONE if is_wrong_server else CatchUp.UNKNOWN
    except ConnectionLostError as error:
        logger.info(
            "status_query_failed",
            extra={"backend": backend.server.backend, "reason": str(error)},
        )
        return CatchUp.PRIMARY_SILENT
    return backend.connections.decode_status(answer) or CatchUp.UNKNOWN


async def order_step_down(
    runtime: ServiceRuntime, record: LeadershipRecord, backend: Backend
) -> ServerStatus | None:
    """Order the former primary to become a replica; return its status if it is one afterwards.

    The order names a term above all known ones. Whoever is promoted next leads in that term or a
    higher one, so that a late order does not end its lead. Return None after
    ``STEP_DOWN_TIMEOUT``, and at once if the server refuses connections.
    """
    reason, term = "no answer", Term(0)
    extra = {"service": runtime.name, "backend": backend.server.backend}
    try:
        async with asyncio.timeout(STEP_DOWN_TIMEOUT.total_seconds()):
            while True:
                term = Term(max(record.term, runtime.newest_term) + 1)
                try:
                    status = await runtime.step_down(backend, term)
                except (ConnectionLostError, ConnectionRejectedError) as error:
                    reason = str(error)
                    if not _may_step_down_later(error):
                        break
                else:
                    if status is not None and status.leading_term is None:
                        extra |= {"term": term, "held": str(status.received_position)}
                        logger.info("primary_stepped_down", extra=extra)
                        return status
                    reason = "it is busy" if status is None else f"it leads in term {status.term}"
                await asyncio.sleep(STATUS_RETRY_DELAY.total_seconds())
    except TimeoutError:
        pass
    logger.info("primary_not_stepped_down", extra={**extra, "term": term, "reason": reason})
    return None


def _may_step_down_later(error: ConnectionLostError | ConnectionRejectedError) -> bool:
    """Return whether another connection may reach the server at once."""
    if isinstance(error, ConnectionRejectedError):
        return error.kind is BackendErrorKind.CONNECTION_LIMIT
    return not isinstance(error, ConnectFailedError)


class PromotionFailure(Enum):
    """Why a candidate did not become primary.

    ``NOT_ORDERED``: another host may have taken over the change; ``UNREACHABLE``: this host
    can't order one, and none of its orders is under way; ``NOT_RUNNING``: the candidate has gone;
    ``NO_EFFECT``: it did not lead in a new term in time after an order, or did not get on with
    applying its log.
    """

    NOT_ORDERED = "not_ordered"
    UNREACHABLE = "unreachable"
    NOT_RUNNING = "not_running"
    NO_EFFECT = "no_effect"


class Promotion:
    """Promotion of the candidate that a closed leadership record names."""

    def __init__(
        self,
        promoter: Promoter,
        store: LeadershipStore,
        peers: Peers,
        own_host: HostId,
        clock: Clock,
    ) -> None:
        self._promoter = promoter
        self._store = store
        self._peers = peers
        self._own_host = own_host
        self._clock = clock
        self._catch_up_ends: dict[ServiceName, tuple[int, Instant]] = {}
        self._unanswered_at: dict[ServiceName, Instant] = {}  # the last order without an answer

    async def run(
        self,
        runtime: ServiceRuntime,
        closed: VersionedLeadership,
        *,
        may_hand_over: bool = False,
    ) -> Term | PromotionFailure:
        """Order the promotion, wait until the candidate leads in a new term and return that term.

        With ``may_hand_over`` return as soon as another host should do it.

        The old primary is ordered to step down: before, if it leaves by plan, so that the candidate
        can receive its whole log; else at the same time, as nobody knows whether it runs.

        An accepted order alone proves nothing, and a leader may still have to apply its log. After
        a failure the caller must write a new closed record and try again. Raise
        ``PrimaryChangeCancelledError`` if another host took over the change.
        """
        if not self._store.is_exclusive(runtime.name, closed):
            # Writing the record again gives this host a new exclusive period by one store call,
            # longer than the one that a read gives.
            return PromotionFailure.NOT_ORDERED
        if is_by_plan(runtime, closed.record):
            await self._end_old_log(runtime, closed.record)
            return await self._order_until_led(runtime, closed, may_hand_over)
        stepping_down = asyncio.create_task(self._step_down_repeatedly(runtime, closed))
        try:
            return await self._order_until_led(runtime, closed, may_hand_over)
        finally:
            stepping_down.cancel()

    async def _end_old_log(self, runtime: ServiceRuntime, record: LeadershipRecord) -> None:
        """Let a leaving primary step down, and the candidate receive the end of its log.

        What hosts sent to it before they stopped using it may have run there until now.
        """
        old = _former_primary(runtime, record)
        status = None if old is None else await order_step_down(runtime, record, old)
        if status is not None:
            await self._wait_until_received(runtime, record, status.received_position)

    async def _step_down_repeatedly(
        self, runtime: ServiceRuntime, closed: VersionedLeadership
    ) -> None:
        """Order a failed primary to step down, as it may still run or come back.

        End once it has, or when another host may have taken over the change.
        """
        while self._store.is_exclusive(runtime.name, closed):
            old = _former_primary(runtime, closed.record)
            if old is None or await order_step_down(runtime, closed.record, old) is not None:
                return
            await asyncio.sleep(STEP_DOWN_INTERVAL.total_seconds())

    async def _wait_until_received(
        self, runtime: ServiceRuntime, record: LeadershipRecord, end: LogPosition
    ) -> None:
        """Wait until the candidate has received a log up to its end.

        All waits of one change end ``CATCH_UP_TIMEOUT`` after the first one began.
        """
        change, deadline = self._catch_up_ends.get(runtime.name, (-1, timedelta(0)))
        if change != record.change:
            deadline = self._clock.now() + CATCH_UP_TIMEOUT
            self._catch_up_ends[runtime.name] = (record.change, deadline)
        received, has_received = None, False
        while (backend := runtime.backends.get(record.candidate)) is not None:
            status = await query_server(runtime, backend)
            if status is not None and (status.leading_term or Term(0)) > record.term:
                return  # its promotion has ended the old log
            received = None if status is None else status.received_position
            has_received = received is not None and received >= end
            if has_received or self._clock.now() >= deadline:
                break
            await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())
        logger.log(
            logging.INFO if has_received else logging.WARNING,
            "log_end_awaited",
            extra={
                "service": runtime.name,
                "backend": record.candidate,
                "held": str(end),
                "received": None if received is None else str(received),
            },
        )

    async def _order_until_led(
        self, runtime: ServiceRuntime, closed: VersionedLeadership, may_hand_over: bool
    ) -> Term | PromotionFailure:
        record = closed.record
        deadline = self._clock.now() + PROMOTION_TIMEOUT
        next_order_at = self._clock.now()
        was_sent = has_logged_old_lead = False
        while self._clock.now() < deadline:
            if self._clock.now() >= next_order_at:
                outcome = await self._order(runtime, closed)
                if outcome is PromotionOutcome.NOT_RUNNING:
                    return PromotionFailure.NOT_RUNNING
                if outcome is PromotionOutcome.UNREACHABLE and may_hand_over:
                    if not self._has_order_under_way(runtime.name):
                        return PromotionFailure.UNREACHABLE
                if outcome is PromotionOutcome.UNKNOWN:
                    self._unanswered_at[runtime.name] = self._clock.now()
                was_sent |= outcome not in (None, PromotionOutcome.UNREACHABLE)
                next_order_at = self._clock.now() + _order_again_after(outcome)
            backend = runtime.backends.get(record.candidate)
            if backend is None:
                return PromotionFailure.NOT_RUNNING
            status = await query_server(runtime, backend)
            led = None if status is None else status.leading_term
            if led is not None and led > record.term and led >= runtime.newest_term:
                logger.info(
                    "candidate_leads",
                    extra={
                        "service": runtime.name,
                        "backend": record.candidate,
                        "term": led,
                        "received": str(status.received_position),
                        "applied": str(status.applied_position),
                    },
                )
                has_applied = await self._wait_until_applied(runtime, backend, status)
                return led if has_applied else PromotionFailure.NO_EFFECT
            if led is not None and not has_logged_old_lead:
                has_logged_old_lead = True
                logger.warning(
                    "candidate_leads_in_old_term",
                    extra={
                        "service": runtime.name,
                        "backend": record.candidate,
                        "term": led,
                        "ended_term": record.term,
                        "newest_term": runtime.newest_term,
                    },
                )
            await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())
        return PromotionFailure.NO_EFFECT if was_sent else PromotionFailure.NOT_ORDERED

    def _has_order_under_way(self, service: ServiceName) -> bool:
        """Return whether the platform may still get an order of this host, with a lower token."""
        unanswered_at = self._unanswered_at.get(service)
        return unanswered_at is not None and self._clock.now() < unanswered_at + PROMOTION_TIMEOUT

    async def _wait_until_applied(
        self, runtime: ServiceRuntime, backend: Backend, leading: ServerStatus
    ) -> bool:
        """Wait until a new leader has applied what it received.

        Return False if it stops leading, fails by the word of a quorum of hosts, or applies nothing
        for ``PROMOTION_TIMEOUT``.
        """
        status = leading
        deadline = self._clock.now() + PROMOTION_TIMEOUT
        while not status.has_applied_log:
            await asyncio.sleep(PROMOTION_POLL_INTERVAL.total_seconds())
            applied = status.applied_position
            answer = await query_server(runtime, backend)
            if answer is None:
                verdict = await check_primary(runtime, self._peers, backend.server.backend)
                if verdict is PrimaryVerdict.FAILED:
                    return False
            status = answer or status
            if status.leading_term != leading.term or self._clock.now() >= deadline:
                return False
            if status.applied_position != applied:
                deadline = self._clock.now() + PROMOTION_TIMEOUT
        return True

    async def _order(
        self, runtime: ServiceRuntime, closed: VersionedLeadership
    ) -> PromotionOutcome | None:
        """Send the promotion order; return None if another host may have sent one by now."""
        candidate = closed.record.candidate
        token = FencingToken(closed.revision)
        try:
            exclusive_until = await self._store.confirm_exclusive(runtime.name, closed)
        except StoreUnavailableError as error:
            # Another host may have ordered a promotion with a higher fencing token by now.
            logger.warning(
                "promotion_not_ordered", extra={"service": runtime.name, "reason": str(error)}
            )
            return None
        outcome = await self._promoter.promote(
            runtime.name,
            candidate,
            self._own_host,
            token,
            lambda: self._clock.now() < exclusive_until,
        )
        logger.info(
            "promotion_ordered",
            extra={
                "service": runtime.name,
                "backend": candidate,
                "fence": token,
                "outcome": outcome,
            },
        )
        return None if outcome is PromotionOutcome.NOT_SENT else outcome


def _order_again_after(outcome: PromotionOutcome | None) -> timedelta:
    """Return when to repeat an order to promote.

    An accepted one is not repeated: both may take effect, the later one after the next change.
    """
    match outcome:
        case None | PromotionOutcome.UNREACHABLE:
            return STORE_RETRY_DELAY
        case PromotionOutcome.ACCEPTED:
            return PROMOTION_TIMEOUT
        case _:
            return PROMOTION_RESEND_INTERVAL


def is_by_plan(runtime: ServiceRuntime, record: LeadershipRecord) -> bool:
    """Return whether the old primary leaves by plan; a change taken up again no longer says so."""
    old = runtime.backends.get(record.primary)
    is_leaving = old is not None and old.server.state is BackendState.LEAVING
    return record.is_planned or is_leaving


def _former_primary(runtime: ServiceRuntime, record: LeadershipRecord) -> Backend | None:
    """Return the primary that is replaced, unless it is itself the candidate or is gone."""
    return None if record.primary == record.candidate else runtime.backends.get(record.primary)
