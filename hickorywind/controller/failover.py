"""Execution of the actions that the failover monitors of this host decide on."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from datetime import timedelta

from hickorywind.controller.calls import GroupCalls
from hickorywind.controller.events import AcceptAnswered, PromoteAnswered, StatusAnswered
from hickorywind.controller.groups import GroupAction, ObservedGroups
from hickorywind.failover.actions import PublishGroup, PublishLeaving
from hickorywind.membership.gossip import Gossiper
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.records import GroupRecord
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)


class FailoverDriver:
    """Executor of failover actions: starts the requested calls and publishes records.

    ``on_promoted`` is called with the record of each promotion that this host carried out.
    """

    def __init__(
        self, groups: ObservedGroups, calls: GroupCalls, gossip: Gossiper, metrics: Metrics
    ) -> None:
        self.on_promoted: Callable[[GroupRecord], None] = lambda record: None
        self._groups = groups
        self._calls = calls
        self._gossip = gossip
        self._metrics = metrics

    def refresh(self) -> None:
        """Update the observed groups after a change of members or configuration."""
        self._groups.refresh(self._gossip.directory)
        self._calls.keep_only(self._groups.addresses)

    def needs_fast_ticks(self, now: Instant) -> bool:
        """Return whether an observed group needs more frequent ticks."""
        return self._groups.needs_fast_ticks(now)

    def tick(self, now: Instant) -> None:
        """Execute the actions that are due in all observed groups."""
        self._perform(now, self._groups.tick(now, self._gossip.directory))

    def handle_answer(
        self, now: Instant, event: StatusAnswered | AcceptAnswered | PromoteAnswered
    ) -> None:
        """Execute the actions that follow from an answer, and a tick if ticks are frequent."""
        self._perform(now, self._groups.handle_answer(now, event, self._gossip.directory))
        if self.needs_fast_ticks(now):
            self.tick(now)

    def _perform(self, now: Instant, actions: Iterable[GroupAction]) -> None:
        for group_action in actions:
            match group_action.action:
                case PublishGroup() as action:
                    self._publish_group(now, action)
                case PublishLeaving(record):
                    fields = {"backend": record.backend, "leaving": record.leaving}
                    logger.info("backend_leaving", extra=fields)
                    self._gossip.publish(now, (record,))
                case call:
                    address = self._groups.address_of(call.backend)
                    if address is not None:
                        self._calls.start(group_action.service, address, call, now)

    def _publish_group(self, now: Instant, action: PublishGroup) -> None:
        record = action.record
        self._gossip.publish(now, (record,))
        if not action.is_own_promotion:
            return
        self._record_promotion(record, action.gap)
        self.on_promoted(record)

    def _record_promotion(self, record: GroupRecord, gap: timedelta | None) -> None:
        fields = {
            "service": record.service,
            "backend": record.primary,
            "term": record.term,
            "gap_ms": gap // timedelta(milliseconds=1) if gap is not None else None,
        }
        logger.warning("backend_promoted", extra=fields)
        self._metrics.failovers.labels(record.service).inc()
        if gap is not None:
            self._metrics.failover_gap.labels(record.service).observe(gap.total_seconds())

    async def close(self) -> None:
        """Cancel every running call."""
        await self._calls.close()
