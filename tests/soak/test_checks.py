import random
import unittest
from datetime import timedelta

from hickorywind.results import Outcome
from hickorywind_bench.checker import Guarantee
from hickorywind_bench.history import Append, Read
from soak.checks import (
    CONFIG_APPLY_S,
    CutKind,
    CutRequest,
    Disturbances,
    Promise,
    PromiseChecker,
    StallMonitor,
)
from soak.plan import Fault, FaultKind
from soak.platform import LEAVING_S, SoakGroup
from soak.servers import StatementRun
from standins.lineplatform.memorystore import MemoryStore

NOW_S = 50.0


class ChecksTest(unittest.TestCase):
    """Each of the failures that operators told breaks a promise; lawful behaviour breaks none."""

    def setUp(self):
        self.disturbances = Disturbances()
        self.group = SoakGroup(("i-a", "i-b"), MemoryStore(), {}, random.Random(1))
        self.checker = PromiseChecker(self.disturbances, self.group)
        self.checker.now_s = lambda: NOW_S

    def commit(self, server, *elements):
        self.group.servers[server]._commit([("k-0", element) for element in elements])

    def append(self, element, outcome, at_s=1.0):
        at = timedelta(seconds=at_s)
        self.checker.history.appends.append(Append("s", "k-0", element, at, at, outcome))

    def disturb(self, kind, host="h0", at_s=NOW_S - 1):
        return self.disturbances.begin(Fault(kind, 0, 1), host, at_s)

    def cut(self, request_id, sent_s, kind=CutKind.LATE):
        cut = CutRequest("h0", request_id, sent_s - 0.1, sent_s, NOW_S, "closed", kind)
        self.checker.handle_cut_request(cut)

    def expect(self, *promises):
        self.checker.finish()
        found = [finding.promise for finding in self.checker.findings]
        self.assertEqual(set(found), {promise.value for promise in promises}, found)

    def test_kept_history_has_no_finding(self):
        self.commit("i-a", "k:1", "k:2", "k:3")
        self.append("k:1", Outcome.RAN)
        self.append("k:2", Outcome.UNKNOWN)
        self.append("k:4", Outcome.NOT_RUN)
        self.expect()

    def test_work_that_ran_again_after_a_lost_answer(self):
        self.commit("i-a", "k:1", "k:1")
        self.append("k:1", Outcome.UNKNOWN)
        self.expect(Guarantee.AT_MOST_ONCE)

    def test_work_of_a_silent_host_that_ran_at_two_primaries(self):
        self.commit("i-a", "k:1")
        self.commit("i-b", "k:1")
        self.append("k:1", Outcome.UNKNOWN)
        self.expect(Guarantee.AT_MOST_ONCE)

    def test_refusal_of_work_that_ran(self):
        self.commit("i-a", "k:1")
        self.append("k:1", Outcome.NOT_RUN)
        self.expect(Guarantee.NOT_RUN_HOLDS)

    def test_refusal_of_work_that_ran_at_a_replaced_primary(self):
        self.commit("i-b", "k:1")
        self.append("k:1", Outcome.NOT_RUN)
        self.expect(Guarantee.NOT_RUN_HOLDS)

    def test_acknowledgement_by_a_replaced_primary(self):
        self.commit("i-b", "k:1")
        self.append("k:1", Outcome.RAN)
        self.expect(Promise.ONE_PRIMARY_ACKNOWLEDGES)

    def test_acknowledged_write_is_lost(self):
        self.append("k:1", Outcome.RAN)
        self.expect(Guarantee.ACKNOWLEDGED_WRITE_KEPT)

    def test_read_that_lacks_what_was_acknowledged(self):
        self.commit("i-a", "k:1")
        self.append("k:1", Outcome.RAN)
        at = timedelta(seconds=3)
        for session, age_s in (("other", 1.5), ("other", 2.5), ("s", 2.5)):
            read = Read(session, "k-0", (), at, at, timedelta(seconds=age_s))
            self.checker.history.reads.append(read)
        self.expect(Guarantee.MAX_STALENESS, Guarantee.READ_YOUR_WRITES)
        self.assertEqual(len(self.checker.findings), 2)

    def test_promoters_that_share_a_token_or_go_back(self):
        self.checker.handle_promotion("ledger", "h0", 5)
        self.checker.handle_promotion("ledger", "h0", 5)
        self.assertEqual(self.checker.findings, [])
        self.checker.handle_promotion("ledger", "h1", 5)
        self.checker.handle_promotion("ledger", "h1", 4)
        self.assertEqual(len(self.checker.findings), 2)
        self.checker.handle_promotion("archive", "h1", 4)
        self.assertEqual(len(self.checker.findings), 2)  # a duty of its own
        self.checker.handle_promotion("archive", "h0", 4)
        self.assertEqual(len(self.checker.findings), 3)

    def test_planned_stop_that_cuts_an_accepted_request(self):
        self.disturb(FaultKind.HOST_STOPPED)
        self.checker.stalls.tick(NOW_S)
        self.cut("q1", NOW_S - 0.1)
        self.assertEqual(self.checker.findings, [])  # it may have crossed the close
        self.checker.handle_statement(StatementRun("q2", "h0", "i-a", None))
        self.cut("q2", NOW_S - 0.1)
        self.cut("q3", NOW_S - 0.3)
        self.expect(Promise.ACCEPTED_IS_ANSWERED)
        self.assertEqual(len(self.checker.findings), 2)

    def test_time_of_a_cut_means_nothing_while_the_soak_stood_still(self):
        self.disturb(FaultKind.HOST_STOPPED)
        for tick_s in (NOW_S - 1, NOW_S - 0.01):
            self.checker.stalls.tick(tick_s)
        self.cut("q1", NOW_S - 0.3)
        self.cut("q2", NOW_S, CutKind.UNREAD)
        self.expect()

    def test_request_that_is_cut_beside_a_kill_promises_nothing(self):
        self.disturb(FaultKind.HOST_KILLED)
        self.cut("q1", NOW_S - 3)
        self.expect()

    def test_request_that_a_starved_host_had_read_before_it_stopped(self):
        self.disturb(FaultKind.HOST_STARVED)
        self.disturb(FaultKind.HOST_STOPPED)
        self.checker.stalls.tick(NOW_S)
        self.cut("q1", NOW_S, CutKind.READ)
        self.cut("q2", NOW_S, CutKind.UNREAD)
        self.expect(Promise.READ_IS_ANSWERED, Promise.STOP_CROSSES_NO_REQUEST)

    def test_transaction_that_a_stopping_host_ends_early(self):
        for since_s, expected in ((None, 0), (NOW_S - 3.1, 0), (NOW_S - 2.9, 1)):
            self.checker.stopping_since_s = lambda host, since_s=since_s: since_s
            self.checker.handle_ended_transaction("h0")
            self.assertEqual(len(self.checker.findings), expected, since_s)

    def test_killed_host_owes_no_answer(self):
        for kind in (CutKind.READ, CutKind.UNREAD):
            self.cut("q1", NOW_S - 0.1, kind)
        self.checker.handle_kill("h0")
        self.expect()

    def test_server_that_left_is_used_by_a_restarted_host(self):
        run = StatementRun("q1", "h0", "i-a", NOW_S - LEAVING_S - 1)
        self.disturb(FaultKind.HOST_KILLED)
        self.checker.handle_statement(run)
        self.expect(Promise.LEFT_SERVER_UNUSED)

    def test_open_transaction_may_go_on_at_a_server_that_left(self):
        for continues, expected in ((True, 0), (False, 1)):
            run = StatementRun("q1", "h0", "i-a", NOW_S - LEAVING_S - 1, continues)
            self.checker.handle_statement(run)
            self.assertEqual(len(self.checker.findings), expected, continues)

    def test_time_in_which_the_soak_stood_still_is_not_late(self):
        for stalled_s, expected in ((0.6, 0), (0.4, 1)):
            self.checker.stalls = StallMonitor()
            for tick_s in (NOW_S - stalled_s - 0.01, NOW_S - 0.01):
                self.checker.stalls.tick(tick_s)
            self.checker.handle_statement(StatementRun("q1", "h0", "i-a", NOW_S - LEAVING_S - 1))
            self.assertEqual(len(self.checker.findings), expected, stalled_s)

    def test_host_that_can_not_know_of_the_leaving_may_use_the_server(self):
        self.disturb(FaultKind.STORE_SILENT)
        self.checker.handle_statement(StatementRun("q1", "h0", "i-a", NOW_S - LEAVING_S - 1))
        self.expect()

    def test_withdrawn_route_is_served_after_a_restart(self):
        self.disturb(FaultKind.HOST_KILLED)
        changed_s = NOW_S - CONFIG_APPLY_S - 1
        for is_there, answer, expected in (
            (False, "ERROR NODB x", 0),
            (True, "ROW none", 0),
            (True, "ERROR BUSY x", 0),
            (False, "ROW none", 1),
            (True, "ERROR NODB x", 2),
        ):
            self.checker.handle_optional_route("h0", is_there, changed_s, NOW_S, answer)
            self.assertEqual(len(self.checker.findings), expected, (is_there, answer))
