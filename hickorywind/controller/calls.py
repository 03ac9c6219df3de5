"""Calls to backend servers that the failover monitors request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from hickorywind.controller.events import (
    AcceptAnswered,
    Event,
    PromoteAnswered,
    StatusAnswered,
)
from hickorywind.failover.actions import (
    AcceptTerm,
    Answer,
    NoAnswer,
    PollStatus,
    PromoteBackend,
    Refusal,
)
from hickorywind.groups.client import CallFailed, CallRefused, CallResult, GroupClient
from hickorywind.ids import Address, ServiceName
from hickorywind.util.clock import Instant

POLL_TIMEOUT = timedelta(milliseconds=500)
ELECTION_CALL_TIMEOUT = timedelta(milliseconds=1200)

ClientFactory = Callable[[Address, timedelta], GroupClient]


class GroupCalls:
    """Control connections to observed instances, which put the result of each call in ``events``.

    Each accept or promote call opens a connection of its own and closes it afterwards, so that it
    never waits behind a poll that hangs.
    """

    def __init__(self, make_client: ClientFactory, events: asyncio.Queue[Event]) -> None:
        self._make_client = make_client
        self._events = events
        self._poll_clients: dict[Address, GroupClient] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        service: ServiceName,
        address: Address,
        action: PollStatus | AcceptTerm | PromoteBackend,
        now: Instant,
    ) -> None:
        """Start the call that ``action`` requests, in a task of its own."""
        match action:
            case PollStatus():
                self._spawn(self._poll(service, address, action, now))
            case AcceptTerm():
                self._spawn(self._accept(service, address, action))
            case PromoteBackend():
                self._spawn(self._promote(service, address, action))

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll(
        self, service: ServiceName, address: Address, action: PollStatus, asked_at: Instant
    ) -> None:
        client = self._poll_clients.get(address)
        if client is None:
            client = self._poll_clients[address] = self._make_client(address, POLL_TIMEOUT)
        answer = _to_answer(await client.status())
        await self._events.put(StatusAnswered(service, action.backend, asked_at, answer))

    async def _accept(self, service: ServiceName, address: Address, action: AcceptTerm) -> None:
        def call(client: GroupClient) -> Awaitable[CallResult]:
            return client.accept_term(action.term, action.proposer, action.min_silence)

        answer = await self._call_on_new_connection(address, call)
        await self._events.put(AcceptAnswered(service, action.backend, action.term, answer))

    async def _promote(
        self, service: ServiceName, address: Address, action: PromoteBackend
    ) -> None:
        def call(client: GroupClient) -> Awaitable[CallResult]:
            return client.promote(action.term, action.proposer)

        answer = await self._call_on_new_connection(address, call)
        await self._events.put(PromoteAnswered(service, action.backend, action.term, answer))

    async def _call_on_new_connection(
        self, address: Address, call: Callable[[GroupClient], Awaitable[CallResult]]
    ) -> Answer:
        client = self._make_client(address, ELECTION_CALL_TIMEOUT)
        try:
            return _to_answer(await call(client))
        finally:
            client.close()

    def keep_only(self, addresses: set[Address]) -> None:
        """Close the poll connections to all addresses but the given ones."""
        for address in self._poll_clients.keys() - addresses:
            self._poll_clients.pop(address).close()

    async def close(self) -> None:
        """Cancel every running call and close every poll connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.keep_only(set())


def _to_answer(result: CallResult) -> Answer:
    match result:
        case CallRefused(reason):
            return Refusal(reason)
        case CallFailed(reason):
            return NoAnswer(reason)
    return result
