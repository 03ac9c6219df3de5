"""Know the entries that speak to this pool, also across reconnects, and notice silent ones."""

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


class EntryTable:
    """Map the peers of one entry to the first of them, which names the entry in all keys."""

    def __init__(self) -> None:
        self._entries: dict[PeerId, _Entry] = {}
        self._entry_id_of: dict[PeerId, PeerId] = {}
        self._entry_id_by_identity: dict[tuple[HostId, Incarnation], PeerId] = {}
        self._last_check_at: Instant | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def entry_ids(self) -> tuple[PeerId, ...]:
        """Return the names of all entries that were heard lately."""
        return tuple(self._entries)

    def record_activity(self, peer: PeerId, now: Instant) -> PeerId:
        """Note a sign of life and return the name of the entry behind a peer."""
        entry_id = self._entry_id_of.setdefault(peer, peer)
        entry = self._entries.get(entry_id)
        if entry is None:
            self._entries[entry_id] = _Entry(peer, now)
        else:
            entry.last_heard_at = now
        return entry_id

    def identify(self, peer: PeerId, host: HostId, incarnation: Incarnation, now: Instant) -> None:
        """Take in who a peer is; a new connection of a known entry continues the old one."""
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

    def peer_of(self, entry_id: PeerId) -> PeerId:
        """Return the peer through which an entry can be reached now."""
        entry = self._entries.get(entry_id)
        return entry.current_peer if entry is not None else entry_id

    def remove_silent(self, now: Instant) -> list[PeerId]:
        """Return and forget the entries that fell silent.

        After a pause of this process itself, entries get a new chance to be heard.
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
