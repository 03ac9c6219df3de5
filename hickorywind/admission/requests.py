"""Input of the admission queues and the actions that they return."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from hickorywind.ids import Rank, SessionId
from hickorywind.results import Result
from hickorywind.util.clock import Instant


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """Properties of a request that admission depends on.

    ``key`` is unique among waiting and running requests. ``deadline`` is an instant of the queue's
    clock. ``in_transaction`` marks a request that continues an open transaction: that holds a
    connection and possibly locks, so the request is served before others that have not begun.
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
    """Order to run a request now; it occupies a slot until ``finish`` is called."""

    request: WaitingRequest


@dataclass(frozen=True, slots=True)
class Refuse:
    """Order to answer a request with a refusal now."""

    request: WaitingRequest
    result: Result


Action = Start | Refuse
