"""Find out whether a primary has failed, from this host's and the other hosts' view."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum

from hickorywind.host.backendlink import LinkLostError, LinkRefusedError
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend
from hickorywind.ids import BackendId, InstanceRole
from hickorywind.ports.replies import BackendErrorKind
from hickorywind.protocol.messages import ReachQuery, ReachReply
from hickorywind.util.sockets import REACH_TIMEOUT, accepts_connections

logger = logging.getLogger(__name__)


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
    return await _check_lead(runtime, backend) if is_reached else others


async def _reaches(backend: Backend | None) -> bool:
    if backend is None:
        return False
    return await accepts_connections(backend.server.address, REACH_TIMEOUT)


async def _check_lead(runtime: ServiceRuntime, backend: Backend) -> PrimaryVerdict:
    try:
        answer = await runtime.query_status(backend)
    except LinkRefusedError as error:
        # Another server at its address means that this one is gone.
        is_other = error.kind is BackendErrorKind.WRONG_SERVER
        return PrimaryVerdict.LOST_LEAD if is_other else PrimaryVerdict.RUNNING
    except LinkLostError as error:
        # It accepted a connection, so it runs; its slots may all be busy.
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
    calls = [peers.call(host, lambda call: ReachQuery(call, primary)) for host in alive]
    replies = [reply for reply in await asyncio.gather(*calls) if isinstance(reply, ReachReply)]
    reached = sum(reply.is_reachable for reply in replies)
    logger.info(
        "primary_checked",
        extra={
            "service": runtime.name,
            "backend": primary,
            "peers": len(alive),
            "replies": len(replies),
            "reached": reached,
        },
    )
    if reached:
        return PrimaryVerdict.REACHED_BY_OTHERS
    # Hosts that see less than half of the others may be the ones that are cut off.
    expected = peers.expected()
    if len(replies) * 2 < expected or (expected and not replies):
        return PrimaryVerdict.UNKNOWN
    return PrimaryVerdict.FAILED
