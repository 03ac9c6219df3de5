"""Client of an etcd v3 store whose calls time out and report unknown outcomes as such.

It uses aetcd's generated stubs on a gRPC channel instead of aetcd's client, whose watches and
reconnections have no time limit.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable
from datetime import timedelta
from typing import Any, Self

import grpc
from aetcd import rpc

from hickorywind.ids import Address, Revision
from hickorywind.store.interface import (
    NEVER_WRITTEN,
    StoredValue,
    StoreUnavailableError,
    SwapOutcome,
    SwapResult,
)

_MESSAGE_LIMIT_BYTES = 16_777_216
_CHANNEL_OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
    # A connection that went silent holds up all calls until a ping fails. The store closes
    # connections with pings at shorter intervals.
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", _MESSAGE_LIMIT_BYTES),
    ("grpc.enable_http_proxy", 0),
)
_TIMEOUT_GRACE_S = 0.5


class EtcdStore:
    """Etcd v3 client that implements ``Store``."""

    def __init__(self, channel: grpc.aio.Channel, timeout: timedelta) -> None:
        self._channel = channel
        self._timeout_s = timeout.total_seconds()
        self._kv_stub = rpc.KVStub(channel)
        self._watch_stub = rpc.WatchStub(channel)
        self._lease_stub = rpc.LeaseStub(channel)

    @classmethod
    def from_address(cls, address: Address, timeout: timedelta) -> Self:
        """Open a channel, which connects at the first call; requires a running event loop."""
        channel = rpc.insecure_channel(str(address), options=_CHANNEL_OPTIONS)
        return cls(channel, timeout)

    async def get(self, key: str) -> StoredValue | None:
        """Read one key; raise ``StoreUnavailableError``."""
        request = rpc.RangeRequest(key=key.encode())
        response = await self._await_bounded(self._kv_stub.Range(request, timeout=self._timeout_s))
        return _to_stored_value(response.kvs[0]) if response.kvs else None

    async def get_revision(self, key: str) -> Revision:
        """Return the revision at which a key last changed; raise ``StoreUnavailableError``."""
        request = rpc.RangeRequest(key=key.encode(), keys_only=True)
        response = await self._await_bounded(self._kv_stub.Range(request, timeout=self._timeout_s))
        return Revision(response.kvs[0].mod_revision) if response.kvs else NEVER_WRITTEN

    async def get_prefix(self, prefix: str) -> tuple[StoredValue, ...]:
        """Read all keys with a prefix in key order; raise ``StoreUnavailableError``."""
        request = rpc.RangeRequest(
            key=_range_start(prefix),
            range_end=_range_end(prefix),
            sort_order=rpc.RangeRequest.ASCEND,
            sort_target=rpc.RangeRequest.KEY,
        )
        response = await self._await_bounded(self._kv_stub.Range(request, timeout=self._timeout_s))
        return tuple(_to_stored_value(value) for value in response.kvs)

    async def compare_and_swap(
        self, key: str, expected_revision: Revision, value: bytes
    ) -> SwapResult:
        """Write a key if it last changed at ``expected_revision`` (NEVER_WRITTEN: is absent).

        If the call fails the outcome is ``UNKNOWN``, because the write may have taken effect.
        """
        unchanged = rpc.Compare(
            key=key.encode(),
            target=rpc.Compare.MOD,
            result=rpc.Compare.EQUAL,
            mod_revision=expected_revision,
        )
        put = rpc.RequestOp(request_put=rpc.PutRequest(key=key.encode(), value=value))
        request = rpc.TxnRequest(compare=[unchanged], success=[put])
        try:
            response = await self._await_bounded(
                self._kv_stub.Txn(request, timeout=self._timeout_s)
            )
        except StoreUnavailableError:
            return SwapResult(SwapOutcome.UNKNOWN)
        if not response.succeeded:
            return SwapResult(SwapOutcome.CONFLICT)
        return SwapResult(SwapOutcome.DONE, Revision(response.header.revision))

    async def put_with_lease(self, key: str, value: bytes, ttl_seconds: int) -> None:
        """Write a key that expires after ``ttl_seconds``; raise ``StoreUnavailableError``."""
        grant = rpc.LeaseGrantRequest(TTL=ttl_seconds)
        lease = await self._await_bounded(
            self._lease_stub.LeaseGrant(grant, timeout=self._timeout_s)
        )
        put = rpc.PutRequest(key=key.encode(), value=value, lease=lease.ID)
        await self._await_bounded(self._kv_stub.Put(put, timeout=self._timeout_s))

    async def watch_prefix(
        self, prefix: str, after_revision: Revision = NEVER_WRITTEN
    ) -> AsyncIterator[StoredValue]:
        """Yield later changes under a prefix; raise ``StoreUnavailableError`` if the watch ends.

        A deleted key is yielded with an empty value. With ``after_revision`` the watch starts with
        the changes after that revision, so that none is missed between a read and its watch.
        """
        create = rpc.WatchCreateRequest(
            key=_range_start(prefix),
            range_end=_range_end(prefix),
            start_revision=after_revision + 1 if after_revision else 0,
        )
        call = self._watch_stub.Watch()
        try:
            async for response in self._watch_responses(
                call, rpc.WatchRequest(create_request=create)
            ):
                for event in response.events:
                    yield _to_stored_value(event.kv)
        finally:
            call.cancel()

    async def _watch_responses(self, call: Any, request: Any) -> AsyncIterator[Any]:
        await self._await_bounded(call.write(request))
        response = await self._await_bounded(call.read())
        while response is not grpc.aio.EOF and not response.canceled:
            yield response
            response = await _translate_errors(call.read())
        raise StoreUnavailableError("the store ended the watch")

    async def _await_bounded(self, call: Awaitable[Any]) -> Any:
        try:
            async with asyncio.timeout(self._timeout_s + _TIMEOUT_GRACE_S):
                return await _translate_errors(call)
        except TimeoutError as error:
            raise StoreUnavailableError("the store did not answer in time") from error

    async def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._timeout_s):
                await self._channel.close()


async def _translate_errors(call: Awaitable[Any]) -> Any:
    try:
        return await call
    except grpc.aio.AioRpcError as error:
        raise StoreUnavailableError(f"{error.code().name}: {error.details()}") from error
    except (grpc.aio.UsageError, asyncio.InvalidStateError) as error:
        raise StoreUnavailableError(str(error)) from error


def _to_stored_value(value: Any) -> StoredValue:
    key = value.key.decode(errors="backslashreplace")  # other writers use any bytes
    return StoredValue(key, value.value, Revision(value.mod_revision))


def _range_start(prefix: str) -> bytes:
    return prefix.encode() or b"\0"


def _range_end(prefix: str) -> bytes:
    """Return the first key after all keys with a prefix, or etcd's marker for no end."""
    data = prefix.encode().rstrip(b"\xff")
    return data[:-1] + bytes([data[-1] + 1]) if data else b"\0"
