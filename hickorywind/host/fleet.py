"""This host's copy of the fleet state: configuration, backend servers and leadership."""

from __future__ import annotations

import logging
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import xxhash

from hickorywind.failover.leadership import (
    HostRecord,
    MissingPermitTimer,
    Permits,
    VersionedLeadership,
    decode_host,
    decode_leadership,
)
from hickorywind.ids import BackendId, HostId, Revision, ServiceName
from hickorywind.membership.copylag import CopyLag
from hickorywind.ports.catalog import BackendServer, ProxyConfiguration
from hickorywind.ports.coordination import (
    Change,
    DocumentSchema,
    ItemDeleted,
    ItemWritten,
    Snapshot,
)
from hickorywind.protocol.messages import CopiedItem, CopyReply
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import Clock, Instant, to_milliseconds
from hickorywind.util.decoding import MalformedDataError

logger = logging.getLogger(__name__)

OWN_PREFIX = "hickorywind/"
LEADERSHIP_PREFIX = OWN_PREFIX + "services/"
HOSTS_PREFIX = OWN_PREFIX + "hosts/"
# Beside the revisions of copies in a greeting: two hosts may each lack a record that the other has.
LEADERSHIP_DIGEST = LEADERSHIP_PREFIX + "#"
# Registrations that expired during a store outage are back about two seconds after its end.
MISSING_BACKEND_GRACE = timedelta(seconds=3)

_BEFORE_FIRST_REVISION = Revision(0)


class StoreCopy:
    """Local copy of the store items under one prefix.

    ``as_of`` is the store revision up to which the copy is complete, ``changed_at`` the revision of
    its last change.
    """

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.as_of = Revision(0)
        self.changed_at = Revision(0)
        self.items: dict[str, StoredValue] = {}
        self._digest: int | None = None

    def replace(self, snapshot: Snapshot) -> tuple[Change, ...]:
        """Replace the items by a snapshot; return the changes.

        Of an older snapshot only the items are taken that changed after this copy was complete.
        """
        if snapshot.as_of < self.as_of:
            newer = (item for item in snapshot.items if item.revision > self.as_of)
            return self.apply(tuple(ItemWritten(item) for item in newer), self.as_of)
        snapshot_items = {item.key: item for item in snapshot.items}
        changes: list[Change] = [
            ItemWritten(item)
            for key, item in snapshot_items.items()
            if key not in self.items or self.items[key].revision < item.revision
        ]
        removed = [key for key in self.items if key not in snapshot_items]
        # An item newer than the snapshot was written after the first page of the snapshot was read.
        removed = [key for key in removed if self.items[key].revision <= snapshot.as_of]
        changes += [ItemDeleted(key, snapshot.as_of) for key in removed]
        self._apply_all(tuple(changes), snapshot.as_of)
        return tuple(changes)

    def digest(self) -> int:
        """Return a number that is equal for two copies with the same items."""
        if self._digest is None:
            revisions = (f"{key}={item.revision}" for key, item in sorted(self.items.items()))
            self._digest = xxhash.xxh3_64_intdigest("\n".join(revisions).encode()) >> 1
        return self._digest

    def to_message(
        self, call: int, after: Revision = _BEFORE_FIRST_REVISION, deflates: bool = False
    ) -> CopyReply:
        """Return the items that changed after a revision as a message for another host."""
        items = tuple(
            CopiedItem.from_stored(item, deflates)
            for item in self.items.values()
            if item.revision > after
        )
        return CopyReply(call, self.prefix, self.as_of, items)

    def to_notice(self, keys: Collection[str]) -> CopyReply:
        """Return some of the items as a message that says nothing about all others."""
        items = tuple(
            CopiedItem.from_stored(self.items[key]) for key in sorted(keys) if key in self.items
        )
        return CopyReply(0, self.prefix, _BEFORE_FIRST_REVISION, items)

    def apply(self, changes: tuple[Change, ...], as_of: Revision) -> tuple[Change, ...]:
        """Apply changes in order; return those that changed the copy.

        Answers of the store and of other hosts arrive in any order. An item that a copy lacks
        although it is complete up to the item's revision has been deleted since.
        """
        current = tuple(change for change in changes if not self._is_deleted_since(change))
        return self._apply_all(current, as_of)

    def _is_deleted_since(self, change: Change) -> bool:
        if not isinstance(change, ItemWritten) or change.item.key in self.items:
            return False
        return change.item.revision <= self.as_of

    def _apply_all(self, changes: tuple[Change, ...], as_of: Revision) -> tuple[Change, ...]:
        applied = []
        for change in changes:
            if self._apply_change(change):
                self._digest = None
                applied.append(change)
                revision = (
                    change.item.revision if isinstance(change, ItemWritten) else change.revision
                )
                self.changed_at = max(self.changed_at, revision)
        self.as_of = max(self.as_of, as_of)
        return tuple(applied)

    def _apply_change(self, change: Change) -> bool:
        match change:
            case ItemWritten(item):
                known = self.items.get(item.key)
                if known is not None and known.revision >= item.revision:
                    return False
                self.items[item.key] = item
            case ItemDeleted(key, revision):
                known = self.items.get(key)
                if known is None or known.revision > revision:
                    return False
                del self.items[key]
        return True


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Configuration in force at this host, and whether a newer one is known.

    ``source`` is the store or the peer that it came from, ``age`` the time since it came into
    force. ``newer_revision`` is the newest revision that other hosts have and this one lacks, if
    any; ``behind`` is the time since this host first heard of a newer one.
    """

    version: int
    revision: Revision
    source: str
    age: timedelta
    newer_revision: Revision | None
    behind: timedelta | None


class Fleet:
    """State of the fleet, decoded from the copies of the store, with change listeners."""

    def __init__(self, schema: DocumentSchema, clock: Clock) -> None:
        self._schema = schema
        self.configuration_key = schema.configuration_key
        self._clock = clock
        self.permits = Permits()
        self.missing_permit_timer = MissingPermitTimer()
        self.configuration: ProxyConfiguration | None = None
        self._configuration_source = ""
        self._configured_at: Instant = timedelta(0)
        self._lag = CopyLag()
        self.backends: dict[BackendId, BackendServer] = {}
        self._missing_since: dict[BackendId, Instant] = {}
        self.copies = {
            prefix: StoreCopy(prefix)
            for prefix in (schema.configuration_key, schema.backends_prefix, LEADERSHIP_PREFIX)
        }
        # Read once at registration and then completed from the copies of hosts that read it later.
        self.host_copy = StoreCopy(HOSTS_PREFIX)
        self.configuration_listeners: list[Callable[[], None]] = []
        self.backend_listeners: list[Callable[[], None]] = []
        self.leadership_listeners: list[Callable[[ServiceName], None]] = []

    def now(self) -> Instant:
        """Return the current time of the clock by which permits expire."""
        return self._clock.now()

    def usable_primary(self, service: ServiceName) -> BackendId | None:
        """Return the primary that this host may use now, or None."""
        return self.permits.usable_primary(service, self._clock.now())

    @property
    def has_read_backends(self) -> bool:
        """Whether this host knows which backend servers are registered."""
        return self.copies[self._schema.backends_prefix].as_of > _BEFORE_FIRST_REVISION

    def copy_of(self, prefix: str) -> StoreCopy | None:
        """Return the copy of a prefix, or None if this host keeps none."""
        return self.host_copy if prefix == HOSTS_PREFIX else self.copies.get(prefix)

    def copy_revisions(self) -> dict[str, Revision]:
        """Return by prefix the revision by which hosts compare their copies.

        For registrations it is the one up to which the copy is complete, as no host watches them.
        ``LEADERSHIP_DIGEST`` holds the digest of the leadership records.
        """
        revisions = {prefix: copy.changed_at for prefix, copy in self.copies.items()}
        digest = Revision(self.copies[LEADERSHIP_PREFIX].digest())
        return revisions | {HOSTS_PREFIX: self.host_copy.as_of, LEADERSHIP_DIGEST: digest}

    def configuration_state(self) -> ConfigurationState | None:
        """Return the state of the configuration in force, or None if there is none."""
        if self.configuration is None:
            return None
        now = self._clock.now()
        return ConfigurationState(
            self.configuration.version,
            self.configuration.revision,
            self._configuration_source,
            now - self._configured_at,
            self._lag.newest_missing(self.configuration_key),
            self.behind(self.configuration_key),
        )

    def record_peer_revision(self, prefix: str, revision: Revision, peer: HostId) -> None:
        """Record that another host has a newer copy of a prefix than this one."""
        copy = self.copies[prefix]
        if self._lag.record_heard(prefix, revision, self._clock.now()):
            logger.log(
                self._lag_log_level(prefix),
                "copy_behind",
                extra={
                    "prefix": prefix,
                    "revision": copy.changed_at,
                    "newer_revision": revision,
                    "peer": peer,
                },
            )

    def behind(self, prefix: str) -> timedelta | None:
        """Return for how long this host has known of a newer copy that it lacks, or None."""
        return self._lag.age(prefix, self._clock.now())

    def _record_caught_up(self, copy: StoreCopy, source: str) -> None:
        # A notice brings the newest change of a copy that is not known to be complete up to it.
        newest = max(copy.as_of, copy.changed_at)
        behind = self._lag.record_copied(copy.prefix, newest, self._clock.now())
        if behind is not None:
            logger.log(
                self._lag_log_level(copy.prefix),
                "copy_caught_up",
                extra={
                    "prefix": copy.prefix,
                    "revision": copy.changed_at,
                    "behind_ms": round(to_milliseconds(behind)),
                    "source": source,
                },
            )

    def _lag_log_level(self, prefix: str) -> int:
        # Other copies change often, e.g. while backend servers start.
        return logging.INFO if prefix == self.configuration_key else logging.DEBUG

    def add_hosts(self, snapshot: Snapshot) -> tuple[HostRecord, ...]:
        """Add registered hosts to the copy and return the new and changed ones."""
        written = tuple(ItemWritten(item) for item in snapshot.items)
        applied = self.host_copy.apply(written, snapshot.as_of)
        return decode_hosts(change.item for change in applied)

    def forget_host(self, host: HostId) -> None:
        """Remove a host that has gone from the copy, so that it is not passed on."""
        self.host_copy.items.pop(HOSTS_PREFIX + host, None)

    def apply_snapshot(self, prefix: str, snapshot: Snapshot, source: str) -> None:
        """Apply a snapshot of a prefix; ``source`` names the store or peer for the log."""
        copy = self.copies[prefix]
        self._process_changes(prefix, copy.replace(snapshot), source)
        self._record_caught_up(copy, source)

    def apply_changes(
        self, prefix: str, changes: tuple[Change, ...], as_of: Revision, source: str
    ) -> None:
        """Apply changes under a prefix; ``source`` names the store or peer for the log."""
        copy = self.copies[prefix]
        self._process_changes(prefix, copy.apply(changes, as_of), source)
        self._record_caught_up(copy, source)

    def _process_changes(self, prefix: str, applied: tuple[Change, ...], source: str) -> None:
        if not applied:
            return
        if prefix == self._schema.configuration_key:
            self._apply_configuration(applied, source)
        elif prefix == self._schema.backends_prefix:
            self._apply_backends(applied, source)
        else:
            self._apply_leadership(applied, source)

    def _apply_configuration(self, applied: tuple[Change, ...], source: str) -> None:
        for change in applied:
            if not isinstance(change, ItemWritten):
                continue
            if change.item.key != self._schema.configuration_key:
                continue
            decoded = self._schema.decode_configuration(change.item)
            if decoded is None:
                continue
            if self.configuration and decoded.version < self.configuration.version:
                logger.warning("configuration_outdated", extra={"version": decoded.version})
                continue
            self.configuration = decoded
            self._configuration_source, self._configured_at = source, self._clock.now()
            logger.info(
                "configuration_in_force",
                extra={
                    "version": decoded.version,
                    "revision": decoded.revision,
                    "routes": len(decoded.routes),
                    "source": source,
                },
            )
            for listener in self.configuration_listeners:
                listener()

    def _apply_backends(self, applied: tuple[Change, ...], source: str) -> None:
        for change in applied:
            match change:
                case ItemWritten(item):
                    self._apply_backend(item, source)
                case ItemDeleted(key, _):
                    self._record_missing_backend(key)
        self._notify_backend_listeners()

    def _apply_backend(self, item: StoredValue, source: str) -> None:
        decoded = self._schema.decode_backend(item)
        if decoded is None:
            # Hosts that start now don't know what the entry held before.
            self._record_missing_backend(item.key)
            return
        self._missing_since.pop(decoded.backend, None)
        known = self.backends.get(decoded.backend)
        if known == decoded:
            return
        # The store orders registrations; the server's clock may have gone back between two starts.
        self.backends[decoded.backend] = decoded
        logger.info(
            "backend_registered",
            extra={
                "backend": decoded.backend,
                "service": decoded.service,
                "state": decoded.state,
                "server_role": decoded.role,
                "revision": item.revision,
                "source": source,
            },
        )

    def _record_missing_backend(self, key: str) -> None:
        backend = BackendId(key.removeprefix(self._schema.backends_prefix))
        if backend in self.backends:
            self._missing_since.setdefault(backend, self._clock.now())

    def remove_missing_backends(self) -> None:
        """Remove backend servers without a valid registration for ``MISSING_BACKEND_GRACE``."""
        now = self._clock.now()
        removed = [
            key
            for key, since in self._missing_since.items()
            if now >= since + MISSING_BACKEND_GRACE
        ]
        for backend in removed:
            del self._missing_since[backend]
            self.backends.pop(backend, None)
            logger.info("backend_gone", extra={"backend": backend})
        if removed:
            self._notify_backend_listeners()

    def _notify_backend_listeners(self) -> None:
        for listener in self.backend_listeners:
            listener()

    def _apply_leadership(self, applied: tuple[Change, ...], source: str) -> None:
        for change in applied:
            match change:
                case ItemWritten(item):
                    self._apply_record(item, source)
                case ItemDeleted(key, revision):
                    service = ServiceName(key.removeprefix(LEADERSHIP_PREFIX))
                    self.permits.forget(service, revision)

    def _apply_record(self, item: StoredValue, source: str) -> None:
        service = ServiceName(item.key.removeprefix(LEADERSHIP_PREFIX))
        try:
            record = decode_leadership(item.value)
        except MalformedDataError as error:
            logger.error("leadership_unreadable", extra={"service": service, "error": str(error)})
            self.permits.learn_unreadable(service, item.revision)
            return
        leadership = VersionedLeadership(record, item.revision)
        is_in_use = self.permits.learn(service, leadership)
        details = {
            "service": service,
            "primary": record.primary,
            "phase": record.phase,
            "change": record.change,
            "term": record.term,
            "revision": item.revision,
            "source": source,
        }
        if is_in_use:
            logger.info("leadership_changed", extra=details)
            for listener in self.leadership_listeners:
                listener(service)
        elif self.permits.unconfirmed(service) == leadership:
            logger.info("leadership_unconfirmed", extra=details)


def decode_hosts(items: Iterable[StoredValue]) -> tuple[HostRecord, ...]:
    """Decode registrations of hosts; skip and log invalid ones."""
    records = []
    for item in items:
        try:
            record = decode_host(item.value)
            records.append(msgspec.structs.replace(record, registered_at=item.revision))
        except MalformedDataError as error:
            logger.error("host_record_unreadable", extra={"key": item.key, "error": str(error)})
    return tuple(records)
