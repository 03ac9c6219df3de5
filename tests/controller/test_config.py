import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from hickorywind.configuration.acceptance import ChangeEnvelope, ChangeId, encode_envelope
from hickorywind.configuration.model import (
    Account,
    Configuration,
    Instance,
    RankPolicy,
    Service,
    Zone,
)
from hickorywind.controller.config import ConfigRecordBuilder, head_revision
from hickorywind.ids import AvailabilityZone, BackendId, Rank, Region, Revision, ServiceName
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import ConfigRecord
from hickorywind.store.interface import StoredValue

RANKS = tuple(RankPolicy(rank, 10) for rank in Rank)


def configuration(*services, slots=3):
    return Configuration(
        "test",
        (Zone(AvailabilityZone("a"), Region("r")),),
        tuple(
            Service(
                ServiceName(name),
                (
                    Instance(
                        BackendId(f"{name}-1"),
                        AvailabilityZone("a"),
                        f"127.0.0.1:{7000 + ord(name[0])}",
                        slots,
                        20,
                    ),
                ),
                RANKS,
            )
            for name in services
        ),
    )


def stored(revision, document):
    envelope = ChangeEnvelope(
        change_id=ChangeId(f"c{revision}"),
        author="a",
        note="n",
        reviewed_revision=Revision(0),
        recent_changes=(),
        document=document,
    )
    return StoredValue("/hickorywind/config", encode_envelope(envelope), Revision(revision))


def merge_stored(builder, directory, value):
    records = builder.build_records(value, directory.table)
    directory.merge(records)
    return records


class ConfigRecordBuilderTest(unittest.TestCase):
    def setUp(self):
        self.builder = ConfigRecordBuilder()
        self.directory = Directory()

    def test_change_of_one_service_yields_one_section_and_a_head_record(self):
        merge_stored(self.builder, self.directory, stored(5, configuration("p", "q", "r")))
        self.assertEqual(self.directory.revision, 5)
        changed = configuration("p", "q", "r")
        service = msgspec.structs.replace(
            changed.services[1], ranks=(RankPolicy(Rank.URGENT, 20), *RANKS[1:])
        )
        services = (changed.services[0], service, changed.services[2])
        changed = msgspec.structs.replace(changed, services=services)
        records = merge_stored(self.builder, self.directory, stored(9, changed))
        self.assertEqual([record.key for record in records], ["config/service/q", "config-head"])
        self.assertEqual(self.directory.in_force.configuration, changed)

    def test_change_of_one_account_yields_one_section_and_a_head_record(self):
        crew, office = Account("crew", ("a",)), Account("office", ("b",))
        for revision, accounts, sections in (
            (5, (crew, office), ["main", "service/p", "account/crew", "account/office"]),
            (6, (Account("crew", ("a", "c")), office), ["account/crew"]),
            (7, (office,), ["account/crew"]),
        ):
            document = msgspec.structs.replace(configuration("p"), accounts=accounts)
            records = merge_stored(self.builder, self.directory, stored(revision, document))
            keys = [f"config/{section}" for section in sections]
            self.assertEqual([record.key for record in records], [*keys, "config-head"])
            self.assertEqual(self.directory.in_force.configuration, document)

    def test_stale_read_and_invalid_document_change_nothing(self):
        merge_stored(self.builder, self.directory, stored(9, configuration("p", "q")))
        self.assertEqual(
            merge_stored(self.builder, self.directory, stored(5, configuration("p"))), ()
        )
        other = StoredValue("/hickorywind/config", b"not json", Revision(12))
        self.assertEqual(merge_stored(self.builder, self.directory, other), ())
        invalid = stored(13, configuration("p", "p"))
        self.assertEqual(merge_stored(self.builder, self.directory, invalid), ())
        self.assertEqual(self.directory.revision, 9)

    def test_restarted_watcher_ignores_a_store_read_older_than_its_peers(self):
        merge_stored(self.builder, self.directory, stored(9, configuration("p", "q")))
        fresh, builder = Directory(), ConfigRecordBuilder()
        fresh.merge(self.directory.table.records())
        self.assertEqual(merge_stored(builder, fresh, stored(5, configuration("p"))), ())
        self.assertEqual(fresh.revision, 9)

    def test_section_unknown_to_a_new_watcher_is_removed_on_other_hosts(self):
        merge_stored(self.builder, self.directory, stored(5, configuration("p", "q")))
        fresh, builder = Directory(), ConfigRecordBuilder()
        merge_stored(builder, fresh, stored(9, configuration("p")))
        old = self.directory
        old.merge(fresh.table.records())
        self.assertEqual(old.revision, 5)
        fresh.merge(old.table.records())
        repaired = builder.build_section_repairs(fresh.table)
        self.assertEqual(repaired, (ConfigRecord("service/q", Revision(9), ""),))
        old.merge(repaired)
        self.assertEqual(old.revision, 9)

    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=30), st.randoms())
    def test_revision_in_force_never_goes_back(self, reads, rng):
        names = "pqrstuvwx"
        watchers = [(ConfigRecordBuilder(), Directory()), (ConfigRecordBuilder(), Directory())]
        member = Directory()
        last = 0
        for revision, first in reads:
            builder, directory = watchers[first]
            value = stored(revision, configuration(*names[: revision % 3 + 1]))
            merge_stored(builder, directory, value)
            records = list(directory.table.records())
            rng.shuffle(records)
            member.merge(records[: rng.randint(0, len(records))])
            self.assertGreaterEqual(member.revision, last)
            last = member.revision
        # Exchange all records in both directions, as gossip does eventually.
        for _ in range(3):
            for builder, directory in watchers:
                member.merge(directory.table.records())
                directory.merge(member.table.records())
                directory.merge(builder.build_section_repairs(directory.table))
        self.assertEqual(member.revision, max((revision for revision, _ in reads), default=0))
        self.assertEqual(member.revision, head_revision(member.table))
