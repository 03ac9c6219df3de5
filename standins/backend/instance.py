"""State of one instance: group member, database, write lock, slots and sessions."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Hashable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Protocol

from hickorywind.groups.status import BackendStatus
from hickorywind.ids import EMPTY_LOG, InstanceRole, LogPosition, Term
from standins.backend.database import Connection, Database
from standins.backend.log import Journal
from standins.backend.member import Member
from standins.backend.replication import ChangeSignal, wait_with_timeout
from standins.backend.settings import BackendSettings

logger = logging.getLogger(__name__)

JOURNAL_NAME = "journal.msgpack"
_CONTROL_CONNECTION_LIMIT = 8
_IDLE_WAIT_S = 1.0
_APPLY_BATCH_ENTRIES = 200
_DESCRIPTIONS_LIMIT = 2_000


class SessionHandle(Protocol):
    """Interface through which an instance cancels or aborts a session."""

    is_control: bool
    secret_key: bytes

    @property
    def holds_write_lock(self) -> bool:
        """Return whether the session has a write transaction open."""
        ...

    def cancel(self) -> None:
        """Cancel the running statement."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class Instance:
    """State that the sessions of one instance share."""

    def __init__(self, settings: BackendSettings, folder: Path) -> None:
        self.settings = settings
        self.change_signal = ChangeSignal()
        self.database = Database(folder, settings.service)
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(settings.slots)
        self.sessions: dict[int, SessionHandle] = {}
        self.leaving = False
        self.apply_lag_ms = settings.apply_lag_ms
        self.applied = EMPTY_LOG
        self.needs_rebuild = False
        self.schema_version = 0
        self.descriptions: dict[Hashable, object] = {}
        self._threads = ThreadPoolExecutor(settings.connections + _CONTROL_CONNECTION_LIMIT + 2)
        self._applier = Connection(self.database)
        self.member = self._load_member()
        self.database.create(0)

    def _load_member(self) -> Member:
        path = Path(self.settings.data_dir) / JOURNAL_NAME if self.settings.data_dir else None
        records = list(Journal.read(path)) if path else []
        journal = Journal.open(path) if path else Journal(None)
        others = tuple(peer.backend for peer in self.settings.other_peers)
        member = Member(self.settings.backend, others, time.monotonic, journal)
        member.ship_lag_ms = self.settings.ship_lag_ms
        member.on_change = self.change_signal.notify
        member.on_step_down = self._handle_step_down
        for record in records:
            member.restore(record)
        if not records:
            member.bootstrap(self.settings.initial_primary)
        return member

    async def run_blocking(self, function: Callable, *arguments: object) -> object:
        """Run a blocking function in a worker thread and return its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, function, *arguments)

    def clear_descriptions(self) -> None:
        """Discard the cached statement descriptions after a schema change."""
        self.schema_version += 1
        self.descriptions.clear()

    def cache_description(self, key: Hashable, description: object) -> None:
        """Cache the description of a statement; a full cache is emptied first."""
        if len(self.descriptions) >= _DESCRIPTIONS_LIMIT:
            self.descriptions.clear()
        self.descriptions[key] = description

    def _handle_step_down(self, diverged: bool) -> None:
        logger.info("stepped_down", extra={"term": self.member.term, "diverged": diverged})
        self.needs_rebuild = self.needs_rebuild or diverged
        for session in list(self.sessions.values()):
            if session.holds_write_lock:
                session.abort()
        self.change_signal.notify()

    @property
    def accepts_writes(self) -> bool:
        """Return whether the instance is the primary."""
        return self.member.role is InstanceRole.PRIMARY

    def has_free_connection(self, is_control: bool) -> bool:
        """Return whether the connection limit, of control or other sessions, allows one more."""
        used = sum(1 for session in self.sessions.values() if session.is_control == is_control)
        return used < (_CONTROL_CONNECTION_LIMIT if is_control else self.settings.connections)

    def status(self) -> BackendStatus:
        """Return the instance's status as the platform reports it."""
        member = self.member
        return BackendStatus(
            backend=self.settings.backend,
            service=self.settings.service,
            role=member.role,
            term=member.term,
            proposer=member.proposer,
            received=member.log.last,
            committed=member.committed,
            applied=self.applied,
            silence_ms=round(member.silence_ms, 1),
            leaving=self.leaving,
            connections_used=sum(1 for s in self.sessions.values() if not s.is_control),
            connections_limit=self.settings.connections,
            peers=member.progress(),
            open_transactions=sum(1 for s in self.sessions.values() if s.in_transaction),
        )

    async def wait_committed(self, position: LogPosition, timeout_s: float) -> None:
        """Wait until a position is committed, the term changes or the timeout ends."""
        term = self.member.term
        end_s = time.monotonic() + timeout_s
        while True:
            change_event = self.change_signal.current()
            left_s = end_s - time.monotonic()
            done = self.member.committed.contains(position) or self.member.term != term
            if done or left_s <= 0:
                return
            await wait_with_timeout(change_event, left_s)

    async def promote(self, term: Term, proposer: str) -> None:
        """Apply the whole log and become the primary; raise ``RefusedError`` for another term."""
        self.member.check_promotion(term, proposer)
        async with self.write_lock:
            self.member.check_promotion(term, proposer)
            if self.accepts_writes:
                return
            if self.needs_rebuild:
                await self._rebuild()
            await self._apply_to(self.member.log.last.offset)
            self.member.check_promotion(term, proposer)
            position = self.member.become_primary()
            await self.run_blocking(self._applier.apply, (), position)
            self.applied = position
        logger.info("promoted", extra={"term": term, "position": str(position)})

    async def run_applier(self) -> None:
        """Apply committed log entries at a replica until cancelled."""
        while True:
            change_event = self.change_signal.current()
            wait_s = await self._apply_due()
            await wait_with_timeout(change_event, wait_s)

    async def _apply_due(self) -> float:
        if self.accepts_writes or not (self.needs_rebuild or self._apply_target()[0]):
            return self._apply_target()[1]
        async with self.write_lock:
            if self.accepts_writes:
                return 0.0
            if self.needs_rebuild:
                await self._rebuild()
            await self._apply_to(self._apply_target()[0])
        return self._apply_target()[1]

    def _apply_target(self) -> tuple[int, float]:
        """Return the offset up to which entries are due (0: none) and the seconds to wait."""
        lag_s = self.apply_lag_ms / 1000
        now_s = time.monotonic()
        target = 0
        for offset in range(self.applied.offset + 1, self.member.committed_offset + 1):
            due_s = self.member.log.arrival_time(offset) + lag_s
            if due_s > now_s:
                return target, due_s - now_s
            target = offset
            if target - self.applied.offset >= _APPLY_BATCH_ENTRIES:
                return target, 0.0
        return target, _IDLE_WAIT_S

    async def _apply_to(self, target: int) -> None:
        while self.applied.offset < target:
            start = self.applied.offset
            entries = self.member.log.batch_after(start, min(target, start + _APPLY_BATCH_ENTRIES))
            position = self.member.log.position_at(start + len(entries))
            await self.run_blocking(self._applier.apply, entries, position)
            self.applied = position
            if any(entry.changes_schema for entry in entries):
                self.clear_descriptions()

    async def _rebuild(self) -> None:
        """Replay the committed log into a new database file, without uncommitted changes."""
        generation = self.database.generation + 1
        self.applied = EMPTY_LOG
        await self.run_blocking(self.database.create, generation)
        self.database.generation = generation
        self.clear_descriptions()
        await self._apply_to(self.member.committed_offset)
        self.needs_rebuild = False
        logger.info("database_rebuilt", extra={"position": str(self.applied)})
