"""Calls and publications that the failover logic requests, and the answers to the calls."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import BackendId, Term
from hickorywind.protocol.records import GroupRecord, LeavingRecord


@dataclass(frozen=True)
class PollStatus:
    """Request for the status of a backend server."""

    backend: BackendId


@dataclass(frozen=True)
class AcceptTerm:
    """Request to a backend server to take part in a term and in no earlier one.

    The server refuses if it heard from the primary less than ``min_silence`` ago.
    """

    backend: BackendId
    term: Term
    proposer: str
    min_silence: timedelta


@dataclass(frozen=True)
class PromoteBackend:
    """Request to a backend server to become primary of a term that it accepted."""

    backend: BackendId
    term: Term
    proposer: str


@dataclass(frozen=True)
class PublishGroup:
    """Publication of the primary of a database group.

    ``is_own_promotion`` is true for a promotion ordered by this host and false for a primary that
    it only observed. For an own promotion, ``gap`` is the time from the last sign of the old
    primary to the promotion, or None if that is unknown.
    """

    record: GroupRecord
    is_own_promotion: bool = False
    gap: timedelta | None = None


@dataclass(frozen=True)
class PublishLeaving:
    """Publication that a backend server is leaving its group or has returned."""

    record: LeavingRecord


Action = PollStatus | AcceptTerm | PromoteBackend | PublishGroup | PublishLeaving


@dataclass(frozen=True)
class Refusal:
    """Answer of a backend server that refused the call."""

    reason: str


@dataclass(frozen=True)
class NoAnswer:
    """Lack of a usable answer; the call may have taken effect."""

    reason: str


Answer = BackendStatus | Refusal | NoAnswer
