"""Entries connected to this pool and detection of silent ones."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import HostId, Incarnation
from hickorywind.protocol.channel import PeerId
from hickorywind.util.clock import Instant

_SILENCE_LIMIT = timedelta(seconds=2)
_STALL_THRESHOLD = timedelta(seconds=1)


@dataclass(slots=True)
class _Entry:
    current_peer: PeerId
    last_heard_at: Instant
    confirmed_drain_step: int = 0


class EntryTable:
    """Table of the entries that send messages to this pool.

    A peer is one connection of an entry. The first peer of an entry serves as its id in all keys,
    also after the entry has reconnected.
    """

    def __init__(self) -> None:
        self._entries: dict[PeerId, _Entry] = {}
        self._entry_id_of: dict[PeerId, PeerId] = {}
        self._entry_id_by_identity: dict[tuple[HostId, Incarnation], PeerId] = {}
        self._last_check_at: Instant | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entry_ids(self) -> tuple[PeerId, ...]:
        """Return the ids of all entries that are not presumed dead."""
        return tuple(self._entries)

    def record_activity(self, peer: PeerId, now: Instant) -> PeerId:
        """Record that a message arrived from a peer and return the id of its entry."""
        entry_id = self._entry_id_of.setdefault(peer, peer)
        entry = self._entries.get(entry_id)
        if entry is None:
            self._entries[entry_id] = _Entry(peer, now)
        else:
            entry.last_heard_at = now
        return entry_id

    def identify(self, peer: PeerId, host: HostId, incarnation: Incarnation, now: Instant) -> None:
        """Record the host and incarnation of a peer; a reconnected entry keeps its id."""
        entry_id = self._entry_id_by_identity.setdefault(
            (host, incarnation), self._entry_id_of.get(peer, peer)
        )
        self._entry_id_of[peer] = entry_id
        if entry_id not in self._entries:
            self._entries[entry_id] = _Entry(peer, now)
        self._entries[entry_id].current_peer = peer
        self._entries[entry_id].last_heard_at = now
        if peer != entry_id:
            self._entries.pop(peer, None)

    def confirm_drain_step(self, entry_id: PeerId, step: int) -> None:
        """Record that an entry confirmed a step of this pool's drain."""
        if entry_id in self._entries:
            self._entries[entry_id].confirmed_drain_step = step

    def have_confirmed(self, step: int) -> bool:
        """Return whether all entries confirmed a step of this pool's drain."""
        return all(entry.confirmed_drain_step >= step for entry in self._entries.values())

    def peer_of(self, entry_id: PeerId) -> PeerId:
        """Return the current peer of an entry, to which messages for it are sent."""
        entry = self._entries.get(entry_id)
        return entry.current_peer if entry is not None else entry_id

    def remove_silent(self, now: Instant) -> list[PeerId]:
        """Remove the entries that were silent for too long and return their ids.

        After a stall of this process the silence is measured anew, because messages of entries may
        have gone unread during the stall.
        """
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is not None and now - last_check_at > _STALL_THRESHOLD:
            for entry in self._entries.values():
                entry.last_heard_at = now
            return []
        silent = [
            entry_id
            for entry_id, entry in self._entries.items()
            if now - entry.last_heard_at > _SILENCE_LIMIT
        ]
        for entry_id in silent:
            self._remove(entry_id)
        return silent

    def _remove(self, entry_id: PeerId) -> None:
        del self._entries[entry_id]
        self._entry_id_of = {
            peer: other_id for peer, other_id in self._entry_id_of.items() if other_id != entry_id
        }
        kept = {
            identity: other_id
            for identity, other_id in self._entry_id_by_identity.items()
            if other_id != entry_id
        }
        self._entry_id_by_identity = kept
