"""Replication state machine of one group member: terms, log appends and commits.

It uses neither sockets nor threads; time comes from the clock passed as ``now_s``.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from hickorywind.groups.status import ReplicaProgress
from hickorywind.ids import BackendId, InstanceRole, LogPosition, Term
from standins.backend.log import (
    Appended,
    Entry,
    Journal,
    JournalRecord,
    Log,
    TermAccepted,
    Truncated,
)

INITIAL_TERM = Term(1)


class Append(msgspec.Struct, frozen=True, array_like=True):
    """Request to append entries after ``previous``; a request without entries is a heartbeat."""

    term: Term
    primary: BackendId
    previous: LogPosition
    entries: tuple[Entry, ...]
    committed_offset: int
    proposer: str = ""


class AppendAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to an append; up to ``matched_offset`` the log is known to equal the primary's."""

    term: Term
    accepted: bool
    received: LogPosition
    matched_offset: int
    committed_offset: int
    ship_lag_ms: float


class RefusedError(Exception):
    """Refusal of a call by a group member; the message contains the reason."""


@dataclass
class _PeerState:
    next_offset: int = 1
    matched_offset: int = 0
    received: LogPosition = LogPosition(Term(0), 0)
    sent_at_s: float = 0.0
    answered_at_s: float = 0.0
    ship_lag_ms: float = 0.0


class Member:
    """Group member with its log, accepted term and role."""

    def __init__(
        self,
        backend: BackendId,
        peer_ids: tuple[BackendId, ...],
        now_s: Callable[[], float],
        journal: Journal,
    ) -> None:
        self.backend = backend
        self.role = InstanceRole.REPLICA
        self.term = INITIAL_TERM
        self.proposer = ""
        self.log = Log()
        self.committed_offset = 0
        self.ship_lag_ms = 0.0
        self.on_change: Callable[[], None] = lambda: None
        self.on_step_down: Callable[[bool], None] = lambda diverged: None
        self._journal = journal
        self._now_s = now_s
        self._last_heard_s = now_s()
        self._majority = (len(peer_ids) + 1) // 2 + 1
        self._peers = {backend_id: _PeerState() for backend_id in peer_ids}

    def restore(self, record: JournalRecord) -> None:
        """Apply one journal record after a restart."""
        match record:
            case Appended(entry=entry):
                self.log.append(entry, self._now_s())
            case Truncated(offset=offset):
                self.log.truncate(offset)
            case TermAccepted(term=term, proposer=proposer):
                self.term = term
                self.proposer = proposer

    def bootstrap(self, initial_primary: bool) -> None:
        """Enter the first term of a new group."""
        self._record_term(INITIAL_TERM, "")
        if initial_primary:
            self._enter_primary_role()

    @property
    def committed(self) -> LogPosition:
        """Return the position up to which the log is known to be committed by a majority."""
        return self.log.position_at(self.committed_offset)

    @property
    def silence_ms(self) -> float:
        """Return the milliseconds since the last contact with the primary or, at it, a majority."""
        return max(0.0, (self._now_s() - self._last_contact_s()) * 1000)

    def _last_contact_s(self) -> float:
        if self.role is InstanceRole.REPLICA:
            return self._last_heard_s
        needed = self._majority - 1
        if needed == 0:
            return self._now_s()
        answers = sorted((peer.answered_at_s for peer in self._peers.values()), reverse=True)
        return answers[needed - 1]

    def accept_term(self, term: Term, proposer: str, min_silence_ms: float) -> None:
        """Accept a term and thereby refuse all earlier ones; raise ``RefusedError``.

        A call is refused if a term at least as high was accepted from another proposer, or if the
        primary (at the primary: a majority) was heard from within ``min_silence_ms``.
        """
        if (term, proposer) == (self.term, self.proposer):
            return
        unpromised = term == self.term > INITIAL_TERM and self.proposer == ""
        if term <= self.term and not unpromised:
            raise RefusedError(f"term {self.term} of proposer {self.proposer!r} was accepted")
        if self.silence_ms < min_silence_ms:
            raise RefusedError(f"the primary was heard from {self.silence_ms:.0f} ms ago")
        self._record_term(term, proposer)
        self._last_heard_s = self._now_s()
        self._step_down()

    def check_promotion(self, term: Term, proposer: str) -> None:
        """Raise ``RefusedError`` unless this term and proposer were accepted last."""
        if (term, proposer) != (self.term, self.proposer):
            raise RefusedError(f"term {self.term} of proposer {self.proposer!r} was accepted last")

    def become_primary(self) -> LogPosition:
        """Become the primary of the accepted term and append a no-op entry.

        The whole log must have been applied.
        """
        self._enter_primary_role()
        return self.append(Entry(self.term))

    def _enter_primary_role(self) -> None:
        self.role = InstanceRole.PRIMARY
        now_s = self._now_s()
        for peer in self._peers.values():
            peer.next_offset = self.log.last.offset + 1
            peer.matched_offset = 0
            peer.answered_at_s = now_s
        self.on_change()

    def append(self, entry: Entry) -> LogPosition:
        """Append an entry at the primary and return its position."""
        position = self._store(entry)
        self._advance_commit()
        self.on_change()
        return position

    def _store(self, entry: Entry) -> LogPosition:
        self._journal.write(Appended(entry))
        return self.log.append(entry, self._now_s())

    def _record_term(self, term: Term, proposer: str) -> None:
        self._journal.write(TermAccepted(term, proposer))
        self.term = term
        self.proposer = proposer

    def _step_down(self) -> None:
        was_primary = self.role is InstanceRole.PRIMARY
        self.role = InstanceRole.REPLICA
        if was_primary:
            self.on_step_down(self.log.last.offset > self.committed_offset)
        self.on_change()

    def _adopt_term(self, term: Term, proposer: str = "") -> None:
        if term > self.term:
            self._record_term(term, proposer)
            self._last_heard_s = self._now_s()
            self._step_down()

    def build_append(self, peer_id: BackendId) -> Append:
        """Build the next append request for a peer."""
        peer = self._peers[peer_id]
        peer.sent_at_s = self._now_s()
        end = self._sendable_end(peer)
        previous = self.log.position_at(peer.next_offset - 1)
        entries = self.log.batch_after(peer.next_offset - 1, end)
        return Append(
            self.term, self.backend, previous, entries, self.committed_offset, self.proposer
        )

    def has_entries_for(self, peer_id: BackendId) -> bool:
        """Return whether there are entries that can be sent to a peer now."""
        peer = self._peers[peer_id]
        return peer.next_offset <= self._sendable_end(peer)

    def _sendable_end(self, peer: _PeerState) -> int:
        end = self.log.last.offset
        newest_s = self._now_s() - peer.ship_lag_ms / 1000
        while end >= peer.next_offset and self.log.arrival_time(end) > newest_s:
            end -= 1
        return end

    def receive_append(self, message: Append) -> AppendAnswer:
        """Append the primary's entries, truncating conflicting ones; raise ``RefusedError``."""
        if message.term < self.term:
            return self._build_answer(accepted=False, matched_offset=0)
        self._adopt_term(message.term, message.proposer)
        if self.role is InstanceRole.PRIMARY:
            raise RefusedError(f"two primaries in term {self.term}")
        self._last_heard_s = self._now_s()
        if not self.log.contains(message.previous):
            return self._build_answer(accepted=False, matched_offset=0)
        for offset, entry in enumerate(message.entries, message.previous.offset + 1):
            self._append_received(offset, entry)
        matched_offset = message.previous.offset + len(message.entries)
        committed_offset = min(message.committed_offset, matched_offset)
        if committed_offset > self.committed_offset:
            self.committed_offset = committed_offset
            self.on_change()
        return self._build_answer(accepted=True, matched_offset=matched_offset)

    def _append_received(self, offset: int, entry: Entry) -> None:
        if offset <= self.log.last.offset:
            if self.log.entry_at(offset).term == entry.term:
                return
            self._journal.write(Truncated(offset - 1))
            self.log.truncate(offset - 1)
        self._store(entry)

    def _build_answer(self, accepted: bool, matched_offset: int) -> AppendAnswer:
        return AppendAnswer(
            self.term,
            accepted,
            self.log.last,
            matched_offset,
            self.committed_offset,
            self.ship_lag_ms,
        )

    def receive_answer(self, peer_id: BackendId, term: Term, answer: AppendAnswer) -> None:
        """Process a peer's answer to an append request that was sent in ``term``."""
        if answer.term > self.term:
            self._adopt_term(answer.term)
            return
        if self.role is not InstanceRole.PRIMARY or term != self.term:
            return
        peer = self._peers[peer_id]
        # The answer may have stayed unread while this process was paused. It only proves that the
        # peer followed this primary when the append was sent.
        peer.answered_at_s = max(peer.answered_at_s, peer.sent_at_s)
        peer.received = answer.received
        peer.ship_lag_ms = answer.ship_lag_ms
        if answer.accepted:
            peer.matched_offset = answer.matched_offset
            peer.next_offset = answer.matched_offset + 1
            self._advance_commit()
        else:
            peer.matched_offset = 0
            peer.next_offset = self._retry_offset(peer, answer)

    @staticmethod
    def _retry_offset(peer: _PeerState, answer: AppendAnswer) -> int:
        """Return the offset to send from after a rejection.

        It is the end of the peer's log or, if that was rejected, the end of its committed prefix.
        """
        if answer.received.offset + 1 < peer.next_offset:
            return answer.received.offset + 1
        return min(answer.committed_offset + 1, peer.next_offset)

    def _advance_commit(self) -> None:
        matched_offsets = sorted(
            (peer.matched_offset for peer in self._peers.values()), reverse=True
        )
        matched_offsets.insert(0, self.log.last.offset)
        offset = sorted(matched_offsets, reverse=True)[self._majority - 1]
        own_term = offset > 0 and self.log.position_at(offset).term == self.term
        if offset > self.committed_offset and own_term:
            self.committed_offset = offset
            self.on_change()

    def progress(self) -> tuple[ReplicaProgress, ...]:
        """Return how far each peer has received the log; empty at a replica."""
        if self.role is not InstanceRole.PRIMARY:
            return ()
        now_s = self._now_s()
        return tuple(
            ReplicaProgress(peer_id, peer.received, math.ceil((now_s - peer.answered_at_s) * 1000))
            for peer_id, peer in self._peers.items()
        )
