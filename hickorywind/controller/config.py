"""Turn the stored configuration into records, never going back."""

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
    """Compare values read from the store with the record table.

    Several watchers may take in the same revision with different tables; their records agree in
    content, and ``build_repairs`` removes what only another table still record.
    """

    def __init__(self) -> None:
        self._revision = NO_REVISION
        self._sections: Mapping[str, str] = {}

    def build_records(self, stored: StoredValue, table: RecordTable) -> tuple[Record, ...]:
        """Return the records that put a stored value in force.

        Nothing is returned for a revision lower than one seen before, which a stale read may
        give, and for a document that is not valid.
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

    def build_repairs(self, table: RecordTable) -> tuple[Record, ...]:
        """Return records for what the table holds beside the revision taken in here."""
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
    """Return the highest revision that any host is known to have accepted."""
    head = table.get("config-head")
    return head.revision if isinstance(head, ConfigHeadRecord) else NO_REVISION
