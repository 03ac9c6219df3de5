"""How many connections to a backend server a host holds, and how long it keeps idle ones.

Answers the load of a large fleet: more hosts than connections. If each host kept one connection
that it seldom uses, the server would refuse those that need one. If each closed it after every
statement, the server would spend its slots on new connections. So each host keeps idle connections
for as long as it holds its even share on average: at a rate of r statements a second and a timeout
of t it holds about r * t connections. Refusals at the limit shorten the timeout for a while.

And that of a whole fleet that starts at once after a power cut, while servers still count the
connections of its former processes: hosts keep half of the limit free, and begin with few.
"""

from __future__ import annotations

import math
from datetime import timedelta

from hickorywind.util.clock import Instant

# From this even share on, a host keeps its last connection: all of them take half of the limit.
KEEP_LAST_SHARE = 2.0
# Of the even share: what a host keeps for long, and what it begins with.
_KEPT_SHARE = 0.5
# In which a started host may hold one connection more; by then the others have their first one.
START_GROWTH_INTERVAL = timedelta(milliseconds=500)
# Load is uneven, so a host may hold this multiple of its even share of the connections.
_MOST_SHARE = 1.3
_MIN_CONNECTION_LIMIT = 2  # regardless of the number of hosts
# For connections up to that part of the even share, and beyond it.
IDLE_TIMEOUT = timedelta(milliseconds=1500)
SURPLUS_IDLE_TIMEOUT = timedelta(milliseconds=600)
# A home has a part of the limit for itself, and few of its connections serve one client account.
HOME_IDLE_TIMEOUT = timedelta(seconds=10)
MIN_IDLE_TIMEOUT = timedelta(milliseconds=40)  # the next waiting statement takes it in this time
# Of the even share. Operations at the primary hold a connection for several round trips between
# regions, and transactions for as long as their callers rest, so most of the limit is left to them.
_KEPT_FRACTION = 0.25
_RATE_WINDOW_S = 5.0  # smooths the uneven arrivals of one host's few statements
_DECREASE = 0.5  # factor after a refusal
_DECREASE_INTERVAL = timedelta(milliseconds=250)  # refusals within it count once
_GROWTH_PER_SECOND = 0.25  # of the lowered factor, while there is no refusal


def connection_limit(even_share: float, running_for: timedelta) -> int:
    """Return how many connections to one server a host may hold.

    A host that has just started leaves room for the others, which may have started with it while
    the server still keeps the connections of their former processes.
    """
    first = max(1, int(even_share * _KEPT_SHARE))
    most = max(_MIN_CONNECTION_LIMIT, round(even_share * _MOST_SHARE))
    return min(most, first + running_for // START_GROWTH_INTERVAL)


class IdleRetention:
    """Idle timeouts of one host's connections to one backend server.

    ``even_share`` is the part of the server's connection limit that hosts share, divided by their
    number. A home of the server runs the reads of all hosts, and keeps its connections for longer.
    """

    def __init__(self) -> None:
        self.even_share = KEEP_LAST_SHARE
        self.is_home = False
        self._uses = 0.0  # within the rate window, older ones weigh less
        self._used_at: Instant | None = None
        self._factor = 1.0
        self._refused_at: Instant | None = None

    @property
    def is_scarce(self) -> bool:
        """Whether the hosts can't keep a connection each."""
        return not self.is_home and self.even_share < KEEP_LAST_SHARE

    def record_use(self, now: Instant) -> None:
        """Count a statement that took a connection."""
        self._uses = self._recent_uses(now) + 1.0
        self._used_at = now

    def _recent_uses(self, now: Instant) -> float:
        if self._used_at is None:
            return 0.0
        return self._uses * math.exp(-(now - self._used_at).total_seconds() / _RATE_WINDOW_S)

    def record_refusal(self, now: Instant) -> None:
        """Shorten the timeout after the server refused a connection at its limit."""
        if self._refused_at is not None and now < self._refused_at + _DECREASE_INTERVAL:
            return
        self._factor = self._grown_factor(now) * _DECREASE
        self._refused_at = now

    def _grown_factor(self, now: Instant) -> float:
        if self._refused_at is None:
            return self._factor
        seconds = (now - self._refused_at).total_seconds()
        return min(1.0, self._factor * (1 + _GROWTH_PER_SECOND * seconds))

    def _scarce_timeout(self, now: Instant) -> timedelta:
        rate_per_s = max(1.0, self._recent_uses(now)) / _RATE_WINDOW_S
        timeout = timedelta(seconds=_KEPT_FRACTION * self.even_share / rate_per_s)
        return max(MIN_IDLE_TIMEOUT, min(IDLE_TIMEOUT, timeout) * self._grown_factor(now))

    def should_close(self, idle_since: Instant, open_count: int, now: Instant) -> bool:
        """Return whether to close an idle connection while ``open_count`` are open."""
        if self.is_home:
            return now > idle_since + HOME_IDLE_TIMEOUT
        if self.is_scarce:
            return now >= idle_since + self._scarce_timeout(now)
        kept_count = max(1, int(self.even_share * _KEPT_SHARE))
        timeout = SURPLUS_IDLE_TIMEOUT if open_count > kept_count else IDLE_TIMEOUT
        return open_count > 1 and now > idle_since + timeout
