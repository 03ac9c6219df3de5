"""Building of the request that the executor runs from a planned batch of a session."""

from __future__ import annotations

from hickorywind.configuration.model import Service
from hickorywind.entry.attempt import (
    READ_BUFFER_LIMIT_BYTES,
    WRITE_BUFFER_LIMIT_BYTES,
    CancelSignal,
    Writer,
)
from hickorywind.entry.planning import Plan
from hickorywind.entry.request import Request
from hickorywind.entry.sessionstate import SessionState
from hickorywind.entry.transaction import SessionTransaction
from hickorywind.ids import AccessMode
from hickorywind.postgres.answers import AnswerRewriter
from hickorywind.postgres.batch import Batch, BatchTerminator, encode_flush, encode_sync
from hickorywind.util.clock import Instant


def build_request(
    state: SessionState,
    transaction: SessionTransaction,
    service: Service,
    batch: Batch,
    plan: Plan,
    deadline: Instant,
    write: Writer,
    cancel: CancelSignal,
) -> Request:
    """Return the request of a batch; ``write`` receives the answer as it arrives."""
    current = transaction.current
    read_only = current is not None and current.read_only
    mode = AccessMode.READ if read_only else plan.mode
    is_read = mode is AccessMode.READ
    return Request(
        service=service,
        session_id=state.session_id,
        rank=plan.rank,
        mode=mode,
        frames=_frames_to_send(batch, transaction),
        prepared=tuple(batch.prepared.values()),
        floor=state.floors.floor(service.name),
        deadline=deadline,
        repeatable=plan.repeatable,
        max_staleness_ms=plan.max_staleness_ms if is_read else None,
        fallback_staleness_ms=plan.fallback_staleness_ms,
        idempotency_key=None if is_read else plan.idempotency_key,
        make_answer_rewriter=lambda: AnswerRewriter(batch.replies),
        send_to_caller=write,
        cancel=cancel,
        transaction=current,
        buffer_limit_bytes=READ_BUFFER_LIMIT_BYTES if is_read else WRITE_BUFFER_LIMIT_BYTES,
        must_leave_transaction_open=plan.opens_transaction and not plan.closes_transaction,
        account=state.account.name if state.account is not None else None,
    )


def _frames_to_send(batch: Batch, transaction: SessionTransaction) -> bytes:
    frames = bytes(batch.frames)
    match batch.terminator:
        case BatchTerminator.QUERY:
            return frames
        case BatchTerminator.FLUSH if batch.executes_on_backend or transaction.is_implicit:
            return frames + encode_flush()
        case BatchTerminator.FLUSH | BatchTerminator.SYNC:
            # Nothing was bound, so Sync in place of Flush ends no implicit transaction.
            return frames + encode_sync()
