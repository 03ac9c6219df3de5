"""Conversion of the stored configuration into records whose revisions never decrease."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from hickorywind.configuration.acceptance import decode_envelope
from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.configuration.validate import require_valid
from hickorywind.ids import Revision
from hickorywind.membership.table import RecordTable
from hickorywind.protocol.records import ConfigHeadRecord, ConfigRecord, Record
from hickorywind.results import UserError
from hickorywind.store.interface import StoredValue

logger = logging.getLogger(__name__)

NO_REVISION = Revision(0)


class ConfigRecordBuilder:
    """Builder of the records by which the record table comes to match the stored configuration.

    Several store watchers may build records of the same revision from different tables. Their
    records agree in content, and ``build_section_repairs`` removes sections that only the table of
    another host still holds.
    """

    def __init__(self) -> None:
        self._revision = NO_REVISION
        self._sections: Mapping[str, str] = {}

    def build_records(self, stored: StoredValue, table: RecordTable) -> tuple[Record, ...]:
        """Return the records that put a stored configuration in force.

        Return none for an invalid document, and none for a revision lower than one seen before,
        which a stale read may return.
        """
        if not stored.value or stored.revision < max(self._revision, head_revision(table)):
            return ()
        if stored.revision == self._revision:
            return ()
        try:
            configuration = decode_envelope(stored.value).document
            require_valid(configuration)
        except UserError as error:
            logger.error(
                "config_refused", extra={"revision": stored.revision, "reason": str(error)}
            )
            return ()
        self._revision = stored.revision
        self._sections = split_sections(configuration)
        return (
            *self._make_changed_records(table),
            *self._make_removal_records(table),
            self._make_head_record(),
        )

    def build_section_repairs(self, table: RecordTable) -> tuple[Record, ...]:
        """Return records that correct sections of the table which differ from the last revision.

        Return none if the head record of the table has another revision.
        """
        if self._revision == NO_REVISION or self._revision != head_revision(table):
            return ()
        return (*self._make_changed_records(table), *self._make_removal_records(table))

    def _make_head_record(self) -> ConfigHeadRecord:
        return ConfigHeadRecord(self._revision, digest_sections(self._sections))

    def _make_changed_records(self, table: RecordTable) -> list[Record]:
        return [
            ConfigRecord(name, self._revision, document)
            for name, document in self._sections.items()
            if not _has_section(table, name, document)
        ]

    def _make_removal_records(self, table: RecordTable) -> list[Record]:
        return [
            ConfigRecord(record.section, self._revision, "")
            for record in table.records()
            if isinstance(record, ConfigRecord)
            and record.document
            and record.section not in self._sections
        ]


def _has_section(table: RecordTable, section: str, document: str) -> bool:
    record = table.get(f"config/{section}")
    return isinstance(record, ConfigRecord) and record.document == document


def head_revision(table: RecordTable) -> Revision:
    """Return the revision of the head record in the table, ``NO_REVISION`` if there is none."""
    head = table.get("config-head")
    return head.revision if isinstance(head, ConfigHeadRecord) else NO_REVISION
