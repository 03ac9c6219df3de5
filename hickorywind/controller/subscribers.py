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
SETTLE_TIME = timedelta(seconds=1)
_NOTHING = RecordBatch(())


@dataclass
class _Subscriber:
    host: HostId
    role: str
    is_draining: bool
    heard_at: Instant
    last_sent: Instant | None = None


class Subscribers:
    """Remember who subscribes.

    Each ``Subscribe`` is answered, also where there is nothing to say, because subscribers tell a
    live controller by its answers. News go out at once; a digest that still differs after they
    have settled starts a comparison of the tables.
    """

    def __init__(self, own: HostId) -> None:
        self._own = own
        self._by_peer: dict[bytes, _Subscriber] = {}

    def take(self, now: Instant, peer: bytes, message: Subscribe, table: RecordTable) -> Send:
        """Note a subscription and return the answer."""
        known = self._by_peer.get(peer)
        subscriber = known or _Subscriber(message.host, message.role, message.draining, now)
        subscriber.heard_at = now
        subscriber.is_draining = message.draining
        self._by_peer[peer] = subscriber
        target = ToPeer(peer)
        if message.table_digest == table.digest or not self._has_settled(subscriber, now):
            return Send(target, _NOTHING)
        subscriber.last_sent = now
        return Send(target, start_comparison(table))

    @staticmethod
    def _has_settled(subscriber: _Subscriber, now: Instant) -> bool:
        return subscriber.last_sent is None or now - subscriber.last_sent > SETTLE_TIME

    def push(self, now: Instant, news: tuple[Record, ...]) -> Iterable[Send]:
        """Send news to every live subscriber."""
        if not news:
            return
        batches = batch_records(news)
        for peer, subscriber in self._by_peer.items():
            subscriber.last_sent = now
            for batch in batches:
                yield Send(ToPeer(peer), batch)

    def excuse_pause(self, pause: timedelta) -> None:
        """Judge no subscriber by the time in which this process itself did not run."""
        for subscriber in self._by_peer.values():
            subscriber.heard_at += pause

    def sweep(self, now: Instant) -> None:
        """Forget subscribers that are silent."""
        silent = [
            peer
            for peer, subscriber in self._by_peer.items()
            if now - subscriber.heard_at > SUBSCRIBER_TIMEOUT
        ]
        for peer in silent:
            del self._by_peer[peer]

    def is_serving(self, role: Role) -> bool:
        """Tell whether the own host's process of a role runs and takes new work."""
        processes = [
            subscriber
            for subscriber in self._by_peer.values()
            if subscriber.host == self._own and subscriber.role == role.value
        ]
        newest = max(processes, key=lambda subscriber: subscriber.heard_at, default=None)
        return newest is not None and not newest.is_draining
