"""Parameters of failure detection, elections and switchovers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.util.clock import milliseconds


@dataclass(frozen=True)
class MajoritySilence:
    """Trigger of a promotion once a majority has not heard from the primary for ``threshold``.

    For ``FailoverPolicy.promotion_cooldown`` after a promotion, ``cooldown_threshold`` applies.
    Instances are asked to confirm only ``confirmed_silence``: the silences that they measure
    begin at different instants, and a single refusal would waste the attempt.
    """

    threshold: timedelta = milliseconds(300)
    confirmed_silence: timedelta = milliseconds(200)
    cooldown_threshold: timedelta = milliseconds(1000)


@dataclass(frozen=True)
class FixedTimeout:
    """Trigger of a promotion once this observer has not reached the primary for ``timeout``.

    This is the baseline to compare ``MajoritySilence`` with.
    """

    timeout: timedelta = timedelta(seconds=5)


@dataclass(frozen=True)
class FailoverPolicy:
    """Intervals and time limits of failure detection, elections and switchovers.

    - ``fast_poll_interval``: between two polls of a primary by its first observer, and of all
      instances while a fault is suspected; the other observers poll a primary at
      ``backup_poll_interval``, and all observers poll replicas at ``replica_poll_interval``.
    - ``polls_per_second``: limit on the polls of one host for all groups that it observes, while no
      fault is suspected.
    - ``fast_polling_after``: duration of a poll or a silence after which a fault is suspected.
    - ``max_report_age``: age up to which a report is acted on.
    - ``delay_per_rank``, ``delay_jitter``: before an election an observer waits the former times
      its rank and, unless it is the first, a random part of the latter.
    - ``promotion_cooldown``: time after a promotion in which ``cooldown_threshold`` applies.
    - ``max_tick_gap``: a longer time between two ticks means that this process was paused and that
      its reports are out of date.
    - ``min_drain_time``, ``max_drain_time``: a leaving primary is replaced once its transactions
      have ended, but not before the former, in which pools stop sending it new work, and no later
      than the latter.
    """

    trigger: MajoritySilence | FixedTimeout = MajoritySilence()
    fast_poll_interval: timedelta = milliseconds(100)
    backup_poll_interval: timedelta = milliseconds(500)
    replica_poll_interval: timedelta = milliseconds(1000)
    polls_per_second: float = 12.0
    fast_polling_after: timedelta = milliseconds(150)
    max_report_age: timedelta = milliseconds(350)
    delay_per_rank: timedelta = milliseconds(400)
    delay_jitter: timedelta = milliseconds(100)
    accept_timeout: timedelta = milliseconds(1200)
    promote_timeout: timedelta = timedelta(seconds=4)
    backoff_min: timedelta = milliseconds(200)
    backoff_max: timedelta = timedelta(seconds=2)
    promotion_cooldown: timedelta = timedelta(seconds=5)
    max_tick_gap: timedelta = milliseconds(500)
    switchover_retry_interval: timedelta = timedelta(seconds=5)
    min_drain_time: timedelta = milliseconds(300)
    max_drain_time: timedelta = timedelta(seconds=2)
