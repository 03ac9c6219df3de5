import unittest

from hickorywind.protocol.messages import TransactionState
from hickorywind.results import ResultCode
from tests.pool.harness import running_pool


class ExecuteTest(unittest.IsolatedAsyncioTestCase):
    async def test_simple_queries_get_their_answers_and_positions(self) -> None:
        async with running_pool() as (_, entry):
            created = await entry.run("CREATE TABLE t (id int primary key, v text)")
            self.assertEqual(created.result.code, ResultCode.OK)
            inserted = await entry.run("INSERT INTO t VALUES (1, 'a')")
            self.assertEqual(inserted.kinds, "CZ")
            read = await entry.run("SELECT v FROM t")
            self.assertEqual((read.kinds, read.rows), ("TDCZ", ["a"]))
            self.assertTrue(read.end.position.contains(inserted.end.position))
            self.assertIs(read.end.transaction_state, TransactionState.IDLE)
