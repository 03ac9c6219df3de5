"""Find out whether a primary has failed, from this host's and the other hosts' view."""

from __future__ import annotations

import asyncio
import logging
from datetime import timedelta
from enum import Enum

from hickorywind.host.backendconnection import (
    ConnectFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.host.peers import Peers
from hickorywind.host.service import STATUS_TIMEOUT, ServiceRuntime
from hickorywind.host.servicestate import SILENCE_LIMIT, Backend
from hickorywind.ids import BackendId, InstanceRole
from hickorywind.ports.replies import BackendErrorKind
from hickorywind.protocol.messages import AnswerQuery, AnswerReply, ReachQuery, ReachReply
from hickorywind.util.sockets import REACH_TIMEOUT, accepts_connections

logger = logging.getLogger(__name__)

PEER_ANSWER_TIMEOUT = STATUS_TIMEOUT + timedelta(milliseconds=200)  # and the way to the peer


class PrimaryVerdict(Enum):
    """Say what is known of a primary that is suspected.

    ``LEADS`` is its own word; ``RUNNING`` that it accepts connections and gave no status.
    """

    LEADS = "leads"
    RUNNING = "running"
    LOST_LEAD = "lost_lead"
    FAILED = "failed"
    REACHED_BY_OTHERS = "reached_by_others"
    UNKNOWN = "unknown"


async def examine_primary(
    runtime: ServiceRuntime, peers: Peers, primary: BackendId
) -> PrimaryVerdict:
    """Look at a primary and ask the other hosts at the same time."""
    backend = runtime.backends.get(primary)
    is_reached, others = await asyncio.gather(
        _reaches(backend), _ask_others(runtime, peers, primary)
    )
    if not is_reached:
        return others
    verdict = await _check_lead(runtime, backend)
    if verdict is PrimaryVerdict.RUNNING and backend.is_silent(runtime.clock.now()):
        return await _check_silence(runtime, peers, backend)
    return verdict


async def has_answered(runtime: ServiceRuntime, backend: Backend) -> bool:
    """Tell whether a backend server answered anything lately, or does on a new connection."""
    now = runtime.clock.now()
    if now < backend.last_answer + SILENCE_LIMIT:
        return True
    if backend.is_silent(now):
        return False
    return await backend.links.responds_to_new_connection(STATUS_TIMEOUT)


async def _check_silence(runtime: ServiceRuntime, peers: Peers, backend: Backend) -> PrimaryVerdict:
    """Find out whether a primary that leaves this host without an answer answers anybody."""
    name = backend.server.backend
    alive = peers.alive()
    replies = await peers.call_each(
        alive, lambda call: AnswerQuery(call, runtime.name, name), PEER_ANSWER_TIMEOUT
    )
    answers = [reply for reply in replies if isinstance(reply, AnswerReply)]
    answered = sum(answer.has_answered for answer in answers)
    logger.info(
        "primary_silence_checked",
        extra={
            "service": runtime.name,
            "backend": name,
            "peers": len(alive),
            "replies": len(answers),
            "answered": answered,
        },
    )
    if answered or not peers.are_most(len(answers)):
        return PrimaryVerdict.RUNNING
    return PrimaryVerdict.FAILED


async def _reaches(backend: Backend | None) -> bool:
    if backend is None:
        return False
    return await accepts_connections(backend.server.address, REACH_TIMEOUT)


async def _check_lead(runtime: ServiceRuntime, backend: Backend) -> PrimaryVerdict:
    try:
        answer = await runtime.query_status(backend)
    except ConnectionRejectedError as error:
        # Another server at its address means that this one is gone.
        is_other = error.kind is BackendErrorKind.WRONG_SERVER
        return PrimaryVerdict.LOST_LEAD if is_other else PrimaryVerdict.RUNNING
    except ConnectionLostError as error:
        # It accepted a connection, so it runs; its slots may all be busy.
        if isinstance(error, ConnectFailedError):
            backend.note_silence(runtime.clock.now())
        logger.info(
            "primary_status_missing",
            extra={"backend": backend.server.backend, "reason": str(error)},
        )
        return PrimaryVerdict.RUNNING
    status = backend.links.decode_status(answer)
    if status is None:
        return PrimaryVerdict.RUNNING
    leads = status.role is InstanceRole.PRIMARY
    return PrimaryVerdict.LEADS if leads else PrimaryVerdict.LOST_LEAD


async def _ask_others(runtime: ServiceRuntime, peers: Peers, primary: BackendId) -> PrimaryVerdict:
    """Ask the other hosts; a primary has failed only where none reaches it."""
    alive = peers.alive()
    replies = await peers.call_each(alive, lambda call: ReachQuery(call, primary))
    answers = [reply for reply in replies if isinstance(reply, ReachReply)]
    reached = sum(answer.is_reachable for answer in answers)
    logger.info(
        "primary_checked",
        extra={
            "service": runtime.name,
            "backend": primary,
            "peers": len(alive),
            "replies": len(answers),
            "reached": reached,
        },
    )
    if reached:
        return PrimaryVerdict.REACHED_BY_OTHERS
    return PrimaryVerdict.FAILED if peers.are_most(len(answers)) else PrimaryVerdict.UNKNOWN
