import asyncio
import unittest

from hickorywind.ids import AccessMode, SessionId
from tests.pool.harness import EntryStub, PoolUnderTest, running_pool

# How fast this process gets through 40 writes, one after another, is not what the test is about.
UNHURRIED = {"remaining_ms": 60_000}


class TwoHomesTest(unittest.IsolatedAsyncioTestCase):
    async def test_two_pools_that_believe_to_be_home_share_a_backend_server(self) -> None:
        async with running_pool(statement_time_ms=10) as (pool, entry):
            other = PoolUnderTest(pool.group, pool.directory)
            await other.start()
            other_entry = EntryStub(other.address)
            await other_entry.start()
            try:
                await self.check_both(pool, (entry, other_entry))
            finally:
                await other_entry.close()
                await other.close()

    async def check_both(self, pool, entries) -> None:
        table = "CREATE TABLE t (id int primary key, v text)"
        self.assertTrue((await entries[0].run(table, **UNHURRIED)).result.is_ok)
        runs = []
        for number in range(40):
            session = SessionId(f"s{number}")
            insert = f"INSERT INTO t VALUES ({number}, 'x')"
            runs.append(entries[number % 2].run(insert, session_id=session, **UNHURRIED))
        answers = await asyncio.gather(*runs)
        refused = [answer.result for answer in answers if not answer.result.is_ok]
        self.assertEqual(refused, [])
        sessions = pool.group.servers[0].instance.sessions.values()
        used = sum(1 for session in sessions if not session.is_control)
        self.assertLessEqual(used, pool.group.servers[0].settings.connections)
        count = await entries[1].run("SELECT count(*) FROM t", mode=AccessMode.READ, **UNHURRIED)
        self.assertEqual(count.rows, ["40"])
