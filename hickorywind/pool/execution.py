"""Run one started request on a connection and bring its answer to an end."""

from __future__ import annotations

from hickorywind.admission.commitconfirmation import Confirmed, PendingCommit
from hickorywind.admission.freshness import ReadConstraints
from hickorywind.ids import InstanceRole, LogPosition
from hickorywind.pool.backendconnection import BackendConnection, error_field
from hickorywind.pool.batches import is_plain_begin
from hickorywind.pool.freshreads import max_staleness
from hickorywind.pool.groupwatch import GroupWatch
from hickorywind.pool.idempotency import (
    AlreadyThere,
    ClaimFailed,
    KeyedWrite,
    already_committed_error,
)
from hickorywind.pool.jobs import Job
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import TransactionState
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import milliseconds

_READ_ONLY = "25006"


async def run_batch(job: Job, connection: BackendConnection) -> Result:
    """Send the batch and take in its whole answer; raise ``ConnectionFailedError``.

    The answer's last part is held back. ``touched`` is set before the first byte is written.
    """
    key = job.message.idempotency_key
    if key is None or job.message.transaction_id is not None:
        job.touched = True
        return await _run_plain(job, connection)
    if is_plain_begin(job.frames):
        job.touched = True
        return await _run_keyed_begin(job, connection, key)
    if job.opens_transaction:
        reason = "a batch with an idempotency key must end or hold nothing but BEGIN"
        return Result.not_run(ResultCode.UNSUPPORTED_STATEMENT, reason)
    job.touched = True
    return await KeyedWrite(connection, key).run(job.frames, job.message.prepared, job.answer)


async def _run_plain(job: Job, connection: BackendConnection) -> Result:
    first: Frame | None = None
    async for frames in connection.exchange(job.frames, job.message.prepared):
        if first is None:
            first = next((frame for frame in frames if frame.kind in (b"C", b"E")), None)
        await job.answer.add(frames)
    if first is not None and _is_refused_by_replica(job, first):
        return _refused_by_replica()
    return Result.ok()


def _is_refused_by_replica(job: Job, first: Frame) -> bool:
    is_error = first.kind == b"E" and error_field(first, b"C") == _READ_ONLY
    return is_error and job.message.expected_term is not None


def _refused_by_replica() -> Result:
    reason = "the backend server refused the write, it is no longer primary"
    return Result(ResultCode.STALE_TERM, Outcome.UNKNOWN, reason, retry_allowed=True)


async def _run_keyed_begin(job: Job, connection: BackendConnection, key: str) -> Result:
    result = await _run_plain(job, connection)
    if not result.is_ok or connection.state is not TransactionState.ACTIVE:
        return result
    match await KeyedWrite(connection, key).claim_open_transaction():
        case AlreadyThere():
            job.answer.drop_held()
            await job.answer.add(already_committed_error(key))
            return Result(ResultCode.ALREADY_RAN, Outcome.RAN, "the transaction has committed")
        case ClaimFailed(error):
            ready = already_committed_error(key)[-1]
            job.answer.drop_held()
            await job.answer.add((error, ready))
    return result


async def prove_answer(job: Job, watch: GroupWatch) -> Result | None:
    """Wait until the answer may be released; return a result where it never may."""
    position = job.position
    if position is None:
        return None
    floor = job.message.floor
    if floor is not None and not position.contains(floor):
        return _not_proved(job, "the answer does not contain the session's floor")
    if job.role is InstanceRole.REPLICA:
        return await _check_replica(job, position, watch)
    ticket = PendingCommit(job.key, position, job.term, job.deadline)
    outcome = await watch.prove(ticket)
    if not isinstance(outcome, Confirmed):
        return _not_proved(job, outcome.reason)
    return await _prove_age(job, watch)


async def _check_replica(job: Job, position: LogPosition, watch: GroupWatch) -> Result | None:
    """Rule out that the replica became primary and showed its own unproved writes.

    A replica that drops a tail of its log goes back behind what was known of it.
    """
    if not position.contains(job.applied):
        return _not_proved(job, "the replica went back in the log")
    if position.term <= job.term:
        return None
    status = await watch.refresh()
    was_replica = (
        status is not None and status.role is InstanceRole.REPLICA and status.term == position.term
    )
    if was_replica:
        return None
    return _not_proved(job, "the replica's role changed during the read")


async def _prove_age(job: Job, watch: GroupWatch) -> Result | None:
    needs = ReadConstraints(max_staleness=max_staleness(job.message))
    if job.is_write or needs.max_staleness is None:
        return None
    since = job.arrived - needs.max_staleness
    if await watch.wait_led(since, job.deadline - milliseconds(1)):
        return None
    return _not_proved(job, "the primary could not show that it still leads its group")


def _not_proved(job: Job, reason: str) -> Result:
    return Result(ResultCode.COMMIT_UNPROVEN, Outcome.UNKNOWN, reason, job.is_repeatable)
