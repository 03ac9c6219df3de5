import unittest

from hickorywind.pool.backendconnection import error_field
from hickorywind.protocol.messages import PreparedStatement
from tests.pool import extended
from tests.pool.harness import running_pool

SELECT = PreparedStatement("s", extended.parse("s", "SELECT * FROM t"))
RUN = extended.bind("s") + extended.describe() + extended.execute() + extended.SYNC


class RefusedStatementTest(unittest.IsolatedAsyncioTestCase):
    async def test_statement_whose_result_type_changed_fails_once(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up("CREATE TABLE t (id int primary key)")
            await entry.set_up("INSERT INTO t VALUES (1)")
            self.assertEqual((await entry.run(RUN, prepared=(SELECT,))).kinds, "2TDCZ")
            await entry.set_up("ALTER TABLE t ADD COLUMN v text")
            refused = await entry.run(RUN, prepared=(SELECT,))
            self.assertEqual(error_field(refused.frames[-2], b"C"), "0A000")
            self.assertEqual((await entry.run(RUN, prepared=(SELECT,))).kinds, "2TDCZ")

    async def test_statement_that_the_server_has_lost_is_prepared_again(self) -> None:
        async with running_pool() as (pool, entry):
            run = extended.bind("s") + extended.execute() + extended.SYNC
            select = PreparedStatement("s", extended.parse("s", "SELECT 1"))
            await entry.run(run, prepared=(select,))
            for session in pool.group.servers[0].instance.sessions.values():
                session._extended._prepared.clear()
            refused = await entry.run(run, prepared=(select,))
            self.assertEqual(error_field(refused.frames[0], b"C"), "26000")
            self.assertEqual((await entry.run(run, prepared=(select,))).rows, ["1"])
