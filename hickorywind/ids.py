"""Identifiers and enumerations shared by all packages."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from hickorywind.util.decoding import CounterValue, Port, parse_counter

HostId = NewType("HostId", str)
AvailabilityZone = NewType("AvailabilityZone", str)
Region = NewType("Region", str)
ServiceName = NewType("ServiceName", str)
BackendId = NewType("BackendId", str)
SessionId = NewType("SessionId", str)
UserName = NewType("UserName", str)  # name with which a caller logs in at an entry
RequestId = NewType("RequestId", int)
TransactionId = NewType("TransactionId", int)
Incarnation = NewType("Incarnation", CounterValue)
Term = NewType("Term", CounterValue)
Revision = NewType("Revision", CounterValue)  # with the era, see ``hickorywind.store.era``
StoreEra = NewType("StoreEra", CounterValue)  # 0 for a store without eras


class Rank(Enum):
    """Priority class of a request; ``RANKS_BY_URGENCY`` lists them, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    BACKGROUND = "background"


RANKS_BY_URGENCY = (Rank.URGENT, Rank.STANDARD, Rank.BACKGROUND)


class Role(Enum):
    """Role of one daemon process on an entry host."""

    ENTRY = "entry"
    POOL = "pool"
    CONTROLLER = "controller"


class InstanceRole(Enum):
    """Role of a backend server in its database group."""

    PRIMARY = "primary"
    REPLICA = "replica"


class AccessMode(Enum):
    """Whether a request may change data."""

    READ = "read"
    WRITE = "write"


class Address(msgspec.Struct, frozen=True, order=True, array_like=True):
    """IP address and port of a TCP endpoint."""

    host: str
    port: Port

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parse ``IP:PORT``; raise ValueError for any other text."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"expected IP:PORT, got {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class LogPosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Position of an entry in the replicated log of a database group.

    ``term`` is the term of the entry and ``offset`` its index, counted from 1. Offset 0 stands for
    the empty log.
    """

    term: Term
    offset: CounterValue

    @classmethod
    def from_text(cls, text: str) -> LogPosition:
        """Parse ``TERM/OFFSET``; raise ValueError for any other text."""
        term_text, _, offset_text = text.partition("/")
        term, offset = parse_counter(term_text), parse_counter(offset_text)
        if term is None or offset is None:
            raise ValueError(f"expected TERM/OFFSET, got {text!r}")
        return cls(Term(term), offset)

    def contains(self, position: LogPosition) -> bool:
        """Return whether a log committed up to this position contains the entry at ``position``."""
        return self.term >= position.term and self.offset >= position.offset

    def __str__(self) -> str:
        return f"{self.term}/{self.offset}"


EMPTY_LOG = LogPosition(Term(0), 0)
