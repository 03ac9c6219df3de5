"""Measure membership at several fleet sizes: ``python -m tests.membership.slopes 50 150 400``.

Prints per size: time to join, idle bytes and messages per host and second, processor time per
host and second, time until one killed host is dead everywhere, time until one group record is
everywhere, and time until a lost zone (a third of all hosts) is dead everywhere.
"""

import sys
import time
from datetime import timedelta

from hickorywind.ids import BackendId, ServiceName, Term
from hickorywind.protocol.records import GroupRecord
from tests.membership.fleet import Fleet

LIMIT = timedelta(seconds=300)
IDLE = timedelta(seconds=20)


def measure(count):
    fleet = Fleet(count)
    join = fleet.run(LIMIT, fleet.agree)
    fleet.run(timedelta(seconds=30))
    fleet.sent_bytes = fleet.sent_messages = 0
    begin = time.process_time()
    fleet.run(IDLE)
    cpu = (time.process_time() - begin) / IDLE.total_seconds() / count
    idle_bytes = fleet.sent_bytes / IDLE.total_seconds() / count
    idle_messages = fleet.sent_messages / IDLE.total_seconds() / count
    record = GroupRecord(ServiceName("s"), Term(2), BackendId("s-1"))
    fleet.sent_bytes = 0
    fleet.cores[0].publish(fleet.now, (record,))
    cores = fleet.cores.values()
    spread = fleet.run(LIMIT, lambda: all(core.directory.group(ServiceName("s")) for core in cores))
    fleet.run(timedelta(seconds=10))
    fleet.stopped.add(count - 1)
    killed = fleet.run(LIMIT, fleet.agree)
    fleet.run(timedelta(seconds=10))
    fleet.sent_bytes = 0
    fleet.stopped |= {index for index in fleet.running() if index % 3 == 1}
    zone = fleet.run(LIMIT, fleet.agree)
    zone_bytes = fleet.sent_bytes / len(fleet.running())
    print(
        f"hosts={count} join_s={join.total_seconds():.1f} idle_bytes_per_s={idle_bytes:.0f} "
        f"idle_messages_per_s={idle_messages:.2f} cpu_percent={cpu * 100:.3f} "
        f"record_everywhere_s={spread.total_seconds():.2f} "
        f"one_killed_s={killed.total_seconds():.1f} "
        f"zone_lost_s={zone.total_seconds() if zone else float('nan'):.1f} "
        f"zone_lost_bytes_per_host={zone_bytes:.0f}",
        flush=True,
    )


if __name__ == "__main__":
    for size in sys.argv[1:] or ("50", "150", "400"):
        measure(int(size))
