"""Record what concurrent sessions asked and were told.

The workload is list-append: every write appends a unique element to the list of a key and every
read returns the whole list. Such histories show lost, doubled, reordered and stale elements
directly. See Kingsbury and Alvaro, "Elle: Inferring Isolation Anomalies from Experimental
Observations", 2020.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from hickorywind.ids import SessionId
from hickorywind.results import Outcome


@dataclass(frozen=True)
class Append:
    """Record one append of ``element`` to ``key``.

    ``group`` names the transaction where several appends belong to one. Instants come from the
    single clock of the recording process.
    """

    session: SessionId
    key: str
    element: str
    invoked_at: timedelta
    completed_at: timedelta
    outcome: Outcome
    group: str | None = None


@dataclass(frozen=True)
class Read:
    """Record one answered read; ``max_staleness`` is None where any age was accepted.

    ``nonce_sent`` and ``nonce_received`` show whether the answer belongs to this request.
    """

    session: SessionId
    key: str
    elements: tuple[str, ...]
    invoked_at: timedelta
    completed_at: timedelta
    max_staleness: timedelta | None = None
    nonce_sent: str = ""
    nonce_received: str = ""


@dataclass
class History:
    """Collect the operations of one run and the lists found at the primary after it."""

    appends: list[Append] = field(default_factory=list)
    reads: list[Read] = field(default_factory=list)
    final_lists: dict[str, tuple[str, ...]] = field(default_factory=dict)
