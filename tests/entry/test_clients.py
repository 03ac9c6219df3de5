import asyncpg
import psycopg

from hickorywind.protocol.messages import EndTransaction
from tests.entry.harness import FAR_REPLICA, PRIMARY, REPLICA, SERVICE, EntryTestCase


class PsycopgTest(EntryTestCase):
    async def test_read_goes_to_a_replica_and_write_to_the_primary(self):
        connection = await self.connect()
        self.assertEqual(await self.fetch_value(connection, "SELECT 1"), f"{REPLICA}: SELECT 1")
        written = await self.fetch_value(connection, "INSERT INTO t VALUES (1) RETURNING a")
        self.assertTrue(written.startswith(PRIMARY))

    async def test_extended_protocol_with_parameters(self):
        connection = await self.connect()
        self.assertEqual(
            await self.fetch_value(connection, "SELECT %s::text", ("brush",)),
            f"{REPLICA}: SELECT $1::text brush",
        )

    async def test_prepared_statements_use_shared_names(self):
        connection = await self.connect()
        for value in ("a", "b", "c"):
            cursor = await connection.execute("SELECT %s::text", (value,), prepare=True)
            self.assertTrue((await cursor.fetchone())[0].endswith(value))
        names = {item.name for run in self.replica_pool.executed for item in run.prepared}
        self.assertEqual(len(names), 1)

    async def test_transaction_stays_at_the_primary_and_ends(self):
        connection = await self.connect(autocommit=False)
        await connection.execute("SELECT 1")
        await connection.execute("UPDATE t SET a = 1")
        await connection.commit()
        runs = self.primary_pool.executed
        self.assertEqual(len(runs), 4)
        opened = runs[0].request_id
        self.assertEqual([run.transaction_id for run in runs], [None, opened, opened, opened])
        self.assertEqual(self.replica_pool.executed, [])

    async def test_disconnect_ends_the_open_transaction(self):
        connection = await self.connect(autocommit=False)
        await connection.execute("UPDATE t SET a = 1")
        opened = self.primary_pool.executed[0].request_id
        await connection.close()
        await self.wait_for(lambda: self.primary_pool.messages_of(EndTransaction))
        self.assertEqual(self.primary_pool.messages_of(EndTransaction), [EndTransaction(opened)])

    async def test_pipeline_answers_in_order(self):
        connection = await self.connect()
        async with connection.pipeline():
            cursors = [await connection.execute("SELECT %s::text", (str(i),)) for i in range(10)]
            values = [(await cursor.fetchone())[0] for cursor in cursors]
        self.assertEqual([value.split()[-1] for value in values], [str(i) for i in range(10)])

    async def test_unknown_service_is_refused_with_its_result_code(self):
        with self.assertRaises(psycopg.OperationalError) as caught:
            await psycopg.AsyncConnection.connect(
                host=self.address.host, port=self.address.port, user="crew", dbname="nothing"
            )
        self.assertIn("[1006]", str(caught.exception))

    async def test_unsupported_statement_is_refused(self):
        connection = await self.connect()
        with self.assertRaises(psycopg.errors.FeatureNotSupported) as caught:
            await connection.execute("LISTEN crew")
        self.assertIn("outcome=not_run", caught.exception.diag.message_detail)
        self.assertTrue(await self.fetch_value(connection, "SELECT 1"))

    async def test_session_hints_are_set_and_shown(self):
        connection = await self.connect()
        await connection.execute("SET hickorywind.priority = 'urgent'")
        self.assertEqual(await self.fetch_value(connection, "SHOW hickorywind.priority"), "urgent")
        await connection.execute("SELECT 1")
        self.assertEqual(self.replica_pool.executed[-1].rank.value, "urgent")
        with self.assertRaises(psycopg.errors.InvalidParameterValue):
            await connection.execute("SET hickorywind.priority = 'whatever'")

    async def test_comment_hints_apply_to_one_statement(self):
        connection = await self.connect()
        text = "/* hickorywind priority=background max_staleness_ms=700 timeout_ms=900 */ SELECT 1"
        await connection.execute(text)
        run = self.replica_pool.executed[-1]
        self.assertEqual((run.rank.value, run.max_staleness_ms), ("background", 700))
        self.assertLessEqual(run.remaining_ms, 900)

    async def test_remote_replica_serves_when_the_local_one_is_down(self):
        await self.replica_pool.close()
        connection = await self.connect()
        self.assertEqual(await self.fetch_value(connection, "SELECT 1"), f"{FAR_REPLICA}: SELECT 1")


class AsyncpgTest(EntryTestCase):
    async def connect_asyncpg(self) -> asyncpg.Connection:
        connection = await asyncpg.connect(
            host=self.address.host,
            port=self.address.port,
            user="crew",
            database=SERVICE,
            ssl=False,
            timeout=5,
        )
        self.addAsyncCleanup(connection.close)
        return connection

    async def test_prepared_statement_runs_repeatedly(self):
        connection = await self.connect_asyncpg()
        statement = await connection.prepare("SELECT $1::text")
        for value in ("a", "b"):
            self.assertTrue((await statement.fetchval(value)).endswith(value))

    async def test_fetch_execute_and_transaction(self):
        connection = await self.connect_asyncpg()
        self.assertTrue((await connection.fetchval("SELECT $1::text", "x")).endswith("x"))
        async with connection.transaction():
            self.assertTrue((await connection.fetchval("SELECT $1::text", "y")).startswith(PRIMARY))

    async def test_pool_reset_is_harmless(self):
        pool = await asyncpg.create_pool(
            host=self.address.host,
            port=self.address.port,
            user="crew",
            database=SERVICE,
            ssl=False,
            min_size=1,
            max_size=1,
        )
        for _ in range(3):
            async with pool.acquire() as connection:
                self.assertTrue(await connection.fetchval("SELECT 1"))
        await pool.close()
