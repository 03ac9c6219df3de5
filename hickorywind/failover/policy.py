"""Set how failures of a primary are detected and how promotions are paced."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.util.clock import milliseconds


@dataclass(frozen=True)
class MajoritySilence:
    """Promote once a majority of the instances has not heard from the primary for a while.

    While a promotion is younger than the policy's rest, ``resting_threshold`` applies. Instances
    are asked to confirm ``confirmed``, which is less: the silences that they see begin at
    different instants, and a lone refusal would waste the attempt.
    """

    threshold: timedelta = milliseconds(300)
    confirmed: timedelta = milliseconds(200)
    resting_threshold: timedelta = milliseconds(1000)


@dataclass(frozen=True)
class FixedTimeout:
    """Promote once this observer has not reached the primary for a fixed time; a baseline."""

    timeout: timedelta = timedelta(seconds=5)


@dataclass(frozen=True)
class FailoverPolicy:
    """Gather the durations of failover.

    ``fast_interval`` is the time between two polls of a primary by its first observer and of all
    instances while something is wrong. ``polls_per_second`` bounds what one host spends on all
    the groups it watches while nothing is wrong. A leaving primary is replaced once pools had
    ``switchover_notice`` to send it no new work and its transactions have ended, at the latest
    after ``switchover_limit``.
    """

    trigger: MajoritySilence | FixedTimeout = MajoritySilence()
    fast_interval: timedelta = milliseconds(100)
    standby_interval: timedelta = milliseconds(500)
    replica_interval: timedelta = milliseconds(1000)
    polls_per_second: float = 12.0
    doubt_after: timedelta = milliseconds(150)
    fresh_for: timedelta = milliseconds(350)
    stagger: timedelta = milliseconds(400)
    jitter: timedelta = milliseconds(100)
    attempt_timeout: timedelta = milliseconds(1200)
    promote_timeout: timedelta = timedelta(seconds=4)
    backoff_min: timedelta = milliseconds(200)
    backoff_max: timedelta = timedelta(seconds=2)
    rest: timedelta = timedelta(seconds=5)
    pause_limit: timedelta = milliseconds(500)
    switchover_retry: timedelta = timedelta(seconds=5)
    switchover_notice: timedelta = milliseconds(300)
    switchover_limit: timedelta = timedelta(seconds=2)
