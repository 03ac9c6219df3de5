"""gRPC server of the store with the message types of etcd v3."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import msgspec
from aetcd import rpc
from aetcd.rpc import rpc_pb2_grpc

from hickorywind.ids import Address
from standins.store.faults import (
    CALLS_KEY,
    CONTROL_PREFIX,
    FAULTS_KEY,
    CallCounts,
    Faults,
    LostAnswer,
)
from standins.store.state import StoreState, Watch

_EXPIRY_INTERVAL_S = 0.1
_WRITE_LIMIT_BYTES = 1_048_576
_OPTIONS = (
    ("grpc.max_receive_message_length", 4_194_304),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 1_000),
    ("grpc.so_reuseport", 0),
)


class StoreServer:
    """Server of the stand-in store; ``address`` has its actual port after ``start``."""

    def __init__(self, listen: Address) -> None:
        loop_time: Callable[[], float] = asyncio.get_running_loop().time
        self.state = StoreState(loop_time)
        self.faults = Faults()
        self.counts = CallCounts()
        self.address = listen
        self.faults_changed = asyncio.Event()
        self._server = grpc.aio.server(options=_OPTIONS)
        self._expiry: asyncio.Task | None = None

    async def start(self) -> None:
        """Start listening and expiring leases."""
        rpc_pb2_grpc.add_KVServicer_to_server(_KeyValueService(self), self._server)
        rpc_pb2_grpc.add_WatchServicer_to_server(_WatchService(self), self._server)
        rpc_pb2_grpc.add_LeaseServicer_to_server(_LeaseService(self), self._server)
        port = self._server.add_insecure_port(str(self.address))
        self.address = Address(self.address.host, port)
        await self._server.start()
        self._expiry = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Stop the server at once, without waiting for calls in progress."""
        if self._expiry is not None:
            self._expiry.cancel()
        await self._server.stop(grace=0)

    async def _expire_leases(self) -> None:
        while True:
            self.state.expire()
            await asyncio.sleep(_EXPIRY_INTERVAL_S)

    def set_faults(self, faults: Faults) -> None:
        """Replace the injected faults."""
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    async def admit_call(self, kind: str, context: grpc.aio.ServicerContext) -> None:
        """Count a call, then delay or refuse it according to the injected faults."""
        self.counts.add(kind)
        await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "the store is out")

    async def check_size(self, message: Any, context: grpc.aio.ServicerContext) -> None:
        """Refuse a write that exceeds the platform's size limit of 1 MiB."""
        if message.ByteSize() > _WRITE_LIMIT_BYTES:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "request is too large")

    async def lose_answer_if_configured(self, context: grpc.aio.ServicerContext) -> None:
        """Withhold the answer to a completed write if the injected faults say so."""
        faults = self.faults
        if faults.lose_answers <= 0:
            return
        remaining = faults.lose_answers - 1
        self.set_faults(msgspec.structs.replace(faults, lose_answers=remaining))
        if faults.lost_answer is LostAnswer.HANG:
            await asyncio.Event().wait()
        await context.abort(grpc.StatusCode.UNAVAILABLE, "the answer was lost")


class _KeyValueService(rpc_pb2_grpc.KVServicer):
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    async def Range(self, request: Any, context: Any) -> Any:  # noqa: N802
        if request.key.startswith(CONTROL_PREFIX):
            return self._control_range(request)
        await self._server.admit_call("range", context)
        return self._server.state.range(request)

    async def Put(self, request: Any, context: Any) -> Any:  # noqa: N802
        if request.key.startswith(CONTROL_PREFIX):
            return await self._control_put(request, context)
        await self._server.admit_call("put", context)
        await self._server.check_size(request, context)
        response = self._server.state.put(request)
        await self._server.lose_answer_if_configured(context)
        return response

    async def DeleteRange(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._server.admit_call("delete_range", context)
        response = self._server.state.delete(request)
        await self._server.lose_answer_if_configured(context)
        return response

    async def Txn(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._server.admit_call("txn", context)
        await self._server.check_size(request, context)
        response = self._server.state.txn(request)
        await self._server.lose_answer_if_configured(context)
        return response

    def _control_range(self, request: Any) -> Any:
        state = self._server.state
        values = {
            FAULTS_KEY: msgspec.json.encode(self._server.faults),
            CALLS_KEY: self._server.counts.to_json(len(state.watches)),
        }
        found = [rpc.KeyValue(key=k, value=v) for k, v in values.items() if k == request.key]
        return rpc.RangeResponse(header=state.header(), kvs=found, count=len(found))

    async def _control_put(self, request: Any, context: Any) -> Any:
        if request.key != FAULTS_KEY:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "unknown control key")
        try:
            self._server.set_faults(msgspec.json.decode(request.value, type=Faults))
        except msgspec.DecodeError as error:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        return rpc.PutResponse(header=self._server.state.header())


class _WatchService(rpc_pb2_grpc.WatchServicer):
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    async def Watch(self, request_iterator: Any, context: Any) -> AsyncIterator[Any]:  # noqa: N802
        await self._server.admit_call("watch", context)
        queue: asyncio.Queue = asyncio.Queue()
        stream_watches: list[Watch] = []
        reader_task = asyncio.create_task(
            self._read_requests(request_iterator, queue, stream_watches)
        )
        try:
            while True:
                response = await self._next_response(queue)
                if response is None:
                    await context.abort(grpc.StatusCode.UNAVAILABLE, "the store is out")
                yield response
        finally:
            reader_task.cancel()
            for watch in stream_watches:
                with contextlib.suppress(ValueError):
                    self._server.state.watches.remove(watch)

    async def _next_response(self, queue: asyncio.Queue) -> Any:
        """Return the next watch response, or None if an outage ends the watch."""
        get_task = asyncio.ensure_future(queue.get())
        try:
            while not self._server.faults.outage:
                change_task = asyncio.ensure_future(self._server.faults_changed.wait())
                await asyncio.wait({get_task, change_task}, return_when=asyncio.FIRST_COMPLETED)
                change_task.cancel()
                if get_task.done():
                    return get_task.result()
            return None
        finally:
            get_task.cancel()

    async def _read_requests(
        self, request_iterator: Any, queue: asyncio.Queue, stream_watches: list[Watch]
    ) -> None:
        async for request in request_iterator:
            match request.WhichOneof("request_union"):
                case "create_request":
                    create = request.create_request
                    watch = Watch(create.key, create.range_end, queue, len(stream_watches) + 1)
                    stream_watches.append(watch)
                    self._server.state.add_watch(watch, create.start_revision)
                case "cancel_request":
                    self._cancel(request.cancel_request.watch_id, queue, stream_watches)

    def _cancel(self, watch_id: int, queue: asyncio.Queue, stream_watches: list[Watch]) -> None:
        for watch in stream_watches:
            if watch.watch_id == watch_id and watch in self._server.state.watches:
                self._server.state.watches.remove(watch)
                header = self._server.state.header()
                queue.put_nowait(rpc.WatchResponse(header=header, watch_id=watch_id, canceled=True))


class _LeaseService(rpc_pb2_grpc.LeaseServicer):
    def __init__(self, server: StoreServer) -> None:
        self._server = server

    async def LeaseGrant(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._server.admit_call("lease_grant", context)
        lease_id = self._server.state.grant(request.TTL, request.ID)
        header = self._server.state.header()
        return rpc.LeaseGrantResponse(header=header, ID=lease_id, TTL=request.TTL)

    async def LeaseRevoke(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._server.admit_call("lease_revoke", context)
        if not self._server.state.revoke(request.ID):
            await context.abort(grpc.StatusCode.NOT_FOUND, "requested lease not found")
        return rpc.LeaseRevokeResponse(header=self._server.state.header())

    async def LeaseKeepAlive(  # noqa: N802
        self, request_iterator: Any, context: Any
    ) -> AsyncIterator[Any]:
        async for request in request_iterator:
            await self._server.admit_call("lease_keep_alive", context)
            ttl_seconds = self._server.state.renew(request.ID)
            header = self._server.state.header()
            yield rpc.LeaseKeepAliveResponse(header=header, ID=request.ID, TTL=ttl_seconds)

    async def LeaseTimeToLive(self, request: Any, context: Any) -> Any:  # noqa: N802
        await self._server.admit_call("lease_time_to_live", context)
        state = self._server.state
        lease = state.leases.get(request.ID)
        return rpc.LeaseTimeToLiveResponse(
            header=state.header(),
            ID=request.ID,
            TTL=state.remaining_seconds(request.ID),
            grantedTTL=lease.ttl_seconds if lease else 0,
            keys=sorted(lease.keys) if lease and request.keys else [],
        )
