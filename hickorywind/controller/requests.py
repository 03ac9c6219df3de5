"""Handling of operators' requests at a controller."""

from __future__ import annotations

from collections.abc import Iterable

from hickorywind.ids import Address, HostId
from hickorywind.membership.actions import Endpoint, Send, ToAddress
from hickorywind.membership.directory import Directory
from hickorywind.protocol.messages import DrainReply, DrainRequest, StatusReply
from hickorywind.protocol.records import MemberState
from hickorywind.results import Result, ResultCode


class OperatorRequests:
    """Handler of status and drain requests; relays a drain to the controller of the named host."""

    def __init__(self, own_host: HostId) -> None:
        self.is_store_reachable = False
        self._own_host = own_host
        self._pending_drains: dict[Address, list[Endpoint]] = {}

    def answer_status(self, source: Endpoint, directory: Directory) -> Send:
        """Return the reply to a ``StatusRequest``, with all records that this controller holds."""
        records = directory.table.records()
        return Send(source, StatusReply(records, directory.revision, self.is_store_reachable))

    def handle_drain(self, source: Endpoint, host: HostId, directory: Directory) -> Send:
        """Accept a drain of the own host, or relay it to the host's controller and reply later."""
        if host == self._own_host:
            return Send(source, DrainReply(Result.ok()))
        member = directory.member(host)
        if member is None or member.state is MemberState.DEAD:
            reason = f"host {host} is not known to be alive"
            return Send(source, DrainReply(Result.not_run(ResultCode.NOT_READY, reason)))
        self._pending_drains.setdefault(member.controller, []).append(source)
        return Send(ToAddress(member.controller), DrainRequest(host))

    def relay_drain_reply(self, address: Address, reply: DrainReply) -> Iterable[Send]:
        """Yield the reply of the controller at ``address`` to each operator that waits for it."""
        for source in self._pending_drains.pop(address, ()):
            yield Send(source, reply)
