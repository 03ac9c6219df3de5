"""Failure detection for primaries, from the checks of this host and of its peers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection
from datetime import timedelta
from enum import Enum

from hickorywind.host.backendconnection import (
    ConnectFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.host.peers import Peers
from hickorywind.host.service import STATUS_TIMEOUT, ServiceRuntime
from hickorywind.host.servicestate import UNRESPONSIVE_AFTER, Backend
from hickorywind.ids import BackendId, HostId
from hickorywind.ports.replies import BackendErrorKind
from hickorywind.protocol.messages import (
    ReachQuery,
    ReachReply,
    ResponsivenessQuery,
    ResponsivenessReply,
)

logger = logging.getLogger(__name__)

PEER_ANSWER_TIMEOUT = STATUS_TIMEOUT + timedelta(milliseconds=200)  # plus the round trip


class PrimaryVerdict(Enum):
    """Result of the check of a suspected primary.

    ``LEADS``: its status says that it is primary in the recorded term or a later one; ``RUNNING``:
    it accepts connections but gave no status; ``LOST_LEAD``: it is a replica, or primary in an
    older term, or another server uses its address; ``FAILED``: neither this host nor a quorum of
    its peers, some of the primary's region among them, reaches it or gets an answer;
    ``REACHED_BY_OTHERS``: only peers reach it; ``UNKNOWN``: this host does not reach it and too few
    peers replied.
    """

    LEADS = "leads"
    RUNNING = "running"
    LOST_LEAD = "lost_lead"
    FAILED = "failed"
    REACHED_BY_OTHERS = "reached_by_others"
    UNKNOWN = "unknown"


async def check_primary(
    runtime: ServiceRuntime, peers: Peers, primary: BackendId
) -> PrimaryVerdict:
    """Check a primary from this host and from its peers at the same time."""
    backend = runtime.backends.get(primary)
    is_reachable, peers_verdict = await asyncio.gather(
        _is_reachable(runtime, backend), _ask_peers(runtime, peers, primary)
    )
    if not is_reachable:
        return peers_verdict
    verdict = await _check_role(runtime, backend)
    if verdict is PrimaryVerdict.RUNNING and backend.is_unresponsive(runtime.clock.now()):
        return await check_unresponsive(runtime, peers, backend)
    return verdict


async def is_responsive(runtime: ServiceRuntime, backend: Backend) -> bool:
    """Return whether a backend server answered recently or answers on a new connection."""
    now = runtime.clock.now()
    if now < backend.last_answer + UNRESPONSIVE_AFTER:
        return True
    if backend.is_unresponsive(now):
        return False
    return await runtime.responds_to_new_connection(backend)


async def check_unresponsive(
    runtime: ServiceRuntime, peers: Peers, backend: Backend
) -> PrimaryVerdict:
    """Return FAILED if an unresponsive primary answers no peer either, otherwise RUNNING."""
    name = backend.server.backend
    voters = peers.table.voters()
    replies = await peers.ask_each(
        voters, lambda call: ResponsivenessQuery(call, runtime.name, name), PEER_ANSWER_TIMEOUT
    )
    answers = {
        host: reply.is_responsive
        for host, reply in replies.items()
        if isinstance(reply, ResponsivenessReply)
    }
    answered = sum(answers.values())
    logger.info(
        "primary_silence_checked",
        extra={
            "service": runtime.name,
            "backend": name,
            "peers": len(voters),
            "replies": len(answers),
            "answered": answered,
        },
    )
    of_region = _hosts_of_region(runtime, peers, name, voters)
    if answered or not _is_decided(peers, of_region, answers.keys()):
        return PrimaryVerdict.RUNNING
    return PrimaryVerdict.FAILED


async def _is_reachable(runtime: ServiceRuntime, backend: Backend | None) -> bool:
    if backend is None:
        return False
    started = runtime.clock.now()
    if await runtime.accepts_connections(backend):
        return True
    # An answer that was on a slow link shows that the server runs.
    return backend.last_answer > started


async def _check_role(runtime: ServiceRuntime, backend: Backend) -> PrimaryVerdict:
    try:
        answer = await runtime.query_status(backend)
    except ConnectionRejectedError as error:
        # Another server uses its address, so this one no longer runs there.
        is_wrong_server = error.kind is BackendErrorKind.WRONG_SERVER
        return PrimaryVerdict.LOST_LEAD if is_wrong_server else PrimaryVerdict.RUNNING
    except ConnectionLostError as error:
        # It accepted a connection, so it runs; all its slots may be in use.
        if isinstance(error, ConnectFailedError):
            backend.record_unanswered_connection(runtime.clock.now())
        logger.info(
            "primary_status_query_failed",
            extra={"backend": backend.server.backend, "reason": str(error)},
        )
        return PrimaryVerdict.RUNNING
    status = backend.connections.decode_status(answer)
    if status is None:
        return PrimaryVerdict.RUNNING
    leads = runtime.leads_as_recorded(backend, status.leading_term)
    return PrimaryVerdict.LEADS if leads else PrimaryVerdict.LOST_LEAD


async def _ask_peers(runtime: ServiceRuntime, peers: Peers, primary: BackendId) -> PrimaryVerdict:
    """Ask the peers whether they reach a primary; it has failed only if none of them does."""
    voters = peers.table.voters()
    replies = await peers.ask_each(voters, lambda call: ReachQuery(call, primary))
    answers = {
        host: reply.is_reachable for host, reply in replies.items() if isinstance(reply, ReachReply)
    }
    reached = sum(answers.values())
    of_region = _hosts_of_region(runtime, peers, primary, voters)
    logger.info(
        "primary_checked",
        extra={
            "service": runtime.name,
            "backend": primary,
            "peers": len(voters),
            "replies": len(answers),
            "reached": reached,
            "of_region": len(of_region),
            "region_replies": len(of_region & answers.keys()),
        },
    )
    if reached:
        return PrimaryVerdict.REACHED_BY_OTHERS
    is_decided = _is_decided(peers, of_region, answers.keys())
    return PrimaryVerdict.FAILED if is_decided else PrimaryVerdict.UNKNOWN


def _is_decided(peers: Peers, of_region: set[HostId], answering: Collection[HostId]) -> bool:
    """Return whether the hosts that answered may decide that a primary has failed.

    Hosts of one region lose a primary of the other together while the link between them is full,
    so one ``of_region``, that of the primary, has to answer, too, as long as any of them is alive.
    """
    is_heard = not of_region or not of_region.isdisjoint(answering)
    return is_heard and peers.table.is_quorum(len(answering))


def _hosts_of_region(
    runtime: ServiceRuntime, peers: Peers, primary: BackendId, hosts: tuple[HostId, ...]
) -> set[HostId]:
    """Return those of ``hosts`` that are in the region of a primary, if this host is in another.

    Return none if the region is unknown.
    """
    backend = runtime.backends.get(primary)
    if backend is None:
        return set()
    zone = backend.server.zone
    if runtime.topology.is_same_region(zone, peers.table.own_zone):
        return set()
    return {
        host
        for host in hosts
        if runtime.topology.is_same_region(zone, peers.table.states[host].record.zone)
    }
