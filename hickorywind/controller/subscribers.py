"""Decide what subscribed entries and pools are sent, and which of them the host announces."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import HostId, Role
from hickorywind.membership.actions import Send, ToPeer
from hickorywind.membership.reconcile import batch_records, start_comparison
from hickorywind.membership.table import RecordTable
from hickorywind.protocol.messages import RecordBatch, Subscribe
from hickorywind.protocol.records import Record
from hickorywind.util.clock import Instant

SUBSCRIBER_TIMEOUT = timedelta(seconds=2)
COMPARISON_DELAY = timedelta(seconds=1)
_EMPTY_BATCH = RecordBatch(())


@dataclass
class _Subscriber:
    host: HostId
    role: str
    is_draining: bool
    last_heard_at: Instant
    last_sent_at: Instant | None = None


class Subscribers:
    """Remember who subscribes.

    Each ``Subscribe`` is answered, also where there is nothing to say, because subscribers tell a
    live controller by its answers. News go out at once; a digest that still differs after they
    have settled starts a comparison of the tables.
    """

    def __init__(self, own_host: HostId) -> None:
        self._own_host = own_host
        self._by_peer: dict[bytes, _Subscriber] = {}

    def handle_subscribe(
        self, now: Instant, peer: bytes, message: Subscribe, table: RecordTable
    ) -> Send:
        """Note a subscription and return the answer."""
        known = self._by_peer.get(peer)
        subscriber = known or _Subscriber(message.host, message.role, message.draining, now)
        subscriber.last_heard_at = now
        subscriber.is_draining = message.draining
        self._by_peer[peer] = subscriber
        target = ToPeer(peer)
        if message.table_digest == table.digest or not self._is_comparison_due(subscriber, now):
            return Send(target, _EMPTY_BATCH)
        subscriber.last_sent_at = now
        return Send(target, start_comparison(table))

    @staticmethod
    def _is_comparison_due(subscriber: _Subscriber, now: Instant) -> bool:
        return subscriber.last_sent_at is None or now - subscriber.last_sent_at > COMPARISON_DELAY

    def send_changes(self, now: Instant, changed_records: tuple[Record, ...]) -> Iterable[Send]:
        """Send changed_records to every live subscriber."""
        if not changed_records:
            return
        batches = batch_records(changed_records)
        for peer, subscriber in self._by_peer.items():
            subscriber.last_sent_at = now
            for batch in batches:
                yield Send(ToPeer(peer), batch)

    def extend_deadlines(self, pause: timedelta) -> None:
        """Judge no subscriber by the time in which this process itself did not run."""
        for subscriber in self._by_peer.values():
            subscriber.last_heard_at += pause

    def remove_silent(self, now: Instant) -> None:
        """Forget subscribers that are silent."""
        silent = [
            peer
            for peer, subscriber in self._by_peer.items()
            if now - subscriber.last_heard_at > SUBSCRIBER_TIMEOUT
        ]
        for peer in silent:
            del self._by_peer[peer]

    def is_serving(self, role: Role) -> bool:
        """Tell whether the own host's process of a role runs and takes new work."""
        processes = [
            subscriber
            for subscriber in self._by_peer.values()
            if subscriber.host == self._own_host and subscriber.role == role.value
        ]
        newest = max(processes, key=lambda subscriber: subscriber.last_heard_at, default=None)
        return newest is not None and not newest.is_draining
