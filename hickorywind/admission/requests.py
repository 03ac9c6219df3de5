"""Define what the admission queues take in and the actions they order."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from hickorywind.ids import Rank, SessionId
from hickorywind.results import Result
from hickorywind.util.clock import Instant


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Describe one request as far as admission needs to know it.

    ``key`` tells it from all others that wait or run. ``deadline`` is an instant of the queue's
    clock. ``in_transaction`` marks a request that continues an open transaction: it holds a
    connection and maybe locks, so it goes ahead of work that has yet to begin.
    """

    key: Hashable
    session: SessionId
    rank: Rank
    size_bytes: int
    arrived: Instant
    deadline: Instant
    in_transaction: bool = False


@dataclass(frozen=True, slots=True)
class Start:
    """Order a request to be run now; the slot is held until ``finish`` is called."""

    request: WaitingRequest


@dataclass(frozen=True, slots=True)
class Refuse:
    """Order a request to be answered with a refusal now."""

    request: WaitingRequest
    result: Result


Action = Start | Refuse
