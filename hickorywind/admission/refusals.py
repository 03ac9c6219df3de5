"""Refusals of the admission queues, with jittered retry delays."""

from __future__ import annotations

import random

from hickorywind.admission.requests import Refuse, WaitingRequest
from hickorywind.results import Result, ResultCode

_MIN_RETRY_MS = 50
_MAX_RETRY_MS = 10_000
_MS_PER_SECOND = 1_000


def jittered_retry_ms(expected_wait_seconds: float, rng: random.Random) -> int:
    """Return a retry delay of one to two times the expected wait, so that retries are spread."""
    base = min(max(expected_wait_seconds * _MS_PER_SECOND, _MIN_RETRY_MS), _MAX_RETRY_MS)
    return round(base * rng.uniform(1.0, 2.0))


def refuse_expired(request: WaitingRequest) -> Refuse:
    """Return the refusal of a request whose deadline passed before it got a slot."""
    reason = "the deadline passed before the request was started"
    return Refuse(request, Result.not_run(ResultCode.DEADLINE_PASSED, reason))


def refuse_session_limit(request: WaitingRequest, retry_after_ms: int) -> Refuse:
    """Return the refusal of a request of a session that has too many waiting and running."""
    reason = "the session has too many requests at this backend server"
    return Refuse(request, Result.not_run(ResultCode.SESSION_LIMIT, reason, retry_after_ms))


def refuse_would_miss_deadline(request: WaitingRequest, retry_after_ms: int) -> Refuse:
    """Return the refusal of a request that would wait past its deadline."""
    reason = "the expected wait exceeds the time left until the deadline"
    return Refuse(request, Result.not_run(ResultCode.WOULD_MISS_DEADLINE, reason, retry_after_ms))


def refuse_queue_full(request: WaitingRequest, retry_after_ms: int) -> Refuse:
    """Return the refusal of a request that exceeds the queue limits."""
    reason = "the queue of this rank is full"
    return Refuse(request, Result.not_run(ResultCode.QUEUE_FULL, reason, retry_after_ms))
