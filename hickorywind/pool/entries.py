"""Know the entries that speak to this pool, also across reconnects, and notice silent ones."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.ids import HostId, Incarnation
from hickorywind.protocol.channel import PeerId
from hickorywind.util.clock import Instant

_SILENCE_LIMIT = timedelta(seconds=2)
_STALL_LIMIT = timedelta(seconds=1)


@dataclass(slots=True)
class _Entry:
    current: PeerId
    last_heard: Instant


class EntryTable:
    """Map the peers of one entry to the first of them, which names the entry in all keys."""

    def __init__(self) -> None:
        self._entries: dict[PeerId, _Entry] = {}
        self._first_of: dict[PeerId, PeerId] = {}
        self._by_identity: dict[tuple[HostId, Incarnation], PeerId] = {}
        self._last_sweep: Instant | None = None

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def names(self) -> tuple[PeerId, ...]:
        """Return the names of all entries that were heard lately."""
        return tuple(self._entries)

    def hear(self, peer: PeerId, now: Instant) -> PeerId:
        """Note a sign of life and return the name of the entry behind a peer."""
        name = self._first_of.setdefault(peer, peer)
        entry = self._entries.get(name)
        if entry is None:
            self._entries[name] = _Entry(peer, now)
        else:
            entry.last_heard = now
        return name

    def identify(self, peer: PeerId, host: HostId, incarnation: Incarnation, now: Instant) -> None:
        """Take in who a peer is; a new connection of a known entry continues the old one."""
        name = self._by_identity.setdefault((host, incarnation), self._first_of.get(peer, peer))
        self._first_of[peer] = name
        if name not in self._entries:
            self._entries[name] = _Entry(peer, now)
        self._entries[name].current = peer
        self._entries[name].last_heard = now
        if peer != name:
            self._entries.pop(peer, None)

    def address_of(self, name: PeerId) -> PeerId:
        """Return the peer through which an entry can be reached now."""
        entry = self._entries.get(name)
        return entry.current if entry is not None else name

    def sweep(self, now: Instant) -> list[PeerId]:
        """Return and forget the entries that fell silent.

        After a pause of this process itself, entries get a new chance to be heard.
        """
        last, self._last_sweep = self._last_sweep, now
        if last is not None and now - last > _STALL_LIMIT:
            for entry in self._entries.values():
                entry.last_heard = now
            return []
        silent = [
            name for name, entry in self._entries.items() if now - entry.last_heard > _SILENCE_LIMIT
        ]
        for name in silent:
            self._forget(name)
        return silent

    def _forget(self, name: PeerId) -> None:
        del self._entries[name]
        self._first_of = {peer: first for peer, first in self._first_of.items() if first != name}
        kept = {identity: first for identity, first in self._by_identity.items() if first != name}
        self._by_identity = kept
