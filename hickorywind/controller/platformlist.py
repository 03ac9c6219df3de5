"""Interpretation of the platform's list of live and leaving hosts, which may be out of date."""

from __future__ import annotations

import logging
from collections.abc import Iterable

import msgspec

from hickorywind.ids import Address, BackendId, Revision
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import LeavingRecord
from hickorywind.store.interface import StoredValue
from hickorywind.util.addresses import parse_address
from hickorywind.util.decoding import MalformedDataError, convert, decode

logger = logging.getLogger(__name__)

LEAVING_STATE = "leaving"


class PlatformEntry(msgspec.Struct, frozen=True):
    """Host in the platform's list; entry hosts may name their controller (``IP:PORT``)."""

    host: str
    state: str
    controller: str | None = None


_entry_decoder = msgspec.json.Decoder(PlatformEntry)


class PlatformList:
    """Source of hints from the platform's list: controllers to contact and leaving backend servers.

    Each revision of an entry is used once, so that it doesn't override later reports of the
    backend server itself.
    """

    def __init__(self) -> None:
        self._used_revisions: dict[str, Revision] = {}

    def extract_addresses_and_leaving(
        self, entries: Iterable[StoredValue], directory: Directory
    ) -> tuple[tuple[Address, ...], tuple[LeavingRecord, ...]]:
        """Return the addresses of controllers and new records of leaving backend servers."""
        addresses: list[Address] = []
        records: list[LeavingRecord] = []
        for stored in entries:
            entry = _decode(stored)
            if entry is None:
                continue
            address = _controller_address(stored.key, entry)
            if address is not None:
                addresses.append(address)
            if self._used_revisions.get(stored.key) != stored.revision and _is_configured(
                entry, directory
            ):
                self._used_revisions[stored.key] = stored.revision
                records += _leaving_records(entry, directory)
        return tuple(addresses), tuple(records)


def _decode(stored: StoredValue) -> PlatformEntry | None:
    if not stored.value:
        return None
    try:
        return decode(_entry_decoder, stored.value)
    except MalformedDataError as error:
        logger.warning("platform_entry_refused", extra={"key": stored.key, "reason": str(error)})
        return None


def _controller_address(key: str, entry: PlatformEntry) -> Address | None:
    if entry.controller is None or entry.state == LEAVING_STATE:
        return None
    try:
        return convert(entry.controller, parse_address)
    except MalformedDataError as error:
        logger.warning("platform_entry_refused", extra={"key": key, "reason": str(error)})
        return None


def _is_configured(entry: PlatformEntry, directory: Directory) -> bool:
    return directory.instance(BackendId(entry.host)) is not None


def _leaving_records(entry: PlatformEntry, directory: Directory) -> list[LeavingRecord]:
    backend = BackendId(entry.host)
    if entry.state != LEAVING_STATE or directory.is_leaving(backend):
        return []
    previous = directory.table.get(f"leaving/{backend}")
    generation = previous.generation + 1 if isinstance(previous, LeavingRecord) else 1
    return [LeavingRecord(backend, generation, True)]
