import random
import unittest
from datetime import timedelta
from unittest import mock

from hickorywind.failover.leadership import HostRecord
from hickorywind.ids import Address, Incarnation
from hickorywind.membership import peertable
from hickorywind.membership.neighbours import choose_neighbours
from hickorywind.membership.peertable import (
    ALIVE_WINDOW,
    EXPECTED_WINDOW,
    REPORT_LIFETIME,
    SILENT_AFTER,
    ZONE_ANSWER_WINDOW,
    ZONE_SILENCE_LIMIT,
    PeerTable,
)
from hickorywind.protocol.messages import PeerReport

FLEET_SIZE = 60
ZONE_COUNT = 6
SECOND = timedelta(seconds=1)


class HandClock:
    def __init__(self):
        self.time = timedelta(seconds=1000)

    def now(self):
        return self.time


def zone_of(number):
    return f"z{number % ZONE_COUNT}"


class PeerTableTest(unittest.TestCase):
    """A host among 60, of which it greets eight."""

    def setUp(self):
        self.clock = HandClock()
        self.table = PeerTable("h0", "z0", self.clock)
        for number in range(1, FLEET_SIZE):
            address = Address("127.0.0.1", number)
            self.table.add(HostRecord(f"h{number}", Incarnation(1), zone_of(number), address, 1))
        self.greeted = self.table.update_neighbours()

    def pass_time(self, duration, silent=()):
        """Let time pass in which the greeted hosts answer each second, without the silent ones."""
        end = self.clock.time + duration
        while self.clock.time < end:
            self.clock.time += min(SECOND, end - self.clock.time)
            for host in self.table.update_neighbours():
                if host in silent or zone_of(int(host[1:])) in silent:
                    self.table.states[host].missed_greetings += 1
                else:
                    self.table.record_heard(host)

    def unheard(self):
        return next(host for host in self.table.states if host not in self.greeted)

    def report(self, host, silent_ms=3000, is_leaving=False, age_ms=0, incarnation=1):
        report = PeerReport(host, Incarnation(incarnation), silent_ms, is_leaving, age_ms)
        self.table.record_reports([report])

    def silent(self):
        return {record.host for record in self.table.silent_hosts()}

    def test_hosts_that_are_not_greeted_are_alive_without_a_report(self):
        self.pass_time(30 * SECOND)
        self.assertEqual(len(self.table.alive()), FLEET_SIZE - 1)
        self.assertEqual(self.table.silent_hosts(), ())
        self.assertTrue(self.table.sees_majority())

    def test_silent_neighbour_is_noticed_and_reported(self):
        lost = sorted(self.greeted)[0]
        self.pass_time(SILENT_AFTER + SECOND, {lost})
        self.assertEqual(self.silent(), {lost})
        (report,) = self.table.make_reports()
        self.assertEqual((report.host, report.age_ms), (lost, 0))
        self.assertGreaterEqual(report.silent_ms, SILENT_AFTER.total_seconds() * 1000)

    def test_report_of_a_silent_host_holds_until_it_is_no_longer_repeated(self):
        host = self.unheard()
        self.report(host)
        self.assertEqual(self.silent(), {host})
        self.assertNotIn(host, self.table.alive())
        (passed_on,) = self.table.make_reports()
        self.assertEqual(passed_on.host, host)
        self.pass_time(REPORT_LIFETIME)
        self.assertEqual(self.silent(), set())
        self.assertEqual(self.table.make_reports(), ())

    def test_report_that_was_passed_on_does_not_get_younger(self):
        host = self.unheard()
        self.report(host, age_ms=3000)
        self.pass_time(SECOND - timedelta(milliseconds=1))
        (passed_on,) = self.table.make_reports()
        self.assertEqual(passed_on.age_ms, 3999)
        self.report(host, age_ms=passed_on.age_ms)
        self.pass_time(timedelta(milliseconds=1))
        self.assertEqual(self.silent(), set())

    def test_older_report_does_not_replace_a_newer_one(self):
        host = self.unheard()
        self.report(host, silent_ms=None, is_leaving=True, age_ms=0)
        self.report(host, silent_ms=9000, age_ms=500)
        self.assertEqual(self.silent(), set())
        self.assertNotIn(host, self.table.active())

    def test_report_of_another_incarnation_is_ignored(self):
        self.report(self.unheard(), incarnation=2)
        self.assertEqual(self.silent(), set())

    def test_own_hearing_outweighs_reports(self):
        host = sorted(self.greeted)[0]
        self.report(host)
        self.assertEqual(self.silent(), set())

    def test_reported_silence_counts_until_the_permit_has_expired(self):
        host = self.unheard()
        self.report(host, silent_ms=3000)
        self.assertEqual(self.table.expected_count(), FLEET_SIZE - 1)
        self.pass_time(SECOND)
        self.report(host, silent_ms=int(EXPECTED_WINDOW.total_seconds() * 1000) + 1)
        self.assertEqual(self.table.expected_count(), FLEET_SIZE - 2)

    def test_one_lost_neighbour_hides_no_other_host_of_its_zone(self):
        (lost,) = [host for host in self.greeted if zone_of(int(host[1:])) == "z3"]
        self.pass_time(ALIVE_WINDOW + 5 * SECOND, {lost})
        self.assertEqual(len(self.table.alive()), FLEET_SIZE - 2)

    def answer_in_time(self, duration, silent_zone=None):
        until = self.clock.time + duration
        while self.clock.time < until:
            self.clock.time += SECOND / 2
            for host in self.greeted:
                if zone_of(int(host[1:])) != silent_zone:
                    self.table.record_answer(host)

    def test_zone_whose_hosts_stop_answering_together_is_out_of_reach_for_a_while(self):
        self.answer_in_time(2 * SECOND)
        self.assertFalse(self.table.is_zone_out_of_reach("z3"))
        self.answer_in_time(ZONE_ANSWER_WINDOW + SECOND, silent_zone="z3")
        self.assertTrue(self.table.is_zone_out_of_reach("z3"))
        self.assertFalse(self.table.is_zone_out_of_reach("z2"))
        self.answer_in_time(ZONE_SILENCE_LIMIT, silent_zone="z3")
        self.assertFalse(self.table.is_zone_out_of_reach("z3"))

    def test_zone_that_answers_again_is_out_of_reach_until_reports_have_lapsed(self):
        self.answer_in_time(ZONE_ANSWER_WINDOW + SECOND, silent_zone="z3")
        self.answer_in_time(SECOND)
        self.assertTrue(self.table.is_zone_out_of_reach("z3"))
        self.answer_in_time(REPORT_LIFETIME)
        self.assertFalse(self.table.is_zone_out_of_reach("z3"))

    def test_zone_of_few_hosts_may_end_as_a_whole(self):
        for number in range(3 + 2 * ZONE_COUNT, FLEET_SIZE, ZONE_COUNT):
            self.table.remove(f"h{number}")
        self.answer_in_time(ZONE_ANSWER_WINDOW + SECOND, silent_zone="z3")
        self.assertFalse(self.table.is_zone_out_of_reach("z3"))

    def test_host_whose_zone_is_cut_off_sees_no_majority_and_reports_nothing(self):
        self.pass_time(ALIVE_WINDOW + SECOND, {f"z{number}" for number in range(1, ZONE_COUNT)})
        self.assertFalse(self.table.sees_majority())
        self.assertFalse(self.table.is_quorum(len(self.table.voters())))
        self.assertEqual(self.table.make_reports(), ())

    def test_host_that_loses_one_zone_sees_a_majority(self):
        self.pass_time(ALIVE_WINDOW + SECOND, {"z3"})
        self.assertTrue(self.table.sees_majority())
        self.assertTrue(self.table.is_quorum(len(self.table.voters())))
        self.assertEqual(len(self.table.alive()), FLEET_SIZE - 1 - FLEET_SIZE // ZONE_COUNT)

    def test_host_that_hears_nobody_sees_no_host_alive(self):
        self.pass_time(ALIVE_WINDOW + SECOND, {f"z{number}" for number in range(ZONE_COUNT)})
        self.assertEqual(self.table.alive(), ())

    def test_fleet_at_rest_costs_no_work_for_all_of_its_hosts(self):
        alive, active = self.table.alive(), self.table.active()
        with mock.patch.object(peertable, "choose_neighbours") as choose:
            self.pass_time(30 * SECOND)
        self.assertEqual(choose.call_count, 0)
        self.assertIs(self.table.alive(), alive)
        self.assertIs(self.table.active(), active)

    def test_answers_follow_each_change_of_the_fleet(self):
        rng = random.Random(1)
        for _ in range(300):
            number = rng.randrange(1, FLEET_SIZE)
            host, zone = f"h{number}", zone_of(rng.randrange(ZONE_COUNT))
            match rng.randrange(5):
                case 0:
                    self.table.remove(host)
                case 1:
                    address = Address("127.0.0.1", number)
                    self.table.add(HostRecord(host, Incarnation(1), zone, address, 1))
                case 2:
                    self.report(host, rng.choice((None, 3000)), is_leaving=rng.random() < 0.5)
                case _:
                    self.pass_silently(rng.random() * 2, zone)
            self.assert_answers_are_current()

    def pass_silently(self, seconds, zone):
        """Let time pass in which only the greeted hosts of one zone are heard, once."""
        self.clock.time += timedelta(seconds=seconds)
        for host in self.table.update_neighbours():
            state = self.table.states[host]
            if state.record.zone == zone:
                self.table.record_heard(host)
            else:
                state.missed_greetings += 1

    def assert_answers_are_current(self):
        self.table.update_neighbours()
        neighbours = self.table._neighbours
        zones = {host: state.record.zone for host, state in self.table.states.items()}
        chosen = choose_neighbours("h0", "z0", zones, neighbours.unresponsive)
        self.assertEqual(neighbours.hosts, chosen)
        answers = self.table.alive(), self.table.alive(SECOND), self.table.active()
        self.table._forget_answers()
        self.table._active = None
        self.assertEqual(
            answers, (self.table.alive(), self.table.alive(SECOND), self.table.active())
        )


if __name__ == "__main__":
    unittest.main()
