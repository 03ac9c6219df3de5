"""Entry and pool processes that subscribe to records, on the own host and on others."""

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
    """Set of subscribed processes, by peer.

    Each ``Subscribe`` gets an answer, even without records, because subscribers recognize a live
    controller by its answers. Changed records are sent at once. A table digest that still differs
    ``COMPARISON_DELAY`` after the last records were sent starts a comparison of the tables.
    """

    def __init__(self, own_host: HostId) -> None:
        self._own_host = own_host
        self._by_peer: dict[bytes, _Subscriber] = {}

    def handle_subscribe(
        self, now: Instant, peer: bytes, message: Subscribe, table: RecordTable
    ) -> Send:
        """Record a subscription and return the answer to it."""
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
        """Return the messages that bring changed records to every subscriber."""
        if not changed_records:
            return
        batches = batch_records(changed_records)
        for peer, subscriber in self._by_peer.items():
            subscriber.last_sent_at = now
            for batch in batches:
                yield Send(ToPeer(peer), batch)

    def extend_deadlines(self, pause: timedelta) -> None:
        """Extend every subscriber's timeout by a pause in which this process did not run."""
        for subscriber in self._by_peer.values():
            subscriber.last_heard_at += pause

    def remove_silent(self, now: Instant) -> None:
        """Remove the subscribers not heard from for ``SUBSCRIBER_TIMEOUT``."""
        silent = [
            peer
            for peer, subscriber in self._by_peer.items()
            if now - subscriber.last_heard_at > SUBSCRIBER_TIMEOUT
        ]
        for peer in silent:
            del self._by_peer[peer]

    def is_serving(self, role: Role) -> bool:
        """Return whether the own host's process of a role is subscribed and not draining."""
        processes = [
            subscriber
            for subscriber in self._by_peer.values()
            if subscriber.host == self._own_host and subscriber.role == role.value
        ]
        newest = max(processes, key=lambda subscriber: subscriber.last_heard_at, default=None)
        return newest is not None and not newest.is_draining
