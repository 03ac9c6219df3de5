"""HTTP client of the platform's key-value store and of its promotion interface."""

from __future__ import annotations

import base64
import json
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any
from urllib.parse import urlencode

import msgspec

from hickorywind.ids import Address, BackendId, HostId, Revision, ServiceName, StoreEra
from hickorywind.ports.coordination import (
    AnswerTooLargeError,
    Change,
    ChangeBatch,
    Committed,
    Condition,
    Conflict,
    FencingToken,
    HistoryCompacted,
    ItemDeleted,
    ItemWritten,
    Lease,
    LeaseId,
    PromotionOutcome,
    Put,
    Snapshot,
)
from hickorywind.store.era import era_of, make_revision, number_of
from hickorywind.store.interface import StoredValue, StoreSilentError, StoreUnavailableError
from hickorywind.util.decoding import MalformedDataError, convert, parse_counter
from hickorywind.util.httpclient import (
    HttpAnswer,
    HttpAnswerTooLargeError,
    HttpCallError,
    HttpCallWithdrawnError,
    HttpClient,
    HttpTimeoutError,
    always_send,
    ignore_begin,
)

logger = logging.getLogger(__name__)

CALL_TIMEOUT = timedelta(seconds=1)  # a healthy store answers within milliseconds
WATCH_TIMEOUT_MARGIN = timedelta(seconds=2)  # added to the wait that a watch requests
_NO_WAIT = timedelta(milliseconds=1)  # the least that the store takes
_MAX_PAGES = 100  # limit of one range read
_ERA_HEADER = "store-era"
_EMPTY_PREFIX = "hickorywind/revision/"  # no item has it


class _CallWithdrawnError(Exception):
    """A call was not sent, as it may not be sent any more."""


class _WireItem(msgspec.Struct):
    """Item of the store, or the deletion of one, which has no value."""

    key: str
    revision: Revision
    value: str | None = None
    deleted: Any = False


@dataclass(frozen=True, slots=True)
class _Answer:
    """Answer of the platform; ``era`` is that of the store."""

    status: int
    body: dict[str, Any]
    era: StoreEra

    def revision(self, name: str) -> Revision:
        """Return the revision in a field of the body; raise ``StoreUnavailableError``."""
        number = _required_field(self.body, name, int)
        try:
            return make_revision(number, self.era)
        except ValueError as error:
            raise StoreUnavailableError(f"invalid response: {name}: {error}") from error


class PlatformClient:
    """Client of the store and the platform's control interface over pooled connections.

    A call fails if its answer does not begin within the timeout, or then stops making progress. A
    large answer on a slow link takes longer as a whole. ``on_transfer`` is called with the kind of
    each call and the bytes of its request and answer.
    """

    def __init__(self, store: Address, control: Address, call_timeout: timedelta) -> None:
        self._store = store
        self._control = control
        self._call_timeout = call_timeout
        self._client = HttpClient()
        self.on_transfer: Callable[[str, int], None] = lambda kind, size_bytes: None
        self._era = StoreEra(0)  # the newest one in which the store has answered

    @classmethod
    def from_addresses(cls, store: Address, control: Address) -> PlatformClient:
        """Build a client with the default timeout."""
        return cls(store, control, CALL_TIMEOUT)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()

    async def read_range(
        self, prefix: str, max_bytes: int | None = None, timeout: timedelta | None = None
    ) -> Snapshot:
        """Read all items under a prefix; its ``as_of`` is the revision of the first page.

        An answer has to begin within ``timeout``, by default that of all calls. Raise
        ``AnswerTooLargeError`` if a page is announced with more than ``max_bytes``.
        """
        items: list[StoredValue] = []
        as_of: Revision | None = None
        query = {"prefix": prefix}
        for _ in range(_MAX_PAGES):
            answer = await self._call(
                "GET", "/-/kv-range", query, (200,), timeout=timeout, max_bytes=max_bytes
            )
            rows = _required_field(answer.body, "items", list)
            changes = _decode_changes(rows, answer.era)
            items += [change.item for change in changes if isinstance(change, ItemWritten)]
            if as_of is None:
                as_of = answer.revision("as_of")
            elif era_of(as_of) != answer.era:
                raise StoreUnavailableError("the store came back from an older copy during a read")
            if not _required_field(answer.body, "has_more", Any) or not rows:
                break
            last_key = _key_of(rows[-1])
            if last_key is None:
                raise StoreUnavailableError("invalid response: the last item has no key")
            query = {"prefix": prefix, "after": last_key}
        return Snapshot(tuple(items), as_of)

    async def read_revision(self) -> Revision:
        """Return the store's revision, by a read of a range without items."""
        answer = await self._call("GET", "/-/kv-range", {"prefix": _EMPTY_PREFIX})
        return answer.revision("as_of")

    async def read_changes(
        self, prefix: str, after: Revision, max_bytes: int | None = None
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision without waiting for one."""
        return await self._watch(prefix, after, _NO_WAIT, self._call_timeout, max_bytes)

    async def watch(
        self,
        prefix: str,
        after: Revision,
        wait: timedelta,
        max_bytes: int | None = None,
        on_answer: Callable[[], None] = ignore_begin,
    ) -> ChangeBatch | HistoryCompacted:
        """Return the changes under a prefix after a revision, waiting up to ``wait`` for one.

        ``on_answer`` is called when the answer begins. Raise ``AnswerTooLargeError`` if it is
        announced with more than ``max_bytes``.
        """
        timeout = wait + WATCH_TIMEOUT_MARGIN
        return await self._watch(prefix, after, wait, timeout, max_bytes, on_answer)

    async def _watch(
        self,
        prefix: str,
        after: Revision,
        wait: timedelta,
        timeout: timedelta,
        max_bytes: int | None,
        on_answer: Callable[[], None] = ignore_begin,
    ) -> ChangeBatch | HistoryCompacted:
        wait_ms = wait // timedelta(milliseconds=1)
        query = {"prefix": prefix, "after": str(number_of(after)), "wait_ms": str(wait_ms)}
        answer = await self._call(
            "GET",
            "/-/kv-watch",
            query,
            (200, 410),
            timeout=timeout,
            max_bytes=max_bytes,
            on_answer=on_answer,
        )
        if answer.status == 410 or answer.era != era_of(after):
            return HistoryCompacted()
        changes = _decode_changes(_required_field(answer.body, "events", list), answer.era)
        return ChangeBatch(changes, answer.revision("as_of"))

    async def transact(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> Committed | Conflict:
        """Apply all puts and deletes atomically if all conditions hold.

        A condition with a revision of an earlier era does not hold.
        """
        eras = {era_of(condition.revision) for condition in conditions if condition.revision}
        if any(era < self._era for era in eras):
            return Conflict()
        body = {
            "expected_rev": [
                {"key": condition.key, "revision": number_of(condition.revision)}
                for condition in conditions
            ],
            "puts": [
                {"key": put.key, "value": base64.b64encode(put.value).decode(), "lease": 0}
                for put in puts
            ],
            "deletes": list(deletes),
        }
        answer = await self._call("POST", "/-/kv-txn", body=body, accepted_statuses=(200, 412))
        if answer.status == 412:
            return Conflict()
        if any(era != answer.era for era in eras):
            # The item has an equal revision in the new era, by chance or since before the copy.
            raise StoreUnavailableError("the store came back from an older copy during a write")
        return Committed(answer.revision("revision"))

    async def grant_lease(self, ttl: timedelta) -> Lease:
        """Create a lease that ends after ``ttl`` without a renewal."""
        body = {"ttl_ms": ttl // timedelta(milliseconds=1)}
        answer = await self._call("POST", "/-/kv-lease", body=body, accepted_statuses=(200,))
        return Lease(_required_field(answer.body, "lease", LeaseId), answer.era)

    async def renew_lease(self, lease: Lease) -> bool:
        """Renew a lease; return False if it has ended, at the latest with its era."""
        if lease.era < self._era:
            return False
        path = f"/-/kv-keep/{lease.id}"
        answer = await self._call("POST", path, accepted_statuses=(200, 404))
        return answer.status == 200 and answer.era == lease.era

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; it is no error if the lease has ended already."""
        if lease.era < self._era:
            return
        path = f"/-/kv-lease-end/{lease.id}"
        await self._call("DELETE", path, accepted_statuses=(200, 204, 404))

    async def promote(
        self,
        service: ServiceName,
        backend: BackendId,
        holder: HostId,
        token: FencingToken,
        may_send: Callable[[], bool] = always_send,
    ) -> PromotionOutcome:
        """Request that the platform promote a backend server to primary of a service."""
        headers = {"Lease-Holder": holder, "Fencing-Token": str(token)}
        body = {"backend": service, "id": backend}  # the platform calls the service "backend"
        try:
            answer = await self._call(
                "POST",
                "/failover",
                body=body,
                accepted_statuses=(200, 202, 204, 409),
                headers=headers,
                address=self._control,
                may_send=may_send,
            )
        except _CallWithdrawnError:
            return PromotionOutcome.NOT_SENT
        except StoreUnavailableError as error:
            logger.warning(
                "promotion_call_failed",
                extra={"service": service, "backend": backend, "error": str(error)},
            )
            cause = error.__cause__
            is_unreachable = isinstance(cause, HttpCallError) and not cause.was_sent
            return PromotionOutcome.UNREACHABLE if is_unreachable else PromotionOutcome.UNKNOWN
        is_rejected = answer.status == 409
        return PromotionOutcome.NOT_RUNNING if is_rejected else PromotionOutcome.ACCEPTED

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        accepted_statuses: tuple[int, ...] = (200,),
        body: dict[str, Any] | None = None,
        timeout: timedelta | None = None,
        headers: dict[str, str] | None = None,
        address: Address | None = None,
        max_bytes: int | None = None,
        on_answer: Callable[[], None] = ignore_begin,
        may_send: Callable[[], bool] = always_send,
    ) -> _Answer:
        target = path if query is None else f"{path}?{urlencode(query, errors='surrogatepass')}"
        payload = b"" if body is None else json.dumps(body).encode()
        answer: HttpAnswer | None = None
        try:
            answer = await self._client.call(
                address or self._store,
                method,
                target,
                timeout or self._call_timeout,
                headers,
                payload,
                max_bytes,
                on_answer,
                may_send,
            )
        except HttpCallWithdrawnError as error:
            raise _CallWithdrawnError(str(error)) from error
        except HttpTimeoutError as error:
            raise StoreSilentError(str(error)) from error
        except HttpCallError as error:
            raise StoreUnavailableError(str(error)) from error
        except HttpAnswerTooLargeError as error:
            raise AnswerTooLargeError(error.size_bytes) from error
        finally:
            received_bytes = 0 if answer is None else len(answer.body)
            self.on_transfer(_call_kind(path, query), len(target) + len(payload) + received_bytes)
        # An answer without the header, as from something in front of the store, has the known era.
        era = StoreEra(parse_counter(answer.headers.get(_ERA_HEADER, "")) or self._era)
        if era > self._era:
            if self._era:
                logger.warning("store_restored", extra={"era": era, "previous_era": self._era})
            self._era = era
        if answer.status not in accepted_statuses:
            raise StoreUnavailableError(f"{method} {path}: status {answer.status}")
        return _Answer(answer.status, _decode_body(answer.body), era)


def _call_kind(path: str, query: dict[str, str] | None) -> str:
    """Return the name by which transfers of a call are counted, without names of single items."""
    name = "/".join(part for part in path.split("/") if not part.isdigit())
    return name if query is None else f"{name} {query['prefix']}"


def _decode_body(data: bytes) -> dict[str, Any]:
    if not data:
        return {}
    try:
        body = convert(data, json.loads)
    except MalformedDataError as error:
        raise StoreUnavailableError(f"invalid response: {error}") from error
    return body if isinstance(body, dict) else {}


def _required_field(body: dict[str, Any], name: str, type_: Any) -> Any:
    if name not in body:
        raise StoreUnavailableError(f"invalid response: {name} is missing")
    try:
        return convert(body[name], lambda value: msgspec.convert(value, type_))
    except MalformedDataError as error:
        raise StoreUnavailableError(f"invalid response: {name}: {error}") from error


def _decode_changes(rows: list[Any], era: StoreEra) -> tuple[Change, ...]:
    """Decode items and deletions each by itself; skip and log invalid ones."""
    changes = []
    for row in rows:
        try:
            changes.append(convert(row, lambda row: _to_change(row, era)))
        except MalformedDataError as error:
            logger.warning("item_unreadable", extra={"key": _key_of(row), "error": str(error)})
    return tuple(changes)


def _key_of(row: Any) -> str | None:
    key = row.get("key") if isinstance(row, dict) else None
    return key if isinstance(key, str) else None


def _to_change(row: Any, era: StoreEra) -> Change:
    wire = msgspec.convert(row, _WireItem)
    revision = make_revision(wire.revision, era)
    wire.key.encode()  # raises an error for lone surrogates, which can't be passed on
    if wire.deleted:
        return ItemDeleted(wire.key, revision)
    if wire.value is None:
        raise ValueError("value is missing")
    try:
        value = base64.b64decode(wire.value, validate=True)
    except ValueError as error:
        logger.warning("item_unreadable", extra={"key": wire.key, "error": str(error)})
        value = b""  # the item exists and replaces the one before
    return ItemWritten(StoredValue(wire.key, value, revision))
