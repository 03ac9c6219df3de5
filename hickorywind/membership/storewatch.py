"""Which hosts watch and check the store, and when a host that does not may rely on the others.

Answers the load of a large fleet: each change in the store answers the watch of every host, which
then opens the next one, so that a change costs as many store calls as there are hosts. Here a few
hosts of each availability zone watch, and the others take changes from their neighbours' copies. A
host relies on the others only while it knows that one of them was in contact with the store a
moment ago; otherwise it watches itself.

A watch that waits is no contact: the store may never have received it, or have lost its answer. So
one host asks the store for its revision by turns, and learns from the answer whether the copies
lack anything.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import timedelta

from hickorywind.ids import HostId
from hickorywind.membership.neighbours import FULL_MESH_SIZE
from hickorywind.placement.rendezvous import rank_members
from hickorywind.util.clock import Instant

# Covers a lost greeting on the way from a watcher over two other hosts, and leaves most of the time
# that a configuration has to come into force.
NEWS_LIMIT = timedelta(seconds=4)
# A host that has heard of a newer copy and lacks it for this long no longer relies on the others.
BEHIND_LIMIT = timedelta(milliseconds=1500)
# The hosts of a zone that do not watch take a configuration from another zone only later: by then
# its watchers mostly have it, and many copies would fill the links between regions.
OTHER_ZONE_COPY_LIMIT = 2 * BEHIND_LIMIT
# Between two checks of the copies, by the first host of the ranking; the next ones follow if they
# hear of none. Leaves most of the time for a new configuration to reach the other hosts.
CHECK_INTERVAL = timedelta(seconds=1)
_LAST_CHECK_RANK = 2  # of this rank and all lower ones are the hosts that check last
# Answers up to this size are read by each host that needs them.
SMALL_COPY_BYTES = 64 * 1024
_RANK_KEY = "watch-store"


class StoreWatchDuty:
    """Decision of one host whether it watches the store itself.

    ``watchers_per_zone`` of 0 makes every host watch. ``prefixes`` are those of the host's copies;
    ``get_behind`` returns for how long the host has known that the copy of one is old, or None.
    """

    def __init__(
        self,
        own_host: HostId,
        watchers_per_zone: int,
        prefixes: Collection[str],
        get_behind: Callable[[str], timedelta | None] = lambda prefix: None,
    ) -> None:
        self._own_host = own_host
        self._get_behind = get_behind
        self._watchers_per_zone = watchers_per_zone
        self._is_watcher = not watchers_per_zone  # until the hosts of the zone are known
        self._reads_large_copies = self._is_watcher
        self._ranked: frozenset[HostId] | None = None
        self._rank = _LAST_CHECK_RANK
        # At these instants the copy of each prefix was current.
        self._contacts: dict[str, Instant | None] = dict.fromkeys(prefixes)

    def update(
        self, active: Collection[HostId], zone_hosts: Collection[HostId], fleet_size: int
    ) -> None:
        """Apply the active other hosts, those of the own zone and the number of all hosts."""
        all_watch = not self._watchers_per_zone or fleet_size <= FULL_MESH_SIZE
        hosts = frozenset((self._own_host, *(active if all_watch else zone_hosts)))
        if hosts != self._ranked:
            self._ranked = hosts
            self._rank = rank_members(_RANK_KEY, hosts).index(self._own_host)
        self._is_watcher = all_watch or self._rank < self._watchers_per_zone
        self._reads_large_copies = all_watch or self._rank == 0

    @property
    def is_watcher(self) -> bool:
        """Whether this host is one of those that watch the store for the others."""
        return self._is_watcher

    @property
    def is_shared(self) -> bool:
        """Whether hosts of a large fleet rely on the watches of others."""
        return self._watchers_per_zone > 0

    @property
    def reads_large_copies(self) -> bool:
        """Whether large answers of the store are read by this host, for the others of its zone."""
        return self._reads_large_copies

    @property
    def answer_limit_bytes(self) -> int | None:
        """Limit of answers of the store, beyond which another host reads them, or None."""
        return None if self._reads_large_copies else SMALL_COPY_BYTES

    def record_own_contact(self, prefix: str, answered_at: Instant) -> None:
        """Record that the copy of a prefix was current at an instant, by the store's own answer."""
        self._record(prefix, answered_at)

    def record_reported_contact(self, contact_at: Instant) -> None:
        """Record a contact that another host reported, whose copies are no newer than the own."""
        for prefix in self._contacts:
            self._record(prefix, contact_at)

    def _record(self, prefix: str, contact_at: Instant) -> None:
        known = self._contacts[prefix]
        if known is None or contact_at > known:
            self._contacts[prefix] = contact_at

    def check_due_at(self) -> Instant | None:
        """Return when this host has to check its copies if it hears of no newer contact.

        Return None until it has read all of them. Small fleets rank all hosts, others those of
        each zone.
        """
        contacts = self._contacts.values()
        if None in contacts:
            return None
        return min(contacts) + CHECK_INTERVAL * (1 + min(self._rank, _LAST_CHECK_RANK))

    def contact_age(self, now: Instant) -> timedelta | None:
        """Return the time since all copies were current, for other hosts, or None if unknown."""
        contacts = self._contacts.values()
        if None in contacts:
            return None
        lags = [self._get_behind(prefix) or timedelta(0) for prefix in self._contacts]
        return max(timedelta(0), now - min(contacts), *lags)

    def may_copy_from_other_zones(self, behind: timedelta | None) -> bool:
        """Return whether a host that has been behind for so long may copy from any zone."""
        if behind is None:
            return False
        return behind > (BEHIND_LIMIT if self._is_watcher else OTHER_ZONE_COPY_LIMIT)

    def should_watch(self, prefix: str, now: Instant, behind: timedelta | None = None) -> bool:
        """Return whether this host has to watch a prefix of the store itself.

        ``behind`` is how long it has known that another host has a newer copy, None if none has.
        """
        contact_at = self._contacts[prefix]
        if self._is_watcher or contact_at is None:
            return True
        if behind is not None and behind > BEHIND_LIMIT:
            return True
        return now > contact_at + NEWS_LIMIT
