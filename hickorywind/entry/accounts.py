"""Client accounts at an entry: access of users, quotas, and the accounts that metrics name."""

from __future__ import annotations

import logging
import random
from collections.abc import Iterable

from hickorywind.admission.accountaccess import AccountAccess
from hickorywind.admission.accountlimits import AccountLimits
from hickorywind.configuration.model import OTHER_ACCOUNTS, Account
from hickorywind.ids import UserName
from hickorywind.membership.directory import NO_REVISION, Directory
from hickorywind.ports.catalog import AccountId, AccountQuota
from hickorywind.protocol.records import MemberState
from hickorywind.results import HickorywindError, Result
from hickorywind.util.clock import Clock

logger = logging.getLogger(__name__)

MAX_NAMED_ACCOUNTS = 20  # accounts with series of their own, which bounds the size of the metrics


def largest_accounts(accounts: Iterable[Account]) -> frozenset[AccountId]:
    """Return the ``MAX_NAMED_ACCOUNTS`` accounts with the highest quotas, no quota being highest.

    The choice depends on the configuration alone, so that all entries name the same accounts.
    """

    def sort_key(account: Account) -> tuple[bool, float, AccountId]:
        rate = account.quota.rate_per_s if account.quota is not None else 0.0
        return (account.quota is not None, -rate, account.name)

    return frozenset(item.name for item in sorted(accounts, key=sort_key)[:MAX_NAMED_ACCOUNTS])


class EntryAccounts:
    """Client accounts of the configuration in force, as this entry applies them."""

    def __init__(
        self, directory: Directory, clock: Clock, rng: random.Random, checks_passwords: bool
    ) -> None:
        self._directory = directory
        self._checks_passwords = checks_passwords
        self._access = AccountAccess(clock)
        self._limits = AccountLimits(clock, rng)
        self._revision = NO_REVISION
        self._accounts: tuple[Account, ...] = ()
        self._named: frozenset[AccountId] = frozenset()
        self._entry_count = 0

    @property
    def metrics_labels(self) -> frozenset[AccountId]:
        """Return all labels under which the metrics count accounts."""
        return self._named | {OTHER_ACCOUNTS}

    def apply(self) -> None:
        """Apply the accounts in force and the number of entries that share the quotas."""
        self._apply_if_newer()
        if self._accounts and self._count_entries() != self._entry_count:
            self._update_limits()

    def require_access(self, user: UserName) -> Account | None:
        """Return the account of a user, None while there are no accounts.

        Raise ``HickorywindError`` with ``AUTHENTICATION_FAILED`` for a user without an account.
        """
        # Checked on each call, so that no session is served by accounts that are out of force.
        self._apply_if_newer()
        refusal = self._access.check(user)
        if refusal is not None:
            raise HickorywindError(refusal)
        return self._access.account_of(user)

    def admit(self, account: AccountId) -> Result | None:
        """Count one operation of an account; return a refusal if its quota is used up."""
        return self._limits.admit(account)

    def metrics_label_of(self, account: AccountId) -> AccountId:
        """Return the name under which the metrics count an account."""
        return account if account in self._named else OTHER_ACCOUNTS

    def _apply_if_newer(self) -> None:
        in_force = self._directory.in_force
        if in_force is None or in_force.revision == self._revision:
            return
        self._revision = revision = in_force.revision
        accounts = in_force.configuration.accounts
        if accounts == self._accounts:
            return
        self._accounts = accounts
        withdrawn = self._access.update(revision, accounts)
        self._named = largest_accounts(accounts)
        self._update_limits()
        extra = {"revision": revision, "accounts": len(accounts), "withdrawn_users": withdrawn}
        logger.info("accounts_in_force", extra=extra)
        if accounts and not self._checks_passwords:
            logger.warning("account_users_trusted", extra={"revision": revision})

    def _update_limits(self) -> None:
        quotas = {
            account.name: AccountQuota(account.quota.rate_per_s, account.quota.burst)
            for account in self._accounts
            if account.quota is not None
        }
        self._entry_count = self._count_entries()
        self._limits.update(quotas, self._entry_count)

    def _count_entries(self) -> int:
        """Return the number of entries; that of all hosts if no host tells whether it has one."""
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        hosts = [member for member in self._directory.members if member.state in states]
        return sum(member.entry is not None for member in hosts) or len(hosts)
