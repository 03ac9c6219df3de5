"""Execution of one request on a connection and verification of its answer."""

from __future__ import annotations

from hickorywind.admission.commitconfirmation import Confirmed, PendingCommit
from hickorywind.admission.freshness import ReadConstraints
from hickorywind.ids import InstanceRole, LogPosition
from hickorywind.pool.backendconnection import BackendConnection
from hickorywind.pool.backendmonitor import BackendMonitor
from hickorywind.pool.batches import is_single_begin
from hickorywind.pool.freshnesschecker import max_staleness
from hickorywind.pool.idempotency import (
    AlreadyRecorded,
    ClaimFailed,
    IdempotentWrite,
    already_committed_replies,
)
from hickorywind.pool.replies import error_field
from hickorywind.pool.requests import PoolRequest
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import milliseconds

_READ_ONLY_SQLSTATE = "25006"


async def run_batch(request: PoolRequest, connection: BackendConnection) -> Result:
    """Send the batch and read its whole answer; raise ``ConnectionFailedError``.

    The last part of the answer is buffered until the answer ends. ``may_have_run`` is set before
    the first byte is sent.
    """
    key = request.message.idempotency_key
    if key is None or request.message.transaction_id is not None:
        request.may_have_run = True
        return await _run_without_key(request, connection)
    if is_single_begin(request.frames):
        request.may_have_run = True
        return await _run_begin_with_key(request, connection, key)
    if request.opens_transaction:
        reason = "a batch with an idempotency key must end its transaction or consist of BEGIN only"
        return Result.not_run(ResultCode.UNSUPPORTED_STATEMENT, reason)
    request.may_have_run = True
    return await IdempotentWrite(connection, key).run(
        request.frames, request.message.prepared, request.answer
    )


async def _run_without_key(request: PoolRequest, connection: BackendConnection) -> Result:
    first_reply: Frame | None = None
    async for frames in connection.exchange(request.frames, request.message.prepared):
        if first_reply is None:
            first_reply = next((frame for frame in frames if frame.kind in (b"C", b"E")), None)
        await request.answer.write(frames)
    if first_reply is not None and _is_refused_as_read_only(request, first_reply):
        return _stale_primary_result()
    return Result.ok()


def _is_refused_as_read_only(request: PoolRequest, first_reply: Frame) -> bool:
    is_error = first_reply.kind == b"E" and error_field(first_reply, b"C") == _READ_ONLY_SQLSTATE
    return is_error and request.message.expected_term is not None


def _stale_primary_result() -> Result:
    reason = "the backend server refused the write because it is no longer the primary"
    return Result(ResultCode.STALE_TERM, Outcome.UNKNOWN, reason, retry_allowed=True)


async def _run_begin_with_key(
    request: PoolRequest, connection: BackendConnection, key: str
) -> Result:
    result = await _run_without_key(request, connection)
    if not result.is_ok or connection.transaction_state is not TransactionState.ACTIVE:
        return result
    write = IdempotentWrite(connection, key)
    match await write.claim_open_transaction(request.frames, request.message.prepared):
        case AlreadyRecorded():
            request.answer.discard_buffered()
            await request.answer.write(already_committed_replies(key))
            return Result(
                ResultCode.ALREADY_RAN, Outcome.RAN, "the transaction has already committed"
            )
        case ClaimFailed(error):
            ready = already_committed_replies(key)[-1]
            request.answer.discard_buffered()
            await request.answer.write((error, ready))
    return result


async def verify_answer(request: PoolRequest, monitor: BackendMonitor) -> Result | None:
    """Wait until the answer may be released; return an error result if it must not be.

    An answer of a primary is released once there is a commit proof, which shows that the group has
    committed the log up to the answer's position in the term in which the request started.
    """
    position = request.position
    if position is None:
        return None
    floor = request.message.floor
    if floor is not None and not position.contains(floor):
        return _unproven(request, "the answer's log position is behind the session's floor")
    if request.role_at_start is InstanceRole.REPLICA:
        return await _verify_replica_read(request, position, monitor)
    pending_commit = PendingCommit(request.key, position, request.term_at_start, request.deadline)
    outcome = await monitor.wait_for_commit(pending_commit)
    if not isinstance(outcome, Confirmed):
        return _unproven(request, outcome.reason)
    return await _verify_staleness(request, monitor)


async def _verify_replica_read(
    request: PoolRequest, position: LogPosition, monitor: BackendMonitor
) -> Result | None:
    """Return an error result if the replica may have returned uncommitted writes.

    That happens if it became primary during the read, or if it discarded the tail of its log; its
    position is then behind the position known before the read.
    """
    if not position.contains(request.applied_at_start):
        return _unproven(request, "the replica's log position moved backwards")
    if position.term <= request.term_at_start:
        return None
    status = await monitor.refresh()
    was_replica = (
        status is not None and status.role is InstanceRole.REPLICA and status.term == position.term
    )
    if was_replica:
        return None
    return _unproven(request, "the replica's role changed during the read")


async def _verify_staleness(request: PoolRequest, monitor: BackendMonitor) -> Result | None:
    constraints = ReadConstraints(max_staleness=max_staleness(request.message))
    if request.is_write or constraints.max_staleness is None:
        return None
    oldest_allowed = request.arrived_at - constraints.max_staleness
    if await monitor.wait_for_leadership(oldest_allowed, request.deadline - milliseconds(1)):
        return None
    return _unproven(request, "the primary could not confirm that it still leads its group")


def _unproven(request: PoolRequest, reason: str) -> Result:
    return Result(ResultCode.COMMIT_UNPROVEN, Outcome.UNKNOWN, reason, request.is_safe_to_retry)
