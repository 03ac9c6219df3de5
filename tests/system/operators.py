"""Configuration changes by operators on a running cluster and checks where they apply."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import psycopg

from hickorywind.configuration.acceptance import (
    ChangeEnvelope,
    ChangeId,
    config_key,
    decode_envelope,
    encode_envelope,
)
from hickorywind.configuration.model import Configuration, ReadKind
from hickorywind.configuration.printing import format_document
from hickorywind.ids import Revision, Role
from hickorywind.store.etcd import EtcdStore
from hickorywind_bench.callers import connect_caller
from standins.cluster import Cluster, HostAddresses

_STORE_PREFIX = "/hickorywind"
_IN_FORCE = re.compile(r"event=config_in_force .*revision=(\d+)")
_ACCEPTED = re.compile(r"accepted revision (\d+)")
_POLL_SECONDS = 0.02


@dataclass(frozen=True)
class CommandResult:
    """Exit code and output of a run of the command-line tool."""

    exit_code: int
    text: str
    error: str

    @property
    def revision(self) -> int:
        """Return the accepted revision that the tool printed."""
        return int(_ACCEPTED.search(self.text)[1])


@dataclass(frozen=True)
class Change:
    """Operator's configuration change that adds a kind of read of this name."""

    name: str
    author: str = "ama"


class Operator:
    """Operator who changes the configuration of one cluster."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    async def run(self, *arguments: str) -> CommandResult:
        """Run the command-line tool and return its exit code and output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "hickorywind.ui",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        text, error = await process.communicate()
        return CommandResult(process.returncode, text.decode(), error.decode())

    async def read_accepted_change(self) -> tuple[Revision, ChangeEnvelope]:
        """Read the current revision and change envelope from the store."""
        store = EtcdStore.from_address(self._cluster.store_address, timedelta(seconds=2))
        stored = await store.get(config_key(_STORE_PREFIX))
        await store.close()
        return stored.revision, decode_envelope(stored.value)

    async def apply(self, change: Change, reviewed: int | None = None) -> CommandResult:
        """Apply a change against a reviewed revision, by default the current one."""
        revision, envelope = await self.read_accepted_change()
        document = _with_read_kind(envelope.document, change.name)
        return await self.apply_document(
            change, document, revision if reviewed is None else reviewed
        )

    async def apply_document(
        self, change: Change, document: Configuration, reviewed: int
    ) -> CommandResult:
        """Apply a document against a reviewed revision, under the name of a change."""
        path = self._cluster.folder / f"{change.name}.yaml"
        path.write_text(format_document(document))
        return await self.run(
            "config",
            "apply",
            str(path),
            "--reviewed-revision",
            str(reviewed),
            "--author",
            change.author,
            "--note",
            f"add {change.name}",
            "--store",
            str(self._cluster.store_address),
        )

    async def write_to_store(self, change: Change) -> Revision:
        """Write a change to the store without notifying any daemon; return its revision."""
        revision, envelope = await self.read_accepted_change()
        written = msgspec.structs.replace(
            envelope,
            change_id=ChangeId(change.name),
            reviewed_revision=revision,
            document=_with_read_kind(envelope.document, change.name),
        )
        store = EtcdStore.from_address(self._cluster.store_address, timedelta(seconds=2))
        key = config_key(_STORE_PREFIX)
        result = await store.compare_and_swap(key, revision, encode_envelope(written))
        await store.close()
        return result.revision


def _with_read_kind(document: Configuration, name: str) -> Configuration:
    service = document.services[0]
    read_kinds = (*service.read_kinds, ReadKind(name, 60_000))
    changed = msgspec.structs.replace(service, read_kinds=read_kinds)
    return msgspec.structs.replace(document, services=(changed, *document.services[1:]))


class RevisionWatch:
    """Configuration revisions in force at the daemons of a cluster, read from their logs."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def revisions(self, host: HostAddresses, role: Role, from_byte: int = 0) -> list[int]:
        """Return the revisions that a daemon put in force, in order, from an offset in its log."""
        path = self._cluster.process(f"{role.value}/{host.host}").log_path
        text = path.read_bytes()[from_byte:].decode(errors="replace")
        return [int(number) for number in _IN_FORCE.findall(text)]

    def log_size(self, host: HostAddresses, role: Role) -> int:
        """Return the current size of a daemon's log in bytes."""
        return self._cluster.process(f"{role.value}/{host.host}").log_path.stat().st_size

    def is_in_force_everywhere(self, revision: int) -> bool:
        """Return whether the latest revision of every daemon is this or a later one."""
        latest = [self.revisions(host, role)[-1:] for host in self._cluster.hosts for role in Role]
        return all(numbers and numbers[0] >= revision for numbers in latest)

    async def wait_everywhere(self, revision: int, limit: timedelta) -> timedelta:
        """Wait until a revision is in force at every daemon; return the time it took.

        Raises ``TimeoutError``.
        """
        begin = time.monotonic()
        async with asyncio.timeout(limit.total_seconds()):
            while not self.is_in_force_everywhere(revision):
                await asyncio.sleep(_POLL_SECONDS)
        return timedelta(seconds=time.monotonic() - begin)

    async def find_entries_without(self, change: Change) -> list[HostAddresses]:
        """Return the hosts whose entry rejects the kind of read that a change adds."""
        service = self._cluster.configuration.services[0].name
        missing = []
        for host in self._cluster.hosts:
            async with await connect_caller(host.entry, service) as connection:
                try:
                    await connection.execute(f"/* hickorywind read_kind={change.name} */ SELECT 1")
                except psycopg.errors.InvalidParameterValue:
                    missing.append(host)
        return missing
