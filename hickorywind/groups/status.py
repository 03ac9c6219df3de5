"""Status that a backend server reports of itself and of its database group.

The platform offers these calls as SQL functions over the PostgreSQL protocol. Each returns one row
with one text column that holds ``BackendStatus`` as JSON:

- ``SELECT platform_status()``
- ``SELECT platform_wait_committed(TERM, OFFSET, TIMEOUT_MS)``: returns when the log is committed
  up to the position, the term changes or the timeout expires.
- ``SELECT platform_accept_term(TERM, 'PROPOSER', MIN_SILENCE_MS)``: promise to take part in TERM
  and in no earlier one; refused if a higher term, or the same term of another proposer, was
  accepted, or if the server heard from the primary less than MIN_SILENCE_MS ago.
- ``SELECT platform_promote(TERM, 'PROPOSER')``: become primary of TERM; refused unless that term
  of that proposer is the last one that the server accepted.

A refusal is an ErrorResponse with SQLSTATE ``REFUSED_SQLSTATE``.
"""

from __future__ import annotations

import msgspec

from hickorywind.ids import BackendId, InstanceRole, LogPosition, ServiceName, Term
from hickorywind.util.decoding import ComputedMilliseconds, CounterValue

REFUSED_SQLSTATE = "55000"
POSITION_PARAMETER = "platform.position"


class ReplicaProgress(msgspec.Struct, frozen=True):
    """Progress of one replica as seen by its primary: how much of the log it acknowledged."""

    backend: BackendId
    received: LogPosition
    silence_ms: ComputedMilliseconds


class BackendStatus(msgspec.Struct, frozen=True):
    """State of a backend server at the time of the call.

    ``term`` is the highest term accepted; ``received`` the position of the last log entry it
    holds; ``committed`` that of the last entry known to be held by a majority; ``applied`` that of
    the last entry visible to reads. ``silence_ms`` is, at a replica, the time since it last heard
    from the primary of ``term``; at a primary, the time since a majority last answered it.
    ``leaving`` means that the server wants no new work. ``open_transactions`` counts the
    transactions that a change of primary would abort.
    """

    backend: BackendId
    service: ServiceName
    role: InstanceRole
    term: Term
    proposer: str
    received: LogPosition
    committed: LogPosition
    applied: LogPosition
    silence_ms: ComputedMilliseconds
    leaving: bool
    connections_used: CounterValue
    connections_limit: CounterValue
    peers: tuple[ReplicaProgress, ...] = ()
    open_transactions: CounterValue = 0
