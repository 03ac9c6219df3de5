"""Status of a host for the command line, served at a loopback address."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from hickorywind.host.fleet import Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.host.service import ServiceRuntime
from hickorywind.host.servicestate import Backend
from hickorywind.ids import Address
from hickorywind.protocol.channel import Listener
from hickorywind.protocol.hoststatus import (
    BackendServerStatus,
    HostStatus,
    HostStatusReply,
    HostStatusRequest,
    QuotaStatus,
    ServiceStatus,
)
from hickorywind.protocol.messages import Refused
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import to_milliseconds


async def serve_status(address: Address, describe: Callable[[], HostStatus]) -> None:
    """Answer status requests until cancelled; refuse all other messages."""
    listener = Listener(address, with_heartbeats=False)
    try:
        while True:
            received = await listener.receive()
            if isinstance(received.message, HostStatusRequest):
                await listener.send(received.peer, HostStatusReply(describe()))
            else:
                reason = "this address answers only status requests"
                result = Result.not_run(ResultCode.MALFORMED_MESSAGE, reason)
                await listener.send(received.peer, Refused(result))
    finally:
        listener.close()


def describe_host(
    identity: HostIdentity,
    fleet: Fleet,
    peers: Peers,
    services: Iterable[ServiceRuntime],
    session_count: int,
    is_ready: bool,
    is_stopping: bool,
    quotas: QuotaStatus,
) -> HostStatus:
    """Return the current status of a host."""
    configuration = fleet.configuration
    permit = fleet.permits.expires_at - fleet.now()
    return HostStatus(
        host=identity.host,
        incarnation=identity.incarnation,
        availability_zone=identity.zone,
        is_ready=is_ready,
        is_stopping=is_stopping,
        permit_ms=max(0, int(to_milliseconds(permit))),
        configuration_version=None if configuration is None else configuration.version,
        sessions=session_count,
        peers=peers.table.describe(),
        services=tuple(_describe_service(service) for service in services),
        quotas=quotas,
    )


def _describe_service(service: ServiceRuntime) -> ServiceStatus:
    view = service.current_view()
    return ServiceStatus(
        service.name,
        view.primary,
        view.primary_state.value,
        view.change,
        view.sample_age_ms,
        view.waiting,
        tuple(_describe_backend(backend) for backend in service.backends.values()),
    )


def _describe_backend(backend: Backend) -> BackendServerStatus:
    server = backend.server
    return BackendServerStatus(
        server.backend,
        server.zone,
        server.role.value,
        server.state.value,
        backend.load.is_available,
        backend.connections.open_count,
        backend.load.limit.in_flight,
    )
