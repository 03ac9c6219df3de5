import unittest
from datetime import timedelta
from unittest import mock

from hickorywind.admission import accountaccess
from hickorywind.admission.accountaccess import AccountAccess
from hickorywind.configuration.model import Account
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock


def account(name, *users):
    return Account(name, users)


class AccountAccessTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.access = AccountAccess(self.clock)

    def reason(self, user):
        refusal = self.access.check(user)
        self.assertEqual(refusal.code, ResultCode.AUTHENTICATION_FAILED)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.assertFalse(refusal.retry_allowed)
        return refusal.reason

    def test_without_accounts_every_user_has_access(self):
        self.assertIsNone(self.access.check("anyone"))
        self.access.update(3, (account("a", "x"),))
        self.access.update(4, ())
        self.assertIsNone(self.access.check("anyone"))

    def test_refusal_tells_since_when(self):
        self.access.update(3, (account("a", "x", "y"), account("b", "z")))
        self.clock.advance(timedelta(seconds=2))
        self.assertEqual(self.access.update(5, (account("b", "z", "x"),)), 1)
        self.clock.advance(timedelta(seconds=1))
        self.assertIn("revision 5, in force here for 1000 ms", self.reason("y"))
        self.assertIn("revision 3, in force here for 3000 ms", self.reason("stranger"))
        self.assertEqual(self.access.account_of("x").name, "b")
        self.assertIsNone(self.access.check("z"))

    def test_user_that_returns_has_access_again(self):
        for accounts in ((account("a", "x", "y"),), (account("a", "y"),), (account("c", "x"),)):
            self.access.update(1, accounts)
        self.assertIsNone(self.access.check("x"))

    def test_only_the_latest_withdrawals_are_kept(self):
        with mock.patch.object(accountaccess, "_WITHDRAWALS_KEPT", 1):
            self.access.update(1, (account("a", "x", "y", "z"),))
            self.access.update(2, (account("a", "y", "z"),))
            self.access.update(3, (account("a", "z"),))
        self.assertNotIn("revision", self.reason("x"))
        self.assertIn("revision 3", self.reason("y"))
