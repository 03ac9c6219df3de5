import unittest

from hickorywind.failover.leadership import LeadershipPhase, decode_leadership
from hickorywind.failover.succession import Candidate, KnownTerms, ReplicaSurvey
from hickorywind.ids import InstanceRole, LogPosition
from hickorywind.ports.replies import ServerStatus


def primary(name, term, offset):
    return candidate(name, InstanceRole.PRIMARY, term, offset)


def replica(name, term, offset):
    return candidate(name, InstanceRole.REPLICA, term, offset)


def leaving(name, term, offset):
    return candidate(name, InstanceRole.REPLICA, term, offset, is_leaving=True)


def candidate(name, role, term, offset, is_leaving=False):
    return Candidate(name, ServerStatus(role, term, LogPosition(1, offset)), 0.0, is_leaving)


class SuccessionTest(unittest.TestCase):
    def check(self, terms, candidates, expected, ended_term, passed_over=None):
        chosen = terms.choose_successor(candidates, passed_over)
        self.assertEqual(chosen.backend, expected)
        self.assertEqual(terms.ended_term(chosen.status), ended_term)

    def test_without_candidates_none_is_chosen(self):
        self.assertIsNone(KnownTerms(1, 1).choose_successor([]))

    def test_replica_with_the_greatest_position_is_chosen(self):
        self.check(KnownTerms(1, 1), [replica("i-b", 1, 4), replica("i-c", 1, 5)], "i-c", 1)

    def test_of_equal_logs_the_one_that_is_applied_furthest_is_chosen(self):
        def lagging(name, offset, applied):
            applied_position = LogPosition(1, applied)
            status = ServerStatus(InstanceRole.REPLICA, 1, LogPosition(1, offset), applied_position)
            return Candidate(name, status, 0.0)

        self.check(KnownTerms(1, 1), [lagging("i-c", 5, 2), lagging("i-b", 5, 4)], "i-b", 1)
        self.check(KnownTerms(1, 1), [lagging("i-c", 6, 2), lagging("i-b", 5, 5)], "i-c", 1)

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

    def test_leaving_replica_comes_after_one_that_holds_what_was_acknowledged(self):
        candidates = [leaving("i-b", 1, 9), replica("i-c", 1, 5)]
        for acknowledged, expected in ((None, "i-c"), (5, "i-c"), (6, "i-b"), (20, "i-b")):
            position = acknowledged and LogPosition(1, acknowledged)
            with self.subTest(acknowledged=acknowledged):
                chosen = KnownTerms(1, 1).choose_successor(candidates, None, position)
                self.assertEqual(chosen.backend, expected)

    def test_leaving_replica_alone_is_chosen(self):
        self.check(KnownTerms(1, 1), [leaving("i-b", 1, 3)], "i-b", 1)

    def test_preferred_one_comes_first_among_equal_logs_only(self):
        candidates = [replica("i-b", 1, 5), replica("i-c", 1, 6), replica("i-d", 1, 6)]
        for preferred, expected in (("i-b", "i-d"), ("i-c", "i-c"), (None, "i-d")):
            with self.subTest(preferred=preferred):
                chosen = KnownTerms(1, 1).choose_successor(
                    candidates, None, LogPosition(1, 6), preferred
                )
                self.assertEqual(chosen.backend, expected)

    def test_survey_covers_acknowledged_commits_unless_too_many_are_silent(self):
        for silent, sync_replicas, expected in (
            (0, 0, True),
            (2, 0, True),
            (0, 1, True),
            (1, 1, False),
            (1, 2, True),
            (2, 2, False),
        ):
            survey = ReplicaSurvey((), tuple(f"i-{number}" for number in range(silent)))
            with self.subTest(silent=silent, sync_replicas=sync_replicas):
                self.assertEqual(survey.covers_acknowledged(sync_replicas), expected)

    def test_record_of_an_older_process_has_term_0(self):
        record = decode_leadership(b'{"primary":"i-a","phase":"open","change":3}')
        self.assertEqual((record.phase, record.term), (LeadershipPhase.OPEN, 0))
