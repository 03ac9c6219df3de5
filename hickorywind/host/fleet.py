"""Hold what this host believes of the fleet: configuration, backend servers, leadership."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from hickorywind.failover.leadership import (
    MissingPermitTimer,
    Permits,
    VersionedLeadership,
    decode_leadership,
)
from hickorywind.ids import BackendId, Revision, ServiceName
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
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

OWN_PREFIX = "hickorywind/"
LEADERSHIP_PREFIX = OWN_PREFIX + "services/"
HOSTS_PREFIX = OWN_PREFIX + "hosts/"
# Registrations that lapsed while the store was away return within about two seconds.
MISSING_GRACE = timedelta(seconds=3)


class StoreCopy:
    """Keep a copy of the store items under one prefix."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.as_of = Revision(0)
        self.changed_at = Revision(0)
        self.items: dict[str, StoredValue] = {}

    def replace(self, snapshot: Snapshot) -> tuple[Change, ...]:
        """Take in a whole copy; return what changed, nothing where it is older than this one."""
        if snapshot.as_of < self.as_of:
            return ()
        fresh = {item.key: item for item in snapshot.items}
        changes: list[Change] = [
            ItemWritten(item)
            for key, item in fresh.items()
            if key not in self.items or self.items[key].revision < item.revision
        ]
        gone = [key for key in self.items if key not in fresh]
        # An item newer than the copy was written after the copy's first page was read.
        gone = [key for key in gone if self.items[key].revision <= snapshot.as_of]
        changes += [ItemDeleted(key, snapshot.as_of) for key in gone]
        self.apply(tuple(changes), snapshot.as_of)
        return tuple(changes)

    def to_message(self, call: int) -> CopyReply:
        """Render the copy for another host."""
        items = tuple(CopiedItem.from_stored(item) for item in self.items.values())
        return CopyReply(call, self.prefix, self.as_of, items)

    def apply(self, changes: tuple[Change, ...], as_of: Revision) -> tuple[Change, ...]:
        """Take in changes in order; return those that were news."""
        news = []
        for change in changes:
            if self._apply_one(change):
                news.append(change)
                revision = (
                    change.item.revision if isinstance(change, ItemWritten) else change.revision
                )
                self.changed_at = max(self.changed_at, revision)
        self.as_of = max(self.as_of, as_of)
        return tuple(news)

    def _apply_one(self, change: Change) -> bool:
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


class Fleet:
    """Turn copies of the store into typed state and tell those who listen."""

    def __init__(self, schema: DocumentSchema, clock: Clock) -> None:
        self._schema = schema
        self._clock = clock
        self.permits = Permits()
        self.lone_lack = MissingPermitTimer()
        self.configuration: ProxyConfiguration | None = None
        self.backends: dict[BackendId, BackendServer] = {}
        self._missing: dict[BackendId, Instant] = {}
        self.copies = {
            prefix: StoreCopy(prefix)
            for prefix in (schema.configuration_key, schema.backends_prefix, LEADERSHIP_PREFIX)
        }
        self.on_configuration: list[Callable[[], None]] = []
        self.on_backends: list[Callable[[], None]] = []
        self.on_leadership: list[Callable[[ServiceName], None]] = []

    def now(self) -> Instant:
        """Return the instant by the clock that permits are measured with."""
        return self._clock.now()

    def usable_primary(self, service: ServiceName) -> BackendId | None:
        """Return the primary that this host may use at this instant."""
        return self.permits.usable_primary(service, self._clock.now())

    def take_snapshot(self, prefix: str, snapshot: Snapshot, source: str) -> None:
        """Take in a whole copy of a prefix, read from the store or given by a peer."""
        self._announce(prefix, self.copies[prefix].replace(snapshot), source)

    def take_changes(
        self, prefix: str, changes: tuple[Change, ...], as_of: Revision, source: str
    ) -> None:
        """Take in changes under a prefix."""
        self._announce(prefix, self.copies[prefix].apply(changes, as_of), source)

    def _announce(self, prefix: str, news: tuple[Change, ...], source: str) -> None:
        if not news:
            return
        if prefix == self._schema.configuration_key:
            self._take_configuration(news, source)
        elif prefix == self._schema.backends_prefix:
            self._take_backends(news, source)
        else:
            self._take_leadership(news, source)

    def _take_configuration(self, news: tuple[Change, ...], source: str) -> None:
        for change in news:
            if not isinstance(change, ItemWritten):
                continue
            if change.item.key != self._schema.configuration_key:
                continue
            decoded = self._schema.decode_configuration(change.item)
            if decoded is None:
                continue
            if self.configuration and decoded.version < self.configuration.version:
                logger.warning("configuration_older", extra={"version": decoded.version})
                continue
            self.configuration = decoded
            logger.info(
                "configuration_in_force",
                extra={
                    "version": decoded.version,
                    "revision": decoded.revision,
                    "routes": len(decoded.routes),
                    "source": source,
                },
            )
            for listener in self.on_configuration:
                listener()

    def _take_backends(self, news: tuple[Change, ...], source: str) -> None:
        for change in news:
            match change:
                case ItemWritten(item):
                    self._take_backend(item, source)
                case ItemDeleted(key, _):
                    backend = BackendId(key.removeprefix(self._schema.backends_prefix))
                    if backend in self.backends:
                        self._missing.setdefault(backend, self._clock.now())
        self._tell_backends()

    def _take_backend(self, item: StoredValue, source: str) -> None:
        decoded = self._schema.decode_backend(item)
        if decoded is None:
            return
        self._missing.pop(decoded.backend, None)
        known = self.backends.get(decoded.backend)
        if known == decoded:
            return
        if known is not None and decoded.started_at_ms < known.started_at_ms:
            return
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

    def drop_missing(self) -> None:
        """Forget backend servers whose registration has been missing for the grace time."""
        now = self._clock.now()
        gone = [key for key, since in self._missing.items() if now >= since + MISSING_GRACE]
        for backend in gone:
            del self._missing[backend]
            self.backends.pop(backend, None)
            logger.info("backend_gone", extra={"backend": backend})
        if gone:
            self._tell_backends()

    def _tell_backends(self) -> None:
        for listener in self.on_backends:
            listener()

    def _take_leadership(self, news: tuple[Change, ...], source: str) -> None:
        for change in news:
            if not isinstance(change, ItemWritten):
                continue
            item = change.item
            service = ServiceName(item.key.removeprefix(LEADERSHIP_PREFIX))
            record = decode_leadership(item.value)
            if record is None:
                logger.error("leadership_unreadable", extra={"service": service})
                continue
            if self.permits.learn(service, VersionedLeadership(record, item.revision)):
                logger.info(
                    "leadership_changed",
                    extra={
                        "service": service,
                        "primary": record.primary,
                        "phase": record.phase,
                        "change": record.change,
                        "revision": item.revision,
                        "source": source,
                    },
                )
                for listener in self.on_leadership:
                    listener(service)
