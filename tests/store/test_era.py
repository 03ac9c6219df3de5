import unittest

from hickorywind.store.era import era_of, make_revision, number_of


class EraTest(unittest.TestCase):
    def test_revisions_without_eras_are_the_stores_own(self):
        self.assertEqual(make_revision(46, 0), 46)

    def test_revision_of_a_later_era_is_greater(self):
        self.assertGreater(make_revision(1, 3), make_revision(2**44 - 1, 2))

    def test_parts_are_found_again(self):
        revision = make_revision(46, 7)
        self.assertEqual((era_of(revision), number_of(revision)), (7, 46))

    def test_numbers_out_of_range_are_refused(self):
        for number, era in ((2**44, 1), (-1, 1), (1, 2**19), (1, -1)):
            with self.subTest(number=number, era=era), self.assertRaises(ValueError):
                make_revision(number, era)
