"""Versioned records that spread membership, primaries and configuration between hosts.

For each key the record with the greatest ``version`` wins, so records may arrive late, twice and
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
    """State of a host as seen by the other hosts."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# Of two records with equal incarnation, the one whose state comes later here wins.
_STATE_ORDER = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING, MemberState.DEAD)


class MemberRecord(msgspec.Struct, frozen=True, tag="m", array_like=True):
    """Record of an entry host, written by its own controller; observers may change its state."""

    host: HostId
    availability_zone: AvailabilityZone
    incarnation: Incarnation
    state: MemberState
    controller: Address
    pool: Address | None = None
    entry: Address | None = None

    @property
    def key(self) -> str:
        """Return the key of the record in the record table."""
        return f"member/{self.host}"

    @property
    def version(self) -> tuple[int, ...]:
        """Return the version that orders records with the same key."""
        return (self.incarnation, _STATE_ORDER.index(self.state))


class GroupRecord(msgspec.Struct, frozen=True, tag="g", array_like=True):
    """Record of the backend server that is primary of a database service since ``term``."""

    service: ServiceName
    term: Term
    primary: BackendId

    @property
    def key(self) -> str:
        """Return the key of the record in the record table."""
        return f"group/{self.service}"

    @property
    def version(self) -> tuple[int, ...]:
        """Return the version that orders records with the same key."""
        return (self.term,)


class LeavingRecord(msgspec.Struct, frozen=True, tag="l", array_like=True):
    """Record of whether a backend server is leaving; a higher ``generation`` may bring it back."""

    backend: BackendId
    generation: int
    leaving: bool

    @property
    def key(self) -> str:
        """Return the key of the record in the record table."""
        return f"leaving/{self.backend}"

    @property
    def version(self) -> tuple[int, ...]:
        """Return the version that orders records with the same key."""
        return (self.generation, int(self.leaving))


class ConfigRecord(msgspec.Struct, frozen=True, tag="c", array_like=True):
    """Record of one section of the accepted configuration, e.g. a single database service.

    ``revision`` is the store revision at which the section last changed. ``document`` is the
    section's canonical JSON; it is empty for a section that was removed.
    """

    section: str
    revision: Revision
    document: str

    @property
    def key(self) -> str:
        """Return the key of the record in the record table."""
        return f"config/{self.section}"

    @property
    def version(self) -> tuple[int, ...]:
        """Return the version that orders records with the same key."""
        return (self.revision,)


class ConfigHeadRecord(msgspec.Struct, frozen=True, tag="h", array_like=True):
    """Record of the accepted configuration's revision and the digest of all its sections.

    A process puts a revision in force once it holds the sections that match ``digest``.
    """

    revision: Revision
    digest: str

    @property
    def key(self) -> str:
        """Return the key of the record in the record table."""
        return "config-head"

    @property
    def version(self) -> tuple[int, ...]:
        """Return the version that orders records with the same key."""
        return (self.revision,)


Record = MemberRecord | GroupRecord | LeavingRecord | ConfigRecord | ConfigHeadRecord
