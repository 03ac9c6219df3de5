import io
import unittest
from datetime import timedelta

from hickorywind.configuration.builder import print_configuration
from hickorywind.configuration.printing import parse_document
from hickorywind.ids import Rank
from hickorywind.results import UserError
from tests.configuration.samples import make_builders, make_configuration


class BuilderTest(unittest.TestCase):
    def test_printed_configuration_reads_back(self):
        stream = io.StringIO()
        print_configuration(make_configuration(), stream)
        self.assertEqual(parse_document(stream.getvalue()), make_configuration())

    def test_durations_are_whole_milliseconds(self):
        _, service = make_builders()
        for duration in (timedelta(microseconds=1500), 5):
            with self.subTest(duration=duration), self.assertRaises(UserError):
                service.read_kind("x", duration)

    def test_wrong_types_are_refused_with_their_key(self):
        system, service = make_builders()
        service.instance("ledger-c", "a", "127.0.0.1:2002", "3", 20)
        with self.assertRaisesRegex(UserError, r"services\[0\].instances\[2\].slots"):
            system.build()

    def test_quota_needs_both_numbers_and_users_are_several(self):
        system, _ = make_builders()
        for users, values in ((["a"], {"rate_per_s": 1}), (["a"], {"burst": 1}), ("crew", {})):
            with self.subTest(values=values), self.assertRaisesRegex(UserError, r"accounts\[x\]"):
                system.account("x", users, **values)
        self.assertEqual(system.build().accounts, ())

    def test_build_names_every_problem(self):
        system, service = make_builders()
        service.rank(Rank.URGENT, 90).instance("ledger-c", "q", "127.0.0.1:2002", 3, 20)
        with self.assertRaises(UserError) as caught:
            system.build()
        for part in ("'urgent' appears 2 times", "160 percent", "'q' is not in zones"):
            self.assertIn(part, str(caught.exception))
