"""Measurement of how small fleets recover from a one-hour partition between regions."""

from __future__ import annotations

import time
from collections.abc import Iterator
from datetime import timedelta

from hickorywind_bench.slopes.membership import cut_regions, heal_regions, start_fleet
from hickorywind_bench.slopes.table import Row

SIZES = (14, 28, 56)
_SPLIT_TIME = timedelta(hours=1)


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of hosts."""
    for hosts in sizes:
        fleet = start_fleet(hosts)
        cut_regions(fleet)
        fleet.sent_bytes = 0
        begin = time.process_time()
        fleet.run(_SPLIT_TIME)
        cpu = time.process_time() - begin
        split_rate = fleet.sent_bytes / hosts / _SPLIT_TIME.total_seconds()
        fleet.sent_bytes = 0
        healed = heal_regions(fleet)
        yield Row(
            {
                "hosts": hosts,
                "apart_bytes_per_s": split_rate,
                "apart_cpu_percent": cpu / hosts / _SPLIT_TIME.total_seconds() * 100,
                "healed_s": healed.total_seconds() if healed else float("nan"),
                "healing_kb": fleet.sent_bytes / hosts / 1_000,
            }
        )
