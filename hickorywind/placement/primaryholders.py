"""Which few hosts run the work of all hosts at a primary.

Answers two loads. More hosts than connections: each host with connections of its own to a primary
opens one for nearly every operation, and a transaction of one host keeps the statements of others
waiting. And changes of primary in a large fleet, where some host is nearly always silent: only the
holders of the former primary have to confirm that they stopped using it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from hickorywind.ids import AvailabilityZone, HostId, ServiceName
from hickorywind.placement.rendezvous import rank_members
from hickorywind.util.clock import Instant

HOLDER_COUNT = 2  # one may be lost or leave, and a change of primary waits for no more
# Of a primary's connection limit, for its holders together, as transactions hold a connection
# through the pauses of their callers; for the home of its reads; checks by all hosts use the rest.
HOLDERS_CONNECTION_SHARE = 0.8
READ_HOME_CONNECTION_SHARE = 0.1
# A holder that did not answer is not asked for this time; silent ones are replaced in about it.
SILENCE_TIME = timedelta(seconds=2)
# For a holder that is not connected, as after a start, or may not use the primary.
REFUSAL_TIME = timedelta(milliseconds=100)
_USED_ZONE_COST = 1.5  # a zone is used twice rather than one of another region


def choose_holders(
    service: ServiceName,
    zones: Mapping[HostId, AvailabilityZone],
    distance: Callable[[AvailabilityZone], int],
    current: Sequence[HostId] = (),
) -> tuple[HostId, ...]:
    """Return the holders of a service's primary among the hosts that are alive.

    Hosts of ``current`` stay. Others are added from zones near the primary, by ``distance``, and
    from different zones where there are several.
    """
    chosen = [host for host in current if host in zones]
    ranked = rank_members(f"holders {service}", zones)
    while len(chosen) < min(HOLDER_COUNT, len(zones)):
        used_zones = {zones[host] for host in chosen}
        best = min(
            (host for host in ranked if host not in chosen),
            key=lambda host: (
                distance(zones[host]) + _USED_ZONE_COST * (zones[host] in used_zones)
            ),
        )
        chosen.append(best)
    return tuple(chosen)


class AvoidedHolders:
    """Holders that one host does not ask for a while, as they were silent or refused."""

    def __init__(self) -> None:
        self._until: dict[tuple[HostId, int], Instant] = {}
        self._silent_until: dict[tuple[HostId, int], Instant] = {}

    def record_silence(self, holder: HostId, incarnation: int, now: Instant) -> None:
        """Record that an incarnation of a holder did not answer, or is stopping."""
        key = (holder, incarnation)
        self._until[key] = self._silent_until[key] = now + SILENCE_TIME

    def record_refusal(self, holder: HostId, incarnation: int, now: Instant) -> None:
        """Record that a holder is not connected, or may not use the primary."""
        self._until[holder, incarnation] = now + REFUSAL_TIME

    def choose(
        self,
        holders: Sequence[HostId],
        asker: HostId,
        incarnation_of: Callable[[HostId], int],
        now: Instant,
    ) -> HostId | None:
        """Return the holder that a host should ask, or None if it avoids all of them.

        Hosts prefer different holders, so that each runs about the same share of the work.
        """
        for holder in rank_members(asker, holders):
            if now >= self._until.get((holder, incarnation_of(holder)), now):
                return holder
        return None

    def are_silent(
        self, holders: Sequence[HostId], incarnation_of: Callable[[HostId], int], now: Instant
    ) -> bool:
        """Return whether none of the holders answered when it was asked lately."""
        return all(
            now < self._silent_until.get((holder, incarnation_of(holder)), now)
            for holder in holders
        )
