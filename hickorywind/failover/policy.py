"""Set how failures of a primary are detected and how promotions are paced."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from hickorywind.util.clock import milliseconds


@dataclass(frozen=True)
class MajoritySilence:
    """Promote once a majority of the instances has not heard from the primary for a while.

    For ``FailoverPolicy.promotion_cooldown`` after a promotion, ``cooldown_threshold`` applies.
    Instances are asked to confirm ``confirmed_silence``, which is less: the silences that they
    see begin at different instants, and a lone refusal would waste the attempt.
    """

    threshold: timedelta = milliseconds(300)
    confirmed_silence: timedelta = milliseconds(200)
    cooldown_threshold: timedelta = milliseconds(1000)


@dataclass(frozen=True)
class FixedTimeout:
    """Promote once this observer has not reached the primary for a fixed time; a baseline."""

    timeout: timedelta = timedelta(seconds=5)


@dataclass(frozen=True)
class FailoverPolicy:
    """Gather the durations of failover.

    ``fast_poll_interval`` is the time between two polls of a primary by its first observer and of
    all instances while something is wrong. ``polls_per_second`` bounds what one host spends on all
    the groups it watches while nothing is wrong. A leaving primary is replaced once pools had
    ``min_drain_time`` to send it no new work and its transactions have ended, at the latest
    after ``max_drain_time``.
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
