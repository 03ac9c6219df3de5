"""Define the versioned records that membership and configuration spread between hosts.

For each key the record with the greatest ``version`` wins, so records can arrive late, twice and
in any order.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Revision,
    ServiceName,
    Term,
)


class MemberState(Enum):
    """Say what is believed of a host."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# For equal incarnations the later state wins.
_STATE_ORDER = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD)


class MemberRecord(msgspec.Struct, frozen=True, tag="m", array_like=True):
    """Describe one entry host; its own controller writes it, observers may overrule its state."""

    host: HostId
    availability_zone: AvailabilityZone
    incarnation: Incarnation
    state: MemberState
    controller: Address
    pool: Address | None = None
    entry: Address | None = None

    @property
    def key(self) -> str:
        """Name the record within the table."""
        return f"member/{self.host}"

    @property
    def version(self) -> tuple[int, ...]:
        """Order records of the same key."""
        return (self.incarnation, _STATE_ORDER.index(self.state))


class GroupRecord(msgspec.Struct, frozen=True, tag="g", array_like=True):
    """Say which backend server is primary of a database service, and since which term."""

    service: ServiceName
    term: Term
    primary: BackendId

    @property
    def key(self) -> str:
        """Name the record within the table."""
        return f"group/{self.service}"

    @property
    def version(self) -> tuple[int, ...]:
        """Order records of the same key."""
        return (self.term,)


class LeavingRecord(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Say that a backend server is leaving (or, with a higher generation, is back)."""

    backend: BackendId
    generation: int
    leaving: bool

    @property
    def key(self) -> str:
        """Name the record within the table."""
        return f"leaving/{self.backend}"

    @property
    def version(self) -> tuple[int, ...]:
        """Order records of the same key."""
        return (self.generation, int(self.leaving))


class ConfigRecord(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """Carry one section of the accepted configuration, e.g. a single database service.

    ``revision`` is the store's revision at which the section last changed. ``document`` is the
    section's canonical JSON; it is empty for a section that was removed.
    """

    section: str
    revision: Revision
    document: str

    @property
    def key(self) -> str:
        """Name the record within the table."""
        return f"config/{self.section}"

    @property
    def version(self) -> tuple[int, ...]:
        """Order records of the same key."""
        return (self.revision,)


class ConfigHeadRecord(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """Name the accepted revision and the digest of all its sections.

    A process puts a revision in force once it holds sections that match ``digest``.
    """

    revision: Revision
    digest: str

    @property
    def key(self) -> str:
        """Name the record within the table."""
        return "config-head"

    @property
    def version(self) -> tuple[int, ...]:
        """Order records of the same key."""
        return (self.revision,)


Record = MemberRecord | GroupRecord | LeavingRecord | ConfigRecord | ConfigHeadRecord
