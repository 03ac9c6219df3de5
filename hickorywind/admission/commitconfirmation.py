"""Prove answers of a primary with one call for many: the core of the group commit.

An answer may be released once its log position is committed in the term in which the backend
server was primary when the batch started. Terms only rise, so a later status of the same term and
role shows that the log was not replaced in between. The greatest position that waits is asked for;
its proof releases all that are not beyond it.
"""

from __future__ import annotations

from collections.abc import Hashable, Sequence
from dataclasses import dataclass

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import EMPTY_LOG, InstanceRole, LogPosition, Term
from hickorywind.util.clock import Instant

_PRIMARY_REPLACED = "the primary was replaced before the commit was proved"


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """Ask for the proof of one answer.

    ``term`` is the backend server's term as primary, known before the batch started; ``deadline``
    says when to give up.
    """

    key: Hashable
    position: LogPosition
    term: Term
    deadline: Instant


@dataclass(frozen=True, slots=True)
class WaitCommitted:
    """Order a call of ``platform_wait_committed`` for a position; ``key`` names no request."""

    position: LogPosition
    give_up_at: Instant


@dataclass(frozen=True, slots=True)
class Confirmed:
    """Order the answer of a pending to be released."""

    key: Hashable


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Order the answer of a pending to be ended as unknown."""

    key: Hashable
    reason: str


Action = WaitCommitted | Confirmed | Unconfirmed


class CommitConfirmations:
    """Collect tickets and order at most one call at a time."""

    def __init__(self) -> None:
        self._pending: dict[Hashable, PendingCommit] = {}
        self._is_waiting = False
        self._term = Term(0)
        self._committed = EMPTY_LOG

    @property
    def waiting_count(self) -> int:
        """Return how many answers wait for their proof."""
        return len(self._pending)

    def is_confirmed(self, pending: PendingCommit) -> bool:
        """Tell whether a position is committed by what is known already."""
        same_term = pending.term == self._term and pending.position.term <= self._term
        return same_term and self._committed.offset >= pending.position.offset

    def add(self, pending: PendingCommit, now: Instant) -> Sequence[Action]:
        """Take in an answer that needs a proof."""
        if self.is_confirmed(pending):
            return (Confirmed(pending.key),)
        self._pending[pending.key] = pending
        return (*self.expire(now), *self._start_wait())

    def withdraw(self, key: Hashable) -> None:
        """Forget a pending whose request got its final answer by other ways."""
        self._pending.pop(key, None)

    def observe(self, status: BackendStatus) -> Sequence[Action]:
        """Take in any status of the backend server, asked for or not."""
        if status.role is InstanceRole.PRIMARY and status.term >= self._term:
            self._committed = self._greatest_committed(status)
            self._term = status.term
        actions = [self._resolve(pending, status) for pending in self._pending.values()]
        resolved = [action for action in actions if action is not None]
        for action in resolved:
            del self._pending[action.key]
        return resolved

    def observe_term(self, term: Term) -> Sequence[Action]:
        """Take in from elsewhere that the group is at ``term``: earlier ones prove nothing more."""
        outdated = [pending for pending in self._pending.values() if pending.term < term]
        for pending in outdated:
            del self._pending[pending.key]
        return [Unconfirmed(pending.key, _PRIMARY_REPLACED) for pending in outdated]

    def finish_wait(self, status: BackendStatus | None, now: Instant) -> Sequence[Action]:
        """Take in the end of the ordered call; None where it failed or timed out."""
        self._is_waiting = False
        resolved = self.observe(status) if status is not None else ()
        return (*resolved, *self.expire(now), *self._start_wait())

    def expire(self, now: Instant) -> Sequence[Action]:
        """Give up the tickets whose deadline has passed."""
        expired = [pending for pending in self._pending.values() if pending.deadline <= now]
        for pending in expired:
            del self._pending[pending.key]
        return [
            Unconfirmed(pending.key, "no proof of the commit before the deadline")
            for pending in expired
        ]

    def _greatest_committed(self, status: BackendStatus) -> LogPosition:
        if status.term > self._term:
            return status.committed
        return max(self._committed, status.committed)

    def _start_wait(self) -> Sequence[Action]:
        if self._is_waiting or not self._pending:
            return ()
        self._is_waiting = True
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
