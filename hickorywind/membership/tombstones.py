"""Removal of the records of dead hosts after some time, so that tables stay bounded."""

from __future__ import annotations

from datetime import timedelta

from hickorywind.ids import HostId
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import MemberState
from hickorywind.util.clock import Instant

TOMBSTONE_LIFETIME = timedelta(hours=2)
TOMBSTONE_LIMIT = 2_000


class Tombstones:
    """Records of dead hosts in a directory, and since when each host is dead.

    A record that another host sends after its removal here does no lasting harm: the host is
    probed again, does not answer and is declared dead again.
    """

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._dead_since: dict[HostId, Instant] = {}

    def sweep(self, now: Instant) -> None:
        """Remove records older than ``TOMBSTONE_LIFETIME`` and the oldest beyond the limit."""
        dead = {
            member.host for member in self._directory.members if member.state is MemberState.DEAD
        }
        self._dead_since = {host: self._dead_since.get(host, now) for host in sorted(dead)}
        by_age = sorted(self._dead_since, key=lambda host: self._dead_since[host])
        excess = max(0, len(by_age) - TOMBSTONE_LIMIT)
        for index, host in enumerate(by_age):
            if index < excess or now - self._dead_since[host] > TOMBSTONE_LIFETIME:
                self._directory.forget_member(host)
                del self._dead_since[host]
