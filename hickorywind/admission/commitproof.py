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

_REPLACED = "the primary was replaced before the commit was proved"


@dataclass(frozen=True, slots=True)
class Ticket:
    """Ask for the proof of one answer.

    ``term`` is the backend server's term as primary, known before the batch started; ``deadline``
    says when to give up.
    """

    key: Hashable
    position: LogPosition
    term: Term
    deadline: Instant


@dataclass(frozen=True, slots=True)
class Ask:
    """Order a call of ``platform_wait_committed`` for a position; ``key`` names no request."""

    position: LogPosition
    give_up: Instant


@dataclass(frozen=True, slots=True)
class Proved:
    """Order the answer of a ticket to be released."""

    key: Hashable


@dataclass(frozen=True, slots=True)
class Unproven:
    """Order the answer of a ticket to be ended as unknown."""

    key: Hashable
    reason: str


Action = Ask | Proved | Unproven


class CommitProofs:
    """Collect tickets and order at most one call at a time."""

    def __init__(self) -> None:
        self._waiting: dict[Hashable, Ticket] = {}
        self._asking = False
        self._term = Term(0)
        self._committed = EMPTY_LOG

    @property
    def waiting_count(self) -> int:
        """Return how many answers wait for their proof."""
        return len(self._waiting)

    def is_proved(self, ticket: Ticket) -> bool:
        """Tell whether a position is committed by what is known already."""
        same_term = ticket.term == self._term and ticket.position.term <= self._term
        return same_term and self._committed.offset >= ticket.position.offset

    def add(self, ticket: Ticket, now: Instant) -> Sequence[Action]:
        """Take in an answer that needs a proof."""
        if self.is_proved(ticket):
            return (Proved(ticket.key),)
        self._waiting[ticket.key] = ticket
        return (*self.expire(now), *self._ask())

    def withdraw(self, key: Hashable) -> None:
        """Forget a ticket whose request got its final answer by other ways."""
        self._waiting.pop(key, None)

    def observe(self, status: BackendStatus) -> Sequence[Action]:
        """Take in any status of the backend server, asked for or not."""
        if status.role is InstanceRole.PRIMARY and status.term >= self._term:
            self._committed = self._greatest_committed(status)
            self._term = status.term
        actions = [self._settle(ticket, status) for ticket in self._waiting.values()]
        settled = [action for action in actions if action is not None]
        for action in settled:
            del self._waiting[action.key]
        return settled

    def learn_term(self, term: Term) -> Sequence[Action]:
        """Take in from elsewhere that the group is at ``term``: earlier ones prove nothing more."""
        old = [ticket for ticket in self._waiting.values() if ticket.term < term]
        for ticket in old:
            del self._waiting[ticket.key]
        return [Unproven(ticket.key, _REPLACED) for ticket in old]

    def call_ended(self, status: BackendStatus | None, now: Instant) -> Sequence[Action]:
        """Take in the end of the ordered call; None where it failed or timed out."""
        self._asking = False
        settled = self.observe(status) if status is not None else ()
        return (*settled, *self.expire(now), *self._ask())

    def expire(self, now: Instant) -> Sequence[Action]:
        """Give up the tickets whose deadline has passed."""
        late = [ticket for ticket in self._waiting.values() if ticket.deadline <= now]
        for ticket in late:
            del self._waiting[ticket.key]
        return [
            Unproven(ticket.key, "no proof of the commit before the deadline") for ticket in late
        ]

    def _greatest_committed(self, status: BackendStatus) -> LogPosition:
        if status.term > self._term:
            return status.committed
        return max(self._committed, status.committed)

    def _ask(self) -> Sequence[Action]:
        if self._asking or not self._waiting:
            return ()
        self._asking = True
        greatest = max(ticket.position for ticket in self._waiting.values())
        give_up = max(ticket.deadline for ticket in self._waiting.values())
        return (Ask(greatest, give_up),)

    def _settle(self, ticket: Ticket, status: BackendStatus) -> Proved | Unproven | None:
        if status.term > ticket.term or status.role is not InstanceRole.PRIMARY:
            return Unproven(ticket.key, _REPLACED)
        if self.is_proved(ticket):
            return Proved(ticket.key)
        return None
