"""Retry policy: what follows an attempt that did not succeed.

Only the entry retries. A request is sent again if it is proven not to have run, or if it is
idempotent. In the second case each retry is paid from a budget that is a share of the traffic.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from datetime import timedelta

from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.backoff import FullJitter
from hickorywind.util.clock import Clock, Instant

_MAX_AVAILABLE_RETRIES = 20.0
_INITIAL_WAIT = timedelta(milliseconds=20)
_MAX_WAIT = timedelta(milliseconds=400)

# Refusals that another backend server, or the same one a little later, may not repeat.
_REROUTABLE_REFUSALS = frozenset(
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
# Failures with an unknown outcome after which an idempotent request is sent again.
_RETRIABLE_FAILURES = frozenset(
    (
        ResultCode.POOL_LOST,
        ResultCode.CONNECTION_LOST,
        ResultCode.COMMIT_UNPROVEN,
        ResultCode.REPLICA_BEHIND,
        ResultCode.STALE_TERM,
    )
)
# Results that are no failure of the backend server, or only concern reads that require data as
# fresh.
_NOT_BACKEND_FAILURES = frozenset(
    (
        ResultCode.NOT_HOME,
        ResultCode.LINK_BUDGET_SPENT,
        ResultCode.REPLICA_BEHIND,
        ResultCode.TOO_STALE,
    )
)


@dataclass(frozen=True)
class GiveUp:
    """Decision to end the request with the result of its last attempt."""


@dataclass(frozen=True)
class TryNextTarget:
    """Decision to try the next target at once."""


@dataclass(frozen=True)
class RetryLater:
    """Decision to choose targets again after ``wait``."""

    wait: timedelta


Decision = GiveUp | TryNextTarget | RetryLater


class RetryBudget:
    """Budget that limits retries to a share of all requests, with a small burst."""

    def __init__(self, share_percent: int) -> None:
        self._share = share_percent / 100
        self._available = _MAX_AVAILABLE_RETRIES if share_percent > 0 else 0.0

    @property
    def available(self) -> float:
        """Return the number of retries available now."""
        return self._available

    def set_share(self, share_percent: int) -> None:
        """Change the share of retries; the available retries stay."""
        self._share = share_percent / 100

    def count_request(self) -> None:
        """Add the share of a retry that each new request earns."""
        self._available = min(self._available + self._share, _MAX_AVAILABLE_RETRIES)

    def spend(self) -> bool:
        """Use one retry; return False if none is available."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class RetryPolicy:
    """Retry policy for the attempts of one request."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        budget: RetryBudget,
        deadline: Instant,
        repeatable: bool,
    ) -> None:
        """Create the policy; ``repeatable`` allows the request to run more than once."""
        self._clock = clock
        self._budget = budget
        self._deadline = deadline
        self._repeatable = repeatable
        self._jitter = FullJitter(_INITIAL_WAIT, _MAX_WAIT, rng)

    def decide(self, result: Result, targets_left: bool) -> Decision:
        """Return what follows an attempt that ended with ``result``."""
        if not self._may_resend(result):
            return GiveUp()
        if targets_left:
            return TryNextTarget()
        if result.code is ResultCode.LINK_BUDGET_SPENT:
            # The result tells the caller when the budget is refilled; a wait here would hide that.
            return GiveUp()
        wait = self._jitter.next_wait()
        if self._clock.now() + wait >= self._deadline:
            return GiveUp()
        return RetryLater(wait)

    def _may_resend(self, result: Result) -> bool:
        if self._clock.now() >= self._deadline:
            return False
        if result.outcome is Outcome.NOT_RUN:
            return result.code in _REROUTABLE_REFUSALS
        is_retriable = result.code in _RETRIABLE_FAILURES and result.outcome is Outcome.UNKNOWN
        return is_retriable and self._repeatable and self._budget.spend()


def counts_as_backend_failure(code: ResultCode) -> bool:
    """Return whether a result makes other backend servers preferable for all work for a while."""
    return code in (_REROUTABLE_REFUSALS | _RETRIABLE_FAILURES) - _NOT_BACKEND_FAILURES
