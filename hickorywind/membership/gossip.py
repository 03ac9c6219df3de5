"""Keep one host's record table equal to those of the others.

``GossipCore`` joins three parts: probes find failed hosts, news are passed on at once, and digests
compared on every probe repair the rest. Its cost per host does not depend on the fleet's size.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation
from hickorywind.membership.actions import Send, Target
from hickorywind.membership.directory import Directory
from hickorywind.membership.overlay import Overlay
from hickorywind.membership.prober import Prober, Verdict
from hickorywind.membership.reconcile import answer_digests, answer_stamps, open_comparison
from hickorywind.membership.spreader import Spreader
from hickorywind.membership.tombstones import Tombstones
from hickorywind.protocol.messages import (
    BucketDigests,
    BucketStamps,
    IndirectPing,
    IndirectPingAck,
    Message,
    Ping,
    PingAck,
    RecordBatch,
)
from hickorywind.protocol.records import MemberRecord, MemberState, Record
from hickorywind.util.clock import Instant

PAUSE_LIMIT = timedelta(seconds=1)
SETTLE_TIME = timedelta(seconds=1)
COMPARE_INTERVAL = timedelta(seconds=2)
UNSETTLED_COMPARE_INTERVAL = timedelta(seconds=10)
SWEEP_INTERVAL = timedelta(seconds=10)


@dataclass(frozen=True)
class HostIdentity:
    """Name a host and where its controller listens."""

    host: HostId
    availability_zone: AvailabilityZone
    controller: Address


class GossipCore:
    """Decide what to send to other controllers; records that were news are handed to the owner.

    ``incarnation`` must be greater than at the host's earlier starts where the host can tell; a
    smaller one costs one round of refutation.
    """

    def __init__(
        self,
        identity: HostIdentity,
        incarnation: Incarnation,
        directory: Directory,
        rng: random.Random,
        seeds: Sequence[Address] = (),
    ) -> None:
        self.directory = directory
        self._own = MemberRecord(
            identity.host,
            identity.availability_zone,
            incarnation,
            MemberState.ALIVE,
            identity.controller,
        )
        overlay = Overlay(identity.host, identity.availability_zone, directory)
        self._prober = Prober(identity.host, directory, overlay, rng, seeds)
        self._spreader = Spreader()
        self._tombstones = Tombstones(directory)
        self._news: list[Record] = []
        self._last_tick: Instant | None = None
        self._last_news: Instant | None = None
        self._last_compare: Instant | None = None
        self._last_sweep: Instant | None = None

    @property
    def own(self) -> MemberRecord:
        """Return the record that this host publishes of itself."""
        return self._own

    @property
    def neighbours(self) -> Sequence[MemberRecord]:
        """Return the hosts this one keeps in touch with."""
        return self._prober.neighbours

    def add_seeds(self, addresses: Iterable[Address]) -> None:
        """Learn further addresses of controllers to try."""
        self._prober.seeds = tuple(dict.fromkeys((*self._prober.seeds, *addresses)))

    def take_news(self) -> tuple[Record, ...]:
        """Return the records that changed since the last call."""
        news = tuple(self._news)
        self._news.clear()
        return news

    def announce(self, now: Instant, pool: Address | None, entry: Address | None) -> None:
        """Publish the addresses of the host's running processes."""
        if (self._own.pool, self._own.entry) != (pool, entry):
            self._replace_own(now, pool=pool, entry=entry)

    def leave(self, now: Instant) -> None:
        """Publish that this host is leaving."""
        if self._own.state is not MemberState.LEAVING:
            self._replace_own(now, state=MemberState.LEAVING)

    def _replace_own(self, now: Instant, **changes: object) -> None:
        incarnation = Incarnation(self._own.incarnation + 1)
        self._own = msgspec.structs.replace(self._own, incarnation=incarnation, **changes)
        self.publish(now, (self._own,))

    def publish(self, now: Instant, records: Iterable[Record]) -> None:
        """Take in records, from here or from others, and pass on what is news."""
        news = self.directory.merge(records)
        if not news:
            return
        self._last_news = now
        self._news.extend(news)
        self._spreader.add(news)
        members = [record for record in news if isinstance(record, MemberRecord)]
        for member in members:
            self._prober.observe(member, now)
        if members:
            self._prober.refresh_neighbours()
            self._refute(now)

    def _refute(self, now: Instant) -> None:
        """Overrule what others believe of this host, once it has joined."""
        if self._last_tick is None:
            return
        held = self.directory.member(self._own.host)
        if held is not None and held != self._own:
            overruled = max(held.incarnation, self._own.incarnation)
            self._own = msgspec.structs.replace(self._own, incarnation=overruled)
            self._replace_own(now)

    def tick(self, now: Instant) -> list[Send]:
        """Do what is due; call it every few tens of milliseconds.

        The first call joins: before it the host answers others but publishes nothing of itself, so
        that what they know from before a restart stands.
        """
        if self._last_tick is None:
            self._last_tick = now
            self.publish(now, (self._own,))
            self._refute(now)
        elif now - self._last_tick > PAUSE_LIMIT:
            self._prober.excuse_pause(now - self._last_tick)
        self._last_tick = now
        if self._last_sweep is None or now - self._last_sweep > SWEEP_INTERVAL:
            self._last_sweep = now
            self._tombstones.sweep(now)
        actions = list(self._judge(now, self._prober.tick(now)))
        actions += self._spreader.flush(now, self._prober.neighbours)
        return actions

    def _judge(self, now: Instant, results: Iterator[Send | Verdict]) -> Iterator[Send]:
        for result in results:
            match result:
                case Send():
                    yield result
                case Verdict():
                    self._apply(now, result)

    def _apply(self, now: Instant, verdict: Verdict) -> None:
        member = self.directory.member(verdict.host)
        if member is not None and member.incarnation == verdict.incarnation:
            self.publish(now, (msgspec.structs.replace(member, state=verdict.state),))

    def receive(self, now: Instant, source: Target, message: Message) -> list[Send]:
        """Handle a message of another controller."""
        match message:
            case Ping():
                return [self._answer_ping(now, source, message)]
            case PingAck():
                return self._take_ack(now, source, message)
            case IndirectPing():
                return list(self._prober.relay(now, source, message))
            case IndirectPingAck(sequence):
                return list(self._prober.acknowledged(sequence))
            case RecordBatch(records):
                self.publish(now, records)
            case BucketDigests():
                answer = answer_digests(self.directory.table, message)
                return [Send(source, answer)] if answer else []
            case BucketStamps():
                answers = answer_stamps(self.directory.table, message)
                return [Send(source, answer) for answer in answers]
        return []

    def _answer_ping(self, now: Instant, source: Target, ping: Ping) -> Send:
        self.publish(now, ping.records)
        sender = self.directory.member(ping.host)
        # The own record heals a sender that believed this host dead; its record does so here.
        is_doubtful = sender is None or sender.state is not MemberState.ALIVE
        own = self.directory.member(self._own.host)
        records = [own] if own is not None and (ping.records or is_doubtful) else []
        if sender is not None and is_doubtful:
            records.append(sender)
        digest = self.directory.table.digest
        return Send(source, PingAck(ping.sequence, self._own.host, digest, tuple(records)))

    def _take_ack(self, now: Instant, source: Target, ack: PingAck) -> list[Send]:
        self.publish(now, ack.records)
        actions = list(self._prober.acknowledged(ack.sequence))
        if ack.table_digest != self.directory.table.digest and self._may_compare(now):
            self._last_compare = now
            actions.append(Send(source, open_comparison(self.directory.table)))
        return actions

    def _may_compare(self, now: Instant) -> bool:
        """Wait until news have settled, but not while this host has just started."""
        if self._last_compare is None:
            return True
        has_settled = self._last_news is None or now - self._last_news > SETTLE_TIME
        interval = COMPARE_INTERVAL if has_settled else UNSETTLED_COMPARE_INTERVAL
        return now - self._last_compare > interval
