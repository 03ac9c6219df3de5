"""Gossip protocol that keeps the record tables of all hosts equal.

``Gossiper`` combines three mechanisms: probes detect failed hosts, changed records are forwarded
to the neighbours at once, and table digests compared on every probe repair what was lost. The cost
per host does not depend on the number of hosts.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from hickorywind.ids import Address, AvailabilityZone, HostId, Incarnation
from hickorywind.membership.actions import Endpoint, Send
from hickorywind.membership.directory import Directory
from hickorywind.membership.disseminator import Disseminator
from hickorywind.membership.overlay import Overlay
from hickorywind.membership.prober import Prober, StateChange
from hickorywind.membership.reconcile import answer_digests, answer_stamps, start_comparison
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

MAX_TICK_GAP = timedelta(seconds=1)
SETTLE_TIME = timedelta(seconds=1)
COMPARE_INTERVAL = timedelta(seconds=2)
UNSETTLED_COMPARE_INTERVAL = timedelta(seconds=10)
SWEEP_INTERVAL = timedelta(seconds=10)


@dataclass(frozen=True)
class HostIdentity:
    """Name, availability zone and controller address of a host."""

    host: HostId
    availability_zone: AvailabilityZone
    controller: Address


class Gossiper:
    """Gossip protocol of one host, without I/O: the owner sends the returned messages.

    ``incarnation`` should be greater than at the host's earlier starts; a smaller one costs one
    round of refutation.
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
        self._own_record = MemberRecord(
            identity.host,
            identity.availability_zone,
            incarnation,
            MemberState.ALIVE,
            identity.controller,
        )
        overlay = Overlay(identity.host, identity.availability_zone, directory)
        self._prober = Prober(identity.host, directory, overlay, rng, seeds)
        self._disseminator = Disseminator()
        self._tombstones = Tombstones(directory)
        self._changed_records: list[Record] = []
        self._last_tick: Instant | None = None
        self._last_change: Instant | None = None
        self._last_compare: Instant | None = None
        self._last_sweep: Instant | None = None

    @property
    def own_record(self) -> MemberRecord:
        """Return the record that this host publishes about itself."""
        return self._own_record

    @property
    def neighbours(self) -> Sequence[MemberRecord]:
        """Return the hosts that this one probes and sends changed records to."""
        return self._prober.neighbours

    def add_seeds(self, addresses: Iterable[Address]) -> None:
        """Add addresses of controllers to try when looking for other hosts."""
        self._prober.seeds = tuple(dict.fromkeys((*self._prober.seeds, *addresses)))

    def take_changed_records(self) -> tuple[Record, ...]:
        """Return the records that were new or newer since the last call."""
        changed = tuple(self._changed_records)
        self._changed_records.clear()
        return changed

    def announce(self, now: Instant, pool: Address | None, entry: Address | None) -> None:
        """Publish the addresses of the host's pool and entry, None for one that is not running."""
        if (self._own_record.pool, self._own_record.entry) != (pool, entry):
            self._replace_own_record(now, pool=pool, entry=entry)

    def leave(self, now: Instant) -> None:
        """Publish that this host is leaving, once."""
        if self._own_record.state is not MemberState.LEAVING:
            self._replace_own_record(now, state=MemberState.LEAVING)

    def _replace_own_record(self, now: Instant, **changes: object) -> None:
        incarnation = Incarnation(self._own_record.incarnation + 1)
        self._own_record = msgspec.structs.replace(
            self._own_record, incarnation=incarnation, **changes
        )
        self.publish(now, (self._own_record,))

    def publish(self, now: Instant, records: Iterable[Record]) -> None:
        """Merge records of this or another host and disseminate those that are new or newer."""
        changed = self.directory.merge(records)
        if not changed:
            return
        self._last_change = now
        self._changed_records.extend(changed)
        self._disseminator.add(changed)
        members = [record for record in changed if isinstance(record, MemberRecord)]
        for member in members:
            self._prober.update_timer(member, now)
        if members:
            self._prober.refresh_neighbours()
            self._refute(now)

    def _refute(self, now: Instant) -> None:
        """Replace a wrong record of this host by one of a higher incarnation, once joined."""
        if self._last_tick is None:
            return
        held = self.directory.member(self._own_record.host)
        if held is not None and held != self._own_record:
            overruled = max(held.incarnation, self._own_record.incarnation)
            self._own_record = msgspec.structs.replace(self._own_record, incarnation=overruled)
            self._replace_own_record(now)

    def tick(self, now: Instant) -> list[Send]:
        """Return the messages that are due; call this every few tens of milliseconds.

        The first call joins the host. Before it, the host answers others but publishes nothing
        about itself, so that what they know from before a restart remains valid.
        """
        if self._last_tick is None:
            self._last_tick = now
            self.publish(now, (self._own_record,))
            self._refute(now)
        elif now - self._last_tick > MAX_TICK_GAP:
            self._prober.extend_deadlines(now - self._last_tick)
        self._last_tick = now
        if self._last_sweep is None or now - self._last_sweep > SWEEP_INTERVAL:
            self._last_sweep = now
            self._tombstones.sweep(now)
        actions = list(self._apply_state_changes(now, self._prober.tick(now)))
        actions += self._disseminator.flush(now, self._prober.neighbours)
        return actions

    def _apply_state_changes(
        self, now: Instant, results: Iterator[Send | StateChange]
    ) -> Iterator[Send]:
        for result in results:
            match result:
                case Send():
                    yield result
                case StateChange():
                    self._apply_state_change(now, result)

    def _apply_state_change(self, now: Instant, change: StateChange) -> None:
        member = self.directory.member(change.host)
        if member is not None and member.incarnation == change.incarnation:
            self.publish(now, (msgspec.structs.replace(member, state=change.state),))

    def receive(self, now: Instant, source: Endpoint, message: Message) -> list[Send]:
        """Handle a message of another controller and return the messages to send."""
        match message:
            case Ping():
                return [self._answer_ping(now, source, message)]
            case PingAck():
                return self._handle_ack(now, source, message)
            case IndirectPing():
                return list(self._prober.relay_ping(now, source, message))
            case IndirectPingAck(sequence):
                return list(self._prober.handle_ack(sequence))
            case RecordBatch(records):
                self.publish(now, records)
            case BucketDigests():
                answer = answer_digests(self.directory.table, message)
                return [Send(source, answer)] if answer else []
            case BucketStamps():
                answers = answer_stamps(self.directory.table, message)
                return [Send(source, answer) for answer in answers]
        return []

    def _answer_ping(self, now: Instant, source: Endpoint, ping: Ping) -> Send:
        self.publish(now, ping.records)
        sender = self.directory.member(ping.host)
        # This host's record corrects a sender that believed this host dead, and the sender's record
        # makes the sender refute what is believed of it here.
        is_sender_unconfirmed = sender is None or sender.state is not MemberState.ALIVE
        own_record = self.directory.member(self._own_record.host)
        records = (
            [own_record]
            if own_record is not None and (ping.records or is_sender_unconfirmed)
            else []
        )
        if sender is not None and is_sender_unconfirmed:
            records.append(sender)
        digest = self.directory.table.digest
        return Send(source, PingAck(ping.sequence, self._own_record.host, digest, tuple(records)))

    def _handle_ack(self, now: Instant, source: Endpoint, ack: PingAck) -> list[Send]:
        self.publish(now, ack.records)
        actions = list(self._prober.handle_ack(ack.sequence))
        if ack.table_digest != self.directory.table.digest and self._is_comparison_due(now):
            self._last_compare = now
            actions.append(Send(source, start_comparison(self.directory.table)))
        return actions

    def _is_comparison_due(self, now: Instant) -> bool:
        """Return whether to compare tables: at once after a start, then at an interval.

        The interval is longer while records are changing.
        """
        if self._last_compare is None:
            return True
        has_settled = self._last_change is None or now - self._last_change > SETTLE_TIME
        interval = COMPARE_INTERVAL if has_settled else UNSETTLED_COMPARE_INTERVAL
        return now - self._last_compare > interval
