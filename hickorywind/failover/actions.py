"""Define the calls that the failover core asks for and the answers it gets."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, Term
from hickorywind.protocol.records import GroupRecord, LeavingRecord


@dataclass(frozen=True)
class PollStatus:
    """Ask a backend server for its status."""

    backend: BackendId


@dataclass(frozen=True)
class AcceptTerm:
    """Ask a backend server to take part in a term and in no earlier one."""

    backend: BackendId
    term: Term
    proposer: str
    min_silence: timedelta


@dataclass(frozen=True)
class PromoteBackend:
    """Ask a backend server to become primary of a term it accepted."""

    backend: BackendId
    term: Term
    proposer: str


@dataclass(frozen=True)
class PublishGroup:
    """Make known who is primary.

    ``is_own_promotion`` tells a promotion from an observation; ``gap`` is then the time from the
    last sign of the old primary to the promotion, where known.
    """

    record: GroupRecord
    is_own_promotion: bool = False
    gap: timedelta | None = None


@dataclass(frozen=True)
class PublishLeaving:
    """Make known that a backend server is leaving or back."""

    record: LeavingRecord


Action = PollStatus | AcceptTerm | PromoteBackend | PublishGroup | PublishLeaving


@dataclass(frozen=True)
class Refusal:
    """Report that the backend server answered and refused."""

    reason: str


@dataclass(frozen=True)
class NoAnswer:
    """Report that no usable answer came; the call may have taken effect."""

    reason: str


Answer = BackendStatus | Refusal | NoAnswer
