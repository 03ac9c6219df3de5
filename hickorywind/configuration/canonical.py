"""Canonical form of configurations, for printing and comparison."""

from __future__ import annotations

import msgspec

from hickorywind.configuration.model import Account, Configuration, Service
from hickorywind.ids import RANKS_BY_URGENCY
from hickorywind.util.documents import convert


def canonicalize(configuration: Configuration) -> Configuration:
    """Return an equal configuration whose lists are in a fixed order.

    Raise ``DocumentError`` if a value has the wrong type.
    """
    checked = convert(msgspec.to_builtins(configuration), Configuration)
    return msgspec.structs.replace(
        checked,
        zones=tuple(sorted(checked.zones, key=lambda zone: zone.name)),
        services=tuple(
            sorted(map(_sort_lists, checked.services), key=lambda service: service.name)
        ),
        accounts=tuple(
            sorted(map(_sort_users, checked.accounts), key=lambda account: account.name)
        ),
    )


def _sort_users(account: Account) -> Account:
    return msgspec.structs.replace(account, users=tuple(sorted(account.users)))


def _sort_lists(service: Service) -> Service:
    return msgspec.structs.replace(
        service,
        instances=tuple(sorted(service.instances, key=lambda instance: instance.backend)),
        ranks=tuple(sorted(service.ranks, key=lambda policy: _urgency_index(policy.rank))),
        read_kinds=tuple(sorted(service.read_kinds, key=lambda kind: kind.name)),
        objectives=tuple(
            sorted(service.objectives, key=lambda objective: _urgency_index(objective.rank))
        ),
    )


def _urgency_index(rank: object) -> int:
    return RANKS_BY_URGENCY.index(rank)
