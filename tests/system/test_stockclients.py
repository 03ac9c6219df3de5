import asyncio
import struct

import asyncpg
import psycopg
from pygwire import messages

from hickorywind_bench.callers import connect_caller
from tests.system.rawcaller import RawCaller
from tests.system.site import SharedSiteTest

ROW_COUNT = 10_000
LARGE_BYTES = 10 * 1024 * 1024
INSERT_ROWS = 500
SSL_REQUEST = struct.pack("!II", 8, 80877103)
HALF_QUERY = b"Q" + struct.pack("!I", 500) + b"SELECT"
OVERSIZED = b"Q" + struct.pack("!I", 2**31 - 1)
BAD_STARTUPS = (
    b"GET / HTTP/1.1\r\n\r\n",
    struct.pack("!I", 3),
    struct.pack("!II", 8, 131072),
    struct.pack("!II", 12, 196608) + b"user",
    struct.pack("!I", 2**31 - 1) + b"x" * 100,
    bytes(64),
)


class StockClientsTest(SharedSiteTest):
    """psycopg 3 and asyncpg work unchanged; malformed input harms only its own connection."""

    @property
    def entry(self):
        return self.cluster.entries[0]

    async def connect(self):
        connection = await connect_caller(self.entry, self.service.name, session_id="stock")
        self.addAsyncCleanup(connection.close)
        return connection

    async def connect_asyncpg(self):
        connection = await asyncpg.connect(
            host=self.entry.host,
            port=self.entry.port,
            user="crew",
            database=self.service.name,
            ssl=False,
        )
        self.addAsyncCleanup(connection.close)
        return connection

    async def test_ten_thousand_rows(self):
        writer = await self.connect()
        await writer.execute("CREATE TABLE many (step int4)")
        for first in range(0, ROW_COUNT, INSERT_ROWS):
            values = ", ".join(f"({step})" for step in range(first, first + INSERT_ROWS))
            await writer.execute(f"INSERT INTO many VALUES {values}")
        cursor = await writer.execute("SELECT step FROM many ORDER BY step")
        self.assertEqual([step for (step,) in await cursor.fetchall()], list(range(ROW_COUNT)))
        reader = await self.connect_asyncpg()
        fresh = "/* hickorywind max_staleness_ms=0 */"
        rows = await reader.fetch(f"{fresh} SELECT step FROM many ORDER BY step")
        self.assertEqual([row["step"] for row in rows], list(range(ROW_COUNT)))

    async def test_answer_of_ten_megabytes(self):
        connection = await self.connect()
        cursor = await connection.execute(f"SELECT repeat('x', {LARGE_BYTES}) AS text")
        ((text,),) = await cursor.fetchall()
        self.assertEqual(len(text), LARGE_BYTES)

    async def test_prepared_statements_and_pipelines(self):
        connection = await self.connect()
        for number in range(8):
            cursor = await connection.execute("SELECT %s::int4", (number,), prepare=True)
            self.assertEqual(await cursor.fetchone(), (number,))
        async with connection.pipeline():
            cursors = [await connection.execute("SELECT %s::int4", (n,)) for n in range(30)]
            values = [(await cursor.fetchone())[0] for cursor in cursors]
        self.assertEqual(values, list(range(30)))
        other = await self.connect_asyncpg()
        statement = await other.prepare("SELECT $1::int4 + 1")
        self.assertEqual([await statement.fetchval(n) for n in range(5)], [1, 2, 3, 4, 5])
        async with other.transaction():
            self.assertEqual(await other.fetchval("SELECT 7"), 7)

    async def test_notices_reach_the_caller(self):
        connection = await self.connect()
        seen = []
        connection.add_notice_handler(lambda notice: seen.append(notice.message_primary))
        await connection.execute("DO $$ BEGIN RAISE NOTICE 'brush head worn'; END $$")
        self.assertEqual(seen, ["brush head worn"])

    async def test_cancel_request_ends_the_statement(self):
        connection = await self.connect()
        running = asyncio.create_task(connection.execute("SELECT pg_sleep(4)"))
        await asyncio.sleep(0.5)
        await connection.cancel_safe(timeout=2)
        with self.assertRaises(psycopg.errors.QueryCanceled):
            async with asyncio.timeout(3):
                await running
        cursor = await connection.execute("SELECT 1")
        self.assertEqual(await cursor.fetchone(), (1,))

    async def test_encryption_is_refused_and_the_session_continues(self):
        caller = await RawCaller.connect(self.entry)
        caller.send_bytes(SSL_REQUEST)
        self.assertEqual(await caller.read_bytes(), b"N")
        answers = await caller.startup({"user": "crew", "database": self.service.name})
        self.assertIsInstance(answers[-1], messages.ReadyForQuery)
        await caller.close()

    async def test_bad_startup_packets_close_only_their_connection(self):
        bystander = await self.connect()
        for packet in BAD_STARTUPS:
            caller = await RawCaller.connect(self.entry)
            caller.send_bytes(packet)
            answers = await caller.read_answers()
            self.assertIsInstance(answers[-1], messages.ErrorResponse, packet)
            self.assertEqual(answers[-1].fields["C"], "08P01", packet)
            await caller.close()
            await self.assert_served(bystander)

    async def test_bad_messages_close_only_their_connection(self):
        bystander = await self.connect()
        for data in (b"\xff" * 200, OVERSIZED + b"x" * 1000, b"Q" + struct.pack("!I", 1)):
            caller = await self.open_raw()
            caller.send_bytes(data)
            answers = await caller.read_answers()
            self.assertIsInstance(answers[-1], messages.ErrorResponse, data[:8])
            await caller.close()
            await self.assert_served(bystander)

    async def test_incomplete_and_slow_messages_delay_no_other_session(self):
        bystander = await self.connect()
        half = await self.open_raw()
        half.send_bytes(HALF_QUERY)
        slow = await self.open_raw()
        for byte in messages.Query(query_string="SELECT 5 AS slow").to_wire():
            slow.send_bytes(bytes([byte]))
            await asyncio.sleep(0.01)
            await self.assert_served(bystander)
        answers = await slow.read_answers()
        rows = [item.columns for item in answers if isinstance(item, messages.DataRow)]
        self.assertEqual([[bytes(value) for value in row] for row in rows], [[b"5"]])
        await half.close()
        await slow.close()
        await self.assert_served(bystander)

    async def open_raw(self):
        caller = await RawCaller.connect(self.entry)
        await caller.startup({"user": "crew", "database": self.service.name})
        return caller

    async def assert_served(self, connection):
        async with asyncio.timeout(2):
            cursor = await connection.execute("SELECT 1")
            self.assertEqual(await cursor.fetchone(), (1,))
