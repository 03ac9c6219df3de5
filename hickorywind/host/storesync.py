"""Registration of this host, renewal of its permit, and refresh of its store copies."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.failover.leadership import (
    PERMIT_END_DELAY,
    PERMIT_RENEWAL_INTERVAL,
    HostRecord,
    encode_record,
)
from hickorywind.host.fleet import (
    HOSTS_PREFIX,
    LEADERSHIP_PREFIX,
    OWN_PREFIX,
    Fleet,
    StoreCopy,
    decode_hosts,
)
from hickorywind.host.identity import HostIdentity
from hickorywind.host.peers import Peers
from hickorywind.host.storerelay import HEDGE_DELAY, RELAY_TIMEOUT
from hickorywind.ids import HostId, Revision, ServiceName
from hickorywind.membership.storewatch import BEHIND_LIMIT, StoreWatchDuty
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.ports.coordination import (
    AnswerTooLargeError,
    ChangeBatch,
    Committed,
    Condition,
    Conflict,
    CoordinationStore,
    HistoryCompacted,
    Lease,
    LeaseId,
    Put,
    Snapshot,
)
from hickorywind.protocol.messages import EndedLease, LeaseRenewalQuery, LeaseRenewalReply
from hickorywind.store.era import era_of
from hickorywind.store.interface import (
    StoredValue,
    StoreSilentError,
    StoreUnavailableError,
)
from hickorywind.util.clock import Instant, to_milliseconds
from hickorywind.util.tasks import BackgroundTasks, hedge

logger = logging.getLogger(__name__)

LEASE_TTL = timedelta(seconds=600)  # the store's maximum: hosts end leases explicitly
# After this time without a registration the leadership records are read on their own.
LOAD_TIMEOUT = timedelta(seconds=1)
# For the answer to a read of a whole copy to begin; doubled up to the maximum after each failure,
# because what abandoned reads have queued on a slow link would hold up the next one.
READ_TIMEOUT = timedelta(seconds=1)
READ_TIMEOUT_MAX = timedelta(seconds=4)
WATCH_TIMEOUT = timedelta(seconds=30)  # the maximum, because each watch costs a store call
# Fraction by which watches are shorter at random: the hosts of a fleet that started or heard of a
# change together must not all send their next watch in the same moment, and lose it together.
WATCH_TIMEOUT_SPREAD = 0.1
# Pause before the next watch after one that returned changes: changes come in bursts, and each
# watch of each host is a store call. It grows with the fleet up to a maximum, which is lower for
# leadership records because callers wait for a change of primary.
WATCH_PAUSE_PER_HOST = timedelta(milliseconds=5)
WATCH_PAUSE_MAX = timedelta(milliseconds=500)
LEADERSHIP_WATCH_PAUSE_MAX = timedelta(milliseconds=100)
RETRY_DELAY_MIN = timedelta(milliseconds=150)  # after the first failed call
RETRY_DELAY_MAX = timedelta(milliseconds=1200)  # well below the time limit for new configurations
RETRY_DELAY_MAX_STARTING = timedelta(milliseconds=300)  # callers wait for the first configuration
# For another host of the zone to read a large copy and pass it on: a wait, and a rate at which a
# few readers share a slow link.
LARGE_COPY_WAIT = timedelta(seconds=2)
LARGE_COPY_BYTES_PER_SECOND = 128 * 1024
LARGE_COPY_CHECK_INTERVAL = timedelta(milliseconds=50)
WATCH_DUTY_INTERVAL = timedelta(milliseconds=250)  # between two looks at who watches the store
_RENEWAL_PEER_COUNT = 2  # peers asked to renew the lease of a host that can't reach the store


@dataclass
class _WaitingWatch:
    """Watch that waits for changes after a revision.

    ``overtaken_at`` is when it was first seen to lack a change that another host passed on,
    ``is_answering`` whether its answer has begun to arrive.
    """

    task: asyncio.Task
    after: Revision
    sent_at: Instant
    is_answering: bool = False
    overtaken_at: Instant | None = None


class StoreSync:
    """Periodic store calls of this host: registration, lease renewal and watches."""

    def __init__(
        self,
        fleet: Fleet,
        coordination_store: CoordinationStore,
        identity: HostIdentity,
        peers: Peers,
        metrics: HostMetrics,
        rng: random.Random,
        watch_duty: StoreWatchDuty,
    ) -> None:
        self._fleet = fleet
        self._coordination_store = coordination_store
        self._identity = identity
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._watch_duty = watch_duty
        self._lease: Lease | None = None
        self._granted_lease: Lease | None = None  # the newest one, registered or not
        self._permit_lease: Lease | None = None  # that the permit was extended for
        self._loaded_at: Instant | None = None  # after the last registration
        self._registered_at = Revision(0)
        # Confirmations that this host needs, as its registration is written with; and the number
        # that the store holds since an instant, or None while a write has no answer.
        self._confirmations = 0
        self._stored_confirmations: tuple[int, Instant] | None = None
        self._write_count = 0  # of registrations that were sent
        self._rewriting = asyncio.Lock()
        self._confirmations_task: asyncio.Task | None = None
        self._stopped_revisions: dict[ServiceName, Revision] = {}
        self._is_reachable = True
        self._was_silent = False  # whether a call went unanswered and none was answered since
        self._is_unregistered = False
        self._watches: dict[str, _WaitingWatch] = {}  # by prefix
        self.on_loaded: Callable[[], None] = lambda: None
        self._is_loaded = asyncio.Event()
        self._background = BackgroundTasks()

    @property
    def is_store_reachable(self) -> bool:
        """Whether the last call to the store was answered."""
        return self._is_reachable

    async def run(self) -> None:
        """Keep the host registered and apply changes in the store until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._maintain_registration())
            for prefix in self._fleet.copies:
                group.create_task(self._follow_prefix(prefix))

    def record_call(self, call: str, error: Exception | None) -> None:
        """Count a store call, and log when the store becomes unreachable or reachable again.

        Once a store that was silent answers again, all watches are sent anew: it may never answer
        those that were sent meanwhile, and nothing else shows that before they time out.
        """
        self._metrics.store_calls.labels(call, "ok" if error is None else "failed").inc()
        is_reachable = error is None
        if isinstance(error, StoreSilentError):
            self._was_silent = True
        elif is_reachable and self._was_silent:
            self._was_silent = False
            self.end_watches()
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if is_reachable:
            logger.info("store_regained", extra={"call": call})
        else:
            logger.warning("store_lost", extra={"call": call, "error": str(error)})

    async def _pause(self, retry_delay: timedelta) -> None:
        await asyncio.sleep(retry_delay.total_seconds() * self._rng.uniform(0.5, 1.0))

    def _next_retry_delay(self, retry_delay: timedelta) -> timedelta:
        is_starting = self._fleet.configuration is None
        return min(retry_delay * 2, RETRY_DELAY_MAX_STARTING if is_starting else RETRY_DELAY_MAX)

    @property
    def registered_at(self) -> Revision:
        """Revision of this host's registration as far as it knows, 0 before the first one."""
        return self._registered_at

    @property
    def is_loaded(self) -> bool:
        """Whether this host is registered and has read the other hosts."""
        return self._is_loaded.is_set()

    # Registration ------------------------------------------------------------------------------

    async def _maintain_registration(self) -> None:
        while not self._is_unregistered:
            await self._register()
            await self._renew_until_lease_ends()

    async def _register(self) -> None:
        retry_delay = RETRY_DELAY_MIN
        revision = Revision(0)
        while True:
            try:
                lease = await self._coordination_store.grant_lease(LEASE_TTL)
                self._granted_lease = lease
                write_sent = self._fleet.now()
                result = await self._write_record(lease, revision)
                self.record_call("register", None)
                if isinstance(result, Conflict):
                    revision = await self._read_own_revision()
                    continue
                if era_of(result.revision) != lease.era:
                    raise StoreUnavailableError("the store came back from an older copy")
                self._lease = lease
                self._registered_at = result.revision
                await self._load_fleet()
                # Others may have ended the lease as soon as they could read it.
                self._extend_permit(write_sent)
                self._loaded_at = self._fleet.now()
                self._is_loaded.set()
                self.on_loaded()
                logger.info("host_registered", extra={"lease": lease.id})
                return
            except StoreUnavailableError as error:
                self.record_call("register", error)
                await self._pause(retry_delay)
                retry_delay = self._next_retry_delay(retry_delay)

    async def _write_record(self, lease: Lease, revision: Revision) -> Committed | Conflict:
        """Write this host's registration if it last changed at ``revision`` (0: does not exist)."""
        identity = self._identity
        record = HostRecord(
            identity.host,
            identity.incarnation,
            identity.zone,
            identity.address,
            lease.id,
            self._stopped_revisions,
            lease.era,
            self._confirmations,
        )
        key = HOSTS_PREFIX + identity.host
        self._stored_confirmations = None
        self._write_count += 1
        count = self._write_count
        result = await self._coordination_store.transact(
            [Condition(key, revision)], [Put(key, encode_record(record))]
        )
        # The answer to an earlier write says nothing about what a later one has stored.
        if isinstance(result, Committed) and count == self._write_count:
            self._stored_confirmations = (record.confirmations, self._fleet.now())
        return result

    async def _rewrite_record(self) -> Committed | Conflict:
        """Write the registration again with what it should hold now."""
        async with self._rewriting:
            result = await self._write_record(self._lease, self._registered_at)
            if isinstance(result, Committed):
                self._registered_at = max(self._registered_at, result.revision)
            return result

    async def record_stopped(self, service: ServiceName, revision: Revision) -> None:
        """Record in the registration that this host stopped using the primary of a service.

        ``revision`` is that of the closed leadership record.
        """
        self._stopped_revisions[service] = revision
        if self._lease is None:
            return
        try:
            result = await self._rewrite_record()
        except StoreUnavailableError as error:
            # Not fatal: the promoter waits until the permit of this host has expired.
            self.record_call("note_stopped", error)
            return
        self.record_call("note_stopped", None)
        logger.info(
            "primary_stop_recorded",
            extra={
                "service": service,
                "revision": revision,
                "is_stored": isinstance(result, Committed),
            },
        )

    async def _read_own_revision(self) -> Revision:
        item = await self._read_own_item()
        return Revision(0) if item is None else item.revision

    async def _read_own_item(self) -> StoredValue | None:
        key = HOSTS_PREFIX + self._identity.host
        snapshot = await self._coordination_store.read_range(key)
        return next((item for item in snapshot.items if item.key == key), None)

    # Contact -----------------------------------------------------------------------------------

    @property
    def confirms_leases(self) -> bool:
        """Whether this host has recorded each lease end since it registered, if it was asked to.

        Ends of leases before that count no more, as the permits that they ended have expired.
        """
        now = self._fleet.now()
        if self._loaded_at is None or now >= self._fleet.permits.valid_until:
            return False
        return now >= self._loaded_at + PERMIT_END_DELAY

    @property
    def own_leases(self) -> set[Lease]:
        """Leases on which the permit of this host rests, or soon may."""
        return {each for each in (self._permit_lease, self._granted_lease) if each is not None}

    def record_confirmation(
        self, host: HostId, ended_leases: tuple[EndedLease, ...], asked_at: Instant
    ) -> None:
        """Record that another host confirms the lease of the permit, unless it knows of its end.

        The permit may soon rest on the newest lease, so the host must not know of its end either.
        """
        ended = {Lease(LeaseId(each.lease), each.era) for each in ended_leases}
        if ended.isdisjoint(self.own_leases):
            self._fleet.permits.record_confirmation(host, asked_at)

    def _extend_permit(self, proof_sent: Instant) -> None:
        self._fleet.permits.extend(proof_sent)
        self._permit_lease = self._lease
        self._update_confirmations(proof_sent)

    def _update_confirmations(self, proof_sent: Instant) -> None:
        """Adapt the number of needed confirmations to the fleet, here and in the registration.

        A higher number holds at once. A lower one does so after a renewal that follows its write:
        whoever ended the lease before that has read the higher one.
        """
        self._confirmations = self._peers.table.required_confirmations()
        permits, stored = self._fleet.permits, self._stored_confirmations
        is_stored = stored is not None and stored[0] == self._confirmations
        if self._confirmations > permits.required_confirmations:
            permits.required_confirmations = self._confirmations
        elif is_stored and proof_sent > stored[1]:
            permits.required_confirmations = self._confirmations
        is_writing = self._confirmations_task is not None and not self._confirmations_task.done()
        if not is_stored and not is_writing:
            self._confirmations_task = self._background.start(self._store_confirmations())

    async def _store_confirmations(self) -> None:
        try:
            if isinstance(await self._rewrite_record(), Committed):
                return
            item = await self._read_own_item()
        except StoreUnavailableError as error:
            self.record_call("register", error)
            return
        # A write without an answer may have taken effect; that of a later process is left alone,
        # and so is a new registration of this one that is not answered yet.
        for record in decode_hosts(() if item is None else (item,)):
            is_own = record.incarnation == self._identity.incarnation
            if is_own and record.granted_lease == self._lease:
                self._registered_at = item.revision

    async def _load_fleet(self) -> None:
        """Read leadership after registration, and the hosts unless they are known.

        A process that registers again, as its lease was ended, hears from others of newer hosts.
        """
        sent = self._fleet.now()
        prefix = OWN_PREFIX if self._loaded_at is None else LEADERSHIP_PREFIX
        snapshot = await self._coordination_store.read_range(prefix)
        hosts = tuple(item for item in snapshot.items if item.key.startswith(HOSTS_PREFIX))
        leadership = tuple(
            item for item in snapshot.items if item.key.startswith(LEADERSHIP_PREFIX)
        )
        self._fleet.apply_snapshot(LEADERSHIP_PREFIX, Snapshot(leadership, snapshot.as_of), "store")
        if prefix == OWN_PREFIX:
            self._peers.add(*self._fleet.add_hosts(Snapshot(hosts, snapshot.as_of)))
        self._watch_duty.record_own_contact(LEADERSHIP_PREFIX, sent)

    async def _renew_until_lease_ends(self) -> None:
        interval = PERMIT_RENEWAL_INTERVAL.total_seconds()
        while True:
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.0))
            if self._is_unregistered:
                return
            sent = self._fleet.now()
            renewed = await self._renew_hedged(self._lease)
            if renewed is None:
                continue
            if not renewed:
                # The host that ended the lease waits until this permit has expired, so the permit
                # stays valid.
                logger.warning("lease_ended", extra={"lease": self._lease.id})
                return
            self._extend_permit(sent)

    async def renew(self, lease: Lease) -> bool | None:
        """Renew a lease; return False if it has ended, None if the store does not answer."""
        try:
            renewed = await self._coordination_store.renew_lease(lease)
        except StoreUnavailableError as error:
            self.record_call("renew", error)
            return None
        self.record_call("renew", None)
        return renewed

    async def _renew_hedged(self, lease: Lease) -> bool | None:
        """Renew the lease, and through peers as well if the store is slow or fails."""

        def ask_peers() -> list[asyncio.Task[bool | None]]:
            alive = self._peers.table.alive()
            hosts = self._rng.sample(alive, min(_RENEWAL_PEER_COUNT, len(alive)))
            return [self._background.start(self._renew_through_peer(host, lease)) for host in hosts]

        return await hedge(self._background.start(self.renew(lease)), HEDGE_DELAY, ask_peers)

    async def _renew_through_peer(self, host: HostId, lease: Lease) -> bool | None:
        reply = await self._peers.call(
            host, lambda call: LeaseRenewalQuery(call, lease.id, lease.era), RELAY_TIMEOUT
        )
        if not isinstance(reply, LeaseRenewalReply) or reply.is_renewed is None:
            return None
        logger.info("lease_renewed_by_peer", extra={"peer": host, "renewed": reply.is_renewed})
        return reply.is_renewed

    async def unregister(self) -> None:
        """Revoke this host's permit and delete its registration."""
        self._is_unregistered = True
        self._fleet.permits.revoke(self._fleet.now())
        if self._lease is None:
            return
        try:
            key = HOSTS_PREFIX + self._identity.host
            # The condition keeps a delayed delete from removing the registration of a successor
            # process of this host.
            async with self._rewriting:
                await self._coordination_store.transact(
                    [Condition(key, self._registered_at)], [], [key]
                )
        except StoreUnavailableError as error:
            logger.info("unregister_failed", extra={"error": str(error)})

    # Copies ------------------------------------------------------------------------------------

    async def _wait_until_loaded(self) -> bool:
        """Wait until registration has read the leadership records; return False on timeout."""
        try:
            async with asyncio.timeout(LOAD_TIMEOUT.total_seconds()):
                await self._is_loaded.wait()
        except TimeoutError:
            return False
        return True

    def _watch_pause(self, prefix: str) -> timedelta:
        host_count = 1 + len(self._peers.table.states)
        longest = LEADERSHIP_WATCH_PAUSE_MAX if prefix == LEADERSHIP_PREFIX else WATCH_PAUSE_MAX
        return min(longest, host_count * WATCH_PAUSE_PER_HOST)

    async def _read_prefix(self, prefix: str, timeout: timedelta) -> None:
        """Read all items under a prefix, a large first copy only if no other host passes it on."""
        copy = self._fleet.copies[prefix]
        limit = None if copy.as_of else self._watch_duty.answer_limit_bytes
        sent = self._fleet.now()
        try:
            snapshot = await self._coordination_store.read_range(prefix, limit, timeout)
        except AnswerTooLargeError as error:
            if await self._receive_copy(copy, error.size_bytes):
                return
            sent = self._fleet.now()
            snapshot = await self._coordination_store.read_range(prefix, timeout=timeout)
        self._metrics.store_copy_seconds.inc((self._fleet.now() - sent).total_seconds())
        self._metrics.store_copy_bytes.inc(sum(len(item.value) for item in snapshot.items))
        self._fleet.apply_snapshot(prefix, snapshot, "store")
        self._watch_duty.record_own_contact(prefix, sent)

    async def _receive_copy(self, copy: StoreCopy, size_bytes: int) -> bool:
        """Wait until another host has passed a large copy on.

        Return False if this host has to read it, which is known once the registered hosts are.
        """
        logger.info("large_copy_awaited", extra={"prefix": copy.prefix, "bytes": size_bytes})
        known = copy.as_of
        wait = LARGE_COPY_WAIT + timedelta(seconds=size_bytes / LARGE_COPY_BYTES_PER_SECOND)
        until = self._fleet.now() + wait * self._rng.uniform(0.8, 1.0)
        while copy.as_of == known and self._fleet.now() < until:
            if self.is_loaded and self._watch_duty.reads_large_copies:
                break
            await asyncio.sleep(LARGE_COPY_CHECK_INTERVAL.total_seconds())
        return copy.as_of > known

    async def _watch(self, copy: StoreCopy) -> ChangeBatch | HistoryCompacted | None:
        """Return the changes after a copy, or None if they came from another host meanwhile.

        That happens with large changes, and when ``end_watches`` ends the wait for a change.
        """
        try:
            return await self._watch_while_on_duty(copy, self._watch_duty.answer_limit_bytes)
        except AnswerTooLargeError as error:
            if await self._receive_copy(copy, error.size_bytes):
                return None
            return await self._watch_while_on_duty(copy, None)

    async def _watch_while_on_duty(
        self, copy: StoreCopy, max_bytes: int | None
    ) -> ChangeBatch | HistoryCompacted | None:
        wait = WATCH_TIMEOUT * self._rng.uniform(1.0 - WATCH_TIMEOUT_SPREAD, 1.0)

        def record_answer() -> None:
            waiting.is_answering = True

        watch = asyncio.create_task(
            self._coordination_store.watch(copy.prefix, copy.as_of, wait, max_bytes, record_answer)
        )
        waiting = _WaitingWatch(watch, copy.as_of, self._fleet.now())
        self._watches[copy.prefix] = waiting
        try:
            await asyncio.wait((watch,))
            self._log_watch_end(copy.prefix, waiting)
            return None if watch.cancelled() else watch.result()
        finally:
            del self._watches[copy.prefix]
            watch.cancel()

    def _log_watch_end(self, prefix: str, watch: _WaitingWatch) -> None:
        """Log what a watch waited for and how it ended.

        A watch that the store never received ends without an answer although the store answered
        other calls meanwhile; one that it answered late, or whose change was not applied, doesn't.
        """
        logger.info(
            "watch_ended",
            extra={
                "prefix": prefix,
                "after": watch.after,
                "waited_ms": round(to_milliseconds(self._fleet.now() - watch.sent_at)),
                "outcome": _describe_outcome(watch.task),
                "copy_revision": self._fleet.copies[prefix].changed_at,
            },
        )

    def end_watches(self) -> None:
        """End the waiting watches; those that are still this host's duty are sent anew."""
        for watch in self._watches.values():
            watch.task.cancel()

    def is_watch_answering(self, prefix: str) -> bool:
        """Return whether the answer to a watch of a prefix has begun to arrive."""
        watch = self._watches.get(prefix)
        return watch is not None and watch.is_answering

    def renew_watch(self, prefix: str) -> None:
        """Send the waiting watch of a prefix anew, if there is one without an answer."""
        watch = self._watches.get(prefix)
        if watch is not None and not watch.is_answering:
            watch.task.cancel()

    def end_deaf_watches(self) -> None:
        """End the watches that did not answer with a change which other hosts passed on."""
        now = self._fleet.now()
        for prefix, watch in self._watches.items():
            if not self._is_overtaken(prefix, watch):
                continue
            if watch.overtaken_at is None:
                watch.overtaken_at = now
            elif now >= watch.overtaken_at + BEHIND_LIMIT and not watch.task.done():
                logger.info("watch_deaf", extra={"prefix": prefix, "after": watch.after})
                watch.task.cancel()

    def _is_overtaken(self, prefix: str, watch: _WaitingWatch) -> bool:
        """Return whether the copy has a change that the watch should answer with."""
        return self._fleet.copies[prefix].changed_at > watch.after

    def _should_watch(self, prefix: str) -> bool:
        behind = self._fleet.behind(prefix)
        return self._watch_duty.should_watch(prefix, self._fleet.now(), behind)

    async def _follow_prefix(self, prefix: str) -> None:
        copy = self._fleet.copies[prefix]
        retry_delay, timeout = RETRY_DELAY_MIN, READ_TIMEOUT
        was_reread = False  # because the store had no history, and no watch was answered since
        is_current = prefix == LEADERSHIP_PREFIX and await self._wait_until_loaded()
        if prefix == self._fleet.configuration_key and self._watch_duty.is_shared:
            # A large configuration must not delay the registration on a slow link.
            await self._wait_until_loaded()
        while True:
            if is_current and not self._should_watch(prefix):
                await asyncio.sleep(WATCH_DUTY_INTERVAL.total_seconds())
                continue
            try:
                if not is_current:
                    await self._read_prefix(prefix, timeout)
                    is_current, timeout = True, READ_TIMEOUT
                    continue
                sent = self._fleet.now()
                result = await self._watch(copy)
                if result is None:
                    continue
                self.record_call("watch", None)
                if isinstance(result, HistoryCompacted):
                    logger.info("store_history_lost", extra={"prefix": prefix})
                    if was_reread:
                        # Reading again did not help, and each attempt costs two store calls.
                        await self._pause(retry_delay)
                        retry_delay = self._next_retry_delay(retry_delay)
                    is_current, was_reread = False, True
                    continue
                retry_delay, was_reread = RETRY_DELAY_MIN, False
                self._fleet.apply_changes(prefix, result.changes, result.as_of, "store")
                self._watch_duty.record_own_contact(prefix, sent)
                if result.changes:
                    await asyncio.sleep(self._watch_pause(prefix).total_seconds())
            except StoreUnavailableError as error:
                # The copy stays a valid start for the next watch, unless the history has gone.
                self.record_call("watch", error)
                await self._pause(retry_delay)
                retry_delay = self._next_retry_delay(retry_delay)
                timeout = min(timeout * 2, READ_TIMEOUT_MAX)


def _describe_outcome(watch: asyncio.Task) -> str:
    if watch.cancelled():
        return "ended by this host"
    error = watch.exception()
    if error is not None:
        return f"{type(error).__name__}: {error}"
    match watch.result():
        case ChangeBatch((), _):
            return "no changes"
        case ChangeBatch(changes, _):
            return f"{len(changes)} changes"
    return "history lost"
