import unittest

from hickorywind.failover.leadership import LeadershipPhase, decode_leadership
from hickorywind.failover.succession import Candidate, KnownTerms
from hickorywind.ids import InstanceRole, LogPosition
from hickorywind.ports.replies import ServerStatus


def primary(name, term, offset):
    return candidate(name, InstanceRole.PRIMARY, term, offset)


def replica(name, term, offset):
    return candidate(name, InstanceRole.REPLICA, term, offset)


def candidate(name, role, term, offset):
    return Candidate(name, ServerStatus(role, term, LogPosition(1, offset)), 0.0)


class SuccessionTest(unittest.TestCase):
    def check(self, terms, candidates, expected, ended_term, passed_over=None):
        chosen = terms.choose_successor(candidates, passed_over)
        self.assertEqual(chosen.backend, expected)
        self.assertEqual(terms.ended_term(chosen.status), ended_term)

    def test_without_candidates_none_is_chosen(self):
        self.assertIsNone(KnownTerms(1, 1).choose_successor([]))

    def test_replica_with_the_greatest_position_is_chosen(self):
        self.check(KnownTerms(1, 1), [replica("i-b", 1, 4), replica("i-c", 1, 5)], "i-c", 1)

    def test_claim_of_an_old_term_comes_after_any_replica(self):
        self.check(KnownTerms(2, 2), [primary("i-a", 1, 9), replica("i-b", 2, 4)], "i-b", 2)

    def test_claim_of_an_old_term_alone_is_chosen_and_needs_a_new_term(self):
        self.check(KnownTerms(2, 2), [primary("i-a", 1, 9)], "i-a", 2)

    def test_claim_of_the_recorded_term_is_preferred_only_with_a_greater_position(self):
        terms = KnownTerms(1, 1)
        self.check(terms, [primary("i-d", 1, 5), replica("i-b", 1, 5)], "i-b", 1)
        self.check(terms, [primary("i-d", 1, 6), replica("i-b", 1, 5)], "i-d", 1)
        self.check(terms, [primary("i-d", 1, 6), replica("i-b", 1, 5)], "i-b", 1, "i-d")

    def test_leader_of_an_unused_newest_term_is_chosen_in_that_term(self):
        self.check(KnownTerms(1, 2), [primary("i-b", 2, 4), replica("i-c", 2, 5)], "i-b", 1)

    def test_leader_of_the_newest_term_is_not_trusted_if_the_used_term_is_unknown(self):
        self.check(KnownTerms(0, 1), [primary("i-a", 1, 9)], "i-a", 1)

    def test_record_of_an_older_process_has_term_0(self):
        record = decode_leadership(b'{"primary":"i-a","phase":"open","change":3}')
        self.assertEqual((record.phase, record.term), (LeadershipPhase.OPEN, 0))
