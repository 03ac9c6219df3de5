"""Quotas of client accounts at one entry: token buckets with the entry's share of each quota."""

from __future__ import annotations

import random
from collections.abc import Mapping
from datetime import timedelta

from hickorywind.admission.refusals import jittered_retry_ms
from hickorywind.ports.catalog import AccountId, AccountQuota
from hickorywind.results import Result, ResultCode
from hickorywind.util.clock import Clock, Instant

# Refused operations are told to return one after the other at the rate of the quota, up to this
# time ahead; callers beyond it would give up rather than wait.
_MAX_TURN_WAIT = timedelta(seconds=10)
_MIN_BURST = 1.0  # operations; a bucket that holds less never admits one


def even_share(quota: AccountQuota, entry_count: int) -> AccountQuota:
    """Return the part of a quota that one of ``entry_count`` entries admits.

    Its burst is at least one operation, so the bursts of all entries may exceed that of the quota.
    """
    return AccountQuota(quota.rate_per_s / entry_count, max(_MIN_BURST, quota.burst / entry_count))


class AccountLimits:
    """Limits on the operations of each client account at this entry."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._buckets: dict[AccountId, _Bucket] = {}

    def update(self, quotas: Mapping[AccountId, AccountQuota], entry_count: int) -> None:
        """Set the quotas, of which this entry admits its even share among ``entry_count`` entries.

        The operations of accounts that are not in ``quotas`` are not limited.
        """
        now = self._clock.now()
        former, self._buckets = self._buckets, {}
        for account, quota in quotas.items():
            share = even_share(quota, max(1, entry_count))
            bucket = former.get(account) or _Bucket(share, now)
            bucket.set_share(share, now)
            self._buckets[account] = bucket

    def admit(self, account: AccountId) -> Result | None:
        """Count one operation of an account; return a refusal if its quota is used up."""
        bucket = self._buckets.get(account)
        wait = bucket.take(self._clock.now()) if bucket is not None else None
        if wait is None:
            return None
        retry_after_ms = jittered_retry_ms(wait.total_seconds(), self._rng)
        reason = f"client account {account!r} has used up its quota"
        return Result.not_run(ResultCode.QUOTA_EXCEEDED, reason, retry_after_ms)


class _Bucket:
    """Token bucket of one account; it starts full."""

    def __init__(self, share: AccountQuota, now: Instant) -> None:
        self._share = share
        self._tokens = share.burst
        self._updated_at = now
        self._last_turn = now

    def set_share(self, share: AccountQuota, now: Instant) -> None:
        """Change rate and burst from now on; tokens beyond the new burst are lost."""
        self._refill(now)
        self._share = share
        self._tokens = min(self._tokens, share.burst)

    def take(self, now: Instant) -> timedelta | None:
        """Take a token; if there is none, return the time until the caller's turn."""
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return None
        next_token = now + self._time_for(1.0 - self._tokens)
        following_turn = min(self._last_turn + self._time_for(1.0), now + _MAX_TURN_WAIT)
        self._last_turn = max(next_token, following_turn)
        return self._last_turn - now

    def _refill(self, now: Instant) -> None:
        gained = (now - self._updated_at).total_seconds() * self._share.rate_per_s
        self._tokens = min(self._tokens + gained, self._share.burst)
        self._updated_at = now

    def _time_for(self, tokens: float) -> timedelta:
        seconds = tokens / self._share.rate_per_s
        return timedelta(seconds=min(seconds, _MAX_TURN_WAIT.total_seconds()))
