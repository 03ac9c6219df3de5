import unittest

import msgspec
import psycopg
from pygwire.messages import Query

from hickorywind.configuration.model import Account, Quota
from hickorywind.entry.accounts import MAX_NAMED_ACCOUNTS, largest_accounts
from hickorywind.ids import Address, Rank, Revision
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.records import MemberState
from tests.entry.fakepool import command_complete
from tests.entry.harness import EntryTestCase, make_member, put_in_force
from tests.entry.test_server import STARTUP, RawTestCase

LOGGERS = "hickorywind.entry"


class AccountTestCase(EntryTestCase):
    accounts = (
        # A burst of 4 for each of three hosts, which do not tell whether they have an entry.
        Account("workshop", ("crew",), Rank.URGENT, Quota(0.01, 12)),
        Account("archive", ("reader",), Rank.BACKGROUND),
    )

    def put_accounts_in_force(self, *accounts, revision=2):
        configuration = self.directory.in_force.configuration
        changed = msgspec.structs.replace(configuration, accounts=accounts)
        put_in_force(self.directory, changed, Revision(revision))


class AccessTest(AccountTestCase, RawTestCase):
    async def test_withdrawn_user_is_refused_at_its_next_statement_and_logged_since_when(
        self,
    ):
        connection = await self.connect()
        await connection.execute("SELECT 1")
        self.put_accounts_in_force(self.accounts[1])
        with self.assertLogs(LOGGERS, "INFO") as logs:
            with self.assertRaises(psycopg.OperationalError) as caught:
                await connection.execute("SELECT 2")
        self.assertIn("[1009]", str(caught.exception))
        self.assertEqual(len(self.replica_pool.executed), 1)
        records = {record.getMessage(): record for record in logs.records}
        self.assertEqual(records["accounts_in_force"].withdrawn_users, 1)
        self.assertIn("since revision 2, in force here for", records["session_ended"].reason)
        with self.assertRaises(psycopg.OperationalError):
            await self.connect()
        self.put_accounts_in_force(revision=3)
        await (await self.connect()).execute("SELECT 3")

    async def test_accounts_that_come_into_force_end_sessions_of_other_users(self):
        self.put_accounts_in_force(revision=2)
        connection = await self.connect()
        self.put_accounts_in_force(self.accounts[1], revision=3)
        with self.assertRaises(psycopg.OperationalError) as caught:
            await connection.execute("SHOW hickorywind.session_id")
        self.assertIn("[1009]", str(caught.exception))

    async def test_open_transaction_of_a_withdrawn_user_may_end(self):
        reader, writer = await self.open_raw(STARTUP, Query("BEGIN").to_wire())
        await reader.readuntil(b"Z\0\0\0\5T")
        self.put_accounts_in_force(self.accounts[1])
        writer.write(Query("INSERT INTO t VALUES (1)").to_wire())
        await reader.readuntil(b"Z\0\0\0\5T")
        writer.write(Query("COMMIT").to_wire())
        answer = await reader.readuntil(b"Z\0\0\0\5I")
        self.assertIn(command_complete("COMMIT"), answer)
        writer.write(Query("SELECT 1").to_wire())
        self.assertIn(b"[1009]", await self.read_all(reader))
        self.assertEqual(len(self.primary_pool.executed), 3)


class PasswordTest(AccountTestCase):
    users = {"crew": "brush", "stranger": "glaze"}

    async def test_password_and_account_are_both_required(self):
        for user, password, part in (
            ("crew", "glaze", "password is wrong"),
            ("stranger", "glaze", "no client account"),
            ("stranger", "brush", "password is wrong"),
        ):
            with self.subTest(user=user), self.assertRaises(psycopg.OperationalError) as caught:
                await self.connect(user=user, password=password)
            self.assertIn("[1009]", str(caught.exception))
            self.assertIn(part, str(caught.exception))
        await self.connect(password="brush")


class PriorityTest(AccountTestCase):
    async def test_account_sets_the_rank_of_requests_that_name_none(self):
        connection = await self.connect()
        for text, rank in (
            ("SELECT 1", Rank.URGENT),
            ("/* hickorywind priority=background */ SELECT 1", Rank.BACKGROUND),
        ):
            await connection.execute(text)
            self.assertIs(self.replica_pool.executed[-1].rank, rank)


class QuotaTest(AccountTestCase):
    async def asyncSetUp(self):
        self.metrics = Metrics.with_own_registry()
        await super().asyncSetUp()

    def count(self, account, outcome, code):
        labels = {"account": account, "outcome": outcome, "code": str(code)}
        return self.metrics.registry.get_sample_value("hickorywind_account_requests_total", labels)

    async def test_operations_beyond_the_quota_are_refused_at_once(self):
        connection = await self.connect()
        for _ in range(4):
            await connection.execute("SELECT 1")
        with self.assertLogs(LOGGERS, "INFO") as logs:
            with self.assertRaises(psycopg.errors.ConfigurationLimitExceeded) as caught:
                await connection.execute("SELECT 1")
        self.assertRegex(caught.exception.diag.message_detail, r"not_run .*retry_after_ms=\d+")
        self.assertIn("[2010]", str(caught.exception))
        self.assertEqual(len(self.replica_pool.executed), 4)
        self.assertEqual(logs.records[0].account, "workshop")
        self.assertEqual(self.count("workshop", "ran", 0), 4)
        self.assertEqual(self.count("workshop", "not_run", 2010), 1)

    async def test_transaction_is_one_operation_and_never_refused_halfway(self):
        connection = await self.connect()
        for _ in range(4):
            await connection.execute("BEGIN")
            for _ in range(3):
                await connection.execute("SELECT 1")
            await connection.execute("COMMIT")
        with self.assertRaises(psycopg.errors.ConfigurationLimitExceeded):
            await connection.execute("BEGIN")
        self.assertEqual(connection.info.transaction_status, psycopg.pq.TransactionStatus.IDLE)

    async def test_quota_is_shared_evenly_with_the_other_entries(self):
        states = [MemberState.ALIVE] * 5 + [MemberState.SUSPECT, MemberState.LEAVING]
        for number, state in enumerate(states):
            member = make_member(f"zone-{number}", None, state=state)
            entry = Address("127.0.0.1", 2)
            self.directory.merge([msgspec.structs.replace(member, entry=entry)])
        self.components.apply_configuration()
        connection = await self.connect()
        for _ in range(2):
            await connection.execute("INSERT INTO t VALUES (1)")
        with self.assertRaises(psycopg.errors.ConfigurationLimitExceeded):
            await connection.execute("INSERT INTO t VALUES (1)")

    async def test_metrics_name_the_largest_accounts_only(self):
        connection = await self.connect()
        await connection.execute("SELECT 1")
        larger = [Account(f"a{i}", (f"u{i}",)) for i in range(MAX_NAMED_ACCOUNTS)]
        self.put_accounts_in_force(self.accounts[0], *larger)
        self.components.apply_configuration()
        self.assertIsNone(self.count("workshop", "ran", 0))
        await connection.execute("SELECT 1")
        self.assertEqual(self.count("other", "ran", 0), 1)


class LargestAccountsTest(unittest.TestCase):
    def test_accounts_without_a_quota_come_first_then_by_rate(self):
        limited = [Account(f"q{i:02}", (), quota=Quota(i, 1)) for i in range(1, 40)]
        named = largest_accounts([*limited, Account("free", ())])
        expected = {"free"} | {f"q{i:02}" for i in range(21, 40)}
        self.assertEqual(named, expected)


class WithoutAccountsTest(EntryTestCase):
    async def test_nothing_about_accounts_is_logged(self):
        with self.assertNoLogs("hickorywind.entry.accounts", "INFO"):
            connection = await self.connect()
            await connection.execute("SELECT 1")
            self.components.apply_configuration()
        self.assertIs(self.replica_pool.executed[0].rank, Rank.STANDARD)
