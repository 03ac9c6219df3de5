"""Cost for one host of observing healthy groups: ``python -m tests.failover.slopes 1 4 16``.

Prints for each number of groups the status polls per second (the host is the first observer of a
third of the groups), the interval at which a primary is then polled, and the processor time of the
monitors, without that of the calls themselves.
"""

import random
import sys
import time
from datetime import timedelta

from hickorywind.failover.actions import PollStatus
from hickorywind.failover.group import GroupMonitor, estimate_polls_per_second
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.ids import BackendId, ServiceName
from hickorywind.util.clock import milliseconds
from tests.failover.fakegroup import FakeGroup

TICK = milliseconds(100)
DURATION = timedelta(seconds=60)
INSTANCES = 3


def measure(count):
    policy = FailoverPolicy()
    template = FakeGroup()
    template.run(timedelta(seconds=1))
    statuses = {backend: template.status(backend) for backend in template.backends}
    ranks = [index % INSTANCES for index in range(count)]
    wanted = sum(estimate_polls_per_second(policy, rank, INSTANCES) for rank in ranks)
    monitors = []
    for index, rank in enumerate(ranks):
        monitor = GroupMonitor(
            ServiceName(f"s{index}"),
            [BackendId(backend) for backend in template.backends],
            "o",
            policy,
            random.Random(index),
        )
        monitor.rank = rank
        monitor.slowdown = max(1.0, wanted / policy.polls_per_second)
        monitors.append(monitor)
    now, polls = timedelta(seconds=1), 0
    started = time.process_time()
    while now < DURATION:
        for monitor in monitors:
            for action in monitor.tick(now):
                if isinstance(action, PollStatus):
                    polls += 1
                    monitor.handle_status_answer(now, action.backend, now, statuses[action.backend])
        now += TICK
    seconds = DURATION.total_seconds()
    load = (time.process_time() - started) / seconds
    slowdown = max(1.0, wanted / policy.polls_per_second)
    interval = policy.fast_poll_interval * slowdown
    print(
        f"groups={count} polls_per_s={polls / seconds:.1f} "
        f"primary_interval_ms={interval / milliseconds(1):.0f} core_cpu_percent={load * 100:.3f}",
        flush=True,
    )


if __name__ == "__main__":
    for text in sys.argv[1:] or ("1", "4", "16"):
        measure(int(text))
