import random
import unittest

from hickorywind.ids import Address, AvailabilityZone, BackendId, LogPosition, Term
from hickorywind.membership.directory import Directory
from hickorywind.protocol.records import GroupRecord, LeavingRecord, MemberState
from hickorywind.routing.health import BackendHealth
from hickorywind.routing.session import KnownFloor, NoFloor, UnknownFloor
from hickorywind.routing.targets import Distance, NeedsPrimary, NeedsRead, TargetChooser
from hickorywind.util.clock import ManualClock
from tests.entry.harness import SERVICE, make_configuration, make_directory, make_member

POOLS = {
    zone: Address("127.0.0.1", port) for zone, port in (("adum", 1), ("suame", 2), ("tema", 3))
}
READ = NeedsRead(NoFloor())


class TargetsTest(unittest.TestCase):
    def setUp(self):
        self.directory = make_directory(make_configuration(), POOLS)
        self.health = BackendHealth(ManualClock())

    def choose(self, need, zone="adum", directory: Directory | None = None):
        directory = directory or self.directory
        rng = random.Random(1)
        chooser = TargetChooser(directory, AvailabilityZone(zone), self.health, rng)
        return chooser.choose(directory.service(SERVICE), need)

    def zones(self, need, zone="adum"):
        return [target.backend.split("-")[1] for target in self.choose(need, zone)]

    def test_write_goes_to_the_primary_of_the_newest_term(self):
        (target,) = self.choose(NeedsPrimary())
        self.assertEqual((target.backend, target.term), ("signoffs-adum", 1))
        newer = GroupRecord(SERVICE, Term(2), BackendId("signoffs-suame"))
        self.directory.merge([newer])
        self.directory.merge([GroupRecord(SERVICE, Term(1), BackendId("signoffs-adum"))])
        (target,) = self.choose(NeedsPrimary())
        self.assertEqual((target.backend, target.term), ("signoffs-suame", 2))

    def test_reads_prefer_near_replicas_and_fall_back_to_the_primary(self):
        self.assertEqual(self.zones(READ, "adum"), ["suame", "tema", "adum"])
        self.assertEqual(self.zones(READ, "suame"), ["suame", "tema", "adum"])
        self.assertEqual(self.zones(READ, "tema"), ["tema", "suame", "adum"])
        distances = [target.distance for target in self.choose(READ, "adum")]
        expected = [Distance.SAME_REGION, Distance.OTHER_REGION, Distance.SAME_ZONE]
        self.assertEqual(distances, expected)

    def test_unknown_floor_goes_to_the_primary_only(self):
        self.assertEqual(self.zones(NeedsRead(UnknownFloor())), ["adum"])

    def test_known_floor_is_required_of_every_target(self):
        floor = LogPosition(Term(1), 4)
        floors = {target.floor for target in self.choose(NeedsRead(KnownFloor(floor)))}
        self.assertEqual(floors, {floor})

    def test_leaving_replica_gets_no_reads(self):
        self.directory.merge([LeavingRecord(BackendId("signoffs-suame"), 1, True)])
        self.assertEqual(self.zones(READ), ["tema", "adum"])

    def test_failed_replica_comes_after_others_until_it_recovers(self):
        self.health.record_failure(BackendId("signoffs-suame"))
        self.assertEqual(self.zones(READ), ["tema", "suame", "adum"])
        self.health.record_success(BackendId("signoffs-suame"), 1.0)
        self.assertEqual(self.zones(READ), ["suame", "tema", "adum"])

    def test_of_two_equally_near_replicas_the_faster_comes_first(self):
        same_pool = {zone: POOLS["suame"] for zone in ("suame", "tema")}
        directory = make_directory(make_configuration(), same_pool, BackendId("signoffs-adum"))
        directory.merge([make_member("tema", POOLS["tema"], 2, MemberState.DEAD)])
        for fast, slow in (("suame", "tema"), ("tema", "suame")):
            self.health = BackendHealth(ManualClock())
            self.health.record_success(BackendId(f"signoffs-{slow}"), 20.0)
            self.health.record_success(BackendId(f"signoffs-{fast}"), 2.0)
            first = self.choose(READ, "suame", directory)[0]
            self.assertEqual(first.backend, f"signoffs-{fast}")

    def test_home_moves_when_its_host_dies(self):
        self.directory.merge([make_member("suame", POOLS["suame"], 1, MemberState.DEAD)])
        target = next(t for t in self.choose(READ) if t.backend == "signoffs-suame")
        self.assertIn(target.pool, (POOLS["adum"], POOLS["tema"]))

    def test_no_known_pools_give_no_targets(self):
        directory = make_directory(make_configuration(), {})
        self.assertEqual(self.choose(NeedsPrimary(), directory=directory), ())
        self.assertEqual(self.choose(READ, directory=directory), ())
