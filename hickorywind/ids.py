"""Define the identifiers and enumerations that every package shares."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

HostId = NewType("HostId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
Region = NewType("Region", str)
ServiceName = NewType("ServiceName", str)
BackendId = NewType("BackendId", str)
SessionId = NewType("SessionId", str)
RequestId = NewType("RequestId", int)
TransactionId = NewType("TransactionId", int)
Incarnation = NewType("Incarnation", int)
Term = NewType("Term", int)
Revision = NewType("Revision", int)


class Rank(Enum):
    """Order the classes of work; lower values are served first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BACKGROUND = "background"


RANKS_BY_URGENCY = (Rank.URGENT, Rank.STANDARD, Rank.BACKGROUND)


class Role(Enum):
    """Name the part that one daemon process plays on an entry host."""

    ENTRY = "entry"
    POOL = "pool"
    CONTROLLER = "controller"


class InstanceRole(Enum):
    """Name the part that a backend server plays in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class AccessMode(Enum):
    """Say whether a request may change data."""

    READ = "read"
    WRITE = "write"


class Address(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name a TCP endpoint by IP address and port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``IP:PORT``; raise ValueError for anything else."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"expected IP:PORT, got {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Locate an entry in a group's replicated log.

    ``term`` is the term of the entry and ``offset`` its index, counted from 1. Offset 0 is the
    empty log.
    """

    term: Term
    offset: int

    @classmethod
    def from_text(cls, text: str) -> LogPosition:
        """Parse ``TERM/OFFSET``; raise ValueError for anything else."""
        term, separator, offset = text.partition("/")
        if not separator or not term.isdigit() or not offset.isdigit():
            raise ValueError(f"expected TERM/OFFSET, got {text!r}")
        return cls(Term(int(term)), int(offset))

    def contains(self, position: LogPosition) -> bool:
        """Tell whether a log committed up to this position holds the entry at ``position``."""
        return self.term >= position.term and self.offset >= position.offset

    def __str__(self) -> str:
        return f"{self.term}/{self.offset}"


EMPTY_LOG = LogPosition(Term(0), 0)
