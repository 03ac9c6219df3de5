import asyncio
import datetime
import unittest

import asyncpg
import psycopg
from psycopg.pq import TransactionStatus

from tests.standins.support import TestGroup, eventually


class BackendSqlTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.group = await TestGroup(size=1, options={"connections": 3}).start()
        self.addAsyncCleanup(self.group.close)
        self.connection = await self.connect()
        await self.connection.execute(
            "CREATE TABLE step (id int PRIMARY KEY, name text NOT NULL, done boolean, "
            "at timestamptz DEFAULT now(), picture bytea, weight float8)"
        )

    async def connect(self, **options):
        connection = await self.group.connect(**options)
        self.addAsyncCleanup(connection.close)
        return connection

    async def connect_asyncpg(self):
        address = self.group.address(0)
        connection = await asyncpg.connect(
            host=address.host, port=address.port, user="crew", database="dispatch", ssl=False
        )
        self.addAsyncCleanup(connection.close)
        return connection

    async def rows(self, sql, parameters=None, **options):
        cursor = await self.connection.execute(sql, parameters, **options)
        return await cursor.fetchall()

    async def test_psycopg_keeps_types_in_text_and_binary(self):
        sql = "INSERT INTO step (id, name, done, picture, weight) VALUES (%s, %s, %s, %s, %s)"
        row = (1, "comb 'plate' é", True, b"\0\xff", 1.5)
        await self.connection.execute(sql, row)
        columns = "SELECT id, name, done, picture, weight, at FROM step WHERE id = %s"
        for binary in (False, True):
            cursor = self.connection.cursor(binary=binary)
            await cursor.execute(columns, (1,))
            found = await cursor.fetchone()
            self.assertEqual(found[:5], row)
            self.assertIsInstance(found[5], datetime.datetime)
        self.assertEqual([column.name for column in cursor.description][:2], ["id", "name"])

    async def test_errors_carry_their_sqlstate(self):
        await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
        expected = {
            "SELEC 1": "42601",
            "SELECT (": "42601",
            "SELECT * FROM missing": "42P01",
            "SELECT colour FROM step": "42703",
            "INSERT INTO step (id, name) VALUES (1, 'b')": "23505",
            "INSERT INTO step (id) VALUES (2)": "23502",
            "SELECT 1/0": "22012",
            "COPY step TO STDOUT": "0A000",
        }
        for sql, sqlstate in expected.items():
            for prepare in (False, True):
                with self.subTest(sql=sql, prepare=prepare):
                    with self.assertRaises(psycopg.Error) as caught:
                        await self.connection.execute(sql, prepare=prepare)
                    self.assertEqual(caught.exception.sqlstate, sqlstate)

    async def test_failed_transaction_refuses_statements_until_its_end(self):
        await self.connection.execute("BEGIN")
        await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
        with self.assertRaises(psycopg.errors.UndefinedTable):
            await self.connection.execute("SELECT * FROM missing")
        self.assertEqual(self.connection.info.transaction_status, TransactionStatus.INERROR)
        with self.assertRaises(psycopg.errors.InFailedSqlTransaction):
            await self.connection.execute("SELECT 1")
        cursor = await self.connection.execute("COMMIT")
        self.assertEqual(cursor.statusmessage, "ROLLBACK")
        self.assertEqual(await self.rows("SELECT * FROM step"), [])

    async def test_savepoint_rolls_back_only_its_statements(self):
        async with self.connection.transaction():
            await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
            with self.assertRaises(psycopg.errors.UniqueViolation):
                async with self.connection.transaction():
                    await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'b')")
            await self.connection.execute("INSERT INTO step (id, name) VALUES (2, 'c')")
        self.assertEqual(await self.rows("SELECT id FROM step ORDER BY id"), [(1,), (2,)])

    async def test_pipeline_and_script_are_one_transaction_each(self):
        with self.assertRaises(psycopg.errors.UniqueViolation):
            async with self.connection.pipeline():
                await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
                await self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'b')")
        with self.assertRaises(psycopg.errors.UniqueViolation):
            await self.connection.execute(
                "INSERT INTO step (id, name) VALUES (2, 'a'); "
                "INSERT INTO step (id, name) VALUES (2, 'b')"
            )
        self.assertEqual(await self.rows("SELECT * FROM step"), [])

    async def test_comments_and_casts_are_translated_for_sqlite(self):
        expected = {
            "/* hint a=1 */ SELECT '7'::int + 1 -- tail": 8,
            "SELECT (1 + 2)::text || 'x'": "3x",
            "SELECT 'a::int' || E'\\n\\''": "a::int\n'",
            "SELECT true::bool": True,
            "SELECT count(*) FROM (SELECT 1 UNION ALL SELECT 2) AS g": 2,
            "SELECT current_database()": "dispatch",
        }
        for sql, value in expected.items():
            with self.subTest(sql=sql):
                self.assertEqual(await self.rows(sql), [(value,)])
        [(status,)] = await self.rows("/* hint */ SELECT platform_status()")
        self.assertIn('"role":"primary"', status)

    async def test_large_answers_arrive_completely(self):
        rows = await self.rows("SELECT n, repeat('x', 20) FROM generate_series(1, 10000) AS n")
        self.assertEqual(len(rows), 10_000)
        self.assertEqual(rows[-1], (10_000, "x" * 20))
        [(text,)] = await self.rows("SELECT repeat('y', 10000000)")
        self.assertEqual(len(text), 10_000_000)

    async def test_notices_come_with_the_answer(self):
        seen = []
        self.connection.add_notice_handler(lambda notice: seen.append(notice.message_primary))
        await self.connection.execute("DO $$ BEGIN RAISE NOTICE 'clean'; END $$")
        await self.connection.execute("COMMIT")
        self.assertEqual(seen, ["clean", "there is no transaction in progress"])

    async def test_cancel_ends_a_sleep_and_a_wait_for_the_write_lock(self):
        other = await self.connect()
        for sql in ("SELECT pg_sleep(30)", "INSERT INTO step (id, name) VALUES (9, 'z')"):
            await other.execute("BEGIN")
            await other.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
            running = asyncio.create_task(self.connection.execute(sql))
            await asyncio.sleep(0.2)
            await self.connection.cancel_safe()
            with self.assertRaises(psycopg.errors.QueryCanceled):
                await running
            await other.execute("ROLLBACK")
            self.assertEqual(await self.rows("SELECT count(*) FROM step"), [(0,)])

    async def test_connection_limit_spares_control_connections(self):
        await self.connect()
        await self.connect()
        with self.assertRaises(psycopg.OperationalError) as caught:
            await self.connect()
        self.assertIn("too many clients", str(caught.exception))
        status = await self.group.status(0)
        self.assertEqual((status.connections_used, status.connections_limit), (3, 3))

    async def test_closed_connection_rolls_back_its_transaction(self):
        other = await self.connect()
        await other.execute("BEGIN")
        await other.execute("INSERT INTO step (id, name) VALUES (1, 'a')")
        await other.close()
        await asyncio.wait_for(
            self.connection.execute("INSERT INTO step (id, name) VALUES (1, 'b')"), 5
        )
        self.assertEqual(await self.rows("SELECT name FROM step"), [("b",)])

    async def test_asyncpg_prepares_and_reads_by_cursor(self):
        connection = await self.connect_asyncpg()
        insert = "INSERT INTO step (id, name, done, picture, weight) VALUES ($1, $2, $3, $4, $5)"
        await connection.execute(insert, 1, "a", False, b"\1", 2.5)
        record = await connection.fetchrow("SELECT * FROM step WHERE id = $1", 1)
        self.assertEqual(list(record)[:3], [1, "a", False])
        self.assertEqual(list(record)[4:], [b"\1", 2.5])
        returned = await connection.fetchval(
            "UPDATE step SET name = $1 WHERE id = $2 RETURNING name", "b", 1
        )
        self.assertEqual(returned, "b")
        async with connection.transaction():
            cursor = connection.cursor("SELECT n FROM generate_series(1, 120) AS g(n)")
            numbers = [row["n"] async for row in cursor]
        self.assertEqual(numbers, list(range(1, 121)))
        with self.assertRaises(asyncpg.UniqueViolationError):
            await connection.execute(insert, 1, "a", False, b"", 0.0)

    async def test_asyncpg_timeout_cancels_and_the_connection_stays_usable(self):
        connection = await self.connect_asyncpg()
        with self.assertRaises(TimeoutError):
            await connection.fetchval("SELECT pg_sleep(30)", timeout=0.2)
        self.assertEqual(await connection.fetchval("SELECT $1::int + 1", 41), 42)

    async def test_malformed_input_closes_only_its_connection(self):
        address = self.group.address(0)
        for data in (b"GET / HTTP/1.0\r\n\r\n", b"\0\0\0\x08\x04\xd2\x16\x2f" + b"\xff" * 40):
            reader, writer = await asyncio.open_connection(address.host, address.port)
            writer.write(data)
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 5)
            writer.close()
        self.assertEqual(await self.rows("SELECT 1"), [(1,)])

        async def is_free():
            return (await self.group.status(0)).connections_used == 1

        self.assertTrue(await eventually(is_free))


class SlotsTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_more_statements_run_at_once_than_there_are_slots(self):
        group = await TestGroup(size=1, options={"slots": 2, "statement_time_ms": 150}).start()
        self.addAsyncCleanup(group.close)
        connections = [await group.connect() for _ in range(6)]
        loop = asyncio.get_running_loop()
        started = loop.time()
        await asyncio.gather(*(connection.execute("SELECT 1") for connection in connections))
        self.assertGreaterEqual(loop.time() - started, 3 * 0.15)
        status = await group.status(0)
        self.assertEqual(status.connections_used, 6)
        for connection in connections:
            await connection.close()
