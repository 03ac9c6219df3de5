"""Decide what follows an attempt that did not succeed.

Only the entry retries. A request goes out again where it is proved not to have run, or where it is
idempotent; in the second case each retry is paid from a budget that is a share of traffic.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.backoff import FullJitter
from hickorywind.util.clock import Clock, Instant

_BUDGET_BURST = 20.0
_FIRST_WAIT = timedelta(milliseconds=20)
_LONGEST_WAIT = timedelta(milliseconds=400)

# Refusals that another backend server may not give, or the same one may not give soon.
_REROUTED = frozenset(
    (
        ResultCode.NO_PRIMARY,
        ResultCode.REPLICA_BEHIND,
        ResultCode.TOO_STALE,
        ResultCode.NOT_HOME,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.BACKEND_LEAVING,
        ResultCode.STALE_TERM,
        ResultCode.POOL_UNREACHABLE,
        ResultCode.POOL_LOST,
        ResultCode.CONNECTION_LOST,
        ResultCode.DRAINING,
        ResultCode.NOT_READY,
        ResultCode.WRONG_INCARNATION,
        ResultCode.LINK_BUDGET_SPENT,
    )
)
# Failures after which the request may have run.
_RETRIED = frozenset(
    (
        ResultCode.POOL_LOST,
        ResultCode.CONNECTION_LOST,
        ResultCode.COMMIT_UNPROVEN,
        ResultCode.REPLICA_BEHIND,
        ResultCode.STALE_TERM,
    )
)
# Refusals that say nothing against the backend server itself, or only for reads as demanding.
_HARMLESS = frozenset(
    (
        ResultCode.NOT_HOME,
        ResultCode.LINK_BUDGET_SPENT,
        ResultCode.REPLICA_BEHIND,
        ResultCode.TOO_STALE,
    )
)


@dataclass(frozen=True)
class GiveUp:
    """End the request with the result of its last attempt."""


@dataclass(frozen=True)
class TryNext:
    """Go on with the next target at once."""


@dataclass(frozen=True)
class TryAgain:
    """Choose targets anew after ``wait``."""

    wait: timedelta


Decision = GiveUp | TryNext | TryAgain


class RetryBudget:
    """Grant retries up to a share of the requests counted, with a small burst."""

    def __init__(self, share_percent: int) -> None:
        self._share = share_percent / 100
        self._left = _BUDGET_BURST if share_percent > 0 else 0.0

    @property
    def left(self) -> float:
        """Return how many retries would be granted now."""
        return self._left

    def set_share(self, share_percent: int) -> None:
        """Put another share in force."""
        self._share = share_percent / 100

    def count_request(self) -> None:
        """Earn a part of a retry."""
        self._left = min(self._left + self._share, _BUDGET_BURST)

    def take(self) -> bool:
        """Spend a retry; return False where none is left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class RetryPolicy:
    """Follow the attempts of one request."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        budget: RetryBudget,
        deadline: Instant,
        repeatable: bool,
    ) -> None:
        """Take the request's deadline and whether it may run more than once."""
        self._clock = clock
        self._budget = budget
        self._deadline = deadline
        self._repeatable = repeatable
        self._jitter = FullJitter(_FIRST_WAIT, _LONGEST_WAIT, rng)

    def decide(self, result: Result, targets_left: bool) -> Decision:
        """Say what follows an attempt that ended with ``result``."""
        if not self._may_send_again(result):
            return GiveUp()
        if targets_left:
            return TryNext()
        if result.code is ResultCode.LINK_BUDGET_SPENT:
            # The result says when the budget is refilled; waiting here would only hide that.
            return GiveUp()
        wait = self._jitter.next_wait()
        if self._clock.now() + wait >= self._deadline:
            return GiveUp()
        return TryAgain(wait)

    def _may_send_again(self, result: Result) -> bool:
        if self._clock.now() >= self._deadline:
            return False
        if result.outcome is Outcome.NOT_RUN:
            return result.code in _REROUTED
        retried = result.code in _RETRIED and result.outcome is Outcome.UNKNOWN
        return retried and self._repeatable and self._budget.take()


def speaks_against_backend(code: ResultCode) -> bool:
    """Tell whether a result makes other backend servers preferable for all work for a while."""
    return code in (_REROUTED | _RETRIED) - _HARMLESS
