"""Run a failover core for each database group that this host observes."""

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
    """Pair an action with the group it concerns."""

    service: ServiceName
    action: Action


class ObservedGroups:
    """Hold the cores; ``refresh`` follows changes of members and configuration."""

    def __init__(
        self, own: HostId, proposer: str, policy: FailoverPolicy, rng: random.Random
    ) -> None:
        self._own = own
        self._proposer = proposer
        self._policy = policy
        self._rng = rng
        self._choice = ObserverCache()
        self._cores: dict[ServiceName, GroupMonitor] = {}
        self._addresses: dict[BackendId, Address] = {}

    @property
    def addresses(self) -> set[Address]:
        """Return the addresses of all watched instances."""
        return set(self._addresses.values())

    def address_of(self, backend: BackendId) -> Address | None:
        """Return where a watched instance is reached."""
        return self._addresses.get(backend)

    def refresh(self, directory: Directory) -> None:
        """Start and stop watching groups."""
        in_force = directory.in_force
        services = in_force.configuration.services if in_force is not None else ()
        observed = {}
        self._choice.update(directory)
        for service in services:
            observers = self._choice.observers_of(service)
            if self._own in observers:
                observed[service.name] = (service, observers.index(self._own))
        for name in self._cores.keys() - observed.keys():
            del self._cores[name]
            logger.info("group_unobserved", extra={"service": name})
        self._addresses = {}
        for service, rank in observed.values():
            self._observe(service, rank)
        self._share_budget(observed.values())

    def _observe(self, service: Service, rank: int) -> None:
        backends = [instance.backend for instance in service.instances]
        core = self._cores.get(service.name)
        if core is None:
            core = GroupMonitor(service.name, backends, self._proposer, self._policy, self._rng)
            self._cores[service.name] = core
            logger.info("group_observed", extra={"service": service.name, "rank": rank})
        core.set_backends(backends)
        core.rank = rank
        for instance in service.instances:
            self._addresses[instance.backend] = instance.endpoint

    def _share_budget(self, observed: Iterable[tuple[Service, int]]) -> None:
        wanted = sum(
            estimate_polls_per_second(self._policy, rank, len(service.instances))
            for service, rank in observed
        )
        for core in self._cores.values():
            core.slowdown = max(1.0, wanted / self._policy.polls_per_second)

    def is_hurried(self, now: Instant) -> bool:
        """Tell whether a group needs ticks in quick succession."""
        return any(core.needs_fast_ticks(now) for core in self._cores.values())

    def tick(self, now: Instant, directory: Directory) -> Sequence[GroupAction]:
        """Return what is due in all groups."""
        actions = []
        for core in self._cores.values():
            self._inform(core, directory)
            actions += self._wrap(core, core.tick(now))
        return actions

    @staticmethod
    def _inform(core: GroupMonitor, directory: Directory) -> None:
        core.group_record = directory.group(core.service)
        held = (directory.table.get(f"leaving/{backend}") for backend in core.view.backends)
        core.leaving_records = {
            record.backend: record for record in held if isinstance(record, LeavingRecord)
        }

    def take(
        self,
        now: Instant,
        event: StatusAnswered | AcceptAnswered | PromoteAnswered,
        directory: Directory,
    ) -> Sequence[GroupAction]:
        """Pass the end of a call to its group."""
        core = self._cores.get(event.service)
        if core is None:
            return ()
        self._inform(core, directory)
        match event:
            case StatusAnswered(_, backend, asked_at, answer):
                actions = core.handle_status_answer(now, backend, asked_at, answer)
            case AcceptAnswered(_, backend, term, answer):
                actions = core.handle_accept_answer(now, backend, term, answer)
            case PromoteAnswered(_, backend, term, answer):
                actions = core.handle_promote_answer(now, backend, term, answer)
        return self._wrap(core, actions)

    @staticmethod
    def _wrap(core: GroupMonitor, actions: Iterable[Action]) -> list[GroupAction]:
        return [GroupAction(core.service, action) for action in actions]
