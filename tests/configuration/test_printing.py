import random
import unittest

import msgspec

from hickorywind.configuration.model import Configuration
from hickorywind.configuration.printing import format_document, parse_document
from hickorywind.configuration.sections import join_sections, split_sections
from hickorywind.results import ResultCode, UserError
from tests.configuration.samples import make_account_configuration, make_configuration


def shuffle(value, rng):
    """Return built-in values with every list in a random order."""
    if isinstance(value, dict):
        return {key: shuffle(item, rng) for key, item in value.items()}
    if isinstance(value, list | tuple):
        items = [shuffle(item, rng) for item in value]
        rng.shuffle(items)
        return items
    return value


class PrintingTest(unittest.TestCase):
    def test_same_values_print_as_same_bytes_in_any_order(self):
        configuration = make_account_configuration()
        document = format_document(configuration)
        for seed in range(50):
            mixed = shuffle(msgspec.to_builtins(configuration), random.Random(seed))
            self.assertEqual(format_document(msgspec.convert(mixed, Configuration)), document)

    def test_print_and_parse_are_inverse(self):
        configuration = make_account_configuration()
        document = format_document(configuration)
        self.assertEqual(parse_document(document), configuration)
        self.assertEqual(format_document(parse_document(document)), document)

    def test_joined_sections_equal_the_configuration(self):
        configuration = make_account_configuration()
        sections = split_sections(configuration)
        self.assertEqual(join_sections(sections), configuration)
        removed = {
            name: "" if name.startswith("account/") else text for name, text in sections.items()
        }
        self.assertEqual(join_sections(removed), make_configuration())

    def test_earlier_versions_can_read_a_configuration_without_accounts(self):
        document = format_document(make_configuration())
        self.assertNotIn("accounts", document)
        self.assertIn("limits:", document)
        self.assertNotIn(b"accounts", msgspec.json.encode(make_configuration()))

    def test_strings_that_look_like_other_types_stay_strings(self):
        for name in ("yes", "1", "null", "a: b", "# x", "é", "1e3"):
            configuration = msgspec.structs.replace(make_configuration(), name=name)
            self.assertEqual(parse_document(format_document(configuration)).name, name)

    def test_errors_in_accounts_name_the_key(self):
        document = format_document(make_account_configuration())
        cases = {
            "accounts[0].priority": ("priority: background", "priority: loud"),
            "accounts[1].quota.rate_per_s": ("rate_per_s: 50.0", "rate_per_s: many"),
            "accounts[1].quota.burst": ("burst: 100", "burst: 0.5"),
            "accounts[0].users": ("    users:\n      - reader\n", ""),
            "accounts[1].password": ("    priority: urgent", "    password: x"),
        }
        for part, (old, new) in cases.items():
            self.assertIn(old, document)
            with self.subTest(part), self.assertRaises(UserError) as caught:
                parse_document(document.replace(old, new, 1))
            self.assertEqual(caught.exception.code, ResultCode.CONFIG_INVALID)
            self.assertIn(part, str(caught.exception))

    def test_errors_name_the_key_on_one_line(self):
        document = format_document(make_configuration())
        cases = {
            "services[0].instances[0].slots": ("slots: 3", "slots: three"),
            "services[0].instances[0].colour": ("slots: 3", "slots: 3\n        colour: x"),
            "services[0].ranks[0].rank": ("rank: urgent", "rank: loud"),
            "zones": ("zones:", "places:"),
            "line": ("name: Test", "name: [Test"),
            "twice": ("name: Test", "name: Test\nname: Test"),
        }
        for part, (old, new) in cases.items():
            with self.subTest(part), self.assertRaises(UserError) as caught:
                parse_document(document.replace(old, new, 1))
            self.assertEqual(caught.exception.code, ResultCode.CONFIG_INVALID)
            self.assertIn(part, str(caught.exception).replace("places", "zones"))
            self.assertNotIn("\n", str(caught.exception))
