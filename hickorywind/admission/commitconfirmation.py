"""Group commit confirmation: one call to the primary confirms the commits of many answers.

An answer is released once its log position is committed in the term in which the backend server
was primary when the batch started. Terms only increase, so a later status with the same term and
role shows that the log was not replaced in between. Each call waits for the greatest pending
position; its result confirms every pending commit up to the position that it reports.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import EMPTY_LOG, InstanceRole, LogPosition, Term
from hickorywind.util.clock import Instant

_PRIMARY_REPLACED = "the primary was replaced before the commit was confirmed"


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """Answer that is held back until the commit at ``position`` is confirmed.

    ``term`` is the term of the backend server as primary, known before the batch started. At
    ``deadline`` the commit is reported as unconfirmed.
    """

    key: Hashable
    position: LogPosition
    term: Term
    deadline: Instant


@dataclass(frozen=True, slots=True)
class WaitCommitted:
    """Order to call ``platform_wait_committed`` for a position and time out at ``give_up_at``."""

    position: LogPosition
    give_up_at: Instant


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Order to release the answer with this key."""

    key: Hashable


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Order to end the answer with this key with an unknown outcome."""

    key: Hashable
    reason: str


Action = WaitCommitted | Confirmed | Unconfirmed


class CommitConfirmations:
    """Pending commits of one backend server; at most one confirming call is in flight."""

    def __init__(self) -> None:
        self._pending: dict[Hashable, PendingCommit] = {}
        self._is_call_in_flight = False
        self._term = Term(0)
        self._committed = EMPTY_LOG

    @property
    def pending_count(self) -> int:
        """Return the number of commits that are not confirmed yet."""
        return len(self._pending)

    def is_confirmed(self, pending: PendingCommit) -> bool:
        """Return whether the statuses observed so far confirm a commit."""
        same_term = pending.term == self._term and pending.position.term <= self._term
        return same_term and self._committed.offset >= pending.position.offset

    def add(self, pending: PendingCommit, now: Instant) -> Sequence[Action]:
        """Add a pending commit; confirm it at once if an observed status already does."""
        if self.is_confirmed(pending):
            return (Confirmed(pending.key),)
        self._pending[pending.key] = pending
        return (*self.expire(now), *self._order_call())

    def withdraw(self, key: Hashable) -> None:
        """Remove the pending commit of a request that was answered in another way."""
        self._pending.pop(key, None)

    def observe(self, status: BackendStatus) -> Sequence[Action]:
        """Record a status of the backend server and resolve the commits that it decides."""
        if status.role is InstanceRole.PRIMARY and status.term >= self._term:
            self._committed = self._greatest_committed(status)
            self._term = status.term
        actions = [self._resolve(pending, status) for pending in self._pending.values()]
        resolved = [action for action in actions if action is not None]
        for action in resolved:
            del self._pending[action.key]
        return resolved

    def observe_term(self, term: Term) -> Sequence[Action]:
        """Record the group's current term; commits of earlier terms can't be confirmed any more."""
        outdated = [pending for pending in self._pending.values() if pending.term < term]
        for pending in outdated:
            del self._pending[pending.key]
        return [Unconfirmed(pending.key, _PRIMARY_REPLACED) for pending in outdated]

    def finish_wait(self, status: BackendStatus | None, now: Instant) -> Sequence[Action]:
        """Record the end of the ordered call; ``status`` is None if it failed or timed out."""
        self._is_call_in_flight = False
        resolved = self.observe(status) if status is not None else ()
        return (*resolved, *self.expire(now), *self._order_call())

    def expire(self, now: Instant) -> Sequence[Action]:
        """End the pending commits whose deadline has passed as unconfirmed."""
        expired = [pending for pending in self._pending.values() if pending.deadline <= now]
        for pending in expired:
            del self._pending[pending.key]
        return [
            Unconfirmed(pending.key, "the commit was not confirmed before the deadline")
            for pending in expired
        ]

    def _greatest_committed(self, status: BackendStatus) -> LogPosition:
        if status.term > self._term:
            return status.committed
        return max(self._committed, status.committed)

    def _order_call(self) -> Sequence[Action]:
        if self._is_call_in_flight or not self._pending:
            return ()
        self._is_call_in_flight = True
        greatest = max(pending.position for pending in self._pending.values())
        give_up_at = max(pending.deadline for pending in self._pending.values())
        return (WaitCommitted(greatest, give_up_at),)

    def _resolve(
        self, pending: PendingCommit, status: BackendStatus
    ) -> Confirmed | Unconfirmed | None:
        if status.term > pending.term or status.role is not InstanceRole.PRIMARY:
            return Unconfirmed(pending.key, _PRIMARY_REPLACED)
        if self.is_confirmed(pending):
            return Confirmed(pending.key)
        return None
