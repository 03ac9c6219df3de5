"""Failover monitors of the database groups that this host observes."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hickorywind.configuration.model import Service
from hickorywind.controller.events import AcceptAnswered, PromoteAnswered, StatusAnswered
from hickorywind.failover.actions import Action
from hickorywind.failover.group import GroupMonitor, estimate_polls_per_second
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.ids import Address, BackendId, HostId, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.placement.observercache import ObserverCache
from hickorywind.protocol.records import LeavingRecord
from hickorywind.util.clock import Instant

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class GroupAction:
    """Failover action and the database service whose group it concerns."""

    service: ServiceName
    action: Action


class ObservedGroups:
    """Set of failover monitors, one per observed group.

    Call ``refresh`` after each change of members or configuration.
    """

    def __init__(
        self, own_host: HostId, proposer: str, policy: FailoverPolicy, rng: random.Random
    ) -> None:
        self._own_host = own_host
        self._proposer = proposer
        self._policy = policy
        self._rng = rng
        self._observer_cache = ObserverCache()
        self._monitors: dict[ServiceName, GroupMonitor] = {}
        self._addresses: dict[BackendId, Address] = {}

    @property
    def addresses(self) -> set[Address]:
        """Return the addresses of all instances of the observed groups."""
        return set(self._addresses.values())

    def address_of(self, backend: BackendId) -> Address | None:
        """Return the address of an instance, None if its group is not observed."""
        return self._addresses.get(backend)

    def refresh(self, directory: Directory) -> None:
        """Start and stop observing groups by the members and configuration of ``directory``."""
        in_force = directory.in_force
        services = in_force.configuration.services if in_force is not None else ()
        observed = {}
        self._observer_cache.update(directory)
        for service in services:
            observers = self._observer_cache.observers_of(service)
            if self._own_host in observers:
                observed[service.name] = (service, observers.index(self._own_host))
        for name in self._monitors.keys() - observed.keys():
            del self._monitors[name]
            logger.info("group_unobserved", extra={"service": name})
        self._addresses = {}
        for service, rank in observed.values():
            self._start_or_update_monitor(service, rank)
        self._share_poll_budget(observed.values())

    def _start_or_update_monitor(self, service: Service, rank: int) -> None:
        backends = [instance.backend for instance in service.instances]
        monitor = self._monitors.get(service.name)
        if monitor is None:
            monitor = GroupMonitor(service.name, backends, self._proposer, self._policy, self._rng)
            self._monitors[service.name] = monitor
            logger.info("group_observed", extra={"service": service.name, "rank": rank})
        monitor.set_backends(backends)
        monitor.rank = rank
        for instance in service.instances:
            self._addresses[instance.backend] = instance.endpoint

    def _share_poll_budget(self, observed: Iterable[tuple[Service, int]]) -> None:
        wanted_polls_per_second = sum(
            estimate_polls_per_second(self._policy, rank, len(service.instances))
            for service, rank in observed
        )
        for monitor in self._monitors.values():
            monitor.slowdown = max(1.0, wanted_polls_per_second / self._policy.polls_per_second)

    def needs_fast_ticks(self, now: Instant) -> bool:
        """Return whether an observed group needs more frequent ticks."""
        return any(monitor.needs_fast_ticks(now) for monitor in self._monitors.values())

    def tick(self, now: Instant, directory: Directory) -> Sequence[GroupAction]:
        """Return the actions that are due in all observed groups."""
        actions = []
        for monitor in self._monitors.values():
            self._update_records(monitor, directory)
            actions += self._to_group_actions(monitor, monitor.tick(now))
        return actions

    @staticmethod
    def _update_records(monitor: GroupMonitor, directory: Directory) -> None:
        monitor.group_record = directory.group(monitor.service)
        records = (directory.table.get(f"leaving/{backend}") for backend in monitor.view.backends)
        monitor.leaving_records = {
            record.backend: record for record in records if isinstance(record, LeavingRecord)
        }

    def handle_answer(
        self,
        now: Instant,
        event: StatusAnswered | AcceptAnswered | PromoteAnswered,
        directory: Directory,
    ) -> Sequence[GroupAction]:
        """Pass the answer to a call to its group's monitor and return the resulting actions."""
        monitor = self._monitors.get(event.service)
        if monitor is None:
            return ()
        self._update_records(monitor, directory)
        match event:
            case StatusAnswered(_, backend, asked_at, answer):
                actions = monitor.handle_status_answer(now, backend, asked_at, answer)
            case AcceptAnswered(_, backend, term, answer):
                actions = monitor.handle_accept_answer(now, backend, term, answer)
            case PromoteAnswered(_, backend, term, answer):
                actions = monitor.handle_promote_answer(now, backend, term, answer)
        return self._to_group_actions(monitor, actions)

    @staticmethod
    def _to_group_actions(monitor: GroupMonitor, actions: Iterable[Action]) -> list[GroupAction]:
        return [GroupAction(monitor.service, action) for action in actions]
