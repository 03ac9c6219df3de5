import unittest
from datetime import timedelta

import msgspec

from hickorywind.configuration.difference import Change, ChangeKind, compare, format_changes
from tests.configuration.samples import (
    make_account_configuration,
    make_builders,
    make_configuration,
)


class DifferenceTest(unittest.TestCase):
    def test_equal_configurations(self):
        self.assertEqual(compare(make_configuration(), make_configuration()), ())

    def test_change_paths_name_items_by_identity_not_by_index(self):
        system, service = make_builders()
        service.instance("ledger-0", "a", "127.0.0.1:1999", 3, 20)
        service.transactions(open_limit=4)
        service.read_kind("stock", timedelta(seconds=2))
        changes = compare(make_configuration(), system.build())
        path = "services[ledger]"
        self.assertEqual(
            [(change.kind, change.path) for change in changes],
            [
                (ChangeKind.ADDED, f"{path}.instances[ledger-0]"),
                (ChangeKind.ADDED, f"{path}.read_kinds[stock]"),
                (ChangeKind.CHANGED, f"{path}.transactions.open_limit"),
            ],
        )
        self.assertIn(f"~ {path}.transactions.open_limit: 8 -> 4\n", format_changes(changes))

    def test_added_item_is_formatted_as_a_yaml_block(self):
        system, service = make_builders()
        service.read_kind("stock", timedelta(seconds=2))
        text = format_changes(compare(make_configuration(), system.build()))
        self.assertEqual(
            text,
            "+ services[ledger].read_kinds[stock]:\n"
            "+     name: stock\n"
            "+     max_staleness_ms: 2000\n",
        )

    def test_removal(self):
        before = make_configuration()
        after = msgspec.structs.replace(before, zones=before.zones[:1])
        removed = Change(ChangeKind.REMOVED, "zones[b]", '{"name":"b","region":"r"}', "")
        self.assertEqual(compare(before, after), (removed,))

    def test_accounts_are_compared_by_user_name_and_value(self):
        before = make_account_configuration()
        archive, workshop = before.accounts
        quota = msgspec.structs.replace(workshop.quota, burst=200)
        changed = msgspec.structs.replace(workshop, users=("Crew", "name"), quota=quota)
        after = msgspec.structs.replace(before, accounts=(changed,))
        path = "accounts[workshop]"
        self.assertEqual(
            [(change.kind, change.path) for change in compare(before, after)],
            [
                (ChangeKind.REMOVED, "accounts[archive]"),
                (ChangeKind.CHANGED, f"{path}.quota.burst"),
                (ChangeKind.ADDED, f"{path}.users[name]"),
                (ChangeKind.REMOVED, f"{path}.users[office]"),
            ],
        )
        paths = [change.path for change in compare(make_configuration(), before)]
        self.assertEqual(paths, ["accounts[archive]", "accounts[workshop]"])

    def test_first_configuration_is_all_added(self):
        kinds = {change.kind for change in compare(None, make_configuration())}
        self.assertEqual(kinds, {ChangeKind.ADDED})
