"""Connections that a host with too few to a backend server gets from other hosts."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from datetime import timedelta

from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend
from hickorywind.ids import BackendId, ServiceName
from hickorywind.protocol.messages import ConnectionYieldQuery, ConnectionYieldReply
from hickorywind.util.clock import Clock, Instant
from hickorywind.util.tasks import BackgroundTasks

logger = logging.getLogger(__name__)

ASK_INTERVAL = timedelta(milliseconds=500)  # for one server, which may refuse many connections


class ConnectionSharing:
    """Asker for connections that others hold beyond their share, and answerer of such questions.

    Each host may hold more than its even share of a server's connections, as load is uneven. So
    some hosts may hold all of them, and the server refuses the others for as long as these are
    busy.
    """

    def __init__(
        self,
        peers: Peers,
        find_service: Callable[[ServiceName], ServiceRuntime | None],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._find_service = find_service
        self._rng = rng
        self._clock = clock
        self._asked_at: dict[BackendId, Instant] = {}
        self._background = BackgroundTasks()

    def ask(self, service: ServiceRuntime, backend: Backend) -> None:
        """Start to ask other hosts for a connection to a server that refused one, if it is due."""
        if backend.connections.has_even_share:
            return
        now, server = self._clock.now(), backend.server.backend
        if server in self._asked_at and now < self._asked_at[server] + ASK_INTERVAL:
            return
        self._asked_at[server] = now
        self._background.start(self._ask_each(service, backend))

    async def _ask_each(self, service: ServiceRuntime, backend: Backend) -> None:
        server = backend.server.backend
        voters = self._peers.table.voters()
        for host in self._rng.sample(voters, len(voters)):
            reply = await self._peers.call(
                host, lambda call: ConnectionYieldQuery(call, service.name, server)
            )
            if isinstance(reply, ConnectionYieldReply) and reply.is_yielded:
                logger.info("connection_yielded", extra={"backend": server, "peer": host})
                backend.connections.end_backoff()
                service.dispatch_waiting()
                return

    def handle_query(self, query: ConnectionYieldQuery) -> ConnectionYieldReply:
        """Close a connection beyond this host's share for a host that has too few."""
        service = self._find_service(query.service)
        backend = None if service is None else service.backends.get(query.backend)
        is_yielded = backend is not None and backend.connections.yield_connection()
        return ConnectionYieldReply(query.call, is_yielded)

    def close(self) -> None:
        """Ask no more."""
        self._background.cancel()
