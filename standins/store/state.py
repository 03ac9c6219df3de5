"""Keys, revisions, leases and watches of the stand-in store, without networking."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from aetcd import rpc

ALL_KEYS = b"\0"


@dataclass
class Lease:
    """Lease with its expiry time and the keys that are deleted with it."""

    ttl_seconds: int
    ends_at_s: float
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Watch:
    """Watch that delivers the events of a key range to a queue."""

    key: bytes
    range_end: bytes
    queue: asyncio.Queue
    watch_id: int


class StoreState:
    """State of the store, which applies writes in revision order and notifies watches."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.revision = 1
        self.leases: dict[int, Lease] = {}
        self.watches: list[Watch] = []
        self._values: dict[bytes, rpc.KeyValue] = {}
        self._history: list[rpc.Event] = []
        self._now_s = now_s
        self._next_lease = 1_000

    def header(self) -> rpc.ResponseHeader:
        """Return the header of a response."""
        return rpc.ResponseHeader(cluster_id=1, member_id=1, revision=self.revision, raft_term=1)

    def select(self, key: bytes, range_end: bytes) -> list[rpc.KeyValue]:
        """Return the key-value pairs of a key or range, in key order."""
        return [self._values[k] for k in sorted(self._values) if in_range(k, key, range_end)]

    def range(self, request: rpc.RangeRequest) -> rpc.RangeResponse:
        """Return the response to a Range call."""
        found = self.select(request.key, request.range_end)
        if request.sort_order == rpc.RangeRequest.DESCEND:
            found.reverse()
        limited = found[: request.limit] if request.limit else found
        if request.keys_only:
            limited = [_without_value(value) for value in limited]
        return rpc.RangeResponse(
            header=self.header(), kvs=limited, count=len(found), more=len(limited) < len(found)
        )

    def put(self, request: rpc.PutRequest) -> rpc.PutResponse:
        """Apply a Put call as a new revision."""
        self.revision += 1
        response = self._put(request)
        self._publish(1)
        return response

    def delete(self, request: rpc.DeleteRangeRequest) -> rpc.DeleteRangeResponse:
        """Apply a DeleteRange call as a new revision, if it deletes any key."""
        keys = [value.key for value in self.select(request.key, request.range_end)]
        if keys:
            self.revision += 1
            self._delete(keys)
            self._publish(len(keys))
        return rpc.DeleteRangeResponse(header=self.header(), deleted=len(keys))

    def txn(self, request: rpc.TxnRequest) -> rpc.TxnResponse:
        """Apply a transaction; all its writes share one revision."""
        succeeded = all(self._is_satisfied(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        events_before = len(self._history)
        if any(op.WhichOneof("request") != "request_range" for op in operations):
            self.revision += 1
        responses = [self._apply(operation) for operation in operations]
        self._publish(len(self._history) - events_before)
        return rpc.TxnResponse(header=self.header(), succeeded=succeeded, responses=responses)

    def _apply(self, operation: rpc.RequestOp) -> rpc.ResponseOp:
        match operation.WhichOneof("request"):
            case "request_range":
                return rpc.ResponseOp(response_range=self.range(operation.request_range))
            case "request_put":
                return rpc.ResponseOp(response_put=self._put(operation.request_put))
        request = operation.request_delete_range
        keys = [value.key for value in self.select(request.key, request.range_end)]
        self._delete(keys)
        deleted = rpc.DeleteRangeResponse(header=self.header(), deleted=len(keys))
        return rpc.ResponseOp(response_delete_range=deleted)

    def _is_satisfied(self, compare: rpc.Compare) -> bool:
        value = self._values.get(compare.key, rpc.KeyValue())
        match compare.target:
            case rpc.Compare.VERSION:
                actual, expected = value.version, compare.version
            case rpc.Compare.CREATE:
                actual, expected = value.create_revision, compare.create_revision
            case rpc.Compare.MOD:
                actual, expected = value.mod_revision, compare.mod_revision
            case _:
                actual, expected = value.value, compare.value
        match compare.result:
            case rpc.Compare.EQUAL:
                return actual == expected
            case rpc.Compare.GREATER:
                return actual > expected
            case rpc.Compare.LESS:
                return actual < expected
        return actual != expected

    def _put(self, request: rpc.PutRequest) -> rpc.PutResponse:
        previous = self._values.get(request.key)
        if previous is not None and previous.lease in self.leases:
            self.leases[previous.lease].keys.discard(request.key)
        value = rpc.KeyValue(
            key=request.key,
            value=request.value,
            create_revision=previous.create_revision if previous else self.revision,
            mod_revision=self.revision,
            version=previous.version + 1 if previous else 1,
            lease=request.lease,
        )
        self._values[request.key] = value
        if request.lease in self.leases:
            self.leases[request.lease].keys.add(request.key)
        self._history.append(rpc.Event(type=rpc.Event.PUT, kv=value))
        return rpc.PutResponse(header=self.header())

    def _delete(self, keys: Iterable[bytes]) -> None:
        for key in keys:
            value = self._values.pop(key)
            if value.lease in self.leases:
                self.leases[value.lease].keys.discard(key)
            tombstone = rpc.KeyValue(key=key, mod_revision=self.revision)
            self._history.append(rpc.Event(type=rpc.Event.DELETE, kv=tombstone))

    def _publish(self, count: int) -> None:
        for event in self._history[len(self._history) - count :]:
            for watch in self.watches:
                if in_range(event.kv.key, watch.key, watch.range_end):
                    watch.queue.put_nowait(self._watch_response(watch, [event]))

    def _watch_response(self, watch: Watch, events: list[rpc.Event]) -> rpc.WatchResponse:
        return rpc.WatchResponse(header=self.header(), watch_id=watch.watch_id, events=events)

    def add_watch(self, watch: Watch, start_revision: int) -> None:
        """Add a watch and deliver the events since ``start_revision`` (0: none) first."""
        created = rpc.WatchResponse(header=self.header(), watch_id=watch.watch_id, created=True)
        watch.queue.put_nowait(created)
        for event in self._history if start_revision else ():
            wanted = in_range(event.kv.key, watch.key, watch.range_end)
            if wanted and event.kv.mod_revision >= start_revision:
                watch.queue.put_nowait(self._watch_response(watch, [event]))
        self.watches.append(watch)

    def grant(self, ttl_seconds: int, lease_id: int) -> int:
        """Create a lease and return its id."""
        self._next_lease += 1
        lease_id = lease_id or self._next_lease
        self.leases[lease_id] = Lease(ttl_seconds, self._now_s() + ttl_seconds)
        return lease_id

    def renew(self, lease_id: int) -> int:
        """Renew a lease and return its time to live in seconds, or 0 if it has ended."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return 0
        lease.ends_at_s = self._now_s() + lease.ttl_seconds
        return lease.ttl_seconds

    def remaining_seconds(self, lease_id: int) -> int:
        """Return the remaining seconds of a lease, or -1 if it has ended."""
        lease = self.leases.get(lease_id)
        return -1 if lease is None else max(0, int(lease.ends_at_s - self._now_s()))

    def revoke(self, lease_id: int) -> bool:
        """End a lease and delete its keys; return whether the lease existed."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        keys = list(lease.keys)
        if keys:
            self.revision += 1
            self._delete(keys)
            self._publish(len(keys))
        del self.leases[lease_id]
        return True

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        now_s = self._now_s()
        for lease_id in [i for i, lease in self.leases.items() if lease.ends_at_s <= now_s]:
            self.revoke(lease_id)


def in_range(candidate: bytes, key: bytes, range_end: bytes) -> bool:
    """Return whether a key is in an etcd range (no end: one key; end ``\\0``: all from key)."""
    if not range_end:
        return candidate == key
    return candidate >= key and (range_end == ALL_KEYS or candidate < range_end)


def _without_value(value: rpc.KeyValue) -> rpc.KeyValue:
    copy = rpc.KeyValue()
    copy.CopyFrom(value)
    copy.value = b""
    return copy
