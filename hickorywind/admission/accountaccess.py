"""Which users may use an entry: the members of client accounts, if there are accounts."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywind.configuration.model import Account
from hickorywind.ids import Revision, UserName
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.util.clock import Clock, Instant, to_milliseconds

# Withdrawals of which revision and time are kept; bounds the memory of a process that runs for
# months.
_WITHDRAWALS_KEPT = 10_000


@dataclass(frozen=True)
class Withdrawal:
    """Revision at which users lost access, and when that revision took effect here."""

    revision: Revision
    took_effect_at: Instant


class AccountAccess:
    """Index of the users of all client accounts, and of the users that lost their account.

    While there are no accounts, every user has access.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._account_by_user: dict[UserName, Account] = {}
        self._withdrawals: dict[UserName, Withdrawal] = {}
        # Of users that never had an account; None where withdrawals have been forgotten.
        self._first_accounts: Withdrawal | None = None

    @property
    def is_restricted(self) -> bool:
        """Return whether only members of accounts have access."""
        return bool(self._account_by_user)

    def update(self, revision: Revision, accounts: Iterable[Account]) -> int:
        """Put the accounts of a revision into effect; return how many users have lost theirs."""
        former_users = self._account_by_user.keys()
        was_restricted = self.is_restricted
        self._account_by_user = {user: account for account in accounts for user in account.users}
        if not self.is_restricted:
            self._withdrawals.clear()
            return 0
        withdrawal = Withdrawal(revision, self._clock.now())
        if not was_restricted:
            self._first_accounts = withdrawal
        lost = former_users - self._account_by_user.keys()
        self._withdrawals.update(dict.fromkeys(sorted(lost), withdrawal))
        for user in self._account_by_user.keys() & self._withdrawals.keys():
            del self._withdrawals[user]
        while len(self._withdrawals) > _WITHDRAWALS_KEPT:
            del self._withdrawals[next(iter(self._withdrawals))]
            self._first_accounts = None
        return len(lost)

    def account_of(self, user: UserName) -> Account | None:
        """Return the account of a user, None if it has none."""
        return self._account_by_user.get(user)

    def check(self, user: UserName) -> Result | None:
        """Return the refusal of a user without access, None if it has access."""
        if not self.is_restricted or user in self._account_by_user:
            return None
        reason = f"user {user!r} belongs to no client account"
        withdrawal = self._withdrawals.get(user, self._first_accounts)
        if withdrawal is not None:
            age_ms = round(to_milliseconds(self._clock.now() - withdrawal.took_effect_at))
            reason += f" since revision {withdrawal.revision}, in force here for {age_ms} ms"
        return Result(ResultCode.AUTHENTICATION_FAILED, Outcome.NOT_RUN, reason)
