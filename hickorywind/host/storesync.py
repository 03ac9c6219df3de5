"""Keep the host registered, its permit renewed and its copies of the store current."""

from __future__ import annotations

import asyncio
import logging
import random
from datetime import timedelta

from hickorywind.failover.leadership import (
    PERMIT_RENEWAL_INTERVAL,
    HostRecord,
    decode_host,
    encode_record,
)
from hickorywind.host.fleet import HOSTS_PREFIX, LEADERSHIP_PREFIX, OWN_PREFIX, Fleet
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.host.storerelay import HEDGE_AFTER, PEER_TIMEOUT
from hickorywind.ids import HostId, Revision, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.ports.coordination import (
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    HistoryCompacted,
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.protocol.messages import RenewalQuery, RenewalReply
from hickorywind.store.interface import StoreUnavailableError
from hickorywind.util.tasks import BackgroundTasks, hedge

logger = logging.getLogger(__name__)

LEASE_TTL = timedelta(seconds=600)  # the longest allowed: a lease ends by order, not by time
WATCH_WAIT = timedelta(seconds=25)  # each waiting watch is one call
RETRY_MIN = timedelta(milliseconds=150)  # first pause after a failed call
RETRY_MAX = timedelta(milliseconds=1200)  # well inside the bound for configurations
RETRY_MAX_STARTING = timedelta(milliseconds=300)  # callers wait for a host without configuration
_PEERS_ASKED = 2  # peers asked to renew a lease for a host that is cut from the store


class StoreSync:
    """Own all routine calls of this host to the store."""

    def __init__(
        self,
        fleet: Fleet,
        coordinator: CoordinationStore,
        identity: HostIdentity,
        peers: Peers,
        metrics: HostMetrics,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._coordinator = coordinator
        self._identity = identity
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._lease: LeaseId | None = None
        self._registered_at = Revision(0)
        self._stopped: dict[ServiceName, Revision] = {}
        self._is_reachable = True
        self._background = BackgroundTasks()

    async def run(self) -> None:
        """Stay registered and follow changes until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._stay_registered())
            for prefix in self._fleet.copies:
                group.create_task(self._follow(prefix))

    def note_call(self, call: str, error: Exception | None) -> None:
        """Count a call and log when the store is lost or regained."""
        self._metrics.store_calls.labels(call, "ok" if error is None else "failed").inc()
        is_reachable = error is None
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            logger.info("store_regained", extra={"call": call})
        else:
            logger.warning("store_lost", extra={"call": call, "error": str(error)})

    def _longer(self, pause: timedelta) -> timedelta:
        is_starting = self._fleet.configuration is None
        return min(pause * 2, RETRY_MAX_STARTING if is_starting else RETRY_MAX)

    # Registration ------------------------------------------------------------------------------

    async def _stay_registered(self) -> None:
        while True:
            await self._register()
            await self._renew_until_ended()

    async def _register(self) -> None:
        pause = RETRY_MIN
        revision = Revision(0)
        while True:
            try:
                lease = await self._coordinator.grant_lease(LEASE_TTL)
                result = await self._write_record(lease, revision)
                self.note_call("register", None)
                if isinstance(result, Conflict):
                    revision = await self._own_revision()
                    continue
                self._lease = lease
                self._registered_at = result.revision
                await self._read_fleet()
                logger.info("host_registered", extra={"lease": lease})
                return
            except StoreUnavailableError as error:
                self.note_call("register", error)
                await asyncio.sleep(pause.total_seconds() * self._rng.uniform(0.5, 1.0))
                pause = self._longer(pause)

    async def _write_record(self, lease: LeaseId, revision: Revision) -> Committed | Conflict:
        """Write this host's registration where the one of ``revision`` stands."""
        identity = self._identity
        record = HostRecord(
            identity.host,
            identity.incarnation,
            identity.zone,
            identity.address,
            lease,
            self._stopped,
        )
        key = HOSTS_PREFIX + identity.host
        return await self._coordinator.transact(
            [Condition(key, revision)], [Put(key, encode_record(record))]
        )

    async def note_stopped(self, service: ServiceName, revision: Revision) -> None:
        """Note in the registration that this host stopped using a primary for good."""
        self._stopped[service] = revision
        if self._lease is None:
            return
        try:
            result = await self._write_record(self._lease, self._registered_at)
        except StoreUnavailableError as error:
            # The promoter waits until the permit has run out.
            self.note_call("note_stopped", error)
            return
        self.note_call("note_stopped", None)
        if isinstance(result, Committed):
            self._registered_at = result.revision
        logger.info(
            "stop_noted",
            extra={
                "service": service,
                "revision": revision,
                "is_stored": isinstance(result, Committed),
            },
        )

    async def _own_revision(self) -> Revision:
        snapshot = await self._coordinator.read_range(HOSTS_PREFIX)
        key = HOSTS_PREFIX + self._identity.host
        for item in snapshot.items:
            if item.key == key:
                return item.revision
        return Revision(0)

    async def _read_fleet(self) -> None:
        """Read hosts and leadership after registering: the first proof for the permit."""
        sent = self._fleet.now()
        snapshot = await self._coordinator.read_range(OWN_PREFIX)
        hosts = [item for item in snapshot.items if item.key.startswith(HOSTS_PREFIX)]
        leadership = tuple(
            item for item in snapshot.items if item.key.startswith(LEADERSHIP_PREFIX)
        )
        self._fleet.take_snapshot(LEADERSHIP_PREFIX, Snapshot(leadership, snapshot.as_of), "store")
        for record in parse_hosts(Snapshot(tuple(hosts), snapshot.as_of)).values():
            self._peers.add(record)
        self._fleet.permits.extend(sent)

    async def _renew_until_ended(self) -> None:
        interval = PERMIT_RENEWAL_INTERVAL.total_seconds()
        while True:
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.0))
            sent = self._fleet.now()
            renewed = await self._renew_anyhow(self._lease)
            if renewed is None:
                continue
            if not renewed:
                # Whoever ended the lease waits until the present permit has run out, so it stands.
                logger.warning("lease_ended", extra={"lease": self._lease})
                return
            self._fleet.permits.extend(sent)

    async def renew(self, lease: LeaseId) -> bool | None:
        """Renew a lease at the store; None where the store does not answer."""
        try:
            renewed = await self._coordinator.renew_lease(lease)
        except StoreUnavailableError as error:
            self.note_call("renew", error)
            return None
        self.note_call("renew", None)
        return renewed

    async def _renew_anyhow(self, lease: LeaseId) -> bool | None:
        """Renew the lease and, where the store is slow, ask other hosts to do it as well."""

        def ask_peers() -> list[asyncio.Task[bool | None]]:
            alive = self._peers.alive()
            hosts = self._rng.sample(alive, min(_PEERS_ASKED, len(alive)))
            return [self._background.start(self._renew_through(host, lease)) for host in hosts]

        return await hedge(self._background.start(self.renew(lease)), HEDGE_AFTER, ask_peers)

    async def _renew_through(self, host: HostId, lease: LeaseId) -> bool | None:
        reply = await self._peers.call(host, lambda call: RenewalQuery(call, lease), PEER_TIMEOUT)
        if not isinstance(reply, RenewalReply) or reply.is_renewed is None:
            return None
        logger.info("lease_renewed_by_peer", extra={"peer": host, "renewed": reply.is_renewed})
        return reply.is_renewed

    async def unregister(self) -> None:
        """Give up the registration: this process uses no primary any more."""
        self._fleet.permits.revoke()
        if self._lease is None:
            return
        try:
            key = HOSTS_PREFIX + self._identity.host
            # The condition keeps a late delete from touching the next life's registration.
            await self._coordinator.transact([Condition(key, self._registered_at)], [], [key])
        except StoreUnavailableError as error:
            logger.info("unregister_failed", extra={"error": str(error)})

    # Copies ------------------------------------------------------------------------------------

    async def _follow(self, prefix: str) -> None:
        copy = self._fleet.copies[prefix]
        pause = RETRY_MIN
        is_current = False
        while True:
            try:
                if not is_current:
                    snapshot = await self._coordinator.read_range(prefix)
                    self._fleet.take_snapshot(prefix, snapshot, "store")
                    is_current = True
                result = await self._coordinator.watch(prefix, copy.as_of, WATCH_WAIT)
                self.note_call("watch", None)
                pause = RETRY_MIN
                if isinstance(result, HistoryCompacted):
                    logger.info("store_history_lost", extra={"prefix": prefix})
                    is_current = False
                    continue
                self._fleet.take_changes(prefix, result.changes, result.as_of, "store")
            except StoreUnavailableError as error:
                self.note_call("watch", error)
                is_current = False
                await asyncio.sleep(pause.total_seconds() * self._rng.uniform(0.5, 1.0))
                pause = self._longer(pause)


def parse_hosts(snapshot: Snapshot) -> dict[HostId, HostRecord]:
    """Read the registered hosts from a copy of their prefix."""
    records = {}
    for item in snapshot.items:
        record = decode_host(item.value)
        if record is None:
            logger.error("host_record_unreadable", extra={"key": item.key})
        else:
            records[record.host] = record
    return records
