import json
import os
import tempfile
import unittest
from pathlib import Path

from hickorywind.membership.directory import Directory
from hickorywind_bench.slopes import configuration, directory, membership
from hickorywind_bench.slopes.groups import measure_placement
from hickorywind_bench.slopes.processes import cpu_seconds, resident_bytes
from hickorywind_bench.slopes.sites import (
    ZONES,
    configuration_records,
    make_configuration,
    make_member,
)
from hickorywind_bench.slopes.table import Row, format_rows, slope_of, write_rows


class TableTest(unittest.TestCase):
    rows = (Row({"hosts": 10, "ms": 1.0}), Row({"hosts": 20, "ms": 3.0, "note": "x"}))

    def test_rows_are_aligned_under_all_columns(self):
        lines = format_rows(self.rows).splitlines()
        self.assertEqual(lines[0].split(), ["hosts", "ms", "note"])
        self.assertEqual(lines[2].split(), ["20", "3", "x"])
        self.assertEqual({len(line) for line in lines}, {len(lines[0])})

    def test_slope_is_that_of_the_least_squares_line(self):
        self.assertAlmostEqual(slope_of(self.rows, "hosts", "ms"), 0.2)
        self.assertEqual(slope_of(self.rows[:1], "hosts", "ms"), 0.0)

    def test_written_rows_include_the_load_average(self):
        with tempfile.TemporaryDirectory() as folder:
            content = json.loads(write_rows("x", self.rows, Path(folder)).read_text())
        self.assertEqual(content["rows"][1], {"hosts": 20, "ms": 3.0, "note": "x"})
        self.assertEqual(len(content["load_average"]), 3)


class ProcessesTest(unittest.TestCase):
    def test_own_process_is_read(self):
        self.assertGreater(resident_bytes(os.getpid()), 1_000_000)
        self.assertAlmostEqual(cpu_seconds(os.getpid()), sum(os.times()[:2]), delta=0.1)


class SitesTest(unittest.TestCase):
    def test_synthetic_records_take_effect_with_homes_in_all_zones(self):
        held = Directory()
        held.merge(configuration_records(make_configuration(14), 3))
        held.merge(make_member(number) for number in range(14))
        self.assertEqual(held.revision, 3)
        zones = {held.home_of(backend).availability_zone for backend in held.backends}
        self.assertEqual(zones, {zone.name for zone in ZONES})

    def test_a_change_of_one_service_is_two_records(self):
        old = make_configuration(20)
        changed = configuration.changed_records(old, configuration.change_one_service(old), 2)
        self.assertEqual(
            [record.key for record in changed], ["config/service/service-000", "config-head"]
        )


class SlopesTest(unittest.TestCase):
    def test_placement_gives_every_group_three_observers(self):
        values = measure_placement(hosts=14, services=28).values
        self.assertAlmostEqual(values["groups_mean"] * 14, 28 * 3)

    def test_directory_slope_moves_the_homes_of_the_lost_host(self):
        (row,) = directory.measure((14,))
        self.assertGreater(row.values["homes_moved"], 0)

    def test_membership_slope_converges_after_each_fault(self):
        (row,) = membership.measure((14,))
        for column in ("crash_known_s", "zone_lost_known_s", "healed_s"):
            self.assertLess(row.values[column], 30, column)
        self.assertGreater(row.values["quiet_bytes_per_s"], 0)


if __name__ == "__main__":
    unittest.main()
