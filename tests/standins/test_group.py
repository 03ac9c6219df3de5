import asyncio
import unittest
from datetime import timedelta

import psycopg

from hickorywind.groups.client import CallRefused
from hickorywind.groups.status import POSITION_PARAMETER
from hickorywind.ids import EMPTY_LOG, InstanceRole, LogPosition, Term
from tests.standins.support import TestGroup, eventually


def position_of(connection) -> LogPosition:
    text = connection.pgconn.parameter_status(POSITION_PARAMETER.encode()).decode()
    return LogPosition.from_text(text)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = await TestGroup().start()
        self.addAsyncCleanup(self.group.close)
        self.primary = await self.connect(0)
        await self.primary.execute("CREATE TABLE firing (id int PRIMARY KEY)")
        await self.wait_applied(position_of(self.primary))

    async def connect(self, index):
        connection = await self.group.connect(index)
        self.addAsyncCleanup(connection.close)
        return connection

    async def ids(self, connection):
        cursor = await connection.execute("SELECT id FROM firing ORDER BY id")
        return [row[0] for row in await cursor.fetchall()]

    async def wait_applied(self, position, indexes=(0, 1, 2)):
        async def is_applied():
            found = [(await self.group.status(index)).applied for index in indexes]
            return all(applied.contains(position) for applied in found)

        self.assertTrue(await eventually(is_applied))

    async def test_committed_write_reaches_replicas_with_its_position(self):
        self.assertEqual(position_of(self.primary), LogPosition(Term(1), 1))
        await self.primary.execute("INSERT INTO firing VALUES (1)")
        written = position_of(self.primary)
        self.assertEqual(written, LogPosition(Term(1), 2))
        status = await self.group.clients[0].wait_committed(written, timedelta(seconds=2))
        self.assertTrue(status.committed.contains(written))
        await self.wait_applied(written)
        replica = await self.connect(1)
        self.assertEqual(await self.ids(replica), [1])
        self.assertEqual(position_of(replica), written)
        with self.assertRaises(psycopg.errors.ReadOnlySqlTransaction):
            await replica.execute("DELETE FROM firing")

    async def test_reported_position_of_a_replica_matches_its_snapshot(self):
        replica = await self.connect(1)
        await replica.execute("SELECT standin_set_lag(400, 0)")
        await self.primary.execute("INSERT INTO firing VALUES (1)")
        await asyncio.sleep(0.15)
        self.assertEqual(await self.ids(replica), [])
        self.assertEqual(position_of(replica), LogPosition(Term(1), 1))
        await self.wait_applied(position_of(self.primary))
        self.assertEqual(await self.ids(replica), [1])

    async def test_isolated_primary_commits_nothing_and_discards_uncommitted_entries(self):
        self.group.isolate(0)
        await self.primary.execute("INSERT INTO firing VALUES (1)")
        lost = position_of(self.primary)
        status = await self.group.clients[0].wait_committed(lost, timedelta(milliseconds=300))
        self.assertFalse(status.committed.contains(lost))
        promoted = await self.group.fail_over(target=1, voters=(1, 2), term=2)
        self.assertIs(promoted.role, InstanceRole.PRIMARY)
        second = await self.connect(1)
        await second.execute("INSERT INTO firing VALUES (2)")
        kept = position_of(second)
        answer = await self.group.clients[1].wait_committed(kept, timedelta(seconds=2))
        self.assertTrue(answer.committed.contains(kept))
        self.group.rejoin(0)
        await self.wait_applied(kept)
        self.assertEqual(await self.ids(self.primary), [2])
        former = await self.group.status(0)
        self.assertEqual((former.role, former.term), (InstanceRole.REPLICA, 2))

    async def test_step_down_ends_open_write_transactions(self):
        await self.primary.execute("BEGIN")
        await self.primary.execute("INSERT INTO firing VALUES (1)")
        await self.group.fail_over(target=1, voters=(0, 1), term=2)
        with self.assertRaises(psycopg.OperationalError):
            await self.primary.execute("COMMIT")
        second = await self.connect(1)
        self.assertEqual(await self.ids(second), [])
        await second.execute("INSERT INTO firing VALUES (2)")
        await self.wait_applied(position_of(second))

    async def test_terms_are_accepted_once_and_only_while_the_primary_is_silent(self):
        observer = self.group.clients[1]
        heard = await observer.accept_term(Term(2), "a", timedelta(seconds=1))
        self.assertIsInstance(heard, CallRefused)
        self.group.isolate(1)
        await asyncio.sleep(0.4)
        accepted = await observer.accept_term(Term(2), "a", timedelta(milliseconds=300))
        self.assertEqual((accepted.term, accepted.proposer), (2, "a"))
        again = await observer.accept_term(Term(2), "a", timedelta(seconds=9))
        self.assertEqual(again.term, 2)
        for term, proposer in ((2, "b"), (1, "a")):
            refused = await observer.accept_term(Term(term), proposer, timedelta(0))
            self.assertIsInstance(refused, CallRefused)
        for term, proposer in ((2, "b"), (3, "a")):
            refused = await observer.promote(Term(term), proposer)
            self.assertIsInstance(refused, CallRefused)

    async def test_primary_in_contact_with_a_majority_refuses_a_new_term(self):
        refused = await self.group.clients[0].accept_term(Term(2), "a", timedelta(seconds=1))
        self.assertIsInstance(refused, CallRefused)

    async def test_ship_lag_delays_entries_to_a_replica(self):
        replica = await self.connect(2)
        await replica.execute("SELECT standin_set_lag(0, 500)")
        await asyncio.sleep(0.15)
        await self.primary.execute("INSERT INTO firing VALUES (1)")
        written = position_of(self.primary)
        await self.wait_applied(written, indexes=(0, 1))
        self.assertNotEqual((await self.group.status(2)).received, written)
        await self.wait_applied(written)

    async def test_fresh_group_starts_empty_and_reports_leaving(self):
        other = await TestGroup(size=1).start()
        self.addAsyncCleanup(other.close)
        status = await other.status(0)
        self.assertEqual(status.committed, EMPTY_LOG)
        await other.clients[0]._call("SELECT standin_set_leaving(true)", 2)
        self.assertTrue((await other.status(0)).leaving)
